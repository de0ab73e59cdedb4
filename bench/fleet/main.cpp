// Simulates heavy loads in virtual time under the owner's policy and under first come, first served.
#include "player.h"

#include <algorithm>
#include <cstdio>

using namespace jujubereach;
using namespace jujubereach::bench;

namespace {

// Large loads take ten times as long to simulate as small ones.
std::uint64_t seedsOf(const Load& load)
{
    constexpr int manyWorkers = 100;
    return load.racks * load.workersPerRack > manyWorkers ? 1 : 3;
}

void print(const Load& load, const char* policy, const Outcome& sum)
{
    const auto seeds = static_cast<double>(seedsOf(load));
    std::printf(
        "BENCH name=%s-%s earned=%.3f urgent=%.3f next=%.3f bulk=%.3f worst-seconds=%.3f thrown-away=%.3f "
        "cpu-s=%.1f us-a-start=%.0f\n",
        load.name.c_str(), policy, sum.earned / sum.offered, sum.earnedByClass[0] / sum.offeredByClass[0],
        sum.earnedByClass[1] / sum.offeredByClass[1], sum.earnedByClass[2] / sum.offeredByClass[2],
        sum.worstWindow / seeds, sum.wastedShare / seeds, sum.ownerSeconds,
        1e6 * sum.ownerSeconds / std::max(1, sum.starts));
    std::fflush(stdout);
}

Outcome simulateAll(const Load& load, fleet::QueueOrder order)
{
    fleet::OwnerSettings settings;
    settings.checkpointInterval = Duration(1000);
    settings.order = order;
    Outcome sum;
    sum.worstWindow = 0;
    for (std::uint64_t seed = 1; seed <= seedsOf(load); ++seed) {
        const auto one = simulate(load, seed, settings);
        sum.offered += one.offered;
        sum.earned += one.earned;
        for (std::size_t i = 0; i < classCount; ++i) {
            sum.offeredByClass[i] += one.offeredByClass[i];
            sum.earnedByClass[i] += one.earnedByClass[i];
        }
        sum.wastedShare += one.wastedShare;
        sum.worstWindow += one.worstWindow;
        sum.ownerSeconds += one.ownerSeconds;
        sum.starts += one.starts;
    }
    return sum;
}

// The order by utility must earn more utility, over the whole load and in its worst window.
bool beats(const Load& load, const char* what, double byUtility, double byArrival)
{
    const auto broken = byUtility <= byArrival;
    std::printf("BENCH name=%s-%s-over-arrival value=%.3f unit=ratio bound=>1 broken=%s\n", load.name.c_str(),
        what, byUtility / byArrival, broken ? "yes" : "no");
    return !broken;
}

} // namespace

int main(int argc, char** argv)
{
    auto passed = true;
    for (const auto& load : loads()) {
        if (argc > 1 && load.name.find(argv[1]) == std::string::npos)
            continue;
        const auto byUtility = simulateAll(load, fleet::QueueOrder::ByUtility);
        const auto byArrival = simulateAll(load, fleet::QueueOrder::ByArrival);
        print(load, "by-gain", byUtility);
        print(load, "by-arrival", byArrival);
        passed = beats(load, "earned", byUtility.earned, byArrival.earned) && passed;
        passed = beats(load, "worst-seconds", byUtility.worstWindow, byArrival.worstWindow) && passed;
    }
    return passed ? 0 : 1;
}
