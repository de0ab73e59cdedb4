// Job specification: a job consists of steps, a step of tasks with equal resource requirements.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"

#include <string>
#include <vector>

namespace jujubereach::fleet {

using RouteId = Id<struct RouteTag>; ///< A queue of jobs.
using ServiceId = Id<struct ServiceTag>; ///< A pool of workers.
/// Fencing token, higher for each new owner; workers refuse orders with a lower one.
using Fence = Number<struct FenceTag>;
using Run = Number<struct RunTag>; ///< Counts the starts of one task, from 1.

/// Processor, memory and accelerators that a worker has or a task needs.
struct Resources {
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    Resources& operator+=(const Resources& other);
    Resources& operator-=(const Resources& other);
    friend Resources operator+(Resources a, const Resources& b) { return a += b; }
    friend bool operator==(const Resources&, const Resources&) = default;
    /// Whether each amount is at least that of `other`.
    bool canFit(const Resources& other) const;
};

struct StepSpec {
    int count = 1;
    Resources resources; ///< Needed by one task.
    Duration estimate { 0 }; ///< Rough run time of one task.
    std::vector<int> after; ///< Indices of the steps that must be done first.
    bool checkpointing = false;
    bool gang = false; ///< All tasks start and end together.
    bool sameRack = false; ///< A gang spread over several racks takes several times as long.
    bool speculative = false; ///< Several runs of one task may overlap.
    bool longRunning = false; ///< Runs until the job is cancelled.
    bool bestEffort = false; ///< Uses only processor time that other tasks leave idle.
    std::string label; ///< Label required of the worker; empty for none.
    std::string rack; ///< Rack that stores the input; tasks run slower on others. Empty for any.
    int maxPerWorker = 0; ///< Limit on tasks of one occurrence on one worker; 0 for no limit.
    std::string image; ///< Tasks with the same image have similar resource use.
    Duration tailTarget { 0 }; ///< Target for the tail latency of requests served by the task; 0 for none.
    int maxUnavailable = 0; ///< Tasks that the scheduler may stop at the same time; 0 when not stated.
};

struct JobSpec {
    std::string payload; ///< Opaque; passed to workers unchanged.
    std::vector<StepSpec> steps;
    int repeatCount = 0; ///< Number of occurrences; 0 for a job that runs once, at once.
    WallTime firstRun; ///< Due time of occurrence 0.
    Duration interval { 0 }; ///< Between the due times of two occurrences.
};

/// Identifies one of the `count` tasks of a step in one occurrence of a job.
struct TaskId {
    JobId job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

std::string toString(const TaskId& task);
/// Name of the step that the task belongs to.
std::string stepName(const TaskId& task);

} // namespace jujubereach::fleet
