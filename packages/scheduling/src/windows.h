// Searches the line for the cheapest run that can be had by ending the gangs in it.
#pragma once

#include "state.h"

#include <functional>
#include <optional>

namespace jujubereach::scheduling {

struct Window {
    Run run;
    double cost = 0; ///< In the unit of the search's gangCost.
};

struct WindowSearch {
    std::uint32_t count = 0;
    Run within; ///< The search stays inside.
    bool mayUseProtected = false; ///< Cells and reservations count as obstacles otherwise.
    bool sumCosts = true; ///< Else the largest cost of a gang counts.
    /// Cost of ending or awaiting a gang; none when it is an obstacle.
    std::function<std::optional<double>(const Gang&)> gangCost;
    /// Workers to keep away from.
    std::vector<std::uint32_t> avoid;
};

/// The cheapest window, aligned ones only when one exists; the first of equals.
std::optional<Window> cheapestWindow(const State& state, const WindowSearch& search);

/// Accelerator-seconds lost when the gang is preempted at `now`; 0 when it is already stopping.
double preemptionLoss(const State& state, const Gang& gang, TimePoint now);

} // namespace jujubereach::scheduling
