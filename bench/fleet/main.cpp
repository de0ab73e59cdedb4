// Plays heavy loads in virtual time against the owner's policy and against first come, first served.
#include "player.h"

#include <algorithm>
#include <cstdio>

using namespace jujubereach;
using namespace jujubereach::bench;

namespace {

// The large loads take ten times as long to play as the small ones.
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
        load.name.c_str(), policy, sum.earned / sum.owed, sum.earnedByClass[0] / sum.owedByClass[0],
        sum.earnedByClass[1] / sum.owedByClass[1], sum.earnedByClass[2] / sum.owedByClass[2],
        sum.worstSeconds / seeds, sum.thrownAway / seeds, sum.ownerSeconds,
        1e6 * sum.ownerSeconds / std::max(1, sum.starts));
    std::fflush(stdout);
}

Outcome playAll(const Load& load, fleet::QueueOrder order)
{
    fleet::OwnerSettings settings;
    settings.checkpointInterval = Duration(1000);
    settings.order = order;
    Outcome sum;
    sum.worstSeconds = 0;
    for (std::uint64_t seed = 1; seed <= seedsOf(load); ++seed) {
        const auto one = play(load, seed, settings);
        sum.owed += one.owed;
        sum.earned += one.earned;
        for (std::size_t i = 0; i < classCount; ++i) {
            sum.owedByClass[i] += one.owedByClass[i];
            sum.earnedByClass[i] += one.earnedByClass[i];
        }
        sum.thrownAway += one.thrownAway;
        sum.worstSeconds += one.worstSeconds;
        sum.ownerSeconds += one.ownerSeconds;
        sum.starts += one.starts;
    }
    return sum;
}

// What the order by gain is for: callers get more, over the whole load and in its worst seconds.
bool beats(const Load& load, const char* what, double gain, double arrival)
{
    const auto broken = gain <= arrival;
    std::printf("BENCH name=%s-%s-over-arrival value=%.3f unit=ratio bound=>1 broken=%s\n", load.name.c_str(),
        what, gain / arrival, broken ? "yes" : "no");
    return !broken;
}

} // namespace

int main(int argc, char** argv)
{
    auto passed = true;
    for (const auto& load : loads()) {
        if (argc > 1 && load.name.find(argv[1]) == std::string::npos)
            continue;
        const auto gain = playAll(load, fleet::QueueOrder::ByUtility);
        const auto arrival = playAll(load, fleet::QueueOrder::ByArrival);
        print(load, "by-gain", gain);
        print(load, "by-arrival", arrival);
        passed = beats(load, "earned", gain.earned, arrival.earned) && passed;
        passed = beats(load, "worst-seconds", gain.worstSeconds, arrival.worstSeconds) && passed;
    }
    return passed ? 0 : 1;
}
