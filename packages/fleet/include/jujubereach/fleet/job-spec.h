// What a caller asks for: a job of steps, each of tasks of one size.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"

#include <string>
#include <vector>

namespace jujubereach::fleet {

using RouteId = Id<struct RouteTag>; ///< A queue of jobs.
using ServiceId = Id<struct ServiceTag>; ///< A pool of workers.
using Fence = Number<struct FenceTag>; ///< Rises with each owner; workers refuse orders with a lower one.
using Run = Number<struct RunTag>; ///< Counts the starts of one task, from 1.

/// Processor, memory and accelerators of a worker or a task.
struct Resources {
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    Resources& operator+=(const Resources& other);
    Resources& operator-=(const Resources& other);
    friend Resources operator+(Resources a, const Resources& b) { return a += b; }
    friend bool operator==(const Resources&, const Resources&) = default;
    /// Whether `other` fits in here.
    bool canFit(const Resources& other) const;
};

struct StepSpec {
    int count = 1;
    Resources resources; ///< Of one task.
    Duration estimate { 0 }; ///< Of one task; rough.
    std::vector<int> after; ///< Indices of earlier steps that must be done first.
    bool checkpointing = false;
    bool gang = false; ///< Tasks run only all together and end together.
    bool sameRack = false; ///< Runs several times as long over more than one rack.
    bool speculative = false; ///< Copies may run side by side.
    bool longRunning = false; ///< Runs until the job is cancelled.
    bool bestEffort = false; ///< Uses processor time that other tasks leave.
    std::string label; ///< That the worker must have; empty for any.
    std::string rack; ///< Where its data is; slower elsewhere. Empty for any.
    int maxPerWorker = 0; ///< Of one occurrence; 0 for any number.
    std::string image; ///< Tasks of one image behave alike.
    Duration tailTarget { 0 }; ///< Bound of the tail of its own callers' response times; 0 for none.
    int maxUnavailable = 0; ///< Tasks that the scheduler may take away at the same time; 0 when not stated.
};

struct JobSpec {
    std::string payload; ///< Handed to workers as it is.
    std::vector<StepSpec> steps;
    int repeatCount = 0; ///< Occurrences; 0 for a job that runs once, now.
    WallTime firstRun; ///< Of occurrence 0.
    Duration interval { 0 };
};

/// A task of a job: one of `count` of a step of an occurrence.
struct TaskId {
    JobId job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

std::string toString(const TaskId& task);
/// Of the step that the task belongs to.
std::string stepName(const TaskId& task);

} // namespace jujubereach::fleet
