// An upstream behind one hook: one call is one request on one slot.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"

#include <functional>
#include <string>

namespace jujubereach::platform {

struct UpstreamCall {
    RequestId request; ///< Echoed by the upstream; an answer with another id is not taken.
    WorkspaceId workspace;
    ClassId workClass;
    Duration timeout { 0 }; ///< What is left of the caller's deadline.
    std::string body;
};

enum class UpstreamStatus {
    Answered, ///< Whole answer of this request.
    Busy, ///< The upstream says that it did not run: no slot free.
    Leaving, ///< The upstream says that it did not run: it is going away.
    NotSent, ///< Provably not sent: no connection.
    Unknown, ///< Sent, no whole answer in time: it may have run.
};

inline bool provablyNotRun(UpstreamStatus status)
{
    return status == UpstreamStatus::Busy || status == UpstreamStatus::Leaving
        || status == UpstreamStatus::NotSent;
}

struct UpstreamAnswer {
    UpstreamStatus status = UpstreamStatus::Unknown;
    int httpStatus = 0; ///< Of the upstream when answered; 5xx counts as a failure of the upstream.
    std::string body;
    Duration took { 0 };
};

/// Blocking; made by traffic threads only.
using UpstreamClient = std::function<UpstreamAnswer(const std::string& address, const UpstreamCall& call)>;

/// Calls upstreams over HTTP with a pool of kept connections, each used by one call at a time.
/// `connectTimeout` bounds the connection; a pooled connection idle for `idleTimeout` is not used again.
/// `caller` is sent with each call. `verifiesIds` is for tests alone: when it answers false, an answer is
/// taken whatever request it belongs to. It is called on traffic threads.
UpstreamClient httpUpstreamClient(Duration connectTimeout, Duration idleTimeout, const std::string& caller,
    std::function<bool()> verifiesIds = nullptr);

} // namespace jujubereach::platform
