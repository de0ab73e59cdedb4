#include "jujubereach/fleet/queue-order.h"

#include <algorithm>

namespace jujubereach::fleet {

namespace {

    // Relative utility of a job by priority, from the ratio of the worth columns in both sites' sheets.
    double weightOf(int priority)
    {
        if (priority <= 0)
            return 4;
        return priority == 1 ? 3 : 1;
    }

    constexpr double fixedShare = 0.3; // Share of a job's utility that does not grow with its work.
    // Limit in multiples of the mean utility; from the same sheets as `fixedShare`.
    constexpr double maxWorth = 4;
    constexpr double lateShare = 0.35; // Utility left to a late result: 0.2 to 0.5 in the sheets.
    constexpr double tooLateShare = 0.01; // Positive, so that the job still runs, after everything else.
    // Multiple of the objective after which a late result has almost no utility.
    constexpr double lateBound = 3;
    constexpr double guaranteedBonus = 1e9;

    double timeliness(const WaitingStep& step)
    {
        const auto bound = step.stretch * static_cast<double>(step.idealDuration.count())
            + static_cast<double>(step.objective.count());
        const auto finish = static_cast<double>((step.age + step.remaining).count());
        if (finish <= bound)
            return 1;
        return finish <= lateBound * bound ? lateShare : tooLateShare;
    }

} // namespace

double rankOf(const WaitingStep& step, QueueOrder order)
{
    if (order == QueueOrder::ByArrival)
        return (step.guaranteed ? guaranteedBonus : 0) + static_cast<double>(step.age.count());
    const auto relative = step.meanWork > 0 ? step.work / step.meanWork : 1;
    const auto worth = weightOf(step.priority) * std::min(maxWorth, fixedShare + (1 - fixedShare) * relative);
    const auto density = worth * timeliness(step) / std::max(step.remainingWork, 1.0);
    return step.guaranteed ? guaranteedBonus + density : density;
}

double coresOf(const Resources& resources)
{
    return static_cast<double>(resources.milliCores) / 1000
        + coresPerAccelerator * static_cast<double>(resources.accelerators);
}

} // namespace jujubereach::fleet
