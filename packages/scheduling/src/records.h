// The scheduler's records: jobs, gangs, slots of guaranteed shapes, claims and reservations.
#pragma once

#include "jujubereach/scheduling/scheduler.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace jujubereach::scheduling {

struct Gang;
struct Claim;
struct ShapeSlot;

/// A queued or started job.
struct Job {
    JobSpec spec;
    std::uint64_t sequence = 0; ///< Order of arrival; kept when the job is requeued.
    TimePoint queuedSince; ///< When the job last entered the queue.
    Duration waitedBefore { 0 }; ///< Time spent in the queue before `queuedSince`.
    Duration predicted { 0 }; ///< Predicted remaining run time.
    bool revocable = false; ///< Can release its accelerators within the reclaim bound.
    bool cancelled = false;
    bool started = false; ///< A StartGang was issued, by this owner or an earlier one.
    std::uint32_t failures = 0;
    /// Workers where the job failed; avoided while another run fits.
    std::vector<std::uint32_t> failedWorkers;
    TimePoint lastFailure; ///< Time of the most recent failure.
    Gang* gang = nullptr; ///< Set while a gang of the job holds accelerators.
    Claim* claim = nullptr; ///< Set while a run is being cleared for the job.
    bool queued = false; ///< True exactly while the job is in a lane.

    /// Total time in the queue; time spent running is excluded.
    Duration waited(TimePoint now) const
    {
        return waitedBefore + (queued ? now - queuedSince : Duration { 0 });
    }
};

enum class GangState { Starting, Running, Stopping };

/// One attempt of one job; holds every accelerator of its run until gangEnded().
struct Gang {
    GangId id;
    Job* job = nullptr;
    Run run;
    GangState state = GangState::Starting;
    TimePoint started;
    std::optional<TimePoint> runningSince;
    /// Slot of the guaranteed shape that the gang uses; such a gang is not preempted.
    ShapeSlot* shapeSlot = nullptr;
    bool probe = false; ///< Tests a quarantined worker; no other gang runs there.
    bool checkpointing = false; ///< A checkpoint was requested.
    /// When an unfinished checkpoint is abandoned and the gang stopped.
    std::optional<TimePoint> stopDeadline;
    JobId beneficiary; ///< Job that the gang is preempted for.
};

/// One instance of a guaranteed shape and the run kept for it.
struct ShapeSlot {
    WorkspaceId workspace;
    ShapeId shape;
    std::uint32_t instance = 0;
    Run run;
    /// Run from the packing. A slot elsewhere fragments the domain, so it moves back when possible.
    Run packedRun;
    bool placed = false; ///< False while no run is kept, such as when too many workers are down.
    Gang* holder = nullptr; ///< Gang of the owning workspace that uses the slot, within `run`.
    Claim* claim = nullptr;
};

/// A run that is being cleared for a job; no other gang starts in it.
struct Claim {
    Job* job = nullptr;
    Run run;
    ShapeSlot* shapeSlot = nullptr; ///< Set when the job requests a shape.
    TimePoint since;
};

/// A run kept for a waiting job. Only revocable gangs start in it, so that they don't delay the job.
struct Reservation {
    Job* job = nullptr;
    Run run;
    TimePoint expected; ///< Predicted end of the last gang in the run that can't be preempted.
};

} // namespace jujubereach::scheduling
