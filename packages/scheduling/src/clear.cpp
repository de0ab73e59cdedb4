// Runs cleared for jobs that find none free: for urgent work, by migration, and by reservations.
#include "gangs.h"
#include "impl.h"

#include <algorithm>

namespace jujubereach::scheduling {

bool Scheduler::Impl::clearRunFor(Job* job, TimePoint now)
{
    if (!withinQuota(*job))
        return false;
    return m_state.urgent(*job) && clearForUrgent(job, now);
}

bool Scheduler::Impl::clearForUrgent(Job* job, TimePoint now)
{
    auto usable = m_state.line.usableCount();
    WindowSearch search;
    search.count = job->spec.accelerators;
    search.within = { 0, m_state.total };
    search.mayUseProtected = job->lendable;
    search.avoid = job->failedWorkers;
    search.gangCost = [&](const Gang& gang) -> std::optional<double> {
        const auto& victim = m_state.classes.at(gang.job->spec.workClass);
        if (gang.state == GangState::Stopping)
            return 0.0;
        bool kept = victim.used < victim.config.minimumShare * usable + gang.run.count;
        if (!preemptible(gang) || victim.config.urgent || kept)
            return std::nullopt;
        return preemptionLoss(m_state, gang, now);
    };
    auto window = cheapestWindow(m_state, search);
    if (window)
        makeClaim(m_state, job, window->run, nullptr, now);
    return window.has_value();
}

bool Scheduler::Impl::delaysReservation(const Job& job, const Run& run, TimePoint now) const
{
    constexpr int worthwhile = 10; ///< Least ratio of expected run time to the cost of a preemption.
    for (const auto& reservation : m_state.reservations) {
        if (reservation.job == &job || !reservation.run.overlaps(run))
            continue;
        auto left = reservation.expected - now;
        bool endsBefore = job.predicted <= left;
        bool cheap = savesInTime(job.spec, m_state.limits)
            && left >= worthwhile * (job.spec.checkpointTime + m_state.policy.restartCost);
        if (!endsBefore && !cheap)
            return true;
    }
    return false;
}

void Scheduler::Impl::dropReservations()
{
    for (const auto& reservation : m_state.reservations)
        m_state.line.unprotect(reservation.run);
    m_state.reservations.clear();
}

} // namespace jujubereach::scheduling
