// Steps that send requests, alone and as a flood, and look refusals up.
#include "check.h"
#include "steps.h"

#include <thread>

namespace jujubereach::scenarios {

namespace {

    constexpr Duration retryInterval { 200 };
    constexpr std::int64_t maxFloodCount = 5000;
    constexpr std::int64_t maxFloodThreads = 64;

    RequestSpec readRequest(Run& run, Fields& fields)
    {
        RequestSpec spec;
        spec.workspace = fields.text("workspace");
        spec.workClass = fields.text("class");
        spec.caller = fields.text("caller", "caller-1");
        spec.payload = fields.text("payload", run.unique("request"));
        spec.key = fields.text("key", spec.payload);
        spec.isRepeatable = fields.flag("repeatable", spec.isRepeatable);
        spec.deadline = fields.duration("deadlineMs", spec.deadline);
        return spec;
    }

    const char* nameOf(Ran ran)
    {
        if (ran == Ran::Unknown)
            return "unknown";
        return ran == Ran::Yes ? "yes" : "no";
    }

    std::string describe(const RequestCall& call)
    {
        if (call.ran == Ran::Yes)
            return "answered through " + call.host.str() + ": '" + call.body + "'";
        if (!call.answered)
            return "not answered by " + call.host.str();
        return "answered by " + call.host.str() + " with " + std::to_string(call.status) + " " + call.error
            + ": " + call.what + " (ran: " + nameOf(call.ran) + ")";
    }

    Result<void> checkSame(Run& run, const std::string& other, const RequestCall& call)
    {
        if (other.empty())
            return {};
        BOOST_LEAF_AUTO(first, run.request(other));
        if (first.body != call.body || first.status != call.status)
            return fail({ ErrorCode::Unknown, "the answers differ", first.body, call.body });
        run.narrate("  Both callers received the same answer.");
        return {};
    }

    struct RequestStep {
        RequestSpec spec;
        std::string name;
        std::string via;
        std::string expected; ///< "yes", "no", "unknown" or "any".
        Duration within;
    };

    Result<RequestCall> sendUntilExpected(Run& run, const RequestStep& step)
    {
        const auto end = steadyClock()() + step.within;
        for (;;) {
            BOOST_LEAF_AUTO(target, run.host(step.via));
            auto call = sendRequest(target, step.spec);
            call.name = step.name;
            run.add(call);
            if (step.expected == "any" || step.expected == nameOf(call.ran))
                return call;
            if (steadyClock()() >= end)
                return fail({ ErrorCode::Unknown,
                    "request '" + step.name + "' should have run: " + step.expected + ", but was "
                        + describe(call),
                    {}, {} });
            std::this_thread::sleep_for(retryInterval);
        }
    }

    // With "background" the call is under way while later steps are taken; its answer is left to the
    // observer.
    Result<void> request(Run& run, Fields& fields)
    {
        RequestStep step { readRequest(run, fields), {}, fields.text("via", "any"),
            fields.text("expect", "yes"), fields.duration("withinMs", Duration(0)) };
        step.name = fields.text("as", step.spec.payload);
        const auto sameAs = fields.text("sameAs");
        if (!fields.flag("background")) {
            BOOST_LEAF_AUTO(call, sendUntilExpected(run, step));
            run.narrate("  Request '" + step.name + "' was " + describe(call) + ".");
            return checkSame(run, sameAs, call);
        }
        BOOST_LEAF_AUTO(target, run.host(step.via));
        run.inBackground([&run, step, target] {
            auto call = sendRequest(target, step.spec);
            call.name = step.name;
            run.add(call);
        });
        return {};
    }

    struct Flood {
        RequestSpec spec; ///< Of each request; payload and key get a number.
        std::vector<Target> targets;
        std::int64_t count = 0;
        std::int64_t callers = 1;
        bool isDoubled = false; ///< Each request goes to two hosts at once under one key.
        std::atomic<std::int64_t> next { 0 };
    };

    void sendOne(Run& run, const Flood& flood, std::int64_t index)
    {
        auto spec = flood.spec;
        spec.payload += "-" + std::to_string(index);
        spec.key = spec.payload;
        spec.caller += "-" + std::to_string(index % flood.callers);
        const auto size = flood.targets.size();
        const auto& first = flood.targets[static_cast<std::size_t>(index) % size];
        std::thread second;
        if (flood.isDoubled) {
            const auto& other = flood.targets[static_cast<std::size_t>(index + 1) % size];
            second = std::thread([&run, spec, other] { run.add(sendRequest(other, spec)); });
        }
        run.add(sendRequest(first, spec));
        if (second.joinable())
            second.join();
    }

    void runFlood(Run& run, Flood& flood, std::int64_t threads)
    {
        std::vector<std::thread> senders;
        senders.reserve(static_cast<std::size_t>(threads));
        for (std::int64_t i = 0; i < threads; ++i) {
            senders.emplace_back([&] {
                for (auto index = flood.next++; index < flood.count; index = flood.next++)
                    sendOne(run, flood, index);
            });
        }
        for (auto& sender : senders)
            sender.join();
    }

    Result<void> readTargets(Run& run, Fields& fields, Flood& flood)
    {
        auto specs = fields.texts("via");
        if (specs.empty()) {
            for (const auto& host : run.fleet().liveHosts({}))
                specs.push_back(host.str());
        }
        for (const auto& spec : specs) {
            BOOST_LEAF_AUTO(target, run.host(spec));
            flood.targets.push_back(target);
        }
        return {};
    }

    Result<void> flood(Run& run, Fields& fields)
    {
        auto flood = std::make_shared<Flood>();
        flood->spec = readRequest(run, fields);
        flood->count = std::min(fields.number("count", 100), maxFloodCount);
        flood->callers = std::max<std::int64_t>(1, fields.number("callers", 1));
        flood->isDoubled = fields.flag("doubled");
        const auto threads = std::min(fields.number("parallel", 16), maxFloodThreads);
        JUJUBEREACH_CHECK(readTargets(run, fields, *flood));
        run.narrate("  " + std::to_string(flood->count) + " requests are sent, " + std::to_string(threads)
            + " at once.");
        if (fields.flag("background"))
            run.inBackground([&run, flood, threads] { runFlood(run, *flood, threads); });
        else
            runFlood(run, *flood, threads);
        return {};
    }

    // The refusal of a job or request is found by its reference, through any host.
    Result<void> refusals(Run& run, Fields& fields)
    {
        const auto name = fields.text("of");
        const auto via = fields.text("via", "any");
        std::string reference;
        for (const auto& call : run.refusedCalls()) {
            if (call.name == name)
                reference = call.reference;
        }
        if (reference.empty())
            return fail({ ErrorCode::NotFound, "no call was refused under this name", name, {} });
        return run.waitUntil("refusal " + reference + " is found",
            fields.duration("withinMs", Duration(10'000)), [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(target, run.host(via));
                HttpCall call;
                call.address = target.address;
                call.path = "/v1/refusals?reference=" + escapeQuery(reference);
                const auto result = callHttp(call);
                const auto list = result.json()->getArray("refusals");
                if (!result.isOk() || !list || list->size() == 0)
                    return false;
                run.narrate("  " + target.host.str()
                    + " knows the refusal: " + platform::toText(*list->getObject(0)));
                return true;
            });
    }

} // namespace

void addRequestSteps(Steps& steps)
{
    steps["request"] = request;
    steps["flood"] = flood;
    steps["refusals"] = refusals;
}

} // namespace jujubereach::scenarios
