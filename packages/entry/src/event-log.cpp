#include "jujubereach/entry/event-log.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace jujubereach::entry {

namespace json = boost::json;

EventLog::EventLog(std::string host, Clock clock, WallClock wall, int fd, LogRateLimit rateLimit)
    : m_host(std::move(host))
    , m_clock(std::move(clock))
    , m_wall(std::move(wall))
    , m_fd(fd)
    , m_rateLimit(rateLimit)
{
    const auto flags = fcntl(m_fd, F_GETFL);
    if (flags >= 0)
        fcntl(m_fd, F_SETFL, flags | O_NONBLOCK);
}

bool EventLog::consume(TokenBucket& bucket)
{
    const auto now = m_clock();
    if (bucket.refilledAt == TimePoint {})
        bucket.tokens = m_rateLimit.burst;
    else
        bucket.tokens = std::min<double>(m_rateLimit.burst,
            bucket.tokens
                + m_rateLimit.perSecond * static_cast<double>((now - bucket.refilledAt).count()) / 1000);
    bucket.refilledAt = now;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

void EventLog::write(const char* event, json::object fields)
{
    auto& bucket = m_buckets[event];
    if (!consume(bucket)) {
        ++bucket.droppedLines;
        ++m_totalDroppedLines;
        return;
    }
    if (bucket.droppedLines > 0
        && writeLine("left-out", { { "kind", event }, { "lines", bucket.droppedLines } }))
        bucket.droppedLines = 0;
    if (!writeLine(event, std::move(fields))) {
        ++bucket.droppedLines;
        ++m_totalDroppedLines;
    }
}

bool EventLog::writeLine(const char* event, json::object fields)
{
    json::object line { { "t", m_wall().milliseconds }, { "host", m_host }, { "event", event } };
    for (auto& field : fields)
        line[field.key()] = std::move(field.value());
    auto text = json::serialize(line);
    text += '\n';
    if (!m_unsent.empty()) {
        const auto wrote = ::write(m_fd, m_unsent.data(), m_unsent.size());
        if (wrote > 0)
            m_unsent.erase(0, static_cast<std::size_t>(wrote));
        if (!m_unsent.empty())
            return false;
    }
    const auto wrote = ::write(m_fd, text.data(), text.size());
    if (wrote < 0)
        return false;
    if (static_cast<std::size_t>(wrote) < text.size())
        m_unsent = text.substr(static_cast<std::size_t>(wrote));
    return true;
}

} // namespace jujubereach::entry
