#include "jujubereach/fleet/queue-order.h"

#include <algorithm>

namespace jujubereach::fleet {

namespace {

    // What a job of a priority is worth: the urgent class a little more than the next, bulk far less.
    // From the ratio of the worth columns of both sites' sheets.
    double weightOf(int priority)
    {
        if (priority <= 0)
            return 4;
        return priority == 1 ? 3 : 1;
    }

    constexpr double fixedShare = 0.3; // Part of a job's worth that does not grow with its work.
    constexpr double maxWorth = 4; // Times the mean worth; the same source as the share.
    constexpr double lateShare = 0.35; // Worth of a late answer: 0.2 to 0.5 on the sheets.
    constexpr double tooLateShare = 0.01; // Still to be done, after everything else.
    constexpr double lateBound = 3; // Times the objective, up to which a late answer is worth something.
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
