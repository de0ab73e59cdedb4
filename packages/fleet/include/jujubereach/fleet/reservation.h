// Reservations for steps at the head of the queue that cannot be placed. Backfill alone starves gangs and
// tasks that need whole workers, because small tasks keep every worker partly used.
#pragma once

#include "jujubereach/fleet/placement.h"

namespace jujubereach::fleet {

/// Resources that the expected end of a run will free on a worker.
struct ExpectedEnd {
    TimePoint at;
    Resources resources;
};

struct Reservation {
    std::vector<std::size_t> views; ///< Reserved workers; empty if there is no reservation.
    TimePoint freeAt; ///< Expected time at which enough resources are free.
};

/// Whether backfill can starve the request: a gang, or a task larger than half a worker.
bool needsReservation(const PlaceRequest& request, const std::vector<WorkerView>& views);

/// Chooses the workers that can run the whole gang, or one task, soonest. Skips workers that are reserved.
/// `ends` has one list for each view, in any order.
Reservation chooseReservation(const PlaceRequest& request, const std::vector<WorkerView>& views,
    const std::vector<std::vector<ExpectedEnd>>& ends, TimePoint now);

} // namespace jujubereach::fleet
