// A caller's request that has not been answered yet.
#pragma once

#include "jujubereach/entry/entry-host.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace jujubereach::entry {

struct OpenCall {
    static constexpr Duration answerReserve { 150 }; ///< Part of the deadline left for returning the answer.
    static constexpr int maxAttempts = 4;
    /// Expected by a write of another host, whose configuration is not known here.
    static constexpr Revision anyRevision { std::numeric_limits<std::uint64_t>::max() };

    CallerRequest request;
    CallerDone done;
    TimePoint arrivedAt;
    TimePoint expiresAt;
    fleet::RouteId route;
    WorkspaceId workspace;
    JobId id;
    int attempts = 0;
    bool writing = false; ///< A write, or a call that was forwarded and may write, is not answered yet.
    std::optional<fleet::JobState> state; ///< Of a query that waits for the end of its job.
    /// Set once a write without an answer, by this host or one it forwarded to, may take effect: the latest
    /// revision of the configuration that such a write expects. It has no effect under a later one.
    std::optional<Revision> unansweredUnder;

    bool isAnswered() const { return !done; }
    bool outcomeUnknown() const { return unansweredUnder.has_value(); }

    void wroteWithoutAnswer(Revision expectedConfig)
    {
        if (!unansweredUnder || unansweredUnder->value < expectedConfig.value)
            unansweredUnder = expectedConfig;
    }

    bool canRetry(TimePoint now) const { return attempts < maxAttempts && expiresAt - now > answerReserve; }
    Duration timeLeft(TimePoint now, Duration bound) const { return std::min(bound, expiresAt - now); }
};

} // namespace jujubereach::entry
