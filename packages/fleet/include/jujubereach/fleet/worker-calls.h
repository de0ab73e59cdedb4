// Messages between an owner and a worker.
#pragma once

#include "jujubereach/fleet/job-spec.h"

#include <functional>
#include <optional>

namespace jujubereach::fleet {

/// A worker's entry in the store.
struct WorkerReport {
    WorkerId id;
    ServiceId service;
    std::string address; ///< "ip:port".
    ZoneId zone;
    std::int64_t incarnation = 0; ///< Rises with each restart under the same id.
    bool draining = false;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    Duration leavesIn { 0 }; ///< Of a draining worker: the least time until it leaves; 0 if not stated.
    Duration coldFor { 0 }; ///< Time for which it still runs more slowly, after its start.
};

using WorkerTime = Number<struct WorkerTimeTag>; ///< Milliseconds on the worker's own clock.

struct StartOrder {
    TaskId task;
    Run run;
    std::string payload;
    WorkerTime deadline; ///< Extends the lease of all runs on the worker; never shortens it.
    Fence fence;
    std::string checkpoint; ///< Empty to start from the beginning.
    std::string ticket; ///< From the advisory service, if the queue has one.
};

struct StopOrder {
    TaskId task;
    Run run;
    Fence fence;
};

/// From about 100 ms after its arrival on, the run works at this share of its speed. Runs start at 100.
struct PaceOrder {
    TaskId task;
    Run run;
    int percent = 100;
    Fence fence;
};

/// Polls a worker for its runs and ends, acknowledges ends and may renew the lease.
struct HoldOrder {
    Fence fence;
    std::uint64_t acknowledged = 0; ///< The worker drops ends up to this number.
    std::optional<WorkerTime> deadline; ///< New end of the lease; unset to poll without renewal.
    Duration wait { 0 }; ///< Long-poll time: how long to wait for an end.
};

enum class OrderFate {
    Done,
    Fenced, ///< The worker has seen a higher fence.
    Old, ///< This run or a higher one has already ended or been stopped on the worker.
    Late, ///< The deadline has already passed by the worker's clock.
    NoRoom,
    NoTicket,
    OtherLife, ///< Another incarnation of the worker answered.
    Refused, ///< Not executed because of a fault of the worker or the order.
    NotSent, ///< Not executed: no connection.
    Unknown, ///< No answer: the order may have been executed or may be executed later.
};
const char* nameOf(OrderFate fate);

struct RunningTask {
    TaskId task;
    Run run;
    std::string checkpoint;
    int percent = 0;
    int load = 0; ///< Tail latency in milliseconds for a task with a tail target, else processor use.
};

enum class EndKind { Done, Failed, Stopped, Lapsed, Broken, Alone };
const char* nameOf(EndKind kind);

struct EndedTask {
    std::uint64_t number = 0; ///< Sequence number within one incarnation.
    TaskId task;
    Run run;
    EndKind kind = EndKind::Lapsed;
    std::string checkpoint;
};

struct OrderAnswer {
    OrderFate fate = OrderFate::Unknown;
    WorkerTime clock; ///< 0 if not reported.
    std::int64_t incarnation = 0; ///< 0 if not reported.
    std::vector<RunningTask> running; ///< Answer to a hold.
    std::vector<EndedTask> ended;
    /// Both lists of a hold were decoded in full: a missing task is not on the worker.
    bool listsComplete = true;
};
using OrderDone = std::function<void(OrderAnswer)>;

/// Each function calls `done` exactly once, asynchronously, on the event loop.
struct WorkerCalls {
    std::function<void(const WorkerReport&, StartOrder, Duration timeout, OrderDone)> start;
    std::function<void(const WorkerReport&, StopOrder, Duration timeout, OrderDone)> stop;
    std::function<void(const WorkerReport&, HoldOrder, Duration timeout, OrderDone)> hold;
    /// Empty if workers cannot be paced: best-effort and latency-sensitive tasks then share no worker.
    std::function<void(const WorkerReport&, PaceOrder, Duration timeout, OrderDone)> pace;
};

} // namespace jujubereach::fleet
