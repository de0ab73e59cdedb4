// Steps that wait for a state, with a generous limit.
#include "check.h"
#include "gang-history.h"
#include "steps.h"

#include <algorithm>

namespace jujubereach::scenarios {

namespace {

    constexpr Duration defaultLimit { 30'000 };

    Result<std::vector<Target>> targetsOf(Run& run, const std::vector<std::string>& specs)
    {
        std::vector<Target> targets;
        if (specs == std::vector<std::string> { "all" }) {
            for (const auto& host : run.fleet().liveHosts({}))
                targets.push_back({ host, run.fleet().find(host.str())->address });
            return targets;
        }
        for (const auto& spec : specs) {
            BOOST_LEAF_AUTO(target, run.host(spec));
            targets.push_back(target);
        }
        return targets;
    }

    bool isReady(const Target& target)
    {
        HttpCall call;
        call.address = target.address;
        call.path = "/readyz";
        return callHttp(call).isOk();
    }

    std::string documentOf(const Target& target)
    {
        HttpCall call;
        call.address = target.address;
        call.path = "/v1/manifest";
        const auto result = callHttp(call);
        return result.isOk() ? result.json()->optValue<std::string>("name", {}) : std::string();
    }

    Result<void> waitReady(Run& run, Fields& fields, Duration limit)
    {
        BOOST_LEAF_AUTO(targets, targetsOf(run, fields.texts("ready")));
        return run.waitUntil("hosts are ready", limit,
            [&]() -> Result<bool> { return std::all_of(targets.begin(), targets.end(), isReady); });
    }

    // The latest accepted manifest is shown by every named host.
    Result<void> waitInForce(Run& run, Fields& fields, Duration limit)
    {
        BOOST_LEAF_AUTO(targets, targetsOf(run, fields.texts("inForce")));
        ManifestChange latest;
        for (const auto& change : run.manifestChanges()) {
            if (change.revision > latest.revision)
                latest = change;
        }
        return run.waitUntil("manifest '" + latest.document + "' is in force", limit, [&]() -> Result<bool> {
            return std::all_of(targets.begin(), targets.end(),
                [&](const Target& target) { return documentOf(target) == latest.document; });
        });
    }

    // {job, state, via}: a state that hosts tell, such as "running" or "ended:completed".
    Result<void> waitJob(Run& run, Fields& fields, Duration limit)
    {
        const auto name = fields.text("job");
        const auto wanted = fields.text("state", "ended:completed");
        const auto via = fields.text("via", "any");
        BOOST_LEAF_AUTO(job, run.job(name));
        std::string seen;
        auto waited = outcomeOf([&]() -> Result<bool> {
            JUJUBEREACH_CHECK(run.waitUntil("job '" + name + "' is " + wanted, limit, [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(target, run.host(via));
                seen = jobState(target, job);
                return seen == wanted;
            }));
            return true;
        });
        if (!waited)
            return fail({ waited.error.code, waited.error.what + "; last seen '" + seen + "'", {}, {} });
        run.narrate("  Job '" + name + "' is " + wanted + ".");
        return {};
    }

    // {started: job}: the whole gang runs, as its workers recorded it.
    Result<void> waitStarted(Run& run, Fields& fields, Duration limit)
    {
        const auto name = fields.text("started");
        BOOST_LEAF_AUTO(job, run.job(name));
        const auto size = fields.number("accelerators", 0);
        return run.waitUntil("job '" + name + "' runs whole", limit, [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(evidence, run.records());
            const auto now = systemWallClock()();
            const auto runs = gangRuns(evidence);
            return std::any_of(runs.begin(), runs.end(), [&](const GangRun& gang) {
                return jobOf(gang.gang) == job && gang.runningAt(now) >= std::max<std::uint32_t>(1, size);
            });
        });
    }

    // {completed: job}: a whole gang completed, as its workers recorded it.
    Result<void> waitCompleted(Run& run, Fields& fields, Duration limit)
    {
        const auto name = fields.text("completed");
        BOOST_LEAF_AUTO(job, run.job(name));
        return run.waitUntil("job '" + name + "' has completed on its workers", limit, [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(evidence, run.records());
            const auto runs = gangRuns(evidence);
            return std::any_of(runs.begin(), runs.end(),
                [&](const GangRun& gang) { return jobOf(gang.gang) == job && gang.completed(); });
        });
    }

    // {working: upstream or payload, count}: requests that an upstream has started.
    Result<void> waitWorking(Run& run, Fields& fields, Duration limit)
    {
        const auto what = fields.text("working");
        const auto count = fields.number("count", 1);
        return run.waitUntil(what + " has started " + std::to_string(count), limit, [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(evidence, run.records());
            return std::count_if(evidence.upstreams.begin(), evidence.upstreams.end(),
                       [&](const UpstreamEvent& event) {
                           return event.kind == "start"
                               && (event.upstream.str() == what || event.body == what);
                       })
                >= count;
        });
    }

    // {owner: zone, not: host}: a host holds leases of the zone's workers.
    Result<void> waitOwner(Run& run, Fields& fields, Duration limit)
    {
        const auto zone = fields.text("owner");
        const auto other = fields.text("not");
        HostId excluded;
        if (!other.empty()) {
            BOOST_LEAF_AUTO(target, run.host(other));
            excluded = target.host;
        }
        return run.waitUntil("zone " + zone + " has an owner", limit, [&]() -> Result<bool> {
            const auto owner = outcomeOf([&] { return run.host("owner-of:" + zone); });
            return owner && owner.value->host != excluded;
        });
    }

    Result<void> wait(Run& run, Fields& fields)
    {
        const auto limit = fields.duration("limitMs", defaultLimit);
        if (fields.has("ready"))
            return waitReady(run, fields, limit);
        if (fields.has("inForce"))
            return waitInForce(run, fields, limit);
        if (fields.has("started"))
            return waitStarted(run, fields, limit);
        if (fields.has("completed"))
            return waitCompleted(run, fields, limit);
        if (fields.has("working"))
            return waitWorking(run, fields, limit);
        if (fields.has("owner"))
            return waitOwner(run, fields, limit);
        return waitJob(run, fields, limit);
    }

} // namespace

void addWaitSteps(Steps& steps)
{
    steps["wait"] = wait;
}

} // namespace jujubereach::scenarios
