// State of one placement pass.
#pragma once

#include "owner-impl.h"

namespace jujubereach::fleet {

/// Exceeds the starts that the previous owner may not have saved.
constexpr std::uint64_t runGapAfterTakeover = 16;

/// A step with tasks that are ready to start.
struct Owner::Impl::ReadyStep {
    Job* job = nullptr;
    int occurrence = 0;
    int index = 0; ///< Index of the step.
    std::vector<int> tasks; ///< Indices of the waiting tasks.
    double rank = 0;
    bool guaranteed = false;
    bool isolated = false; ///< The tasks start on workers that run nothing else.
    bool mayShare = false; ///< Of isolated tasks: if there is no such worker, they start on any.

    Step& step() const { return job->occurrences.at(occurrence).steps[static_cast<std::size_t>(index)]; }
};

struct Owner::Impl::Pass {
    std::vector<WorkerView>& fleet;
    UnplacedRequests unplaced {};
    std::map<ServiceId, bool> halfIdle {}; ///< Cached by `isHalfIdle` for the whole pass.
    bool preemptible = false; ///< The views list their preemptible tasks.
    int preemptionSearches = 0; ///< Searches for tasks to preempt.
    int feasibilityChecks = 0; ///< Placements tried on an empty fleet.
    std::optional<std::set<WorkerId>> crashSites {}; ///< Workers whose address has seen a crash; cached.
    std::size_t isolatedViews = 0; ///< Number of workers with a run on probation.
    std::size_t reservedViews = 0; ///< Number of views reserved for steps.
    bool mayReserve = false; ///< Whether this pass may still make a reservation.
};

} // namespace jujubereach::fleet
