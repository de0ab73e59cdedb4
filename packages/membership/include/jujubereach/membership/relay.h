// Who passes a new manifest on to whom inside a zone.
#pragma once

#include "jujubereach/base/id.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace jujubereach::membership {

/// Hosts that each host but a delegate passes a new manifest on to.
constexpr std::size_t relayFanout = 2;

/// The hosts to which `self` passes on the manifest with this counter once it is in force here. The
/// delegates, who watch the service, are the roots of trees that hold each other host once; the order of the
/// others turns with the counter, so that the load does too. A host that a lost message leaves out hears the
/// counter from its peers' probes and asks for it.
std::vector<HostId> relayTargets(
    const std::vector<HostId>& live, const ZoneId& zone, const HostId& self, std::uint64_t counter);

} // namespace jujubereach::membership
