#include "areabound.h"

#include <algorithm>
#include <queue>

namespace jujubereach::bench {

namespace {

    struct PendingJob {
        double area; ///< Accelerator-seconds.
        double arrived;
        double runTime;

        bool operator<(const PendingJob& other) const { return area > other.area; }
    };

    bool willComplete(const StreamJob& job)
    {
        return !job.cancelledAt && !job.failsAlways;
    }

} // namespace

double areaBound(const Stream& stream)
{
    auto seconds = [](auto time) { return static_cast<double>(time.count()) / 1000; };
    auto speed = static_cast<double>(stream.workers) * acceleratorsPerWorker;
    std::priority_queue<PendingJob> queue;
    double now = 0;
    double sum = 0;
    auto serveUntil = [&](double until) {
        while (!queue.empty() && now < until) {
            auto next = queue.top();
            queue.pop();
            auto end = now + next.area / speed;
            if (end > until) {
                next.area -= (until - now) * speed;
                queue.push(next);
                break;
            }
            now = end;
            sum += std::max(end - next.arrived, next.runTime);
        }
        now = std::max(now, until);
    };
    std::size_t count = 0;
    for (const auto& job : stream.jobs) {
        if (!willComplete(job))
            continue;
        serveUntil(seconds(job.arrives.time_since_epoch()));
        queue.push({ seconds(job.runTime) * job.spec.accelerators, now, seconds(job.runTime) });
        ++count;
    }
    serveUntil(1e18);
    return count > 0 ? sum / static_cast<double>(count) : 0;
}

} // namespace jujubereach::bench
