// What an owner and a worker say to each other.
#pragma once

#include "jujubereach/fleet/job-spec.h"

#include <functional>
#include <optional>

namespace jujubereach::fleet {

/// What a worker tells of itself through the store.
struct WorkerReport {
    WorkerId id;
    ServiceId service;
    std::string address; ///< "ip:port".
    ZoneId zone;
    std::int64_t incarnation = 0; ///< Tells one life from the next under the same id.
    bool draining = false;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
};

using WorkerTime = Number<struct WorkerTimeTag>; ///< Milliseconds on the worker's own clock.

struct StartOrder {
    TaskId task;
    Run run;
    std::string payload;
    WorkerTime deadline; ///< Of everything that runs on the worker, unless it is later already.
    Fence fence;
    std::string checkpoint; ///< Empty for a start from the beginning.
    std::string ticket; ///< From the advisory service, where the queue has one.
};

struct StopOrder {
    TaskId task;
    Run run;
    Fence fence;
};

struct HoldOrder {
    Fence fence;
    std::uint64_t acknowledged = 0; ///< Ends up to this number are forgotten by the worker.
    std::optional<WorkerTime> deadline; ///< Extends what runs; without one the call only looks.
    Duration wait { 0 }; ///< For an end.
};

enum class OrderFate {
    Done,
    Fenced, ///< The worker has seen a higher fence.
    Old, ///< This run or a higher one has ended or was stopped there.
    Late, ///< The deadline has passed by the worker's clock.
    NoRoom,
    NoTicket,
    OtherLife, ///< The worker was born again.
    Refused, ///< Not done, for the worker's or the order's fault.
    NotSent, ///< Surely not done: no connection.
    Unknown, ///< No answer: done, not done, or to be done later.
};
const char* nameOf(OrderFate fate);

struct RunningTask {
    TaskId task;
    Run run;
    std::string checkpoint;
    int percent = 0;
    int load = 0; ///< Tail in milliseconds of a task with a tail target, else processor use.
};

enum class EndKind { Done, Failed, Stopped, Lapsed, Broken, Alone };
const char* nameOf(EndKind kind);

struct EndedTask {
    std::uint64_t number = 0; ///< Rises with each end in one life.
    TaskId task;
    Run run;
    EndKind kind = EndKind::Lapsed;
    std::string checkpoint;
};

struct OrderAnswer {
    OrderFate fate = OrderFate::Unknown;
    WorkerTime clock; ///< 0 when not told.
    std::int64_t incarnation = 0; ///< 0 when not told.
    std::vector<RunningTask> running; ///< Of a hold.
    std::vector<EndedTask> ended;
    bool listsComplete = true; ///< Both lists of a hold were read without gaps: what they lack is not there.
};
using OrderDone = std::function<void(OrderAnswer)>;

/// Each function calls `done` once, later, from the loop.
struct WorkerCalls {
    std::function<void(const WorkerReport&, StartOrder, Duration timeout, OrderDone)> start;
    std::function<void(const WorkerReport&, StopOrder, Duration timeout, OrderDone)> stop;
    std::function<void(const WorkerReport&, HoldOrder, Duration timeout, OrderDone)> hold;
};

} // namespace jujubereach::fleet
