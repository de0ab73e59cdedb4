// A domain of 2 racks with a simulated owner, which records the decisions and reports the ends of gangs.
#pragma once

#include "jujubereach/scheduling/scheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace jujubereach::scheduling {

/// 16 workers with 8 accelerators each. Workspace "owner" has shape "wide" (32), "guest" has none.
inline manifest::Manifest smallManifest()
{
    manifest::Manifest m;
    m.zones = { { ZoneId("z"), RegionId("r"),
        { { DomainId("d"), { { RackId("r1"), 8, 8 }, { RackId("r2"), 8, 8 } } } } } };
    m.classes = { { ClassId("checks"), 0, true, 0 }, { ClassId("proofs"), 1, false, 0 },
        { ClassId("renders"), 2, false, 0 } };
    m.workspaces = { { WorkspaceId("owner"), 1, 0, { { ShapeId("wide"), ZoneId("z"), 32, 1 } } },
        { WorkspaceId("guest"), 1, 0, {} } };
    return m;
}

struct Fixture {
    explicit Fixture(const manifest::Manifest& manifest = smallManifest(), const Policy& policy = {},
        std::uint32_t workersUp = 16)
        : scheduler(manifest, ZoneId("z"), DomainId("d"), policy)
    {
        for (std::uint32_t worker = 0; worker < workersUp; ++worker)
            scheduler.workerUp(worker, now);
    }

    /// Checkpointable in 1 s; runs for 10 min.
    static JobSpec job(
        const std::string& id, std::uint32_t accelerators, const std::string& workClass = "renders")
    {
        JobSpec spec;
        spec.id = JobId(id);
        spec.workspace = WorkspaceId("guest");
        spec.workClass = ClassId(workClass);
        spec.kind = "render";
        spec.accelerators = accelerators;
        spec.declaredRunTime = Duration { 600'000 };
        spec.checkpointTime = Duration { 1000 };
        spec.checkpointable = true;
        return spec;
    }

    /// Neither checkpointable nor restartable.
    static JobSpec nonRevocableJob(
        const std::string& id, std::uint32_t accelerators, const std::string& workClass = "renders")
    {
        auto spec = job(id, accelerators, workClass);
        spec.checkpointable = false;
        return spec;
    }

    static JobSpec restartable(const std::string& id, std::uint32_t accelerators)
    {
        auto spec = nonRevocableJob(id, accelerators);
        spec.restartable = true;
        return spec;
    }

    static JobSpec shapeJob(const std::string& id, std::uint32_t accelerators)
    {
        auto spec = nonRevocableJob(id, accelerators, "proofs");
        spec.workspace = WorkspaceId("owner");
        spec.shape = ShapeId("wide");
        return spec;
    }

    void submit(const JobSpec& spec) { CPPUNIT_ASSERT(!scheduler.submit(spec, now)); }

    std::vector<Decision> decide()
    {
        auto decisions = scheduler.decide(now);
        for (const auto& decision : decisions) {
            if (const auto* start = std::get_if<StartGang>(&decision)) {
                gangs[start->gang] = *start;
                starts[start->job.id] = *start;
                scheduler.gangRunning(start->gang, now);
            } else if (const auto* preempt = std::get_if<PreemptGang>(&decision)) {
                preempts[preempt->gang] = *preempt;
            } else if (const auto* end = std::get_if<EndJob>(&decision)) {
                ends[end->job] = *end;
            }
        }
        return decisions;
    }

    void endGang(const GangId& gang, EndKind kind, std::vector<std::uint32_t> faultyWorkers = {},
        Duration progress = {}, std::uint32_t workerLosses = 0)
    {
        auto entry = gangs.extract(gang);
        preempts.erase(gang);
        scheduler.gangEnded({ gang, kind, progress, std::move(faultyWorkers), workerLosses }, now);
    }
    void end(const std::string& job, EndKind kind, Duration progress = {})
    {
        endGang(startOf(job).gang, kind, {}, progress);
    }
    void endAll(EndKind kind)
    {
        while (!gangs.empty())
            endGang(gangs.begin()->first, kind);
    }
    /// Ends every preempted gang as requested; returns their number.
    std::size_t endPreempted()
    {
        auto count = preempts.size();
        while (!preempts.empty()) {
            auto [gang, preempt] = *preempts.begin();
            endGang(gang, preempt.checkpoint ? EndKind::Checkpointed : EndKind::Stopped);
        }
        return count;
    }

    bool runs(const std::string& job) const
    {
        auto found = starts.find(JobId(job));
        return found != starts.end() && gangs.contains(found->second.gang);
    }
    const StartGang& startOf(const std::string& job) const { return starts.at(JobId(job)); }
    Run runOf(const std::string& job) const { return startOf(job).run; }
    const PreemptGang* preempted(const std::string& job) const
    {
        auto found = preempts.find(startOf(job).gang);
        return found == preempts.end() ? nullptr : &found->second;
    }
    bool ended(const std::string& job) const { return ends.contains(JobId(job)); }
    const EndJob& endOf(const std::string& job) const { return ends.at(JobId(job)); }
    std::string textOf(const std::string& job) const { return scheduler.explain(JobId(job), now).text; }
    std::vector<GangId> gangsOn(std::uint32_t worker) const
    {
        std::vector<GangId> found;
        for (const auto& [id, start] : gangs) {
            if (start.run.overlaps({ worker * 8, 8 }))
                found.push_back(id);
        }
        return found;
    }

    TimePoint now {};
    Scheduler scheduler;
    std::map<GangId, StartGang> gangs; ///< Gangs that hold accelerators.
    std::map<JobId, StartGang> starts; ///< Latest start of each job.
    std::map<GangId, PreemptGang> preempts; ///< Pending: their gangs have not ended yet.
    std::map<JobId, EndJob> ends;
};

} // namespace jujubereach::scheduling
