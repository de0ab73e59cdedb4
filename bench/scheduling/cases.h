// The cases of the benchmark; each prints its lines.
#pragma once

#include "report.h"
#include "stream.h"

#include <cstdint>
#include <vector>

namespace jujubereach::bench {

/// Completion, fragmentation, urgent starts and waiting of several policies on the same streams.
void comparePolicies(Report& report, const Deployment& deployment, const std::vector<std::uint64_t>& seeds);

/// Starts of urgent jobs and calls for shapes while every accelerator is lent out.
void startWhenAllIsLent(
    Report& report, const Deployment& deployment, const std::vector<std::uint64_t>& seeds);

/// One domain of the target under load: completion and fragmentation.
void loadTarget(Report& report, std::uint64_t seed);

/// Work per decision over the number of workers in the domain.
void measureCost(Report& report, std::uint64_t seed);

} // namespace jujubereach::bench
