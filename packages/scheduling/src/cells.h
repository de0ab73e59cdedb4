// Keeps a run (a shape slot) for every guaranteed shape of the domain, and moves it when workers go down.
#pragma once

#include "jujubereach/placement/pack.h"
#include "state.h"

namespace jujubereach::scheduling {

/// Applies the packing of a newer manifest. Slots in use by gangs keep their runs; the others keep them where
/// possible, to move as few slots as possible.
void placeShapeSlots(State& state, const placement::Packing& packing);

/// Moves each idle slot that can't be reclaimed to a reclaimable run or, if there is none, to the run that is
/// predicted to become reclaimable first; protecting that run keeps further non-revocable gangs out of it.
/// With `awaitReports`, a slot stays while any of its workers has not reported yet.
void repairShapeSlots(State& state, bool awaitReports, TimePoint now);

/// True if the run of the slot can be cleared within the reclaim bound.
bool reclaimable(const State& state, const ShapeSlot& shapeSlot);

/// Returns an idle, reclaimable slot of the shape that the job requests, or null.
ShapeSlot* idleShapeSlotFor(State& state, const Job& job);

/// Assigns a slot of the gang's shape to a gang recovered after a change of owner.
void assignShapeSlot(State& state, Gang& gang);

} // namespace jujubereach::scheduling
