#include "jujubereach/dispatch/retry.h"

#include <algorithm>

namespace jujubereach::dispatch {

namespace {

    constexpr int firstServerError = 500;

    bool isGood(const Attempt& attempt)
    {
        return attempt.status == platform::UpstreamStatus::Answered && attempt.httpStatus < firstServerError;
    }

    Ran ranAfter(const Attempt& attempt)
    {
        if (attempt.status == platform::UpstreamStatus::Answered || attempt.before == Ran::Yes)
            return Ran::Yes;
        return platform::provablyNotRun(attempt.status) ? attempt.before : Ran::Unknown;
    }

} // namespace

const char* nameOf(RetryReason reason)
{
    switch (reason) {
    case RetryReason::Answered:
        return "answered";
    case RetryReason::Again:
        return "again";
    case RetryReason::MayHaveRun:
        return "may_have_run";
    case RetryReason::NoBudget:
        return "no_retry_budget";
    case RetryReason::TooManyAttempts:
        return "too_many_attempts";
    case RetryReason::NoTime:
        return "no_time";
    }
    return "unknown";
}

RetryDecision RetryPolicy::decide(const Attempt& attempt, TimePoint now)
{
    Ran ran = ranAfter(attempt);
    if (isGood(attempt)) {
        double& budget = m_budget.try_emplace(attempt.workspace, m_limits.burst).first->second;
        budget = std::min(m_limits.burst, budget + m_limits.budget);
        return { false, Duration(0), ran, RetryReason::Answered };
    }
    if (!attempt.repeatable && ran != Ran::No) {
        bool answered = attempt.status == platform::UpstreamStatus::Answered;
        return { false, Duration(0), ran, answered ? RetryReason::Answered : RetryReason::MayHaveRun };
    }
    if (attempt.number >= m_limits.attempts)
        return { false, Duration(0), ran, RetryReason::TooManyAttempts };
    Duration after = backoff(attempt.number);
    if (now + after >= attempt.deadline)
        return { false, Duration(0), ran, RetryReason::NoTime };
    double& budget = m_budget.try_emplace(attempt.workspace, m_limits.burst).first->second;
    if (budget < 1)
        return { false, Duration(0), ran, RetryReason::NoBudget };
    budget -= 1;
    return { true, after, ran, RetryReason::Again };
}

double RetryPolicy::budgetOf(const WorkspaceId& workspace) const
{
    auto found = m_budget.find(workspace);
    return found == m_budget.end() ? m_limits.burst : found->second;
}

// Doubles with each attempt; a random half of it keeps retries of one failure apart.
Duration RetryPolicy::backoff(std::uint32_t attempts)
{
    Duration longest = m_limits.firstBackoff;
    for (std::uint32_t i = 1; i < attempts && longest < m_limits.lastBackoff; ++i)
        longest *= 2;
    longest = std::min(longest, m_limits.lastBackoff);
    double part = 0.5 + 0.5 * m_random.unit();
    return Duration(static_cast<Duration::rep>(part * static_cast<double>(longest.count())));
}

} // namespace jujubereach::dispatch
