#include "jujubereach/fleet/workspace-shares.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jujubereach::fleet {

namespace {

    // A few run times of the longest class, so that a debt expires within a minute.
    constexpr double decayTimeMs = 20'000;
    constexpr Duration retention { 60'000 };
    constexpr Duration minWait { 500 }; // Shorter waits end by themselves when the next runs end.
    // Ranks of equal utility differ less between job sizes than by these, and more between priorities.
    constexpr double minFactor = 0.25;
    constexpr double maxFactor = 4;
    constexpr double minUse = 1e-9; // Of a workspace that has had nothing yet.

    bool compete(TimePoint now, const std::vector<WorkspaceDemand>& demands)
    {
        int waiting = 0;
        auto earliest = TimePoint::max();
        for (const auto& row : demands) {
            if (row.waitingSince == TimePoint {})
                continue;
            ++waiting;
            earliest = std::min(earliest, row.waitingSince);
        }
        return waiting > 1 && now - earliest >= minWait;
    }

} // namespace

std::vector<double> fairShares(double total, const std::vector<WorkspaceDemand>& demands)
{
    const auto demandOf = [](const WorkspaceDemand& row) { return row.use + row.waiting; };
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return demandOf(demands[a]) * demands[b].weight < demandOf(demands[b]) * demands[a].weight;
    });
    auto weights = std::accumulate(demands.begin(), demands.end(), 0.0,
        [](double sum, const WorkspaceDemand& row) { return sum + row.weight; });
    auto level = 0.0; // Share of a weight of 1.
    for (const auto i : order) {
        level = std::max(level, total / weights);
        if (demandOf(demands[i]) >= level * demands[i].weight)
            break; // All others request their part as well.
        total -= demandOf(demands[i]);
        weights -= demands[i].weight;
        if (total <= 0 || weights <= 0)
            break;
    }
    std::vector<double> out;
    out.reserve(demands.size());
    for (const auto& row : demands)
        out.push_back(level * row.weight);
    return out;
}

void WorkspaceShares::addUse(Account& account, double use, double passedMs)
{
    account.use += (1 - std::exp(-passedMs / decayTimeMs)) * (use - account.use);
}

// A debt of an inactive workspace decays; a use below its share stays, so that it gains no credit.
void WorkspaceShares::expire(TimePoint now, double passedMs)
{
    for (auto& [id, account] : m_workspaces) {
        if (account.activeAt != now && account.use > account.share)
            addUse(account, account.share, passedMs);
    }
    std::erase_if(m_workspaces, [&](const auto& row) { return now - row.second.activeAt > retention; });
}

void WorkspaceShares::update(TimePoint now, const std::vector<WorkspaceDemand>& demands)
{
    const auto passed = m_updatedAt == TimePoint {} ? 0.0 : static_cast<double>((now - m_updatedAt).count());
    m_updatedAt = now;
    std::vector<Account*> accounts;
    std::vector<std::size_t> fresh; // Without running tasks: they start with their share, not with a credit.
    auto total = 0.0;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const auto [found, isNew] = m_workspaces.try_emplace(demands[i].workspace);
        auto& account = found->second;
        account.activeAt = now;
        if (!isNew)
            addUse(account, demands[i].use, passed);
        else if (demands[i].use > 0)
            account.use = demands[i].use;
        else
            fresh.push_back(i);
        total += account.use;
        accounts.push_back(&account);
    }
    const auto shares = fairShares(total, demands);
    for (const auto i : fresh)
        accounts[i]->use = shares[i];
    m_competes = compete(now, demands);
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        auto& account = *accounts[i];
        account.share = shares[i];
        const auto ratio = account.share / std::max(account.use, minUse);
        account.factor = m_competes && account.share > 0 ? std::clamp(ratio, minFactor, maxFactor) : 1;
    }
    expire(now, passed);
}

WorkspaceShare WorkspaceShares::of(const WorkspaceId& workspace) const
{
    const auto found = m_workspaces.find(workspace);
    if (found == m_workspaces.end())
        return {};
    return { found->second.share, found->second.use, m_competes ? found->second.factor : 1 };
}

} // namespace jujubereach::fleet
