// Decisions of one moment: deadlines, guaranteed shapes, probes, then the queue in its order.
#include "cells.h"
#include "gangs.h"
#include "impl.h"

#include <algorithm>
#include <queue>

namespace jujubereach::scheduling {

namespace {

    constexpr Duration recheckInterval { 10'000 }; ///< While jobs wait: waiting changes their order.

    /// Jobs that may go next: of each lane the shortest and the oldest.
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
                // Starts since it was added may have changed its priority.
                auto current = m_order.of(*job);
                if (current > priority && !m_heap.empty() && m_heap.top().first < current) {
                    m_heap.emplace(current, job);
                    continue;
                }
                return job;
            }
            return nullptr;
        }

        void started(const LaneKey& key)
        {
            auto lane = m_state.lanes.all().find(key);
            if (lane != m_state.lanes.all().end())
                addHeads(lane->second);
        }

        void blocked(const Job* job) { m_blocked.insert(laneOf(job)); }

        static LaneKey laneOf(const Job* job)
        {
            return { job->spec.workClass, job->spec.workspace, job->spec.accelerators, job->lendable };
        }

    private:
        using Entry = std::pair<Priority, Job*>;
        struct Later {
            bool operator()(const Entry& a, const Entry& b) const { return a.first > b.first; }
        };

        void addHeads(const Lane& lane)
        {
            m_heap.emplace(m_order.of(*lane.shortest()), lane.shortest());
            if (lane.oldest() != lane.shortest())
                m_heap.emplace(m_order.of(*lane.oldest()), lane.oldest());
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
    bool due = m_changed || (m_recheck && *m_recheck <= now);
    auto probe = m_state.health.nextProbe();
    if (due || (probe && *probe <= now)) {
        m_changed = false;
        if (m_state.cellsBlocked)
            repairCells(m_state, true, now);
        startClaims(m_state, now);
        callShapes(now);
        startProbes(now);
        serveReservations(now);
        scanQueue(now);
        startClaims(m_state, now);
        m_recheck = m_state.lanes.size() > 0 ? std::optional(now + recheckInterval) : std::nullopt;
    }
    auto decisions = std::move(m_state.out);
    m_state.out.clear();
    for (auto& end : m_ends)
        decisions.emplace_back(std::move(end));
    m_ends.clear();
    return decisions;
}

std::optional<TimePoint> Scheduler::Impl::nextDue(TimePoint now) const
{
    if (m_changed || !m_ends.empty() || !m_state.out.empty())
        return now;
    auto next = m_recheck;
    auto consider = [&next](TimePoint time) { next = next ? std::min(*next, time) : time; };
    if (!m_state.deadlines.empty())
        consider(m_state.deadlines.begin()->first);
    if (auto probe = m_state.health.nextProbe())
        consider(std::max(*probe, now + Duration { 1000 }));
    return next;
}

void Scheduler::Impl::callShapes(TimePoint now)
{
    std::vector<Job*> calls;
    for (const auto& [sequence, job] : m_state.shapeCalls)
        calls.push_back(job);
    for (auto* job : calls) {
        auto* cell = idleCellFor(m_state, *job);
        if (!cell && m_state.cellsBlocked) {
            repairCells(m_state, false, now);
            cell = idleCellFor(m_state, *job);
        }
        if (!cell)
            continue;
        dropClaimsIn(m_state, cell->run, now);
        WindowSearch search;
        search.count = job->spec.accelerators;
        search.within = cell->run;
        search.mayUseProtected = true;
        search.gangCost = [&](const Gang& gang) { return preemptionLoss(m_state, gang, now); };
        if (auto window = cheapestWindow(m_state, search))
            makeClaim(m_state, job, window->run, cell, now);
    }
}

void Scheduler::Impl::startProbes(TimePoint now)
{
    for (auto worker : m_state.health.dueProbes(now)) {
        auto run = m_state.line.runOf(worker);
        if (!m_state.workerUp[worker] || !m_state.line.vacant(run))
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
            m_state.health.pardon(worker);
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
            candidates.started(key);
        } else if (clearRunFor(job, now)) {
            candidates.started(key);
        } else {
            candidates.blocked(job);
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

bool Scheduler::Impl::withinKeptShares(const Job& job, TimePoint now) const
{
    if (job.lendable || job.waited(now) > m_state.policy.rankAgingTime)
        return true;
    double kept = 0;
    for (const auto& [id, workClass] : m_state.classes) {
        if (id != job.spec.workClass)
            kept
                += std::max(0.0, workClass.config.minimumShare * m_state.line.usableCount() - workClass.used);
    }
    if (kept <= 0 || m_state.fixedUsed == 0)
        return true;
    std::uint32_t inCells = 0;
    for (const auto& cell : m_state.cells)
        inCells += cell.placed ? cell.run.count : 0;
    auto open = static_cast<double>(m_state.line.usableCount()) - inCells;
    return m_state.fixedUsed + job.spec.accelerators <= open - std::min(kept, open / 2);
}

std::optional<Run> Scheduler::Impl::searchFree(
    const Job& job, const placement::FreeRuns::Accept& accept) const
{
    auto count = job.spec.accelerators;
    if (!job.lendable)
        return m_state.line.open().highestFit(count, accept);
    // An urgent gang in a cell would be stopped by a call for the shape.
    if (m_state.urgent(job)) {
        if (auto run = m_state.line.open().bestFit(count, placement::Side::Low, accept))
            return run;
    }
    auto run = m_state.line.lent().bestFit(count, placement::Side::Low, accept);
    return run ? run : m_state.line.any().bestFit(count, placement::Side::Low, accept);
}

std::optional<Run> Scheduler::Impl::freeRunFor(const Job& job, TimePoint now) const
{
    if (!withinQuota(job) || !withinKeptShares(job, now))
        return std::nullopt;
    placement::FreeRuns::Accept keeps;
    if (!m_state.reservations.empty())
        keeps = [&](const Run& run) { return !delaysReservation(job, run, now); };
    if (job.failedWorkers.empty())
        return searchFree(job, keeps);
    auto avoids = [&](const Run& run) {
        return (!keeps || keeps(run))
            && std::none_of(job.failedWorkers.begin(), job.failedWorkers.end(),
                [&](std::uint32_t worker) { return m_state.line.runOf(worker).overlaps(run); });
    };
    auto run = searchFree(job, avoids);
    if (run)
        return run;
    // A new owner knows only the workers that have reported so far.
    auto someMissing = m_state.line.usableCount() < m_state.line.size();
    if (someMissing && now - job.lastFailure < m_state.policy.sameWorkerRetryDelay)
        return std::nullopt;
    return searchFree(job, keeps);
}

} // namespace jujubereach::scheduling
