// Whether a request is sent again after an attempt without a good answer.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/ran.h"
#include "jujubereach/base/random.h"
#include "jujubereach/base/time.h"
#include "jujubereach/platform/upstream.h"

#include <cstdint>
#include <unordered_map>

namespace jujubereach::dispatch {

/// One attempt that has ended.
struct Attempt {
    WorkspaceId workspace;
    bool repeatable = false; ///< The request may run more than once.
    std::uint32_t number = 1; ///< 1 for the first.
    platform::UpstreamStatus status = platform::UpstreamStatus::Unknown;
    int httpStatus = 0; ///< When answered.
    Ran before = Ran::No; ///< Of the earlier attempts.
    TimePoint deadline;
};

enum class RetryReason {
    Answered, ///< A whole answer that is passed on.
    Again,
    MayHaveRun, ///< Not repeatable and it may have run.
    NoBudget,
    TooManyAttempts,
    NoTime, ///< The deadline comes before another attempt.
};
const char* nameOf(RetryReason reason);

struct RetryDecision {
    bool again = false;
    Duration after { 0 }; ///< Backoff before the next attempt.
    Ran ran = Ran::Unknown; ///< Of all attempts so far.
    RetryReason reason = RetryReason::Answered;
};

struct RetryLimits {
    double budget = 0.1; ///< Retries for each success.
    double burst = 5; ///< Retries of one workspace that may be saved up.
    std::uint32_t attempts = 4; ///< Of one request, the first included.
    Duration firstBackoff { 10 };
    Duration lastBackoff { 1000 };
};

/// Retries of each workspace are a share of its own successes, so that one whose upstreams fail cannot
/// spend what others earned; with no successes there are no retries once the burst is spent.
class RetryPolicy {
public:
    RetryPolicy(const RetryLimits& limits, std::uint64_t seed)
        : m_limits(limits)
        , m_random(seed)
    {
    }

    /// Earns budget when the attempt succeeded, spends it when the decision is to send again.
    RetryDecision decide(const Attempt& attempt, TimePoint now);

    /// Retries that the workspace could spend now.
    double budgetOf(const WorkspaceId& workspace) const;

private:
    Duration backoff(std::uint32_t attempts);

    RetryLimits m_limits;
    Random m_random;
    std::unordered_map<WorkspaceId, double> m_budget; // each from 0 to m_limits.burst
};

} // namespace jujubereach::dispatch
