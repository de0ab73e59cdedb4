// Describes to users why a job waits.
#include "impl.h"

#include <algorithm>

namespace jujubereach::scheduling {

namespace {

    const char* nameOf(GangState state)
    {
        switch (state) {
        case GangState::Starting:
            return "starting";
        case GangState::Running:
            return "running";
        case GangState::Stopping:
            return "stopping";
        }
        return "running";
    }

} // namespace

Explanation Scheduler::Impl::explain(const JobId& id, TimePoint now) const
{
    Explanation explanation;
    auto ended = m_endedTexts.find(id);
    auto found = m_state.jobs.find(id);
    if (found == m_state.jobs.end()) {
        explanation.known = ended != m_endedTexts.end();
        explanation.state = explanation.known ? "ended" : "";
        explanation.text = explanation.known ? ended->second : "No job of this name is known here.";
        return explanation;
    }
    const auto& job = *found->second;
    explanation.known = true;
    if (job.gang) {
        explanation.state = nameOf(job.gang->state);
        explanation.run = job.gang->run;
        explanation.text = "The job holds its accelerators.";
        return explanation;
    }
    explanation.state = "queued";
    explanation.text = waitingReason(job, now);
    for (const auto& reservation : m_state.reservations) {
        if (reservation.job == &job)
            explanation.expectedWait = std::max(Duration { 0 }, reservation.expected - now);
    }
    Order order(m_state, now);
    auto own = order.priorityOf(job);
    for (const auto& [key, lane] : m_state.lanes.all()) {
        for (const auto& [sequence, other] : lane.jobs())
            explanation.aheadInQueue += other != &job && order.priorityOf(*other) < own ? 1 : 0;
    }
    return explanation;
}

std::string Scheduler::Impl::waitingReason(const Job& job, TimePoint now) const
{
    auto count = std::to_string(job.spec.accelerators);
    if (job.claim)
        return "Other jobs are giving back the accelerators it gets; it starts within the reclaim bound.";
    if (job.spec.shape)
        return "Every run of its shape is in use by its own workspace or has a worker that is down; the job "
               "starts when one is free, or earlier on other accelerators.";
    if (!withinQuota(job))
        return "Its workspace uses " + std::to_string(m_state.workspaces.at(job.spec.workspace).used)
            + " accelerators and may use "
            + std::to_string(m_state.workspaces.at(job.spec.workspace).config.quota)
            + "; the job starts when its own jobs end.";
    if (!leavesMinimumShares(job, now))
        return "The accelerators left are kept for the minimum shares of other classes, because the job can "
               "neither be checkpointed nor stopped in time.";
    bool reserved = std::any_of(m_state.reservations.begin(), m_state.reservations.end(),
        [&job](const Reservation& each) { return each.job == &job; });
    if (reserved)
        return "A run of " + count
            + " accelerators is reserved for it; it starts when the jobs that run there "
              "and can't be preempted have ended.";
    const auto& free = job.revocable ? m_state.occupancy.allFree() : m_state.occupancy.unprotectedFree();
    if (free.total() < job.spec.accelerators)
        return "It needs " + count + " accelerators and " + std::to_string(free.total())
            + " that it may use are free.";
    return "It needs " + count + " adjacent accelerators; " + std::to_string(free.total())
        + " are free, but the longest free run has " + std::to_string(free.largest()) + ".";
}

} // namespace jujubereach::scheduling
