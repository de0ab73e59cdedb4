// Order of the queue: minimum shares of classes, class ranks, fair shares of workspaces, then the smallest
// aged area (predicted accelerator-seconds, discounted by waiting time).
#pragma once

#include "state.h"

#include <compare>
#include <cstdint>

namespace jujubereach::scheduling {

/// Smaller values go first.
struct Priority {
    bool aboveMinimum = true; ///< The class already uses its minimum share.
    int rank = 0; ///< Rank of the class, lowered by waiting time.
    bool aboveShare = false; ///< The workspace already uses its fair share.
    double area = 0; ///< Binary logarithm of the predicted accelerator-time, lowered by waiting time.
    std::uint64_t sequence = 0;

    friend auto operator<=>(const Priority&, const Priority&) = default;
};

/// Computes job priorities at one point in time.
class Order {
public:
    Order(const State& state, TimePoint now);

    Priority priorityOf(const Job& job) const;
    /// True if the waiting job may preempt the running gang: by a better rank or, at equal rank, by a much
    /// smaller aged area.
    bool outranks(const Job& job, const Gang& gang) const;
    /// Accelerators that the workspace may use before other workspaces take precedence.
    double fairShare(const WorkspaceState& workspace) const;

private:
    bool aboveMinimum(const ClassState& workClass) const;
    int rankOf(const Job& job) const;
    double areaOf(const Job& job, Duration left) const;

    const State& m_state;
    TimePoint m_now;
    double m_totalWeight = 0; ///< Sum over workspaces with queued or running jobs.
};

} // namespace jujubereach::scheduling
