#include "room-share.h"

#include <algorithm>

namespace jujubereach::fleet {

double largestShare(const Resources& resources, const Resources& whole)
{
    return std::max({ share(resources.milliCores, whole.milliCores),
        share(resources.memoryMb, whole.memoryMb), share(resources.accelerators, whole.accelerators) });
}

Resources sumOf(const ServiceId& service, const std::vector<WorkerView>& views, Resources WorkerView::*member)
{
    Resources sum;
    for (const auto& view : views) {
        if (view.service == service)
            sum += view.*member;
    }
    return sum;
}

} // namespace jujubereach::fleet
