// Floods of one class, one caller who asks for far more than the others, and both with a host lost.
#include "report.h"
#include "zone.h"

#include <algorithm>

namespace jujubereach::bench {

namespace {

    constexpr Micros start = 5 * microsPerSecond;
    constexpr Micros end = 25 * microsPerSecond;
    constexpr Micros rest = 5 * microsPerSecond; // in which what was offered before the end is answered
    constexpr double floodFactor = 20;
    constexpr double keptBound = 95;
    constexpr double tailBound = 1.5;
    constexpr double usefulBound = 95;
    const char* const classes[] = { "check", "proof", "bulk" };

    struct Scenario {
        std::string name;
        std::vector<Stream> greedy;
        bool hostLost = false;
    };

    Tallies runScenario(Policy policy, const std::vector<Stream>& steady, const Scenario& scenario)
    {
        ZoneSetup setup;
        setup.policy = policy;
        Zone zone(setup);
        zone.measure(start, end);
        zone.addStreams(steady, 0, end);
        zone.addStreams(scenario.greedy, start - microsPerSecond, end);
        if (scenario.hostLost)
            zone.killHost(1, start + 5 * microsPerSecond);
        zone.run(end + rest);
        return zone.tallies();
    }

    double kept(const Tallies& quiet, const Tallies& loaded, const std::string& group)
    {
        return 100.0 * static_cast<double>(loaded.at(group).useful)
            / static_cast<double>(quiet.at(group).useful);
    }

    double usefulShare(const Tallies& tallies)
    {
        double slots = ZoneSetup().upstreams * ZoneSetup().slots;
        double measuredMs = static_cast<double>(end - start) / microsPerMs;
        return 100 * sumOf(tallies, "").usefulMs / (slots * measuredMs);
    }

    // Of one caller of the group.
    double rateOf(const std::vector<Stream>& streams, const std::string& group)
    {
        auto isOfGroup = [&](const Stream& stream) { return stream.group == group; };
        return std::find_if(streams.begin(), streams.end(), isOfGroup)->perSecond;
    }

    // The worst of the classes.
    std::pair<double, double> worst(const Tallies& quiet, const Tallies& loaded)
    {
        double least = 1000;
        double tail = 0;
        for (const char* workClass : classes) {
            std::string group = std::string("small-") + workClass;
            least = std::min(least, kept(quiet, loaded, group));
            tail = std::max(tail, loaded.at(group).p(0.99) / quiet.at(group).p(0.99));
        }
        return { least, tail };
    }

    void reportScenario(
        Report& out, const std::vector<Stream>& steady, const Tallies& quiet, const Scenario& scenario)
    {
        Tallies fair = runScenario(Policy::Fair, steady, scenario);
        auto [least, tail] = worst(quiet, fair);
        out.atLeast("flood_" + scenario.name + "_kept_throughput", least, "%", keptBound);
        out.atMost("small_" + scenario.name + "_p99_over_quiet", tail, "x", tailBound);
        out.atLeast("useful_" + scenario.name, usefulShare(fair), "%", usefulBound);

        for (const char* workClass : classes) {
            const Tally& tally = fair.at(std::string("small-") + workClass);
            out.figure("small_" + scenario.name + "_p99_" + workClass, tally.p(0.99), "ms");
        }

        Tallies fifo = runScenario(Policy::Fifo, steady, scenario);
        auto [fifoLeast, fifoTail] = worst(quiet, fifo);
        out.figure("flood_" + scenario.name + "_kept_throughput_fifo", fifoLeast, "%");
        out.figure("small_" + scenario.name + "_p99_over_quiet_fifo", fifoTail, "x");
        out.figure("useful_" + scenario.name + "_fifo", usefulShare(fifo), "%");
    }

} // namespace

void reportFloods(Report& out)
{
    double capacity = ZoneSetup().capacity();
    auto steady = steadyCallers(capacity);
    Tallies quiet = runScenario(Policy::Fair, steady, { "quiet", {}, false });
    for (const char* workClass : classes)
        out.figure(std::string("small_quiet_p99_") + workClass,
            quiet.at(std::string("small-") + workClass).p(0.99), "ms");

    auto least = flood("bulk", 20, floodFactor * capacity);
    auto most = flood("check", 20, floodFactor * capacity);
    auto large = flood("proof", 1, 100 * rateOf(steady, "small-proof"));
    auto both = flood("check", 20, floodFactor * capacity);
    both.insert(both.end(), large.begin(), large.end());

    reportScenario(out, steady, quiet, { "least_urgent", least, false });
    reportScenario(out, steady, quiet, { "most_urgent", most, false });
    reportScenario(out, steady, quiet, { "greedy_caller", large, false });
    reportScenario(out, steady, quiet, { "both_host_lost", both, true });
}

} // namespace jujubereach::bench
