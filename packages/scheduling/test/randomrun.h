// Sends random events to a scheduler and checks the invariants from its decisions after each event.
#pragma once

#include "fixture.h"

#include "jujubereach/base/random.h"
#include "jujubereach/placement/pack.h"

namespace jujubereach::scheduling {

class RandomRun {
public:
    RandomRun(std::uint64_t seed, bool outages, const Policy& policy)
        : m_random(seed)
        , m_outages(outages)
        , m_fixture(smallManifest(), withoutQuarantine(policy, outages))
        , m_packing(*outcomeOf([] { return placement::packShapes(smallManifest()); }).value)
    {
    }

    /// Returns the first broken invariant, or an empty string.
    std::string run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            event();
            m_fixture.now += Duration(static_cast<Duration::rep>(m_random.below(20'000)));
            if (auto fault = decideAndCheck(); !fault.empty())
                return fault;
        }
        return drain();
    }

private:
    /// Without outages, quarantine is disabled too, so that shape slots keep their runs from the packing.
    static Policy withoutQuarantine(Policy policy, bool outages)
    {
        if (!outages)
            policy.quarantineFailures = ~0U;
        return policy;
    }

    std::uint64_t pick(std::uint64_t bound) { return m_random.below(bound); }

    void event()
    {
        auto kind = pick(10);
        if (kind < 5 && m_unfinished.size() < 60)
            submit();
        else if (kind < 8)
            endOne();
        else if (kind == 8)
            cancelOne();
        else if (m_outages)
            toggleWorker();
    }

    void submit()
    {
        static const char* const classes[] = { "checks", "proofs", "renders" };
        auto id = "j" + std::to_string(++m_submitted);
        auto spec = Fixture::job(id, 1U << pick(7), classes[pick(3)]);
        spec.checkpointable = pick(2) == 0;
        spec.restartable = pick(2) == 0;
        spec.checkpointTime = Duration(static_cast<Duration::rep>(pick(5000)));
        spec.declaredRunTime = Duration(static_cast<Duration::rep>(1 + pick(3'600'000)));
        if (pick(5) == 0) {
            spec.workspace = WorkspaceId("owner");
            spec.shape = ShapeId("wide");
            spec.accelerators = 1U << pick(6);
        }
        if (!m_fixture.scheduler.submit(spec, m_fixture.now))
            m_unfinished.insert(spec.id);
    }

    /// Ends a random gang: as requested if it was preempted, otherwise in a random way.
    void endOne()
    {
        if (m_fixture.gangs.empty())
            return;
        auto it
            = std::next(m_fixture.gangs.begin(), static_cast<std::ptrdiff_t>(pick(m_fixture.gangs.size())));
        auto id = it->first;
        auto preempted = m_fixture.preempts.find(id);
        static constexpr EndKind kinds[] = { EndKind::Completed, EndKind::Completed, EndKind::Completed,
            EndKind::Failed, EndKind::StartFailed, EndKind::WorkerLost, EndKind::Unknown };
        auto kind = kinds[pick(std::size(kinds))];
        if (preempted != m_fixture.preempts.end())
            kind = preempted->second.checkpoint ? EndKind::Checkpointed : EndKind::Stopped;
        if (kind == EndKind::Unknown)
            m_unknown.insert(it->second.job.id);
        m_fixture.endGang(id, kind, { it->second.run.first / 8 });
    }

    void cancelOne()
    {
        if (!m_unfinished.empty())
            m_fixture.scheduler.cancel(
                *std::next(m_unfinished.begin(), static_cast<std::ptrdiff_t>(pick(m_unfinished.size()))),
                m_fixture.now);
    }

    void toggleWorker()
    {
        auto worker = static_cast<std::uint32_t>(pick(16));
        if (m_down.erase(worker) > 0)
            return m_fixture.scheduler.workerUp(worker, m_fixture.now);
        if (m_down.size() >= 3)
            return;
        m_down.insert(worker);
        m_fixture.scheduler.workerDown(worker, m_fixture.now);
        for (const auto& gang : m_fixture.gangsOn(worker))
            m_fixture.endGang(gang, EndKind::WorkerLost, { worker });
    }

    std::string decideAndCheck()
    {
        for (const auto& decision : m_fixture.decide()) {
            if (const auto* start = std::get_if<StartGang>(&decision)) {
                if (auto fault = checkStart(*start); !fault.empty())
                    return fault;
            } else if (const auto* end = std::get_if<EndJob>(&decision)) {
                if (m_unfinished.erase(end->job) == 0)
                    return "job ended twice";
                if (end->neverRan && m_started.contains(end->job))
                    return "started job reported as never run";
            }
        }
        if (overlaps())
            return "accelerator in two gangs";
        if (!m_outages && shapeBlocked())
            return "shape can't be reclaimed";
        return jobLost() ? "accepted job lost" : "";
    }

    std::string checkStart(const StartGang& start)
    {
        m_started.insert(start.job.id);
        if (start.run.count != start.job.accelerators || start.run.end() > 128)
            return "gang has the wrong size or leaves the domain";
        if (m_unknown.contains(start.job.id))
            return "started again after an unknown outcome";
        for (auto worker : m_down) {
            if (start.run.overlaps({ worker * 8, 8 }))
                return "started on a worker that is down";
        }
        return "";
    }

    bool overlaps() const
    {
        std::vector<bool> taken(128, false);
        for (const auto& [id, start] : m_fixture.gangs) {
            for (auto at = start.run.first; at < start.run.end(); ++at) {
                if (taken[at])
                    return true;
                taken[at] = true;
            }
        }
        return false;
    }

    static bool revocable(const JobSpec& spec)
    {
        return spec.restartable || (spec.checkpointable && spec.checkpointTime <= Duration { 3000 });
    }

    /// True if a gang in the run of a shape is neither a shape job, nor revocable, nor stopping.
    bool shapeBlocked() const
    {
        for (const auto& placed : m_packing) {
            for (const auto& [id, start] : m_fixture.gangs) {
                bool allowed = start.job.shape || revocable(start.job) || m_fixture.preempts.contains(id);
                if (start.run.overlaps(placed.run) && !allowed)
                    return true;
            }
        }
        return false;
    }

    bool jobLost() const
    {
        return std::any_of(m_unfinished.begin(), m_unfinished.end(),
            [&](const JobId& job) { return !m_fixture.scheduler.explain(job, m_fixture.now).known; });
    }

    /// With all workers up and every gang completing, every job must end.
    std::string drain()
    {
        for (auto worker : m_down)
            m_fixture.scheduler.workerUp(worker, m_fixture.now);
        m_down.clear();
        for (int i = 0; i < 1000 && !m_unfinished.empty(); ++i) {
            m_fixture.endPreempted();
            m_fixture.endAll(EndKind::Completed);
            m_fixture.now += Duration { 60'000 };
            if (auto fault = decideAndCheck(); !fault.empty())
                return fault;
        }
        return m_unfinished.empty() ? ""
                                    : "job starved: " + m_unfinished.begin()->str() + ": "
                + m_fixture.textOf(m_unfinished.begin()->str());
    }

    Random m_random;
    bool m_outages;
    Fixture m_fixture;
    placement::Packing m_packing;
    std::set<JobId> m_unfinished; ///< Accepted and not ended.
    std::set<JobId> m_started;
    std::set<JobId> m_unknown;
    std::set<std::uint32_t> m_down;
    int m_submitted = 0;
};

} // namespace jujubereach::scheduling
