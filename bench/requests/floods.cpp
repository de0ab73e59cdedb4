// Floods of one class, one caller who asks for far more than the others, and both with a host lost.
#include "report.h"
#include "zone.h"

#include <algorithm>

namespace jujubereach::bench {

namespace {

    constexpr Micros start = 5 * microsPerSecond;
    constexpr Micros end = 25 * microsPerSecond;
    constexpr Micros rest = 5 * microsPerSecond; // in which what was offered before the end is answered
    constexpr std::uint64_t seeds = 3;
    constexpr double floodFactor = 20;
    constexpr double keptBound = 95;
    constexpr double tailBound = 1.5;
    constexpr double usefulBound = 95;
    const char* const classes[] = { "check", "proof", "bulk" };

    struct Scenario {
        std::string name;
        std::vector<Stream> greedy = {};
        HostLoss loss = HostLoss::None;
    };

    struct Callers {
        std::vector<Stream> steady;
        std::vector<Tallies> quiet; // of the steady callers alone, by seed
    };

    Tallies runScenario(
        Policy policy, std::uint64_t seed, const std::vector<Stream>& steady, const Scenario& scenario)
    {
        ZoneSetup setup;
        setup.policy = policy;
        setup.seed = seed;
        Zone zone(setup);
        zone.measure(start, end);
        zone.addStreams(steady, 0, end);
        zone.addStreams(scenario.greedy, start - microsPerSecond, end);
        if (scenario.loss != HostLoss::None)
            zone.loseHost(1, scenario.loss, start + 5 * microsPerSecond);
        zone.run(end + rest);
        return zone.tallies();
    }

    /// The worst of the seeds and of the classes.
    struct Worst {
        double keptPercent = 1000;
        double tailRatio = 0;
        double usefulPercent = 1000;
    };

    double usefulShare(const Tallies& tallies)
    {
        double slots = ZoneSetup().upstreams * ZoneSetup().slots;
        double measuredMs = static_cast<double>(end - start) / microsPerMs;
        return 100 * sumOf(tallies, "").usefulMs / (slots * measuredMs);
    }

    void addTo(Worst& worst, const Tallies& quiet, const Tallies& loaded)
    {
        for (const char* workClass : classes) {
            const Tally& before = quiet.at(std::string("small-") + workClass);
            const Tally& after = loaded.at(std::string("small-") + workClass);
            double kept = 100.0 * static_cast<double>(after.useful) / static_cast<double>(before.useful);
            worst.keptPercent = std::min(worst.keptPercent, kept);
            worst.tailRatio = std::max(worst.tailRatio, after.p(0.99) / before.p(0.99));
        }
        worst.usefulPercent = std::min(worst.usefulPercent, usefulShare(loaded));
    }

    void reportScenario(Report& out, const Callers& callers, const Scenario& scenario)
    {
        Worst fair;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            addTo(fair, callers.quiet[seed - 1], runScenario(Policy::Fair, seed, callers.steady, scenario));
        out.atLeast("flood_" + scenario.name + "_kept_throughput", fair.keptPercent, "%", keptBound);
        out.atMost("small_" + scenario.name + "_p99_over_quiet", fair.tailRatio, "x", tailBound);
        out.atLeast("useful_" + scenario.name, fair.usefulPercent, "%", usefulBound);

        Worst fifo;
        addTo(fifo, callers.quiet[0], runScenario(Policy::Fifo, 1, callers.steady, scenario));
        out.figure("flood_" + scenario.name + "_kept_throughput_fifo", fifo.keptPercent, "%");
        if (fifo.tailRatio > 0) // there were answers
            out.figure("small_" + scenario.name + "_p99_over_quiet_fifo", fifo.tailRatio, "x");
        out.figure("useful_" + scenario.name + "_fifo", fifo.usefulPercent, "%");
    }

    // Of one caller of the group.
    double rateOf(const std::vector<Stream>& streams, const std::string& group)
    {
        auto isOfGroup = [&](const Stream& stream) { return stream.group == group; };
        return std::find_if(streams.begin(), streams.end(), isOfGroup)->perSecond;
    }

} // namespace

void reportFloods(Report& out)
{
    double capacity = ZoneSetup().capacity();
    Callers callers { steadyCallers(capacity), {} };
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        callers.quiet.push_back(runScenario(Policy::Fair, seed, callers.steady, { "quiet", {} }));
    for (const char* workClass : classes) {
        const Tally& tally = callers.quiet[0].at(std::string("small-") + workClass);
        out.figure(std::string("small_quiet_p99_") + workClass, tally.p(0.99), "ms");
    }

    auto least = flood("bulk", 20, floodFactor * capacity);
    auto most = flood("check", 20, floodFactor * capacity);
    auto large = flood("proof", 1, 100 * rateOf(callers.steady, "small-proof"));
    auto both = most;
    both.insert(both.end(), large.begin(), large.end());

    reportScenario(out, callers, { "least_urgent", least });
    reportScenario(out, callers, { "most_urgent", most });
    reportScenario(out, callers, { "greedy_caller", large });
    reportScenario(out, callers, { "both_host_killed", both, HostLoss::Killed });
    reportScenario(out, callers, { "both_host_silent", both, HostLoss::Silent });
}

} // namespace jujubereach::bench
