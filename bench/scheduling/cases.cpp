#include "cases.h"

#include "subjects.h"
#include "world.h"

#include <cstdio>
#include <cstdlib>

namespace jujubereach::bench {

void comparePolicies(Report&, const Deployment& deployment, const std::vector<std::uint64_t>& seeds)
{
    for (auto seed : seeds) {
        auto stream = makeStream(deployment, seed);
        scheduling::Policy noLearn;
        noLearn.learnRunTimes = false;
        scheduling::Policy fcfs;
        fcfs.shortestFirst = false;
        for (auto& subject : { firstCome("fcfs", stream, false), firstCome("fcfs-backfill", stream, true),
                 jujubereach("jujubereach", stream), jujubereach("nolearn", stream, noLearn),
                 jujubereach("arrival", stream, fcfs) }) {
            auto f = play(stream, subject);
            std::printf("%s seed %lu %-14s jobs %zu mean %.0f s longest wait %.0f s fragTime %.3f fragGang "
                        "%.3f run %.2f used "
                        "%.3f done %zu failed %zu left %zu preempt %zu dec %lu work %lu cpu %.2f\n",
                deployment.name.c_str(), seed, subject.name.c_str(), stream.jobs.size(), f.completionMean,
                f.longestWait, f.fragTime, f.fragGang, f.largestRun, f.used, f.completed, f.refusedOrFailed,
                f.unfinished, f.preempted, f.decisions, f.work, f.cpuSeconds);
            for (auto& [name, c] : f.classes)
                std::printf("   %-8s n %zu mean %.0f p50 %.0f p99 %.0f wait mean %.1f p99 %.1f max %.1f\n",
                    name.c_str(), c.completion.size(), meanOf(c.completion), percentileOf(c.completion, 0.5),
                    percentileOf(c.completion, 0.99), meanOf(c.wait), percentileOf(c.wait, 0.99),
                    maxOf(c.wait));
        }
    }
}

} // namespace jujubereach::bench
