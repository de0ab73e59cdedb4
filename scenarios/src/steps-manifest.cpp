// Steps of operators: changes of the manifest, alone and racing.
#include "steps.h"

#include <algorithm>
#include <thread>

namespace jujubereach::scenarios {

namespace {

    constexpr Duration retryInterval { 300 };

    Revision latestRevision(const Run& run)
    {
        Revision latest;
        for (const auto& change : run.manifestChanges())
            latest = std::max(latest, change.revision);
        return latest;
    }

    bool isExpected(const ManifestChange& change, const std::string& expected)
    {
        if (expected == "any")
            return true;
        if (expected == "accepted")
            return change.revision.value > 0;
        if (expected == "conflict")
            return change.status == 409;
        return expected == "refused" && change.answered && change.status == 400;
    }

    std::string describe(const ManifestChange& change)
    {
        if (change.revision.value > 0)
            return "accepted by " + change.host.str() + " as revision "
                + std::to_string(change.revision.value);
        if (!change.answered)
            return "not answered by " + change.host.str();
        return "refused by " + change.host.str() + " with " + std::to_string(change.status) + " "
            + change.error + ": " + change.what;
    }

    // With "withinMs" the operator retries the same operation until the answer is as expected.
    Result<void> apply(Run& run, Fields& fields)
    {
        const auto via = fields.text("via", "any");
        const auto expected = fields.text("expect", "accepted");
        const auto document = run.newDocumentName();
        const auto json = run.scenario().topology.manifestJson(document, fields.node("change"));
        const auto operation = run.unique(run.scenario().name + "-operation");
        const auto base = fields.flag("noBase") ? Revision {} : latestRevision(run);
        const auto end = steadyClock()() + fields.duration("withinMs", Duration(0));
        for (;;) {
            BOOST_LEAF_AUTO(target, run.host(via));
            const auto change = applyManifest(target, document, json, operation, base);
            run.add(change);
            if (isExpected(change, expected)) {
                run.narrate("  The manifest '" + document + "' was " + describe(change) + ".");
                return {};
            }
            if (steadyClock()() >= end)
                return fail({ ErrorCode::Unknown,
                    "the manifest should be " + expected + ", but was " + describe(change), {}, {} });
            std::this_thread::sleep_for(retryInterval);
        }
    }

    // Operators change the manifest at once from the same base; exactly one may win.
    Result<void> race(Run& run, Fields& fields)
    {
        const auto base = latestRevision(run);
        std::vector<Target> targets;
        for (const auto& spec : fields.texts("via")) {
            BOOST_LEAF_AUTO(target, run.host(spec));
            targets.push_back(target);
        }
        const auto expectedWinners = fields.number("winners", 1);
        std::vector<ManifestChange> changes(targets.size());
        std::vector<std::thread> operators;
        operators.reserve(targets.size());
        for (std::size_t i = 0; i < targets.size(); ++i) {
            operators.emplace_back([&, i] {
                const auto document = run.newDocumentName();
                changes[i] = applyManifest(targets[i], document,
                    run.scenario().topology.manifestJson(document, {}), run.unique("race"), base);
            });
        }
        for (auto& thread : operators)
            thread.join();
        for (const auto& change : changes) {
            run.add(change);
            run.narrate("  The manifest '" + change.document + "' was " + describe(change) + ".");
        }
        const auto winners = std::count_if(changes.begin(), changes.end(),
            [](const ManifestChange& change) { return change.revision.value > 0; });
        if (winners != expectedWinners)
            return fail({ ErrorCode::Conflict,
                std::to_string(winners) + " racing changes were accepted, but "
                    + std::to_string(expectedWinners) + " should be",
                {}, {} });
        return {};
    }

} // namespace

void addManifestSteps(Steps& steps)
{
    steps["apply"] = apply;
    steps["race"] = race;
}

} // namespace jujubereach::scenarios
