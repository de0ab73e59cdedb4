#include "room-share.h"

#include <algorithm>

namespace jujubereach::fleet {

double largestShare(const Room& room, const Room& whole)
{
    return std::max({ share(room.milliCores, whole.milliCores), share(room.memoryMb, whole.memoryMb),
        share(room.accelerators, whole.accelerators) });
}

Room sumOf(const ServiceId& service, const std::vector<WorkerView>& views, Room WorkerView::*member)
{
    Room sum;
    for (const auto& view : views) {
        if (view.service == service)
            sum += view.*member;
    }
    return sum;
}

} // namespace jujubereach::fleet
