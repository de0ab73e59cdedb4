// Clears runs for jobs that find no free run: for urgent jobs, by migration, and by reservations.
#include "gangs.h"
#include "impl.h"

#include <algorithm>

namespace jujubereach::scheduling {

namespace {
    constexpr std::uint32_t largeGangWorkers = 4; ///< Minimum size of a large gang, in workers.
}

bool Scheduler::Impl::clearRunFor(Job* job, TimePoint now)
{
    if (!withinQuota(*job))
        return false;
    if (m_state.urgent(*job) && (clearForUrgent(job, false, now) || clearForUrgent(job, true, now)))
        return true;
    if (!m_state.policy.migrate || !leavesMinimumShares(*job, now))
        return false;
    return clearByMigration(job, now);
}

bool Scheduler::Impl::isWorthLoss(const Job& job, double lost, TimePoint now) const
{
    constexpr double runTimeShare = 0.1; ///< Share of the job's predicted run time.
    constexpr double waitingShare = 0.25; ///< Share of the time that the job has waited.
    auto seconds = [](Duration time) { return static_cast<double>(time.count()) / 1000; };
    auto worth = runTimeShare * seconds(job.predicted) + waitingShare * seconds(job.waited(now));
    return lost <= worth * job.spec.accelerators;
}

bool Scheduler::Impl::victimsFit(const Run& run) const
{
    auto free = m_state.occupancy.allFree();
    std::vector<std::uint32_t> victims;
    for (auto at = run.first; at < run.end();) {
        const auto* gang = m_state.occupancy.gangAt(at);
        if (!gang)
            free.remove({ at, 1 });
        else
            victims.push_back(gang->run.count);
        at = gang ? gang->run.end() : at + 1;
    }
    std::sort(victims.begin(), victims.end(), std::greater<>());
    for (auto count : victims) {
        auto place = free.bestFit(count);
        if (!place)
            return false;
        free.remove(*place);
    }
    return true;
}

bool Scheduler::Impl::clearByMigration(Job* job, TimePoint now)
{
    const auto& free = job->revocable ? m_state.occupancy.allFree() : m_state.occupancy.unprotectedFree();
    if (job->spec.accelerators < m_state.occupancy.perWorker() || free.total() < job->spec.accelerators
        || m_migrationSearches >= m_state.policy.maxMigrationSearches)
        return false;
    ++m_migrationSearches;
    WindowSearch search;
    search.count = job->spec.accelerators;
    search.within = { 0, m_state.total };
    search.mayUseProtected = job->revocable;
    search.avoidWorkers = job->failedWorkers;
    search.gangCost = [&](const Gang& gang) -> std::optional<double> {
        if (gang.state != GangState::Stopping && (!preemptible(gang) || m_state.urgent(*gang.job)))
            return std::nullopt;
        return preemptionLoss(m_state, gang, now);
    };
    auto window = cheapestWindow(m_state, search);
    // A large gang that has waited long enough may preempt gangs that then have to wait for a run.
    bool mayDisplace = job->spec.accelerators >= largeGangWorkers * m_state.occupancy.perWorker()
        && job->waited(now) >= m_state.policy.displaceDelay;
    if (!window || !isWorthLoss(*job, window->cost, now) || (!mayDisplace && !victimsFit(window->run)))
        return false;
    makeClaim(m_state, job, window->run, nullptr, now);
    return true;
}

void Scheduler::Impl::reserve(Job* job, TimePoint now)
{
    bool has = std::any_of(m_state.reservations.begin(), m_state.reservations.end(),
        [job](const Reservation& each) { return each.job == job; });
    if (has || m_state.reservations.size() >= m_state.policy.maxReservations
        || job->waited(now) < m_state.policy.reservationDelay || !withinQuota(*job))
        return;
    WindowSearch search;
    search.count = job->spec.accelerators;
    search.within = { 0, m_state.total };
    search.mayUseProtected = job->revocable;
    search.sumCosts = false;
    search.gangCost = [&](const Gang& gang) -> std::optional<double> {
        return static_cast<double>((m_state.predictedEnd(gang, now) - now).count());
    };
    for (const auto& other : m_state.reservations) {
        for (auto at = other.run.first; at < other.run.end(); ++at)
            search.avoidWorkers.push_back(m_state.occupancy.workerOf(at));
    }
    auto window = cheapestWindow(m_state, search);
    if (!window)
        return;
    m_state.occupancy.protect(window->run);
    auto expected = now + Duration(static_cast<Duration::rep>(window->cost));
    m_state.reservations.push_back({ job, window->run, expected });
}

bool Scheduler::Impl::advanceReservation(Reservation& reservation, TimePoint now)
{
    double lost = 0;
    Order order(m_state, now);
    auto* job = reservation.job;
    reservation.expected = now;
    for (auto at = reservation.run.first; at < reservation.run.end();) {
        ++m_state.stepCount;
        if (!m_state.occupancy.usable(at) || m_state.occupancy.held(at))
            return false;
        const auto* gang = m_state.occupancy.gangAt(at);
        if (gang) {
            bool mustWait
                = gang->state != GangState::Stopping && (!preemptible(*gang) || !order.outranks(*job, *gang));
            if (mustWait)
                reservation.expected = std::max(reservation.expected, m_state.predictedEnd(*gang, now));
            lost += preemptionLoss(m_state, *gang, now);
        }
        at = gang ? gang->run.end() : at + 1;
    }
    if (reservation.expected > now || !isWorthLoss(*job, lost, now) || !withinQuota(*job)
        || !leavesMinimumShares(*job, now))
        return true;
    makeClaim(m_state, job, reservation.run, nullptr, now);
    return false;
}

void Scheduler::Impl::advanceReservations(TimePoint now)
{
    for (auto it = m_state.reservations.begin(); it != m_state.reservations.end();) {
        bool keep = it->job->queued && advanceReservation(*it, now);
        if (!keep)
            m_state.occupancy.unprotect(it->run);
        it = keep ? std::next(it) : m_state.reservations.erase(it);
    }
}

bool Scheduler::Impl::clearForUrgent(Job* job, bool inProtected, TimePoint now)
{
    if (inProtected && !job->revocable)
        return false;
    auto usable = m_state.occupancy.usableCount();
    WindowSearch search;
    search.count = job->spec.accelerators;
    search.within = { 0, m_state.total };
    search.mayUseProtected = inProtected;
    search.avoidWorkers = job->failedWorkers;
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
    constexpr int minRunTimeRatio = 10; ///< Minimum ratio of time until the reservation to preemption cost.
    for (const auto& reservation : m_state.reservations) {
        if (reservation.job == &job || !reservation.run.overlaps(run))
            continue;
        auto left = reservation.expected - now;
        bool endsBefore = job.predicted <= left;
        bool cheap = checkpointsInTime(job.spec, m_state.limits)
            && left >= minRunTimeRatio * (job.spec.checkpointTime + m_state.policy.restartCost);
        if (!endsBefore && !cheap)
            return true;
    }
    return false;
}

void Scheduler::Impl::dropReservations()
{
    for (const auto& reservation : m_state.reservations)
        m_state.occupancy.unprotect(reservation.run);
    m_state.reservations.clear();
}

} // namespace jujubereach::scheduling
