#include "jujubereach/dispatch/request.h"

#include <utility>

namespace jujubereach::dispatch {

namespace {

    constexpr int serviceUnavailable = 503;
    constexpr int gatewayTimeout = 504;

} // namespace

int httpStatusOf(const FinalAnswer& answer)
{
    if (answer.upstreamStatus > 0)
        return answer.upstreamStatus;
    return answer.ran == Ran::No ? serviceUnavailable : gatewayTimeout;
}

const char* nameOf(RequestState state)
{
    switch (state) {
    case RequestState::Offered:
        return "offered";
    case RequestState::Waiting:
        return "waiting";
    case RequestState::Recording:
        return "recording";
    case RequestState::Dispatched:
        return "dispatched";
    case RequestState::Backoff:
        return "backoff";
    case RequestState::Final:
        return "final";
    }
    return "unknown";
}

bool RequestLife::admitted()
{
    if (m_state != RequestState::Offered)
        return false;
    m_state = RequestState::Waiting;
    return true;
}

bool RequestLife::refused(const std::string& reason, Duration retryAfter)
{
    return m_state == RequestState::Offered && giveUp(reason, retryAfter);
}

bool RequestLife::recording()
{
    if (m_state != RequestState::Waiting || m_info.repeatable || m_recorded)
        return false;
    m_state = RequestState::Recording;
    return true;
}

bool RequestLife::recorded()
{
    if (m_state != RequestState::Recording)
        return false;
    m_recorded = true;
    m_state = RequestState::Waiting;
    return true;
}

bool RequestLife::mayDispatch() const
{
    if (m_state != RequestState::Waiting)
        return false;
    return m_info.repeatable || (m_recorded && m_ran == Ran::No);
}

bool RequestLife::dispatched(const UpstreamId& upstream)
{
    if (!mayDispatch())
        return false;
    m_state = RequestState::Dispatched;
    ++m_attempts;
    m_tried.push_back(upstream);
    return true;
}

std::optional<RetryDecision> RequestLife::ended(
    const platform::UpstreamAnswer& attempt, RetryPolicy& policy, TimePoint now)
{
    if (m_state != RequestState::Dispatched)
        return std::nullopt;
    RetryDecision decision = policy.decide({ m_info.workspace, m_info.repeatable, m_attempts, attempt.status,
                                               attempt.httpStatus, m_ran, m_info.deadline },
        now);
    m_ran = decision.ran;
    if (decision.again) {
        m_state = RequestState::Backoff;
        return decision;
    }
    if (attempt.status == platform::UpstreamStatus::Answered)
        finish({ Ran::Yes, {}, attempt.httpStatus, attempt.body, Duration(0) });
    else
        finish({ m_ran, nameOf(decision.reason), 0, {}, Duration(0) });
    return decision;
}

bool RequestLife::backoffOver()
{
    if (m_state != RequestState::Backoff)
        return false;
    m_state = RequestState::Waiting;
    return true;
}

bool RequestLife::giveUp(const std::string& reason, Duration retryAfter)
{
    if (m_state == RequestState::Final)
        return false;
    // What an upstream has in hand may still run.
    if (m_state == RequestState::Dispatched)
        m_ran = Ran::Unknown;
    bool mayRepeat = m_ran == Ran::No || m_info.repeatable;
    return finish({ m_ran, reason, 0, {}, mayRepeat ? retryAfter : Duration(0) });
}

bool RequestLife::lateAnswer(const platform::UpstreamAnswer& attempt)
{
    bool isWhole = attempt.status == platform::UpstreamStatus::Answered;
    if (m_state != RequestState::Final || m_ran != Ran::Unknown || !isWhole)
        return false;
    m_ran = Ran::Yes;
    m_answer = FinalAnswer { Ran::Yes, {}, attempt.httpStatus, attempt.body, Duration(0) };
    return true;
}

bool RequestLife::finish(FinalAnswer answer)
{
    m_state = RequestState::Final;
    m_answer = std::move(answer);
    return true;
}

} // namespace jujubereach::dispatch
