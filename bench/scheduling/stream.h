// Seeded streams of jobs and faults modelled on the deployments.
#pragma once

#include "jujubereach/base/random.h"
#include "jujubereach/scheduling/scheduler.h"

#include <string>
#include <vector>

namespace jujubereach::bench {

struct StreamJob {
    scheduling::JobSpec spec;
    TimePoint arrives;
    Duration runTime { 0 }; ///< Actual run time.
    bool failsAlways = false;
    std::optional<TimePoint> cancelledAt;
};

struct WorkerOutage {
    std::uint32_t worker = 0;
    TimePoint from;
    TimePoint to;
};

/// A worker that fails every task it starts.
using BadWorker = WorkerOutage;

struct Stream {
    manifest::Manifest manifest;
    std::uint32_t workers = 0;
    TimePoint end; ///< No job arrives later.
    std::vector<StreamJob> jobs; ///< By arrival.
    std::vector<WorkerOutage> outages;
    std::vector<BadWorker> badWorkers;
};

struct SizeShare {
    std::uint32_t accelerators;
    double share;
};

/// Jobs of one class.
struct Mix {
    std::string workClass;
    double loadShare = 0; ///< Of the accelerator-seconds.
    std::vector<SizeShare> sizes;
    Duration shortest { 0 };
    Duration longest { 0 }; ///< Run times are log-uniform between `shortest` and `longest`.
    double checkpointable = 0;
    double restartable = 0;
};

struct Deployment {
    std::string name;
    std::uint32_t workers = 50;
    std::vector<manifest::Workspace> workspaces;
    std::vector<double> workspaceShares; ///< Of the jobs.
    std::vector<Mix> mixes;
    double load = 0.9;
    Duration length { 0 };
    double burstFactor = 3; ///< Ratio of the arrival rate in a burst to the mean rate.
    Duration burstEvery { 4 * 3600 * 1000 };
    Duration burstLength { 20 * 60 * 1000 };
    double shapeUse = 0.3; ///< Share of the time in which a guaranteed shape is in use.
};

constexpr std::uint32_t acceleratorsPerWorker = 8;

Deployment peachtree();
Deployment armor();
/// One domain of the target deployment: `workers` with 8 accelerators each.
Deployment target(std::uint32_t workers);

Stream makeStream(const Deployment& deployment, std::uint64_t seed);

} // namespace jujubereach::bench
