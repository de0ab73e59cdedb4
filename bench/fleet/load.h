// Synthetic loads of gangs, urgent and bulk jobs, drawn from a seed and shaped like those of the heaviest
// days.
#pragma once

#include "jujubereach/base/random.h"
#include "jujubereach/fleet/job-spec.h"

#include <string>
#include <vector>

namespace jujubereach::bench {

using fleet::JobSpec;

/// Jobs of one priority. Sizes are lognormal, truncated at six times their mean.
struct ClassLoad {
    int priority = 0;
    double jobsPerSecond = 0;
    double meanUtility = 1; ///< Utility of a job of mean work that is completed in time.
    double lateUtilityShare = 0; ///< Share of its utility that a late job yields.
    double meanTaskMs = 0; ///< Mean run time of a task.
    double meanTasks = 1; ///< Mean number of tasks in a job.
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::vector<std::int64_t> accelerators; ///< Per task; one of these for a job, drawn uniformly.
    bool gang = false;
    double sameRackShare = 0; ///< Share of jobs whose gang asks for a single rack.
    double checkpointShare = 0; ///< Share of jobs that checkpoint.
    double stretch = 1;
    Duration objective { 0 };
    double estimateError = 0; ///< Largest relative error of the estimate, in either direction.
};

/// Multiplies the arrival rate of one priority for some time.
struct Burst {
    int priority = 0;
    Duration from { 0 };
    Duration until { 0 };
    double factor = 1;
};

struct Load {
    std::string name;
    int racks = 1;
    int workersPerRack = 8;
    fleet::Resources worker;
    std::vector<ClassLoad> classes;
    std::vector<Burst> bursts;
    Duration length { 30'000 };
};

struct Arrival {
    Duration at { 0 };
    int classIndex = 0;
    JobSpec spec;
    std::vector<Duration> taskTimes; ///< Actual run times of the tasks of its only step.
};

/// Sorted by time; deterministic for a seed.
std::vector<Arrival> arrivalsOf(const Load& load, std::uint64_t seed);

std::vector<Load> loads();

} // namespace jujubereach::bench
