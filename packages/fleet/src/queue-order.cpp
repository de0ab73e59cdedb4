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
    constexpr double guaranteedBonus = 1e9;

} // namespace

double timeliness(double finish, double bound)
{
    if (finish <= bound)
        return 1;
    return finish <= lateBound * bound ? lateShare : tooLateShare;
}

double completionBound(double stretch, Duration idealDuration, Duration objective)
{
    return stretch * static_cast<double>(idealDuration.count()) + static_cast<double>(objective.count());
}

double rankOf(const WaitingStep& step, QueueOrder order)
{
    if (order == QueueOrder::ByArrival)
        return (step.guaranteed ? guaranteedBonus : 0) + static_cast<double>(step.age.count());
    const auto relative = step.meanWork > 0 ? step.work / step.meanWork : 1;
    const auto worth = weightOf(step.priority) * std::min(maxWorth, fixedShare + (1 - fixedShare) * relative);
    const auto inTime = timeliness(static_cast<double>((step.age + step.remaining).count()),
        completionBound(step.stretch, step.idealDuration, step.objective));
    const auto density = worth * inTime / std::max(step.remainingWork, 1.0);
    return step.guaranteed ? guaranteedBonus + density : density;
}

double coresOf(const Resources& resources)
{
    return static_cast<double>(resources.milliCores) / 1000
        + coresPerAccelerator * static_cast<double>(resources.accelerators);
}

} // namespace jujubereach::fleet
