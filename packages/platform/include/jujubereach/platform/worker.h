// Interface of a worker: a sync acquires or renews its lease, sends commands and returns its tasks.
//
// Mutual exclusion depends on these assumptions about a worker, and on nothing else:
// - it grants its lease to one holder at a time; another holder gets it only after the lease has expired
//   or was released (a sync with ttl 0), and only with an epoch above every epoch granted before;
// - it executes commands only for the current holder and epoch;
// - a hold that is not started within its ttl, and a running task that is not renewed within its lease,
//   end without a command and free their accelerators;
// - a gang whose task has ended on a worker never runs on that worker again.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jujubereach::platform {

enum class WorkerOp {
    Hold, ///< Reserves accelerators for a gang; expires after `lease`.
    Start, ///< Starts a held gang's task.
    Renew, ///< Extends the lease of a running task to `lease` from now.
    Checkpoint, ///< Saves a checkpoint, then ends the task as Checkpointed.
    Throttle, ///< Runs the task at `percent` of its speed.
    Stop, ///< Ends a held or running task at once.
    Forget, ///< Removes an ended task from the reports.
};

/// Every command is idempotent per gang.
struct WorkerCommand {
    WorkerOp op = WorkerOp::Hold;
    GangId gang;
    std::vector<std::uint32_t> accelerators; ///< Hold: indexes on this worker.
    Duration lease { 0 }; ///< Hold, Start, Renew.
    Duration runTime { 0 }; ///< Start: remaining run time, for stand-ins; a real worker ignores it.
    Duration checkpointTime { 0 }; ///< Start: duration of a checkpoint, for stand-ins only.
    std::uint32_t percent = 100; ///< Throttle.
    std::string label; ///< Hold: opaque; returned in reports so that a new owner can reconstruct the job.
};

struct WorkerSync {
    std::string holder; ///< "<host>#<incarnation>".
    Epoch epoch;
    Duration ttl { 0 }; ///< Of the worker's lease; 0 releases it.
    std::vector<WorkerCommand> commands;
    bool labels = true; ///< Requests the labels of tasks, which take most of a reply's bytes.
};

enum class TaskState { Held, Running, Checkpointing, Checkpointed, Completed, Failed, Stopped, Lapsed };

inline bool hasEnded(TaskState state)
{
    return state >= TaskState::Checkpointed;
}

struct TaskReport {
    GangId gang;
    TaskState state = TaskState::Held;
    std::vector<std::uint32_t> accelerators;
    Duration progress { 0 }; ///< Run time completed or checkpointed; may be out of date.
    Duration leaseLeft { 0 };
    std::string label; ///< Empty unless the sync asked for labels.
};

enum class CommandOutcome { Done, Refused };

struct CommandResult {
    GangId gang;
    WorkerOp op = WorkerOp::Hold;
    CommandOutcome outcome = CommandOutcome::Done;
    std::string reason; ///< Of a refusal, such as "accelerator taken" or "gang ended".
};

enum class SyncStatus {
    Granted,
    Refused, ///< Another holder or a stale epoch; no command was executed.
    Unreachable, ///< Provably not sent.
    Unknown, ///< Sent, no complete reply: commands may have been executed.
};

struct WorkerReply {
    SyncStatus status = SyncStatus::Unknown;
    std::string holder; ///< Current holder, also when refused.
    Epoch epoch; ///< Highest epoch granted so far.
    Duration leaseLeft { 0 };
    bool repeated = false; ///< The sync was sent twice, and the other copy may have been executed too.
    std::vector<CommandResult> results;
    std::vector<TaskReport> tasks; ///< Every task not yet removed by Forget; set when granted or refused.
};

/// Blocking; made by traffic threads only.
using WorkerClient = std::function<WorkerReply(const std::string& address, const WorkerSync& sync)>;

/// Calls workers over HTTP with pooled connections. `caller` is sent with each call.
WorkerClient httpWorkerClient(Duration timeout, const std::string& caller);

} // namespace jujubereach::platform
