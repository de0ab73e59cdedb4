#include "order.h"

#include <algorithm>
#include <cmath>

namespace jujubereach::scheduling {

Order::Order(const State& state, TimePoint now)
    : m_state(state)
    , m_now(now)
{
    for (const auto& [id, workspace] : state.workspaces) {
        if (workspace.queued > 0 || workspace.used > 0)
            m_totalWeight += workspace.config.weight;
    }
}

double Order::fairShare(const WorkspaceState& workspace) const
{
    return m_totalWeight > 0 ? m_state.occupancy.usableCount() * workspace.config.weight / m_totalWeight : 0;
}

bool Order::aboveMinimum(const ClassState& workClass) const
{
    return workClass.used >= workClass.config.minimumShare * m_state.occupancy.usableCount();
}

int Order::rankOf(const Job& job) const
{
    auto aged = static_cast<int>(job.waited(m_now) / m_state.policy.rankAgingTime);
    return std::max(0, static_cast<int>(m_state.classes.at(job.spec.workClass).config.rank) - aged);
}

double Order::areaOf(const Job& job, Duration left) const
{
    auto area = static_cast<double>(std::max<Duration::rep>(left.count(), 1)) * job.spec.accelerators;
    return std::log2(area)
        - static_cast<double>(job.waited(m_now).count())
        / static_cast<double>(m_state.policy.agingTime.count());
}

Priority Order::priorityOf(const Job& job) const
{
    Priority priority;
    priority.sequence = job.sequence;
    if (!m_state.policy.shortestFirst)
        return priority;
    const auto& workspace = m_state.workspaces.at(job.spec.workspace);
    priority.aboveMinimum = aboveMinimum(m_state.classes.at(job.spec.workClass));
    priority.rank = rankOf(job);
    priority.aboveShare = workspace.used >= fairShare(workspace);
    priority.area = areaOf(job, job.predicted);
    return priority;
}

bool Order::outranks(const Job& job, const Gang& gang) const
{
    constexpr double minLogGap = 2; ///< On the log2 scale: the area must be at most a quarter.
    // Otherwise an aged job and an urgent one would keep preempting each other.
    if (m_state.urgent(*gang.job))
        return false;
    auto own = rankOf(job);
    auto other = rankOf(*gang.job);
    if (own != other)
        return own < other;
    auto left = m_state.predictedEnd(gang, m_now) - m_now;
    return areaOf(job, job.predicted) + minLogGap <= areaOf(*gang.job, left);
}

} // namespace jujubereach::scheduling
