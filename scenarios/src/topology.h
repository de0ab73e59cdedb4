// Which machines a scenario starts, and the manifest that describes them.
#pragma once

#include "jujubereach/base/error.h"
#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jujubereach::scenarios {

struct RackSpec {
    RackId id;
    std::uint32_t workers = 0;
};

struct ZoneSpec {
    ZoneId id;
    RegionId region;
    std::vector<HostId> hosts;
    std::vector<RackSpec> racks; ///< One domain.
    std::vector<UpstreamId> upstreams;
};

struct Topology {
    std::vector<ZoneSpec> zones;
    std::uint32_t acceleratorsPerWorker = 8;
    std::uint32_t slots = 8;
    Duration serviceTime { 20 };
    Duration hostListLag { 500 };
    std::uint32_t writesPerSecond = 500;
    std::uint32_t readsPerSecond = 2000;
    std::vector<std::string> hostFlags; ///< Added to the command line of each entry host.
    YAML::Node manifest; ///< Classes, workspaces and limits; the zones are added from above.

    const ZoneSpec* zoneOf(const HostId& host) const;
    const ZoneSpec* zoneOf(const WorkerId& worker) const;
    /// Index of each worker's first accelerator in the line of its domain.
    std::map<WorkerId, std::uint32_t> firstAccelerators() const;
    /// The manifest as JSON under a document name. `change` replaces its top-level fields.
    std::string manifestJson(const std::string& documentName, const YAML::Node& change) const;
};

Result<Topology> readTopology(const YAML::Node& node, const std::string& where);

} // namespace jujubereach::scenarios
