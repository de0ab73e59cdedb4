// Simulates a load on a fleet with an owner in virtual time and measures the utility earned.
#pragma once

#include "load.h"

#include "jujubereach/fleet/owner.h"

#include <array>

namespace jujubereach::bench {

constexpr int classCount = 3;

struct Outcome {
    double offered = 0;
    double earned = 0;
    std::array<double, classCount> offeredByClass {};
    std::array<double, classCount> earnedByClass {};
    double wastedShare = 0; ///< Core-seconds lost without a checkpoint, relative to those of all jobs.
    double worstWindow = 1; ///< Share of utility earned by the arrivals of the worst five seconds.
    double ownerSeconds = 0; ///< CPU seconds of the owner.
    int starts = 0; ///< Calls to workers that start a task.
};

Outcome simulate(const Load& load, std::uint64_t seed, const fleet::OwnerSettings& settings);

} // namespace jujubereach::bench
