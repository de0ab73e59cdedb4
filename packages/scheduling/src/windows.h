// Searches for the run that is cheapest to clear by ending or awaiting the gangs in it.
#pragma once

#include "state.h"

#include <functional>
#include <optional>

namespace jujubereach::scheduling {

struct Window {
    Run run;
    double cost = 0; ///< In the unit of WindowSearch::gangCost.
};

struct WindowSearch {
    std::uint32_t count = 0;
    Run within; ///< Range that the search is limited to.
    bool mayUseProtected = false; ///< Otherwise shape slots and reservations are obstacles.
    bool sumCosts = true; ///< Otherwise the cost of a window is the largest cost of a gang in it.
    /// Cost of ending or awaiting a gang; nullopt if the gang is an obstacle.
    std::function<std::optional<double>(const Gang&)> gangCost;
    /// Workers that the window must not include.
    std::vector<std::uint32_t> avoidWorkers;
};

/// Returns the cheapest window, the first among equals. Unaligned windows are considered only if no aligned
/// one exists.
std::optional<Window> cheapestWindow(const State& state, const WindowSearch& search);

/// Accelerator-seconds lost if the gang is preempted at `now`; 0 if it is already stopping.
double preemptionLoss(const State& state, const Gang& gang, TimePoint now);

} // namespace jujubereach::scheduling
