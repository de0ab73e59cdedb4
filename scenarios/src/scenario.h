// A scenario as its file tells it.
#pragma once

#include "evidence.h"
#include "observer.h"
#include "topology.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <string>
#include <vector>

namespace jujubereach::scenarios {

struct Scenario {
    std::string name;
    std::string failure = "none"; ///< What is broken, in one or a few words.
    std::vector<Invariant> invariants; ///< The ones under proof.
    std::uint64_t seed = 1;
    /// Mechanism that the daemons switch off; empty but for a counter-check, which must end broken.
    std::string brokenMechanism;
    bool watchesManifest = false; ///< Reads every host's manifest all the time.
    Bounds bounds;
    Topology topology;
    std::vector<YAML::Node> steps; ///< Each a map with one step's name, and "say" where it is narrated.

    bool isCounterCheck() const { return !brokenMechanism.empty(); }
};

/// Reads every scenario of a file, one for each YAML document. A document with "counterOf" is the twin of an
/// earlier scenario of the file, with a mechanism switched off.
Result<std::vector<Scenario>> readScenarios(const std::string& path);

} // namespace jujubereach::scenarios
