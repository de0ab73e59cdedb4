// The platform's list of live and leaving machines. It is eventually consistent: no safety property may
// depend on it.
#pragma once

#include "jujubereach/base/error.h"
#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jujubereach::platform {

enum class MachineKind { EntryHost, Worker, Upstream };
enum class MachineState { Live, Leaving };

struct Machine {
    std::string id; ///< HostId, WorkerId ("<rack>/<index>") or UpstreamId, by kind.
    MachineKind kind = MachineKind::Worker;
    MachineState state = MachineState::Live;
    ZoneId zone;
    std::string address; ///< "ip:port"; of an entry host its inner port.
    std::string httpAddress; ///< Of an entry host its port for callers; else empty.
    std::uint32_t slots = 0; ///< Of an upstream: requests that it handles at the same time.
};

/// Reads the complete list of one zone, or of all zones when the zone is empty. Blocking.
using HostList = std::function<Result<std::vector<Machine>>(const ZoneId& zone)>;

HostList httpHostList(const std::string& address, Duration timeout, const std::string& caller);

/// Reports a machine to the platform; returns whether the platform accepted the report. Blocking. A machine
/// that stops sending heartbeats is removed from the list.
using HostHeartbeat = std::function<bool(const Machine& machine)>;

HostHeartbeat httpHostHeartbeat(const std::string& address, Duration timeout, const std::string& caller);

} // namespace jujubereach::platform
