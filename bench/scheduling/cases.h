// The cases of the benchmark; each prints its lines.
#pragma once

#include "report.h"
#include "stream.h"

namespace jujubereach::bench {

/// Completion, fragmentation and waiting of several policies on the same streams.
void comparePolicies(Report& report, const Deployment& deployment, const std::vector<std::uint64_t>& seeds);

} // namespace jujubereach::bench
