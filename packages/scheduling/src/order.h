// The order of the queue: kept shares, class ranks, fair shares, then the smallest aged area.
#pragma once

#include "state.h"

#include <compare>
#include <cstdint>

namespace jujubereach::scheduling {

/// Smaller goes first.
struct Priority {
    bool aboveMinimum = true; ///< Of its class.
    int rank = 0; ///< Of its class, made up for by waiting.
    bool aboveShare = false; ///< Of its workspace.
    double area = 0; ///< Logarithm of predicted accelerator-seconds, lowered by waiting.
    std::uint64_t sequence = 0;

    friend auto operator<=>(const Priority&, const Priority&) = default;
};

/// Computes priorities of one moment.
class Order {
public:
    Order(const State& state, TimePoint now);

    Priority priorityOf(const Job& job) const;
    /// True when the waiting job may displace the running gang: by rank, or by a much smaller aged area.
    bool outranks(const Job& job, const Gang& gang) const;
    /// Accelerators that the workspace may use before others with queued work go first.
    double fairShare(const WorkspaceState& workspace) const;

private:
    bool aboveMinimum(const ClassState& workClass) const;
    int rankOf(const Job& job) const;
    double areaOf(const Job& job, Duration left) const;

    const State& m_state;
    TimePoint m_now;
    double m_weights = 0; ///< Of workspaces with queued or running work.
};

} // namespace jujubereach::scheduling
