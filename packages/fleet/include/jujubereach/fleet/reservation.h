// Reservations for steps at the head of the queue that nothing can place: backfill alone starves gangs and
// tasks of whole workers, since small tasks keep every worker of every rack partly used.
#pragma once

#include "jujubereach/fleet/placement.h"

namespace jujubereach::fleet {

/// Room on a worker that the expected end of a run frees.
struct ExpectedEnd {
    TimePoint at;
    Resources resources;
};

struct Reservation {
    std::vector<std::size_t> views; ///< Where the step will start; empty for none.
    TimePoint freeAt; ///< When all of it has ended that is in the way.
};

/// Whether backfill can starve the request: a gang, or tasks above half of what workers have.
bool needsReservation(const PlaceRequest& request, const std::vector<WorkerView>& views);

/// Chooses the workers that can take the whole gang, or one task, soonest; none that is reserved for
/// another step. `ends` belong to the views, in any order.
Reservation chooseReservation(const PlaceRequest& request, const std::vector<WorkerView>& views,
    const std::vector<std::vector<ExpectedEnd>>& ends, TimePoint now);

} // namespace jujubereach::fleet
