// Scheduling decisions: checkpoint deadlines, guaranteed shapes, probes, reservations, then the queue in
// order.
#include "cells.h"
#include "gangs.h"
#include "impl.h"

#include <algorithm>
#include <queue>

namespace jujubereach::scheduling {

namespace {

    /// While jobs are queued, because aging changes their order.
    constexpr Duration recheckInterval { 10'000 };

    /// Candidates for the next start: the shortest and the oldest job of each lane.
    class Candidates {
    public:
        Candidates(State& state, const Order& order)
            : m_state(state)
            , m_order(order)
        {
            for (const auto& [key, lane] : state.lanes.all())
                addHeads(lane);
        }

        Job* next()
        {
            while (!m_heap.empty()) {
                auto [priority, job] = m_heap.top();
                m_heap.pop();
                ++m_state.stepCount;
                if (!job->queued || m_blocked.contains(laneOf(job)))
                    continue;
                // Starts since the entry was added may have changed the job's priority.
                auto current = m_order.priorityOf(*job);
                if (current > priority && !m_heap.empty() && m_heap.top().first < current) {
                    m_heap.emplace(current, job);
                    continue;
                }
                return job;
            }
            return nullptr;
        }

        void refreshLane(const LaneKey& key)
        {
            auto lane = m_state.lanes.all().find(key);
            if (lane != m_state.lanes.all().end())
                addHeads(lane->second);
        }

        void blockLane(const Job* job) { m_blocked.insert(laneOf(job)); }

        static LaneKey laneOf(const Job* job)
        {
            return { job->spec.workClass, job->spec.workspace, job->spec.accelerators, job->revocable };
        }

    private:
        using Entry = std::pair<Priority, Job*>;
        struct Later {
            bool operator()(const Entry& a, const Entry& b) const { return a.first > b.first; }
        };

        void addHeads(const Lane& lane)
        {
            m_heap.emplace(m_order.priorityOf(*lane.shortest()), lane.shortest());
            if (lane.oldest() != lane.shortest())
                m_heap.emplace(m_order.priorityOf(*lane.oldest()), lane.oldest());
            ++m_state.stepCount;
        }

        State& m_state;
        const Order& m_order;
        std::priority_queue<Entry, std::vector<Entry>, Later> m_heap;
        std::set<LaneKey> m_blocked;
    };

} // namespace

std::vector<Decision> Scheduler::Impl::decide(TimePoint now)
{
    stopOverdue(m_state, now);
    bool due = m_changed || (m_recheckAt && *m_recheckAt <= now);
    auto probe = m_state.health.nextProbe();
    if (due || (probe && *probe <= now)) {
        m_changed = false;
        if (m_state.shapeSlotsNeedRepair)
            repairShapeSlots(m_state, true, now);
        startClaims(m_state, now);
        claimShapes(now);
        startProbes(now);
        advanceReservations(now);
        scanQueue(now);
        startClaims(m_state, now);
        m_recheckAt = m_state.lanes.size() > 0 ? std::optional(now + recheckInterval) : std::nullopt;
    }
    auto decisions = std::move(m_state.pendingDecisions);
    m_state.pendingDecisions.clear();
    for (auto& end : m_pendingEnds)
        decisions.emplace_back(std::move(end));
    m_pendingEnds.clear();
    return decisions;
}

std::optional<TimePoint> Scheduler::Impl::nextDue(TimePoint now) const
{
    if (m_changed || !m_pendingEnds.empty() || !m_state.pendingDecisions.empty())
        return now;
    auto next = m_recheckAt;
    auto consider = [&next](TimePoint time) { next = next ? std::min(*next, time) : time; };
    if (!m_state.deadlines.empty())
        consider(m_state.deadlines.begin()->first);
    if (auto probe = m_state.health.nextProbe())
        consider(std::max(*probe, now + Duration { 1000 }));
    return next;
}

void Scheduler::Impl::claimShapes(TimePoint now)
{
    std::vector<Job*> shapeJobs;
    for (const auto& [sequence, job] : m_state.queuedShapeJobs)
        shapeJobs.push_back(job);
    for (auto* job : shapeJobs) {
        auto* shapeSlot = idleShapeSlotFor(m_state, *job);
        if (!shapeSlot && m_state.shapeSlotsNeedRepair) {
            repairShapeSlots(m_state, false, now);
            shapeSlot = idleShapeSlotFor(m_state, *job);
        }
        if (!shapeSlot)
            continue;
        dropClaimsIn(m_state, shapeSlot->run, now);
        WindowSearch search;
        search.count = job->spec.accelerators;
        search.within = shapeSlot->run;
        search.mayUseProtected = true;
        search.gangCost = [&](const Gang& gang) { return preemptionLoss(m_state, gang, now); };
        if (auto window = cheapestWindow(m_state, search))
            makeClaim(m_state, job, window->run, shapeSlot, now);
    }
}

void Scheduler::Impl::startProbes(TimePoint now)
{
    for (auto worker : m_state.health.dueProbes(now)) {
        auto run = m_state.occupancy.runOf(worker);
        if (!m_state.workerUp[worker] || !m_state.occupancy.vacant(run))
            continue;
        Job* probe = nullptr;
        for (const auto& [key, lane] : m_state.lanes.all()) {
            auto* job = lane.shortest();
            if (key.accelerators <= run.count && job->spec.restartable && !m_state.urgent(*job)
                && withinQuota(*job) && (!probe || job->predicted < probe->predicted))
                probe = job;
        }
        if (probe) {
            m_state.dequeue(probe, now);
            startGang(m_state, probe, { run.first, probe->spec.accelerators }, nullptr, now)->probe = true;
        } else if (m_state.health.probeTime(worker) + m_state.policy.maxProbeDelay <= now) {
            m_state.health.endQuarantine(worker);
            m_state.setUsable(worker);
        }
    }
}

void Scheduler::Impl::scanQueue(TimePoint now)
{
    m_migrationSearches = 0;
    Order order(m_state, now);
    Candidates candidates(m_state, order);
    while (auto* job = candidates.next()) {
        auto key = Candidates::laneOf(job);
        if (auto run = freeRunFor(*job, now)) {
            m_state.dequeue(job, now);
            startGang(m_state, job, *run, nullptr, now);
            candidates.refreshLane(key);
        } else if (clearRunFor(job, now)) {
            candidates.refreshLane(key);
        } else {
            candidates.blockLane(job);
            reserve(job, now);
            if (!m_state.policy.backfill)
                return;
        }
    }
}

bool Scheduler::Impl::withinQuota(const Job& job) const
{
    const auto& workspace = m_state.workspaces.at(job.spec.workspace);
    auto quota = workspace.config.quota;
    return quota == 0 || workspace.used + job.spec.accelerators <= quota;
}

bool Scheduler::Impl::leavesMinimumShares(const Job& job, TimePoint now) const
{
    if (job.revocable || job.waited(now) > m_state.policy.rankAgingTime)
        return true;
    double kept = 0;
    for (const auto& [id, workClass] : m_state.classes) {
        if (id != job.spec.workClass)
            kept += std::max(
                0.0, workClass.config.minimumShare * m_state.occupancy.usableCount() - workClass.used);
    }
    if (kept <= 0 || m_state.nonRevocableUsed == 0)
        return true;
    std::uint32_t inShapeSlots = 0;
    for (const auto& shapeSlot : m_state.shapeSlots)
        inShapeSlots += shapeSlot.placed ? shapeSlot.run.count : 0;
    auto outsideShapes = static_cast<double>(m_state.occupancy.usableCount()) - inShapeSlots;
    return m_state.nonRevocableUsed + job.spec.accelerators
        <= outsideShapes - std::min(kept, outsideShapes / 2);
}

std::optional<Run> Scheduler::Impl::searchFree(
    const Job& job, const placement::FreeRuns::Accept& accept) const
{
    auto count = job.spec.accelerators;
    if (!job.revocable)
        return m_state.occupancy.unprotectedFree().highestFit(count, accept);
    // An urgent gang in a shape slot would be stopped when the shape is requested.
    if (m_state.urgent(job)) {
        if (auto run = m_state.occupancy.unprotectedFree().bestFit(count, placement::Side::Low, accept))
            return run;
    }
    auto run = m_state.occupancy.protectedFree().bestFit(count, placement::Side::Low, accept);
    return run ? run : m_state.occupancy.allFree().bestFit(count, placement::Side::Low, accept);
}

std::optional<Run> Scheduler::Impl::freeRunFor(const Job& job, TimePoint now) const
{
    if (!withinQuota(job) || !leavesMinimumShares(job, now))
        return std::nullopt;
    placement::FreeRuns::Accept sparesReservations;
    if (!m_state.reservations.empty())
        sparesReservations = [&](const Run& run) { return !delaysReservation(job, run, now); };
    if (job.failedWorkers.empty())
        return searchFree(job, sparesReservations);
    auto avoidsFailedWorkers = [&](const Run& run) {
        return (!sparesReservations || sparesReservations(run))
            && std::none_of(job.failedWorkers.begin(), job.failedWorkers.end(),
                [&](std::uint32_t worker) { return m_state.occupancy.runOf(worker).overlaps(run); });
    };
    auto run = searchFree(job, avoidsFailedWorkers);
    if (run)
        return run;
    // After a change of owner, only the workers that have reported so far are usable.
    auto someMissing = m_state.occupancy.usableCount() < m_state.occupancy.size();
    if (someMissing && now - job.lastFailure < m_state.policy.sameWorkerRetryDelay)
        return std::nullopt;
    return searchFree(job, sparesReservations);
}

} // namespace jujubereach::scheduling
