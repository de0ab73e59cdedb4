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
            m_weights += workspace.config.weight;
    }
}

double Order::fairShare(const WorkspaceState& workspace) const
{
    return m_weights > 0 ? m_state.line.usableCount() * workspace.config.weight / m_weights : 0;
}

bool Order::aboveMinimum(const ClassState& workClass) const
{
    return workClass.used >= workClass.config.minimumShare * m_state.line.usableCount();
}

Priority Order::of(const Job& job) const
{
    Priority priority;
    priority.sequence = job.sequence;
    if (!m_state.policy.shortestFirst)
        return priority;
    const auto& workClass = m_state.classes.at(job.spec.workClass);
    const auto& workspace = m_state.workspaces.at(job.spec.workspace);
    auto waited = m_now - job.submitted;
    auto aged = static_cast<int>(waited / m_state.policy.rankAgingTime);
    priority.aboveMinimum = aboveMinimum(workClass);
    priority.rank = std::max(0, static_cast<int>(workClass.config.rank) - aged);
    priority.aboveShare = workspace.used >= fairShare(workspace);
    auto area = static_cast<double>(job.predicted.count()) * job.spec.accelerators;
    priority.area = std::log2(area)
        - static_cast<double>(waited.count()) / static_cast<double>(m_state.policy.agingTime.count());
    return priority;
}

} // namespace jujubereach::scheduling
