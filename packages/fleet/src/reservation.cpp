#include "jujubereach/fleet/reservation.h"

#include <algorithm>

namespace jujubereach::fleet {

namespace {

    struct Slot {
        TimePoint at;
        std::size_t view = 0;
    };

    // The times at which successive tasks of the request fit on a worker if nothing else starts there.
    std::vector<Slot> slotsOn(const PlaceRequest& request, const WorkerView& view, std::size_t index,
        std::vector<ExpectedEnd> ends, int most, TimePoint now)
    {
        std::sort(
            ends.begin(), ends.end(), [](const ExpectedEnd& a, const ExpectedEnd& b) { return a.at < b.at; });
        std::vector<Slot> slots;
        auto free = view.free;
        auto at = now;
        if (request.isolated && !ends.empty()) { // The worker must be empty before the first task starts.
            at = std::max(at, ends.back().at);
            free = view.capacity;
            ends.clear();
        }
        const auto take = [&] {
            while (static_cast<int>(slots.size()) < most && free.canFit(request.spec->resources)) {
                free -= request.spec->resources;
                slots.push_back({ at, index });
            }
        };
        take();
        for (const auto& end : ends) {
            at = std::max(at, end.at);
            free += end.resources;
            take();
        }
        return slots;
    }

} // namespace

bool needsReservation(const PlaceRequest& request, const std::vector<WorkerView>& views)
{
    if (request.spec->gang || request.isolated)
        return true;
    const auto& resources = request.spec->resources;
    const auto any = std::find_if(
        views.begin(), views.end(), [&](const WorkerView& view) { return couldRun(request, view); });
    return any != views.end() && !any->capacity.canFit(resources + resources);
}

Reservation chooseReservation(const PlaceRequest& request, const std::vector<WorkerView>& views,
    const std::vector<std::vector<ExpectedEnd>>& ends, TimePoint now)
{
    const auto count = request.spec->gang ? request.count : 1;
    const auto perWorker = request.spec->maxPerWorker > 0 ? request.spec->maxPerWorker : count;
    Reservation best;
    auto busyToo = request; // An isolated task may reserve a worker that is not idle yet.
    busyToo.isolated = false;
    forEachCandidateSet(busyToo, views, [&](const std::vector<std::size_t>& members) {
        std::vector<Slot> slots;
        for (const auto i : members) {
            if (views[i].reservedBy)
                continue;
            const auto more = slotsOn(request, views[i], i, ends[i], perWorker, now);
            slots.insert(slots.end(), more.begin(), more.end());
        }
        if (static_cast<int>(slots.size()) < count)
            return;
        std::sort(slots.begin(), slots.end(),
            [](const Slot& a, const Slot& b) { return std::tie(a.at, a.view) < std::tie(b.at, b.view); });
        const auto freeAt = slots[static_cast<std::size_t>(count) - 1].at;
        if (freeAt == TimePoint::max() || (!best.views.empty() && freeAt >= best.freeAt))
            return;
        best = { {}, freeAt };
        for (int i = 0; i < count; ++i)
            best.views.push_back(slots[static_cast<std::size_t>(i)].view);
    });
    std::sort(best.views.begin(), best.views.end());
    best.views.erase(std::unique(best.views.begin(), best.views.end()), best.views.end());
    return best;
}

} // namespace jujubereach::fleet
