#include "load.h"

#include <algorithm>
#include <cmath>

namespace jujubereach::bench {

namespace {

    constexpr double maxRelativeDraw = 6; ///< Largest draw, relative to the mean.

    // Lognormal, with a standard deviation of `spread` times the mean.
    double lognormal(Random& random, double mean, double spread)
    {
        const auto variance = std::log(1 + spread * spread);
        const auto normal = std::sqrt(-2 * std::log(1 - random.unit())) * std::cos(2 * M_PI * random.unit());
        return std::min(maxRelativeDraw * mean, mean * std::exp(std::sqrt(variance) * normal - variance / 2));
    }

    double rateAt(const Load& load, const ClassLoad& part, Duration at)
    {
        auto rate = part.jobsPerSecond;
        for (const auto& burst : load.bursts) {
            if (burst.priority == part.priority && at >= burst.from && at < burst.until)
                rate *= burst.factor;
        }
        return rate;
    }

    Arrival draw(Random& random, const ClassLoad& part, int index, Duration at)
    {
        constexpr double taskCountSpread = 0.8;
        constexpr double workSpread = 0.4;
        constexpr double taskTimeSpread = 0.2; ///< Among the tasks of one job.
        Arrival arrival;
        arrival.at = at;
        arrival.classIndex = index;
        fleet::StepSpec step;
        step.count
            = std::max(1, static_cast<int>(std::lround(lognormal(random, part.meanTasks, taskCountSpread))));
        step.resources
            = { part.milliCores, part.memoryMb, part.accelerators[random.below(part.accelerators.size())] };
        step.gang = part.gang;
        step.sameRack = part.gang && random.unit() < part.sameRackShare;
        step.checkpointing = random.unit() < part.checkpointShare;
        const auto work = lognormal(random, part.meanTaskMs, workSpread);
        const auto error = 1 + part.estimateError * (2 * random.unit() - 1);
        step.estimate = Duration(static_cast<std::int64_t>(work * error));
        for (int i = 0; i < step.count; ++i) {
            const auto share = step.gang ? 1 : lognormal(random, 1, taskTimeSpread);
            arrival.taskTimes.emplace_back(static_cast<std::int64_t>(std::max(50.0, work * share)));
        }
        arrival.spec.steps.push_back(step);
        return arrival;
    }

    const fleet::Resources largeWorker { 64'000, 262'144, 8 };

    Load small()
    {
        Load load { "gangs-40", 5, 8, { 64'000, 131'072, 8 }, {}, {} };
        load.classes = {
            { 0, 3, 4, 0.2, 2500, 3, 7500, 11'000, { 1, 2, 4, 8, 8 }, true, 0.8, 0, 1.5, Duration(500), 0.2 },
            { 1, 0.86, 3, 0.5, 8500, 4, 26'000, 53'000, { 1, 2, 4, 8, 8 }, true, 0.6, 0.45, 3, Duration(1200),
                0.5 },
            { 2, 1.06, 1, 0.5, 6100, 12, 5600, 15'000, { 1 }, false, 0, 0.45, 3, Duration(3000), 0.5 },
        };
        return load;
    }

    Load large()
    {
        Load load { "gangs-276", 23, 12, largeWorker, {}, {} };
        load.classes = {
            { 0, 8.9, 4, 0.2, 2500, 5, 7500, 39'000, { 1, 2, 4, 8, 8 }, true, 0.8, 0, 1.5, Duration(500),
                0.5 },
            { 1, 3.7, 3, 0.5, 6800, 10, 26'000, 110'000, { 1, 2, 4, 8, 8 }, true, 0.6, 0.45, 3,
                Duration(1200), 0.2 },
            { 2, 2.9, 1, 0.5, 7600, 30, 5600, 16'000, { 1 }, false, 0, 0.45, 3, Duration(3000), 0.9 },
        };
        return load;
    }

    // Bursts of wide gangs on a thousand workers: the owner has to decide a few hundred starts per second.
    Load huge()
    {
        Load load { "gangs-1104", 138, 8, largeWorker, {}, {} };
        load.classes = {
            { 0, 15.6, 4, 0.2, 2500, 8, 7500, 39'000, { 1, 2, 4, 8, 8 }, true, 0.8, 0, 1.5, Duration(500),
                0.5 },
            { 1, 2.74, 3, 0.3, 11'000, 26, 26'000, 110'000, { 1, 2, 4, 8, 8 }, true, 0.6, 0.45, 3,
                Duration(1200), 0.2 },
            { 2, 3.5, 1, 0.3, 9500, 78, 5600, 16'000, { 1 }, false, 0, 0.45, 3, Duration(3000), 0.9 },
        };
        load.bursts = { { 2, Duration(2000), Duration(8000), 2 }, { 0, Duration(4000), Duration(12'000), 3 },
            { 1, Duration(8000), Duration(14'000), 2 } };
        return load;
    }

} // namespace

std::vector<Arrival> arrivalsOf(const Load& load, std::uint64_t seed)
{
    constexpr Duration step { 10 };
    Random random(seed);
    std::vector<Arrival> arrivals;
    for (Duration at { 0 }; at < load.length; at += step) {
        for (std::size_t i = 0; i < load.classes.size(); ++i) {
            const auto& part = load.classes[i];
            if (random.unit() < rateAt(load, part, at) * static_cast<double>(step.count()) / 1000)
                arrivals.push_back(draw(random, part, static_cast<int>(i), at));
        }
    }
    return arrivals;
}

std::vector<Load> loads()
{
    auto smallBursts = small();
    smallBursts.name += "-urgent-flood";
    smallBursts.bursts
        = { { 0, Duration(5000), Duration(10'000), 3 }, { 1, Duration(12'000), Duration(16'000), 3 } };
    auto largeBursts = large();
    largeBursts.name += "-floods";
    largeBursts.bursts = { { 2, Duration(3000), Duration(8000), 2 },
        { 0, Duration(5000), Duration(10'000), 1.7 }, { 1, Duration(8000), Duration(12'000), 1.8 } };
    return { small(), smallBursts, large(), largeBursts, huge() };
}

} // namespace jujubereach::bench
