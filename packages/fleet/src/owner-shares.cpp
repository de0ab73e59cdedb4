// Orders waiting steps by the fair shares of their workspaces.
#include "pass.h"

#include "room-share.h"

#include <algorithm>

namespace jujubereach::fleet {

namespace {

    // Between two updates, which visit all open jobs; a fraction of the decay time of the use.
    constexpr Duration updateInterval { 250 };
    constexpr Duration logInterval { 1000 }; // Per workspace.

} // namespace

// Counts tasks from their start order to their end; that of a silent worker counts until its lease expires.
void Owner::Impl::countUse()
{
    for (auto& [id, service] : m_shares) {
        service.use.clear();
        service.capacity = {};
    }
    for (const auto& view : m_fleet)
        m_shares[view.service].capacity += view.capacity;
    for (const auto& id : m_open) {
        const auto& job = m_jobs.at(id);
        Resources used;
        for (const auto& [number, occurrence] : job.occurrences) {
            for (const auto& step : occurrence.steps) {
                for (int i = 0; i < step.active; ++i)
                    used += step.spec->resources;
            }
        }
        if (used != Resources {})
            m_shares[termsOf(job).service].use[job.record.workspace] += used;
    }
}

double Owner::Impl::weightOf(const WorkspaceId& id) const
{
    const auto found = m_config->workspaces.find(id);
    return found == m_config->workspaces.end() ? 1 : found->second.weight.value_or(1);
}

// Equal shares without weights did not help the workspaces that are served worst.
bool Owner::Impl::statesWeights() const
{
    return std::any_of(m_config->workspaces.begin(), m_config->workspaces.end(),
        [](const auto& row) { return row.second.weight.has_value(); });
}

double Owner::Impl::factorOf(const Job& job) const
{
    const auto service = m_shares.find(termsOf(job).service);
    return service == m_shares.end() ? 1 : service->second.shares.of(job.record.workspace).factor;
}

void Owner::Impl::updateShares(const std::vector<ReadyStep>& waiting)
{
    countUse();
    struct Waiting {
        Resources resources;
        int tasks = 0;
        TimePoint since;
    };
    std::map<ServiceId, std::map<WorkspaceId, Waiting>> requests;
    for (const auto& ready : waiting) {
        auto& row = requests[termsOf(*ready.job).service][ready.job->record.workspace];
        for (std::size_t i = 0; i < ready.tasks.size(); ++i)
            row.resources += ready.step().spec->resources;
        row.tasks += static_cast<int>(ready.tasks.size());
        const auto since = ready.step().waitingSince;
        row.since = row.since == TimePoint {} ? since : std::min(row.since, since);
    }
    for (auto& [id, service] : m_shares) {
        auto& requested = requests[id];
        for (const auto& [workspace, used] : service.use)
            requested[workspace];
        std::vector<WorkspaceDemand> demands;
        for (const auto& [workspace, row] : requested) {
            const auto used = service.use.find(workspace);
            const auto use = used == service.use.end() ? 0 : largestShare(used->second, service.capacity);
            demands.push_back({ workspace, weightOf(workspace), use,
                largestShare(row.resources, service.capacity), row.tasks, row.since });
        }
        service.shares.update(now(), demands);
        reportShares(id, service, demands);
    }
}

// Guaranteed steps keep their place. A preemption needs the order with and without the factors: with one of
// them alone, two workspaces would preempt each other in turn.
void Owner::Impl::orderByShares(std::vector<ReadyStep>& waiting)
{
    if (!m_settings.features.workspaceShares || m_settings.order != QueueOrder::ByUtility)
        return;
    if (!statesWeights()) {
        m_shares.clear(); // The weights may have been removed while workspaces competed.
        return;
    }
    if (now() >= m_nextShareUpdate) {
        m_nextShareUpdate = now() + updateInterval;
        updateShares(waiting);
    }
    if (std::none_of(
            m_shares.begin(), m_shares.end(), [](const auto& row) { return row.second.shares.competes(); }))
        return;
    const Job* last = nullptr; // Steps of one job mostly follow each other.
    auto factor = 1.0;
    for (auto& ready : waiting) {
        if (std::exchange(last, ready.job) != ready.job)
            factor = factorOf(*ready.job);
        if (!ready.guaranteed)
            ready.factor = factor;
    }
    std::stable_sort(waiting.begin(), waiting.end(),
        [](const ReadyStep& a, const ReadyStep& b) { return a.rank * a.factor > b.rank * b.factor; });
}

void Owner::Impl::reportShares(
    const ServiceId& id, ServiceShares& service, const std::vector<WorkspaceDemand>& demands)
{
    if (!service.shares.competes())
        return;
    std::erase_if(service.loggedAt, [this](const auto& row) { return now() - row.second >= logInterval; });
    for (const auto& row : demands) {
        if (row.waitingTasks == 0 || !service.loggedAt.try_emplace(row.workspace, now()).second)
            continue;
        const auto share = service.shares.of(row.workspace);
        m_hooks.log("workspace-waits",
            { { "workspace", row.workspace.str() }, { "service", id.str() }, { "share", share.share },
                { "use", share.use }, { "factor", share.factor }, { "waitingTasks", row.waitingTasks },
                { "waitedMs", (now() - row.waitingSince).count() } });
        if (!m_hooks.meter.set)
            continue;
        const metrics::Labels labels { { "workspace", row.workspace.str() }, { "service", id.str() } };
        m_hooks.meter.set("jujubereach_workspace_share", labels, share.share);
        m_hooks.meter.set("jujubereach_workspace_use", labels, share.use);
    }
}

} // namespace jujubereach::fleet
