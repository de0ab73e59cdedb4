// A caller's request that has not been answered yet.
#pragma once

#include "jujubereach/entry/entry-host.h"

#include <algorithm>

namespace jujubereach::entry {

struct OpenCall {
    static constexpr Duration answerReserve { 150 }; ///< Part of the deadline left for returning the answer.
    static constexpr int maxAttempts = 4;

    CallerRequest request;
    CallerDone done;
    TimePoint arrivedAt;
    TimePoint expiresAt;
    fleet::RouteId route;
    WorkspaceId workspace;
    JobId id;
    int attempts = 0;
    bool outcomeUnknown
        = false; ///< An unanswered write, by this host or one it forwarded to, may take effect.

    bool canRetry(TimePoint now) const { return attempts < maxAttempts && expiresAt - now > answerReserve; }
    Duration timeLeft(TimePoint now, Duration bound) const { return std::min(bound, expiresAt - now); }
};

} // namespace jujubereach::entry
