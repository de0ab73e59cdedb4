// What one pass over the waiting steps works on.
#pragma once

#include "owner-impl.h"

namespace jujubereach::fleet {

constexpr std::uint64_t runGapAfterTakeover = 16; ///< Above any start that the last owner did not save.

/// A step with tasks that may start now.
struct Owner::Impl::ReadyStep {
    Job* job = nullptr;
    int occurrence = 0;
    int index = 0; ///< Of the step.
    std::vector<int> tasks; ///< That wait.
    double rank = 0;
    bool guaranteed = false;

    Step& step() const { return job->occurrences.at(occurrence).steps[static_cast<std::size_t>(index)]; }
};

/// What one pass has found out.
struct Owner::Impl::Pass {
    std::vector<WorkerView>& fleet;
    UnplacedRequests unplaced {};
    std::map<ServiceId, bool> halfIdle {}; ///< As the pass found each service first.
    bool preemptible = false; ///< The views tell what may be displaced.
    int preemptionSearches = 0; ///< For something to displace.
    int feasibilityChecks = 0; ///< For a place in an empty fleet.
    std::size_t reservedViews = 0; ///< Views that are reserved for steps.
    bool mayReserve = false; ///< A reservation may be made in this pass.
};

} // namespace jujubereach::fleet
