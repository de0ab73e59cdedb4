// What the parts of the scheduler share: configuration, records and the line.
#pragma once

#include "health.h"
#include "lanes.h"
#include "occupancy.h"
#include "records.h"
#include "runtimes.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace jujubereach::scheduling {

struct ClassState {
    manifest::WorkClass config;
    std::uint32_t used = 0; ///< Accelerators of gangs that are not stopping.
    bool listed = true; ///< False once the manifest dropped it.
};

struct WorkspaceState {
    manifest::Workspace config;
    std::uint32_t used = 0; ///< Accelerators of gangs that are not stopping.
    std::size_t queued = 0; ///< Jobs in lanes.
    bool listed = true; ///< False once the manifest dropped it.
};

struct State {
    State(const Policy& settings, std::uint32_t accelerators, std::uint32_t perWorker);

    Policy policy;
    manifest::Limits limits;
    ZoneId zone;
    DomainId domain;
    std::uint32_t total = 0; ///< Accelerators that the manifest lists.
    std::uint32_t longestUnprotected = 0; ///< Longest run outside the packed shapes, all workers up.
    std::map<ClassId, ClassState> classes;
    std::map<WorkspaceId, WorkspaceState> workspaces;

    Occupancy occupancy;
    std::vector<bool> workerUp; ///< By the owner's word; a worker set aside may be up.
    std::vector<bool> workerReported; ///< Was up once.
    bool shapeSlotsNeedRepair = true; ///< A cell may be without a run that can be reclaimed.
    WorkerHealth health;
    RunTimes runTimes;

    std::unordered_map<JobId, std::unique_ptr<Job>> jobs; ///< Queued, claimed or started.
    std::unordered_map<GangId, std::unique_ptr<Gang>> gangs; ///< All that hold accelerators.
    Lanes lanes;
    std::map<std::uint64_t, Job*> queuedShapeJobs; ///< Queued jobs that call for a shape, by arrival.
    std::list<ShapeSlot> shapeSlots;
    std::list<Claim> claims;
    std::list<Reservation> reservations;
    std::multimap<TimePoint, GangId> deadlines; ///< Of checkpoints under way; stale ones are skipped.
    std::vector<Decision> pendingDecisions; ///< Not given out yet.
    std::uint32_t nonRevocableUsed = 0; ///< Accelerators outside cells of gangs that are not lendable.
    std::uint64_t nextSequence = 1;
    mutable std::uint64_t stepCount = 0; ///< Steps of scans and searches.

    bool urgent(const Job& job) const;
    void enqueue(Job* job, TimePoint now);
    void dequeue(Job* job, TimePoint now);
    /// Counts a gang's accelerators for its class and workspace.
    void addUsage(const Gang& gang);
    void subtractUsage(const Gang& gang);
    Duration predictedRemaining(const JobSpec& spec) const;
    TimePoint predictedEnd(const Gang& gang, TimePoint now) const;
    void setUsable(std::uint32_t worker);
    /// Takes the manifest's new number of accelerators; gangs beyond its end stay until they end.
    void resize(std::uint32_t accelerators);
    /// Sorts the queued jobs of a kind again after its learned ratio changed.
    void updatePredictions(const WorkspaceId& workspace, const std::string& kind);
};

/// True when the job gives accelerators back within the bound: by a checkpoint or by being stopped.
bool revocable(const JobSpec& spec, const manifest::Limits& limits);
/// True when its progress can be saved within the bound.
bool checkpointsInTime(const JobSpec& spec, const manifest::Limits& limits);
/// May be preempted for somebody else.
bool preemptible(const Gang& gang);

} // namespace jujubereach::scheduling
