// Plays heavy loads in virtual time against the owner's policy and against first come, first served.
#include "player.h"

#include <cstdio>
#include <cstring>

using namespace jujubereach;
using namespace jujubereach::bench;

namespace {

constexpr std::uint64_t seeds = 3;

void print(const Load& load, const char* policy, const Outcome& sum)
{
    std::printf(
        "BENCH name=%s-%s earned=%.3f urgent=%.3f next=%.3f bulk=%.3f worst-seconds=%.3f thrown-away=%.3f "
        "cpu-s=%.1f\n",
        load.name.c_str(), policy, sum.earned / sum.owed, sum.earnedByClass[0] / sum.owedByClass[0],
        sum.earnedByClass[1] / sum.owedByClass[1], sum.earnedByClass[2] / sum.owedByClass[2],
        sum.worstSeconds / seeds, sum.thrownAway / seeds, sum.ownerSeconds);
    std::fflush(stdout);
}

Outcome playAll(const Load& load, const fleet::OwnerSettings& settings)
{
    Outcome sum;
    sum.worstSeconds = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
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
    }
    return sum;
}

} // namespace

int main(int argc, char** argv)
{
    for (const auto& load : loads()) {
        if (argc > 1 && load.name.find(argv[1]) == std::string::npos)
            continue;
        fleet::OwnerSettings settings;
        settings.checkpointInterval = Duration(1000);
        print(load, "by-gain", playAll(load, settings));
        settings.order = fleet::QueueOrder::ByArrival;
        print(load, "by-arrival", playAll(load, settings));
    }
    return 0;
}
