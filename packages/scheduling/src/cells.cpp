#include "cells.h"

#include "windows.h"

#include <algorithm>

namespace jujubereach::scheduling {

namespace {

    bool idle(const ShapeSlot& shapeSlot)
    {
        return !shapeSlot.holder && !shapeSlot.claim;
    }

    void placeSlot(State& state, ShapeSlot& shapeSlot, const Run& run)
    {
        shapeSlot.run = run;
        shapeSlot.placed = true;
        if (state.policy.protectShapes)
            state.occupancy.protect(run);
    }

    void unplaceSlot(State& state, ShapeSlot& shapeSlot)
    {
        if (!shapeSlot.placed)
            return;
        shapeSlot.placed = false;
        if (state.policy.protectShapes)
            state.occupancy.unprotect(shapeSlot.run);
    }

    /// Finds a run that no other slot or reservation protects and that can be cleared within the reclaim
    /// bound.
    std::optional<Window> findReclaimableRun(const State& state, const ShapeSlot& shapeSlot)
    {
        WindowSearch search;
        search.count = shapeSlot.run.count;
        search.within = { 0, state.total };
        search.gangCost = [](const Gang& gang) -> std::optional<double> {
            if (gang.state != GangState::Stopping && !preemptible(gang))
                return std::nullopt;
            return 0.0;
        };
        return cheapestWindow(state, search);
    }

    /// Finds the run without unusable workers whose last non-preemptible gang is predicted to end first.
    std::optional<Window> findEarliestRun(const State& state, const ShapeSlot& shapeSlot, TimePoint now)
    {
        WindowSearch search;
        search.count = shapeSlot.run.count;
        search.within = { 0, state.total };
        search.sumCosts = false;
        search.gangCost = [&state, now](const Gang& gang) -> std::optional<double> {
            bool waits = gang.state != GangState::Stopping && !preemptible(gang);
            return waits ? static_cast<double>((state.predictedEnd(gang, now) - now).count()) : 0.0;
        };
        return cheapestWindow(state, search);
    }

    bool allUsable(const State& state, const Run& run)
    {
        for (auto at = run.first; at < run.end(); ++at) {
            if (!state.occupancy.usable(at))
                return false;
        }
        return true;
    }

    /// True while a worker of the run has not reported to this owner.
    bool hasUnreportedWorker(const State& state, const Run& run)
    {
        for (auto worker = state.occupancy.workerOf(run.first);
             worker * state.occupancy.perWorker() < run.end(); ++worker) {
            if (!state.workerReported[worker])
                return true;
        }
        return false;
    }

    ShapeSlot* findSlot(State& state, const placement::PlacedShape& placed, std::uint32_t count)
    {
        for (auto& shapeSlot : state.shapeSlots) {
            if (shapeSlot.workspace == placed.workspace && shapeSlot.shape == placed.shape
                && shapeSlot.instance == placed.instance && shapeSlot.run.count == count)
                return &shapeSlot;
        }
        return nullptr;
    }

    bool overlapsAnother(const State& state, const Run& run)
    {
        return std::any_of(state.shapeSlots.begin(), state.shapeSlots.end(),
            [&](const ShapeSlot& shapeSlot) { return shapeSlot.placed && shapeSlot.run.overlaps(run); });
    }

    bool withinDomain(const State& state, const Run& run)
    {
        return run.end() <= state.total;
    }

    /// Removes slots that the manifest no longer lists, except those in use by a gang.
    void removeUnlisted(State& state, const placement::Packing& packing)
    {
        for (auto it = state.shapeSlots.begin(); it != state.shapeSlots.end();) {
            auto& shapeSlot = *it;
            bool listed = std::any_of(packing.begin(), packing.end(), [&](const auto& placed) {
                return placed.workspace == shapeSlot.workspace && placed.shape == shapeSlot.shape
                    && placed.instance == shapeSlot.instance && placed.run.count == shapeSlot.run.count;
            });
            if (listed || !idle(shapeSlot)) {
                ++it;
                continue;
            }
            unplaceSlot(state, shapeSlot);
            it = state.shapeSlots.erase(it);
        }
    }

} // namespace

void placeShapeSlots(State& state, const placement::Packing& packing)
{
    removeUnlisted(state, packing);
    for (auto& shapeSlot : state.shapeSlots) {
        if (shapeSlot.placed && !withinDomain(state, shapeSlot.run))
            unplaceSlot(state, shapeSlot);
    }
    for (const auto& placed : packing) {
        if (auto* shapeSlot = findSlot(state, placed, placed.run.count)) {
            shapeSlot->packedRun = placed.run;
            continue;
        }
        state.shapeSlots.push_back(
            { placed.workspace, placed.shape, placed.instance, placed.run, placed.run });
        if (!overlapsAnother(state, placed.run))
            placeSlot(state, state.shapeSlots.back(), placed.run);
    }
    bool allPlaced = std::all_of(state.shapeSlots.begin(), state.shapeSlots.end(),
        [](const ShapeSlot& shapeSlot) { return shapeSlot.placed || !idle(shapeSlot); });
    if (allPlaced)
        return;
    // The kept runs leave no room for the new slots: all idle slots move to their runs from the packing.
    for (auto& shapeSlot : state.shapeSlots) {
        if (idle(shapeSlot))
            unplaceSlot(state, shapeSlot);
    }
    for (const auto& placed : packing) {
        auto* shapeSlot = findSlot(state, placed, placed.run.count);
        if (shapeSlot && idle(*shapeSlot) && !overlapsAnother(state, placed.run))
            placeSlot(state, *shapeSlot, placed.run);
    }
}

namespace {

    bool clearable(const State& state, const Run& run)
    {
        for (auto at = run.first; at < run.end(); ++at) {
            ++state.stepCount;
            if (!state.occupancy.usable(at))
                return false;
            const auto* gang = state.occupancy.gangAt(at);
            if (gang && gang->state != GangState::Stopping && !preemptible(*gang))
                return false;
        }
        return true;
    }

    /// Moves a slot back to its run in the packing if that run is reclaimable and free of other slots, claims
    /// and reservations.
    void moveToPackedRun(State& state, ShapeSlot& shapeSlot)
    {
        unplaceSlot(state, shapeSlot);
        bool clear = clearable(state, shapeSlot.packedRun);
        for (auto at = shapeSlot.packedRun.first; at < shapeSlot.packedRun.end(); ++at)
            clear = clear && !state.occupancy.isProtected(at) && !state.occupancy.held(at);
        placeSlot(state, shapeSlot, clear ? shapeSlot.packedRun : shapeSlot.run);
    }

} // namespace

bool reclaimable(const State& state, const ShapeSlot& shapeSlot)
{
    return shapeSlot.placed && clearable(state, shapeSlot.run);
}

void repairShapeSlots(State& state, bool awaitReports, TimePoint now)
{
    state.shapeSlotsNeedRepair = false;
    for (auto& shapeSlot : state.shapeSlots) {
        if (!idle(shapeSlot))
            continue;
        if (reclaimable(state, shapeSlot)) {
            if (shapeSlot.run != shapeSlot.packedRun)
                moveToPackedRun(state, shapeSlot);
            state.shapeSlotsNeedRepair = state.shapeSlotsNeedRepair || shapeSlot.run != shapeSlot.packedRun;
            continue;
        }
        state.shapeSlotsNeedRepair = true;
        if (awaitReports && hasUnreportedWorker(state, shapeSlot.run))
            continue;
        auto old = shapeSlot.run;
        bool placed = shapeSlot.placed;
        unplaceSlot(state, shapeSlot);
        auto window = findReclaimableRun(state, shapeSlot);
        if (!window && !(placed && allUsable(state, old)))
            window = findEarliestRun(state, shapeSlot, now);
        if (window)
            placeSlot(state, shapeSlot, window->run);
        else if (placed)
            placeSlot(state, shapeSlot, old);
    }
}

ShapeSlot* idleShapeSlotFor(State& state, const Job& job)
{
    for (auto& shapeSlot : state.shapeSlots) {
        if (idle(shapeSlot) && shapeSlot.workspace == job.spec.workspace && shapeSlot.shape == *job.spec.shape
            && job.spec.accelerators <= shapeSlot.run.count && reclaimable(state, shapeSlot))
            return &shapeSlot;
    }
    return nullptr;
}

void assignShapeSlot(State& state, Gang& gang)
{
    ShapeSlot* best = nullptr;
    for (auto& shapeSlot : state.shapeSlots) {
        if (!idle(shapeSlot) || shapeSlot.workspace != gang.job->spec.workspace
            || shapeSlot.shape != *gang.job->spec.shape || gang.run.count > shapeSlot.run.count)
            continue;
        if (!best || (shapeSlot.placed && shapeSlot.run.contains(gang.run)))
            best = &shapeSlot;
    }
    if (!best)
        return;
    gang.shapeSlot = best;
    best->holder = &gang;
    if (best->placed && best->run.contains(gang.run))
        return;
    unplaceSlot(state, *best);
    for (auto& other : state.shapeSlots) {
        if (other.placed && idle(other) && other.run.overlaps(gang.run))
            unplaceSlot(state, other);
    }
    auto first = std::min(gang.run.first, state.occupancy.size() - best->run.count);
    Run run { first, best->run.count };
    if (!overlapsAnother(state, run))
        placeSlot(state, *best, run);
}

} // namespace jujubereach::scheduling
