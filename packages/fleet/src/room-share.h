// Room as a part of other room.
#pragma once

#include "jujubereach/fleet/placement.h"

namespace jujubereach::fleet {

/// 0 of nothing.
inline double share(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

/// The largest share among processors, memory and accelerators.
double largestShare(const Resources& resources, const Resources& whole);

/// Of a service's workers together: what they have, or what is free on them.
Resources sumOf(
    const ServiceId& service, const std::vector<WorkerView>& views, Resources WorkerView::*member);

} // namespace jujubereach::fleet
