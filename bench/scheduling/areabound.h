// A lower bound of the mean completion time that no policy can beat.
#pragma once

#include "stream.h"

namespace jujubereach::bench {

/// Mean completion time in seconds when all accelerators together serve the smallest remaining area
/// first and any gang may be spread or cut at will; no job ends before its own run time.
double areaBound(const Stream& stream);

} // namespace jujubereach::bench
