// Benchmark cases; each prints its own BENCH lines.
#pragma once

#include "report.h"
#include "stream.h"

#include <cstdint>
#include <vector>

namespace jujubereach::bench {

/// Completion, fragmentation, urgent starts and waiting times of several policies on the same streams.
void comparePolicies(Report& report, const Deployment& deployment, const std::vector<std::uint64_t>& seeds);

/// Start times of urgent jobs and shape jobs while revocable gangs occupy every accelerator.
void startWhenAllIsLent(
    Report& report, const Deployment& deployment, const std::vector<std::uint64_t>& seeds);

/// Completion and fragmentation of one domain of the target deployment under load.
void loadTarget(Report& report, std::uint64_t seed);

/// Search steps per decision as a function of the number of workers in the domain.
void measureCost(Report& report, std::uint64_t seed);

} // namespace jujubereach::bench
