// Steps that break and mend what lies around the entry hosts.
#include "gang-history.h"
#include "steps.h"

#include <thread>

namespace jujubereach::scenarios {

namespace {

    // Any switches of a stand-in: {of: <stand-in>, set: {...}}.
    Result<void> fault(Run& run, Fields& fields)
    {
        const auto switches = toJson(fields.node("set"));
        const auto name = fields.text("of");
        run.narrate("  " + name + ": " + switches.toString());
        return run.fleet().control(name, switches.toString());
    }

    // A worker that runs a task of the job is lost with its tasks.
    Result<void> loseWorker(Run& run, Fields& fields)
    {
        BOOST_LEAF_AUTO(job, run.job(fields.text("of")));
        BOOST_LEAF_AUTO(evidence, run.records());
        for (const auto& gang : gangRuns(evidence)) {
            if (jobOf(gang.gang) != job || gang.lastEnd())
                continue;
            const auto& worker = gang.tasks.front().worker;
            const auto* zone = run.scenario().topology.zoneOf(worker);
            run.narrate("  Worker " + worker.str() + " is lost.");
            return run.fleet().control(
                "workers-" + zone->id.str(), R"({"die":true,"worker":")" + worker.str() + "\"}");
        }
        return fail({ ErrorCode::NotFound, "no worker runs the job", job.str(), {} });
    }

    Step platformStep(const std::string& switches, const std::string& sentence)
    {
        return [=](Run& run, Fields& fields) -> Result<void> {
            fields.text("");
            run.narrate("  " + sentence);
            return run.fleet().control("platform", switches);
        };
    }

    // The next replies to writes are lost after the write took effect.
    Result<void> loseReplies(Run& run, Fields& fields)
    {
        const auto count = fields.number("count", 0);
        const auto percent = fields.number("percent", 0);
        return run.fleet().control("platform",
            R"({"kv":{"loseReplies":)" + std::to_string(count) + R"(,"losePercent":)"
                + std::to_string(percent) + "}}");
    }

    Result<void> cut(Run& run, Fields& fields)
    {
        std::set<HostId> hosts;
        std::set<std::string> otherCallers;
        for (const auto& spec : fields.texts("hosts")) {
            BOOST_LEAF_AUTO(target, run.host(spec));
            hosts.insert(target.host);
        }
        for (const auto& id : fields.texts("zone")) {
            for (const auto& zone : run.scenario().topology.zones) {
                if (zone.id != ZoneId(id))
                    continue;
                hosts.insert(zone.hosts.begin(), zone.hosts.end());
                for (const auto& upstream : zone.upstreams)
                    otherCallers.insert(upstream.str());
                // The workers of a zone report under the name of its first one.
                if (!zone.racks.empty())
                    otherCallers.insert(zone.racks.front().id.str() + "/0");
            }
        }
        if (hosts.empty())
            return fail(
                { ErrorCode::InvalidInput, "name hosts or a zone of the topology", fields.where(), {} });
        run.narrate("  " + std::to_string(hosts.size()) + " hosts are cut off.");
        return run.cut(
            hosts, otherCallers, fields.flag("fromPlatform", true), fields.flag("fromPeers", true));
    }

    Result<void> heal(Run& run, Fields& fields)
    {
        fields.text("");
        run.narrate("  Every cut is healed.");
        return run.cut({}, {}, false, false);
    }

    // An upstream begins to leave. A quiet one is listed as leaving, but still runs what it is sent.
    Result<void> drain(Run& run, Fields& fields)
    {
        const auto name = fields.has("") ? fields.text("") : fields.text("upstream");
        const bool isQuiet = fields.flag("quiet");
        run.narrate("  Upstream " + name + " begins to leave.");
        return run.fleet().control(
            name, isQuiet ? R"({"leaving":true,"quiet":true})" : R"({"leaving":true})");
    }

    // Lets time pass where a bound itself is the subject.
    Result<void> elapse(Run&, Fields& fields)
    {
        std::this_thread::sleep_for(fields.duration("", Duration(0)));
        return {};
    }

} // namespace

void addFaultSteps(Steps& steps)
{
    steps["fault"] = fault;
    steps["lose-worker"] = loseWorker;
    steps["outage"] = platformStep(R"({"kv":{"outage":true}})", "The key-value service is down.");
    steps["restore"] = platformStep(
        R"({"kv":{"outage":false,"slowMs":0,"loseReplies":0,"losePercent":0},"hosts":{"outage":false}})",
        "The key-value service is back.");
    steps["lose-replies"] = loseReplies;
    steps["cut"] = cut;
    steps["heal"] = heal;
    steps["drain"] = drain;
    steps["elapse"] = elapse;
}

} // namespace jujubereach::scenarios
