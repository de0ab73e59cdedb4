// The life of one request in this host, from its offer to its one final answer.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/ran.h"
#include "jujubereach/base/time.h"
#include "jujubereach/dispatch/retry.h"
#include "jujubereach/platform/upstream.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujubereach::dispatch {

/// What a request is, as its caller sent it.
struct RequestInfo {
    RequestId id;
    WorkspaceId workspace;
    ClassId workClass;
    CallerId caller;
    std::string key; ///< Idempotency key; needed when not repeatable.
    bool repeatable = false;
    TimePoint deadline;
};

/// What the caller gets, once; also by a later fetch.
struct FinalAnswer {
    Ran ran = Ran::Unknown;
    std::string reason; ///< Empty for an answer of an upstream, else a stable word such as "caller_bound".
    int upstreamStatus = 0; ///< HTTP status of the upstream; 0 without its answer.
    std::string body; ///< Of the upstream, whole.
    Duration retryAfter { 0 }; ///< Above 0 when coming back may help.
};

/// HTTP status towards the caller: the upstream's own, else 503 for "no", 504 for "unknown".
int httpStatusOf(const FinalAnswer& answer);

enum class RequestState {
    Offered, ///< Not admitted yet.
    Waiting, ///< In the admission queue, or for a slot after a backoff.
    Recording, ///< Not repeatable: its record is being created in the service.
    Dispatched, ///< An upstream has it.
    Backoff, ///< Between two attempts.
    Final,
};
const char* nameOf(RequestState state);

/// Each event returns false, and changes nothing, when the state does not allow it; so a reply that
/// comes twice or too late does no harm. A request that is not repeatable is dispatched only with its
/// record created, and never after an attempt that may have run.
class RequestLife {
public:
    explicit RequestLife(RequestInfo info)
        : m_info(std::move(info))
    {
    }

    const RequestInfo& info() const { return m_info; }
    RequestState state() const { return m_state; }
    Ran ran() const { return m_ran; }
    std::uint32_t attempts() const { return m_attempts; }
    /// Upstreams that were tried; the next pick leaves them out.
    const std::vector<UpstreamId>& tried() const { return m_tried; }
    /// Set when final.
    const std::optional<FinalAnswer>& answer() const { return m_answer; }

    bool admitted();
    bool refused(const std::string& reason, Duration retryAfter);

    bool recording();
    /// The service holds the record, created by this request.
    bool recorded();

    bool mayDispatch() const;
    bool dispatched(const UpstreamId& upstream);
    /// The attempt in progress has ended. The decision tells what comes next: final or backoff.
    std::optional<RetryDecision> ended(
        const platform::UpstreamAnswer& attempt, RetryPolicy& policy, TimePoint now);
    bool backoffOver();

    /// No further attempt; says "not run" only when that is known.
    bool giveUp(const std::string& reason, Duration retryAfter);

    /// The whole answer of an attempt that had been given up. Replaces an "unknown" for later fetches;
    /// the caller has had its answer.
    bool lateAnswer(const platform::UpstreamAnswer& attempt);

private:
    bool finish(FinalAnswer answer);

    RequestInfo m_info;
    RequestState m_state = RequestState::Offered;
    Ran m_ran = Ran::No; // "no" only while no attempt may have run
    bool m_recorded = false;
    std::uint32_t m_attempts = 0;
    std::vector<UpstreamId> m_tried;
    std::optional<FinalAnswer> m_answer; // set exactly when m_state is Final
};

} // namespace jujubereach::dispatch
