#include "cells.h"

#include "windows.h"

#include <algorithm>

namespace jujubereach::scheduling {

namespace {

    bool idle(const Cell& cell)
    {
        return !cell.holder && !cell.claim;
    }

    void put(State& state, Cell& cell, const Run& run)
    {
        cell.run = run;
        cell.placed = true;
        if (state.policy.protectShapes)
            state.line.protect(run);
    }

    void lift(State& state, Cell& cell)
    {
        if (!cell.placed)
            return;
        cell.placed = false;
        if (state.policy.protectShapes)
            state.line.unprotect(cell.run);
    }

    /// A run that no other cell or reservation keeps and that can be cleared within the reclaim bound.
    std::optional<Window> freshRun(const State& state, const Cell& cell)
    {
        WindowSearch search;
        search.count = cell.run.count;
        search.within = { 0, state.total };
        search.gangCost = [](const Gang& gang) -> std::optional<double> {
            if (gang.state != GangState::Stopping && !preemptible(gang))
                return std::nullopt;
            return 0.0;
        };
        return cheapestWindow(state, search);
    }

    /// The run without unusable workers whose last gang that can't be preempted ends first.
    std::optional<Window> soonestRun(const State& state, const Cell& cell, TimePoint now)
    {
        WindowSearch search;
        search.count = cell.run.count;
        search.within = { 0, state.total };
        search.addCosts = false;
        search.gangCost = [&state, now](const Gang& gang) -> std::optional<double> {
            bool waits = gang.state != GangState::Stopping && !preemptible(gang);
            return waits ? static_cast<double>((state.predictedEnd(gang, now) - now).count()) : 0.0;
        };
        return cheapestWindow(state, search);
    }

    bool allUsable(const State& state, const Run& run)
    {
        for (auto at = run.first; at < run.end(); ++at) {
            if (!state.line.usable(at))
                return false;
        }
        return true;
    }

    /// True while a worker of the run has not reported since this owner took over.
    bool awaitsReport(const State& state, const Run& run)
    {
        for (auto worker = state.line.workerOf(run.first); worker * state.line.perWorker() < run.end();
             ++worker) {
            if (!state.workerSeen[worker])
                return true;
        }
        return false;
    }

    Cell* known(State& state, const placement::PlacedShape& placed, std::uint32_t count)
    {
        for (auto& cell : state.cells) {
            if (cell.workspace == placed.workspace && cell.shape == placed.shape
                && cell.instance == placed.instance && cell.run.count == count)
                return &cell;
        }
        return nullptr;
    }

    bool overlapsAnother(const State& state, const Run& run)
    {
        return std::any_of(state.cells.begin(), state.cells.end(),
            [&](const Cell& cell) { return cell.placed && cell.run.overlaps(run); });
    }

    bool fitsOnLine(const State& state, const Run& run)
    {
        return run.end() <= state.total;
    }

    /// Cells that the manifest no longer lists go, unless a gang holds them.
    void dropUnlisted(State& state, const placement::Packing& packing)
    {
        for (auto it = state.cells.begin(); it != state.cells.end();) {
            auto& cell = *it;
            bool listed = std::any_of(packing.begin(), packing.end(), [&](const auto& placed) {
                return placed.workspace == cell.workspace && placed.shape == cell.shape
                    && placed.instance == cell.instance && placed.run.count == cell.run.count;
            });
            if (listed || !idle(cell)) {
                ++it;
                continue;
            }
            lift(state, cell);
            it = state.cells.erase(it);
        }
    }

} // namespace

void placeCells(State& state, const placement::Packing& packing)
{
    dropUnlisted(state, packing);
    for (auto& cell : state.cells) {
        if (cell.placed && !fitsOnLine(state, cell.run))
            lift(state, cell);
    }
    for (const auto& placed : packing) {
        if (auto* cell = known(state, placed, placed.run.count)) {
            cell->home = placed.run;
            continue;
        }
        state.cells.push_back({ placed.workspace, placed.shape, placed.instance, placed.run, placed.run });
        if (!overlapsAnother(state, placed.run))
            put(state, state.cells.back(), placed.run);
    }
    bool allPlaced = std::all_of(
        state.cells.begin(), state.cells.end(), [](const Cell& cell) { return cell.placed || !idle(cell); });
    if (allPlaced)
        return;
    // Kept runs leave no room for all: idle cells take the places of the packing instead.
    for (auto& cell : state.cells) {
        if (idle(cell))
            lift(state, cell);
    }
    for (const auto& placed : packing) {
        auto* cell = known(state, placed, placed.run.count);
        if (cell && idle(*cell) && !overlapsAnother(state, placed.run))
            put(state, *cell, placed.run);
    }
}

namespace {

    bool clearable(const State& state, const Run& run)
    {
        for (auto at = run.first; at < run.end(); ++at) {
            ++state.stepCount;
            if (!state.line.usable(at))
                return false;
            const auto* gang = state.line.gangAt(at);
            if (gang && gang->state != GangState::Stopping && !preemptible(*gang))
                return false;
        }
        return true;
    }

    /// Moves a cell back to its place in the packing when no other cell, claim or reservation is there.
    void returnHome(State& state, Cell& cell)
    {
        lift(state, cell);
        bool clear = clearable(state, cell.home);
        for (auto at = cell.home.first; at < cell.home.end(); ++at)
            clear = clear && !state.line.isProtected(at) && !state.line.held(at);
        put(state, cell, clear ? cell.home : cell.run);
    }

} // namespace

bool reclaimable(const State& state, const Cell& cell)
{
    return cell.placed && clearable(state, cell.run);
}

void repairCells(State& state, bool awaitReports, TimePoint now)
{
    state.cellsBlocked = false;
    for (auto& cell : state.cells) {
        if (!idle(cell))
            continue;
        if (reclaimable(state, cell)) {
            if (cell.run != cell.home)
                returnHome(state, cell);
            state.cellsBlocked = state.cellsBlocked || cell.run != cell.home;
            continue;
        }
        state.cellsBlocked = true;
        if (awaitReports && awaitsReport(state, cell.run))
            continue;
        auto old = cell.run;
        bool placed = cell.placed;
        lift(state, cell);
        auto window = freshRun(state, cell);
        if (!window && !(placed && allUsable(state, old)))
            window = soonestRun(state, cell, now);
        if (window)
            put(state, cell, window->run);
        else if (placed)
            put(state, cell, old);
    }
}

Cell* idleCellFor(State& state, const Job& job)
{
    for (auto& cell : state.cells) {
        if (idle(cell) && cell.workspace == job.spec.workspace && cell.shape == *job.spec.shape
            && job.spec.accelerators <= cell.run.count && reclaimable(state, cell))
            return &cell;
    }
    return nullptr;
}

void holdCell(State& state, Gang& gang)
{
    Cell* best = nullptr;
    for (auto& cell : state.cells) {
        if (!idle(cell) || cell.workspace != gang.job->spec.workspace || cell.shape != *gang.job->spec.shape
            || gang.run.count > cell.run.count)
            continue;
        if (!best || (cell.placed && cell.run.contains(gang.run)))
            best = &cell;
    }
    if (!best)
        return;
    gang.cell = best;
    best->holder = &gang;
    if (best->placed && best->run.contains(gang.run))
        return;
    lift(state, *best);
    for (auto& other : state.cells) {
        if (other.placed && idle(other) && other.run.overlaps(gang.run))
            lift(state, other);
    }
    auto first = std::min(gang.run.first, state.line.size() - best->run.count);
    Run run { first, best->run.count };
    if (!overlapsAnother(state, run))
        put(state, *best, run);
}

} // namespace jujubereach::scheduling
