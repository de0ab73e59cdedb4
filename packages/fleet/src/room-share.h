// Ratios between amounts of resources.
#pragma once

#include "jujubereach/fleet/placement.h"

namespace jujubereach::fleet {

/// Returns 0 if `whole` is 0.
inline double share(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

/// The largest share among processors, memory and accelerators.
double largestShare(const Resources& resources, const Resources& whole);

/// Sums a member of the views, such as `capacity` or `free`, over the workers of a service.
Resources sumOf(
    const ServiceId& service, const std::vector<WorkerView>& views, Resources WorkerView::*member);

} // namespace jujubereach::fleet
