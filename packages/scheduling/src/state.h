// State shared by the parts of the scheduler: configuration, records and occupancy.
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
    /// Length of the longest run outside the packed shapes if all workers are up.
    std::uint32_t longestUnprotected = 0;
    std::map<ClassId, ClassState> classes;
    std::map<WorkspaceId, WorkspaceState> workspaces;

    Occupancy occupancy;
    std::vector<bool> workerUp; ///< As reported by the owner; a quarantined worker may be up.
    std::vector<bool> workerReported; ///< Has been up at least once since this owner started.
    bool shapeSlotsNeedRepair = true; ///< A slot may lack a run that can be reclaimed.
    WorkerHealth health;
    RunTimePredictor runTimePredictor;

    std::unordered_map<JobId, std::unique_ptr<Job>> jobs; ///< Queued, claimed or started.
    std::unordered_map<GangId, std::unique_ptr<Gang>> gangs; ///< All that hold accelerators.
    Lanes lanes;
    std::map<std::uint64_t, Job*> queuedShapeJobs; ///< Queued jobs that request a shape, by arrival.
    std::list<ShapeSlot> shapeSlots;
    std::list<Claim> claims;
    std::list<Reservation> reservations;
    std::multimap<TimePoint, GangId> deadlines; ///< Of checkpoints in progress; stale entries are skipped.
    std::vector<Decision> pendingDecisions; ///< Not returned by decide() yet.
    std::uint32_t nonRevocableUsed = 0; ///< Accelerators of non-revocable gangs outside shape slots.
    std::uint64_t nextSequence = 1;
    mutable std::uint64_t stepCount = 0; ///< Steps of scans and searches.

    bool urgent(const Job& job) const;
    void enqueue(Job* job, TimePoint now);
    void dequeue(Job* job, TimePoint now);
    /// Adds a gang's accelerators to the usage of its class and workspace.
    void addUsage(const Gang& gang);
    void subtractUsage(const Gang& gang);
    Duration predictedRemaining(const JobSpec& spec) const;
    TimePoint predictedEnd(const Gang& gang, TimePoint now) const;
    void setUsable(std::uint32_t worker);
    /// Applies a new number of accelerators; gangs beyond the new end keep running until they end.
    void resize(std::uint32_t accelerators);
    /// Re-sorts the queued jobs of a kind after its learned ratio changed.
    void updatePredictions(const WorkspaceId& workspace, const std::string& kind);
};

/// True if the job can release its accelerators within the reclaim bound: it can be checkpointed in time, or
/// stopped because it is restartable.
bool revocable(const JobSpec& spec, const manifest::Limits& limits);
/// True if a checkpoint of the job fits within the reclaim bound.
bool checkpointsInTime(const JobSpec& spec, const manifest::Limits& limits);
/// True if the gang may be preempted for another job.
bool preemptible(const Gang& gang);

} // namespace jujubereach::scheduling
