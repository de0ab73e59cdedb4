// Lower bound of the mean completion time over all policies.
#pragma once

#include "stream.h"

namespace jujubereach::bench {

/// Mean completion time in seconds if all accelerators together serve the smallest remaining area first and
/// gangs may be split at will; no job ends before its own run time.
double areaBound(const Stream& stream);

} // namespace jujubereach::bench
