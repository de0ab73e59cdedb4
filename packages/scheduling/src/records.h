// The scheduler's records: jobs, gangs, cells of guaranteed shapes, claims and reservations.
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
    std::uint64_t sequence = 0; ///< Order of arrival; kept when the job is queued again.
    TimePoint queuedSince; ///< Start of the present stay in the queue.
    Duration waitedBefore { 0 }; ///< In earlier stays.
    Duration predicted { 0 }; ///< Learned run time that is left.
    bool revocable = false; ///< Gives its accelerators back within the reclaim bound.
    bool cancelled = false;
    bool started = false; ///< A StartGang was given out, here or by an earlier owner.
    std::uint32_t failures = 0;
    std::vector<std::uint32_t> failedWorkers; ///< Avoided while another run fits.
    TimePoint lastFailure; ///< Of those counted.
    Gang* gang = nullptr; ///< Set while a gang of the job holds accelerators.
    Claim* claim = nullptr; ///< Set while a run is being cleared for the job.
    bool queued = false; ///< True exactly while the job stands in a lane.

    /// Whole time in the queue; running does not count.
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
    ShapeSlot* shapeSlot
        = nullptr; ///< The guaranteed shape that the gang calls for; such a gang is not preempted.
    bool probe = false; ///< Runs alone on a worker that was set aside.
    bool checkpointing = false; ///< A checkpoint was asked for.
    std::optional<TimePoint> stopDeadline; ///< When a checkpoint that is not done is given up.
    JobId beneficiary; ///< For whom the gang is preempted.
};

/// One instance of a guaranteed shape and the run that is kept for it.
struct ShapeSlot {
    WorkspaceId workspace;
    ShapeId shape;
    std::uint32_t instance = 0;
    Run run;
    Run packedRun; ///< Where the packing puts it; a cell elsewhere splits the line, so it returns.
    bool placed = false; ///< False while no run can be kept, because too many workers are down.
    Gang* holder = nullptr; ///< The owner's gang, within `run`.
    Claim* claim = nullptr;
};

/// A run that is being cleared for a job. No other gang starts in it.
struct Claim {
    Job* job = nullptr;
    Run run;
    ShapeSlot* shapeSlot = nullptr; ///< Set when the job calls for a shape.
    TimePoint since;
};

/// A run in which only lendable gangs start, so that the gang it is kept for is not delayed.
struct Reservation {
    Job* job = nullptr;
    Run run;
    TimePoint expected; ///< When the last gang that can't be preempted is predicted to end.
};

} // namespace jujubereach::scheduling
