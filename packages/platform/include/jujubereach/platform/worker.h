// A worker behind one hook: a sync takes or renews its lease, carries commands and answers its tasks.
//
// What is assumed of a worker, and all that exclusion rests on:
// - it grants its lease to one holder at a time; another holder is granted only after the lease lapsed
//   or was released (a sync with ttl 0), and only with an epoch above every epoch granted before;
// - it carries out commands only for the current holder and epoch;
// - a hold that is not started within its ttl, and a running task that is not renewed within its lease,
//   end by themselves and free their accelerators;
// - a gang id that has ended on it never runs on it again.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jujubereach::platform {

enum class WorkerOp {
    Hold, ///< Reserves accelerators for a gang; lapses after `lease`.
    Start, ///< Starts a held gang's task.
    Renew, ///< Extends the lease of a running task to `lease` from now.
    Checkpoint, ///< Saves the progress, then ends the task as Checkpointed.
    Throttle, ///< Runs the task at `percent` of its speed.
    Stop, ///< Ends a held or running task at once.
    Forget, ///< Drops an ended task from the reports.
};

/// All commands are idempotent by gang.
struct WorkerCommand {
    WorkerOp op = WorkerOp::Hold;
    GangId gang;
    std::vector<std::uint32_t> accelerators; ///< Hold: indexes on this worker.
    Duration lease { 0 }; ///< Hold, Start, Renew.
    Duration runTime { 0 }; ///< Start: work left, for the stand-in; a real worker ignores it.
    Duration checkpointTime { 0 }; ///< Start: time that a checkpoint takes, likewise.
    std::uint32_t percent = 100; ///< Throttle.
    std::string label; ///< Hold: opaque; reported back so that a new owner can rebuild the job.
};

struct WorkerSync {
    std::string holder; ///< "<host>#<incarnation>".
    Epoch epoch;
    Duration ttl { 0 }; ///< Of the worker's lease; 0 releases it.
    std::vector<WorkerCommand> commands;
    bool labels = true; ///< Asks for the labels of tasks, which are most of a reply's bytes.
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
    Duration progress { 0 }; ///< Run time saved or done; lags behind.
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
    Refused, ///< Another holder or a stale epoch; no command was carried out.
    Unreachable, ///< Provably not sent.
    Unknown, ///< Sent, no whole reply: commands may have been carried out.
};

struct WorkerReply {
    SyncStatus status = SyncStatus::Unknown;
    std::string holder; ///< Current holder, also when refused.
    Epoch epoch; ///< Highest epoch granted so far.
    Duration leaseLeft { 0 };
    std::vector<CommandResult> results;
    std::vector<TaskReport> tasks; ///< Every task not yet forgotten; present when granted or refused.
};

/// Blocking; made by traffic threads only.
using WorkerClient = std::function<WorkerReply(const std::string& address, const WorkerSync& sync)>;

/// Calls workers over HTTP with kept connections. `caller` is sent with each call.
WorkerClient httpWorkerClient(Duration timeout, const std::string& caller);

} // namespace jujubereach::platform
