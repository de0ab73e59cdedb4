// What the admission queue tells the metrics.
#pragma once

#include "jujubereach/admission/request.h"

#include <array>
#include <vector>

namespace jujubereach::admission {

constexpr std::size_t refusalReasons = static_cast<std::size_t>(RefusalReason::NoUpstream) + 1;

struct WaitingOf {
    ClassId workClass;
    WorkspaceId workspace;
    std::uint32_t waiting = 0;
    std::uint32_t callers = 0; ///< With a request that waits.
    Duration oldest { 0 }; ///< Longest wait so far.
    Duration meanTook { 0 }; ///< Estimated slot time of one request.
};

struct Snapshot {
    std::uint32_t slots = 0;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint64_t admitted = 0; ///< Since the start, as are the refusals.
    std::uint64_t abandoned = 0;
    std::array<std::uint64_t, refusalReasons> refused {}; ///< By RefusalReason, given-up ones included.
    std::vector<WaitingOf> queues; ///< Those with a waiting or recently finished request.
};

} // namespace jujubereach::admission
