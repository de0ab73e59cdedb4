// Loads of gangs, urgent and bulk work, drawn from a seed: the shapes that the heaviest days have.
#pragma once

#include "jujubereach/base/random.h"
#include "jujubereach/fleet/job-spec.h"

#include <string>
#include <vector>

namespace jujubereach::bench {

using fleet::JobSpec;

/// Jobs of one priority. Sizes are lognormal around their means, cut at six times.
struct ClassLoad {
    int priority = 0;
    double jobsPerSecond = 0;
    double meanUtility = 1; ///< Of a job of mean work that is done in time.
    double lateUtilityShare = 0; ///< Of its worth, for one that is done late.
    double meanTaskMs = 0; ///< Of one task.
    double meanTasks = 1; ///< Tasks of a job.
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::vector<std::int64_t> accelerators; ///< Drawn evenly; one number for a job.
    bool gang = false;
    double sameRackShare = 0; ///< Share of jobs whose gang wants one rack.
    double checkpointShare = 0; ///< Share of jobs that checkpoint.
    double stretch = 1;
    Duration objective { 0 };
    double estimateError = 0; ///< The estimate is off by up to this factor, more or less.
};

/// Times as many jobs of one priority for a while.
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
    std::vector<Duration> taskTimes; ///< Of its only step; true ones.
};

/// The same for the same seed, in the order of time.
std::vector<Arrival> arrivalsOf(const Load& load, std::uint64_t seed);

std::vector<Load> loads();

} // namespace jujubereach::bench
