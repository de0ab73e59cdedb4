#include "upstream-model.h"

#include <cmath>

namespace jujubereach::bench {

namespace {

    constexpr Micros roundTrip = 1000;

    platform::UpstreamAnswer answerOf(platform::UpstreamStatus status, int httpStatus, Micros took)
    {
        return { status, httpStatus, {}, Duration(took / microsPerMs) };
    }

} // namespace

ModelUpstreams::ModelUpstreams(Events& events, int count, std::uint32_t slots)
    : m_events(events)
{
    for (int i = 0; i < count; ++i) {
        UpstreamId id("u" + std::to_string(100 + i));
        m_upstreams[id].info = { id, "10.0.0." + std::to_string(i) + ":80", slots, false };
    }
}

void ModelUpstreams::send(const UpstreamId& id, Micros work, Micros timeout, const Answered& answered)
{
    ModelUpstream& upstream = m_upstreams.at(id);
    auto reply = [this, answered](platform::UpstreamStatus status, int httpStatus, Micros took) {
        m_events.after(took, [=] { answered(answerOf(status, httpStatus, took)); });
    };
    if (upstream.fault == Fault::Unreachable)
        return reply(platform::UpstreamStatus::NotSent, 0, roundTrip);
    ++upstream.sent;
    if (upstream.fault == Fault::Silent)
        return reply(platform::UpstreamStatus::Unknown, 0, timeout);
    if (upstream.fault == Fault::Failing)
        return reply(platform::UpstreamStatus::Answered, 500, roundTrip);
    if (upstream.running >= upstream.info.slots) {
        ++upstream.busy;
        return reply(platform::UpstreamStatus::Busy, 0, roundTrip);
    }
    run(upstream, work, timeout, answered);
}

void ModelUpstreams::run(ModelUpstream& upstream, Micros work, Micros timeout, const Answered& answered)
{
    ++upstream.running;
    Micros took = std::llround(static_cast<double>(work) * upstream.slowness) + roundTrip;
    m_events.after(took, [this, &upstream, took, timeout, answered] {
        --upstream.running;
        bool inTime = took <= timeout && upstream.fault != Fault::Silent;
        if (inTime)
            answered(answerOf(platform::UpstreamStatus::Answered, 200, took));
        else if (took <= timeout) // went silent meanwhile
            m_events.after(
                timeout - took, [=] { answered(answerOf(platform::UpstreamStatus::Unknown, 0, timeout)); });
    });
    if (took > timeout)
        m_events.after(timeout, [=] { answered(answerOf(platform::UpstreamStatus::Unknown, 0, timeout)); });
}

std::vector<dispatch::UpstreamInfo> ModelUpstreams::list() const
{
    std::vector<dispatch::UpstreamInfo> list;
    for (const auto& [id, upstream] : m_upstreams)
        list.push_back(upstream.info);
    return list;
}

std::uint64_t ModelUpstreams::busyAnswers() const
{
    std::uint64_t sum = 0;
    for (const auto& [id, upstream] : m_upstreams)
        sum += upstream.busy;
    return sum;
}

} // namespace jujubereach::bench
