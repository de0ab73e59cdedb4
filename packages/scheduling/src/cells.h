// Keeps a run for every guaranteed shape of the domain, and moves it when workers go down.
#pragma once

#include "jujubereach/placement/pack.h"
#include "state.h"

namespace jujubereach::scheduling {

/// Takes the packing of a newer manifest. Cells that gangs hold stay; other known cells stay where
/// possible, so that a change of the manifest moves as little as it can.
void placeShapeSlots(State& state, const placement::Packing& packing);

/// Gives each idle cell that can't be reclaimed another run: one that can, else the one that will be
/// first, where no gang that can't be preempted starts from now on. With `awaitReports` a cell
/// whose workers have not all reported yet stays.
void repairShapeSlots(State& state, bool awaitReports, TimePoint now);

/// True when the owner of an idle cell gets its run within the reclaim bound.
bool reclaimable(const State& state, const ShapeSlot& shapeSlot);

/// An idle cell of the shape that the job calls for; a reclaimable one.
ShapeSlot* idleShapeSlotFor(State& state, const Job& job);

/// Makes a cell of the gang's shape its own, after a change of owner.
void assignShapeSlot(State& state, Gang& gang);

} // namespace jujubereach::scheduling
