// Upstreams that are lost: load that retries add, and how soon service is back.
#include "report.h"
#include "zone.h"

namespace jujubereach::bench {

namespace {

    constexpr Micros outageStart = 10 * microsPerSecond;
    constexpr Micros outageEnd = 20 * microsPerSecond;
    constexpr Micros end = 30 * microsPerSecond;
    constexpr Micros rest = 5 * microsPerSecond;
    constexpr double retryBound = 10;
    constexpr double recoveryBound = 95;

    struct Outcome {
        double retryShare = 0; // of the first sends
        double usefulAfter = 0; // of what was offered in the last five seconds
    };

    Outcome runOutage(Fault fault, int lost, const dispatch::RetryLimits& retries)
    {
        ZoneSetup setup;
        setup.retries = retries;
        Zone zone(setup);
        zone.addStreams(steadyCallers(setup.capacity()), 0, end);
        auto setFault = [lost](Fault to) {
            return [lost, to](ModelUpstreams& upstreams) {
                int left = lost;
                for (auto& [id, upstream] : upstreams.all()) {
                    if (left-- > 0)
                        upstream.fault = to;
                }
            };
        };
        zone.at(outageStart, setFault(fault));
        zone.at(outageEnd, setFault(Fault::None));
        zone.measure(end - 5 * microsPerSecond, end);
        zone.run(end + rest);
        Tally after = sumOf(zone.tallies(), "");
        const ZoneCounts& counts = zone.counts();
        return { 100.0 * static_cast<double>(counts.retries) / static_cast<double>(counts.firstSends),
            100.0 * static_cast<double>(after.useful) / static_cast<double>(after.offered) };
    }

    void report(Report& out, const std::string& name, Fault fault, int lost)
    {
        Outcome budgeted = runOutage(fault, lost, {});
        out.atMost("retry_load_" + name, budgeted.retryShare, "%", retryBound);
        out.atLeast("useful_after_" + name, budgeted.usefulAfter, "%", recoveryBound);
        dispatch::RetryLimits unbounded;
        unbounded.budget = 1000;
        unbounded.burst = 1e9;
        out.figure(
            "retry_load_" + name + "_without_budget", runOutage(fault, lost, unbounded).retryShare, "%");
    }

} // namespace

void reportOutages(Report& out)
{
    const int all = ZoneSetup().upstreams;
    report(out, "all_unreachable", Fault::Unreachable, all);
    report(out, "all_silent", Fault::Silent, all);
    report(out, "all_failing", Fault::Failing, all);
    report(out, "quarter_failing", Fault::Failing, all / 4);
}

} // namespace jujubereach::bench
