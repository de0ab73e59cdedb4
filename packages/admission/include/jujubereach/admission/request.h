// What enters the admission queue and how a refusal reads.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"

#include <cstdint>
#include <string>

namespace jujubereach::admission {

struct Request {
    RequestId id; ///< Unique among the requests of this host.
    WorkspaceId workspace;
    ClassId workClass;
    CallerId caller;
    TimePoint deadline; ///< The answer is of no use to the caller after this.
    double cost = 1; ///< Declared size relative to a usual request of its workspace and class; above 0.
};

/// Why a request was not run. In each case nothing was sent to an upstream.
enum class RefusalReason {
    UnknownClass,
    UnknownWorkspace,
    DuplicateId, ///< A request with this id already waits or runs.
    DeadlineTooNear, ///< The predicted wait and run time exceed the deadline.
    CallerBound, ///< Too many requests of the caller wait.
    WorkspaceBound, ///< Too many requests of the workspace wait.
    HostBound, ///< Too many requests wait in this host.
    Displaced, ///< Gave its place to a request of somebody who asks for less.
    NoUpstream, ///< No slot is known to be usable.
};

/// Name of a reason as it stands in answers, records and metrics.
const char* nameOf(RefusalReason reason);

struct Refusal {
    RefusalReason reason = RefusalReason::HostBound;
    Duration retryAfter { 0 }; ///< When to come back; 0 when coming back does not help.
    std::string text; ///< One sentence for the caller.
};

/// The final answer of a request that had been admitted: it did not run.
struct GivenUp {
    Request request;
    Refusal refusal;
};

/// Bounds on waiting requests; each at least 1.
struct Bounds {
    std::uint32_t host = 8192;
    std::uint32_t workspace = 4096;
    std::uint32_t caller = 1024;
};

} // namespace jujubereach::admission
