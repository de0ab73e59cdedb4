// Reads scenario files.
#include "scenario.h"
#include "check.h"

#include "fields.h"

#include <algorithm>

namespace jujubereach::scenarios {

namespace {

    constexpr int lastInvariant = 8;

    Result<std::vector<YAML::Node>> loadDocuments(const std::string& path)
    {
        try {
            return YAML::LoadAllFromFile(path);
        } catch (const YAML::Exception& error) {
            return fail({ ErrorCode::InvalidInput, "the file is not readable YAML", path, error.what() });
        }
    }

    // A topology in place, or the name of a file in topologies/ beside the scenario.
    Result<Topology> loadTopology(const YAML::Node& node, const std::string& path)
    {
        if (!node.IsScalar())
            return readTopology(node, path + ": topology");
        const auto folder = path.find('/') == std::string::npos ? "." : path.substr(0, path.rfind('/'));
        const auto file = folder + "/topologies/" + node.Scalar() + ".yaml";
        BOOST_LEAF_AUTO(documents, loadDocuments(file));
        return readTopology(documents.at(0), file);
    }

    Result<std::vector<Invariant>> readInvariants(const YAML::Node& node, const std::string& where)
    {
        std::vector<Invariant> invariants;
        for (const auto& element : node) {
            int number = 0;
            if (!YAML::convert<int>::decode(element, number) || number < 1 || number > lastInvariant)
                return fail({ ErrorCode::InvalidInput, "an invariant is a number from 1 to 8", where, {} });
            invariants.push_back(static_cast<Invariant>(number));
        }
        return invariants;
    }

    Result<void> readBounds(const YAML::Node& node, const std::string& where, Bounds& bounds)
    {
        Fields fields(node, where);
        bounds.partialGang = fields.duration("partialGangMs", bounds.partialGang);
        bounds.leavingUpstream = fields.duration("leavingUpstreamMs", bounds.leavingUpstream);
        bounds.manifestInForce = fields.duration("manifestInForceMs", bounds.manifestInForce);
        return fields.finish();
    }

    Result<void> readBody(Fields& fields, const std::string& path, Scenario& scenario)
    {
        scenario.name = fields.text("name");
        if (scenario.name.empty())
            return fail({ ErrorCode::InvalidInput, "a scenario needs a name", fields.where(), {} });
        scenario.failure = fields.text("failure", scenario.failure);
        scenario.seed
            = static_cast<std::uint64_t>(fields.number("seed", static_cast<std::int64_t>(scenario.seed)));
        scenario.watchesManifest = fields.flag("watchManifest", scenario.watchesManifest);
        scenario.brokenMechanism = fields.text("counter");
        JUJUBEREACH_CHECK(readBounds(fields.node("bounds"), fields.where() + ".bounds", scenario.bounds));
        if (fields.has("invariants")) {
            BOOST_LEAF_ASSIGN(scenario.invariants, readInvariants(fields.node("invariants"), fields.where()));
        }
        if (fields.has("topology")) {
            BOOST_LEAF_ASSIGN(scenario.topology, loadTopology(fields.node("topology"), path));
        }
        if (auto steps = fields.node("steps"); steps.IsSequence())
            scenario.steps = { steps.begin(), steps.end() };
        return fields.finish();
    }

    Result<Scenario> readScenario(
        const YAML::Node& node, const std::string& path, const std::vector<Scenario>& earlier)
    {
        Fields fields(node, path);
        Scenario scenario;
        if (const auto original = fields.text("counterOf"); !original.empty()) {
            auto found = std::find_if(earlier.begin(), earlier.end(),
                [&](const Scenario& other) { return other.name == original; });
            if (found == earlier.end())
                return fail({ ErrorCode::NotFound, "no earlier scenario has this name", path, original });
            scenario = *found;
        }
        JUJUBEREACH_CHECK(readBody(fields, path, scenario));
        if (scenario.steps.empty() || scenario.topology.zones.empty())
            return fail(
                { ErrorCode::InvalidInput, "a scenario needs a topology and steps", path, scenario.name });
        return scenario;
    }

} // namespace

Result<std::vector<Scenario>> readScenarios(const std::string& path)
{
    BOOST_LEAF_AUTO(documents, loadDocuments(path));
    std::vector<Scenario> scenarios;
    for (const auto& document : documents) {
        BOOST_LEAF_AUTO(scenario, readScenario(document, path, scenarios));
        scenarios.push_back(std::move(scenario));
    }
    return scenarios;
}

} // namespace jujubereach::scenarios
