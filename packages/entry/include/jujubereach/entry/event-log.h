// Structured log: one JSON object per line on standard output, rate-limited per event and non-blocking.
#pragma once

#include "jujubereach/base/time.h"

#include <boost/json/object.hpp>

#include <map>
#include <string>

namespace jujubereach::entry {

struct LogRateLimit {
    int burst = 200; ///< Lines per event in one burst.
    int perSecond = 40; ///< Sustained lines per event; logging a flood of refusals takes below 1 % of a core.
};

/// Not thread-safe. Lines above the rate limit, and lines that cannot be written without blocking, are
/// dropped and counted; a later `left-out` line reports how many.
class EventLog {
public:
    EventLog(std::string host, Clock clock, WallClock wall, int fd = 1, LogRateLimit rateLimit = {});

    void write(const char* event, boost::json::object fields);

    std::uint64_t droppedLines() const { return m_totalDroppedLines; }

private:
    struct TokenBucket {
        double tokens = 0;
        TimePoint refilledAt;
        std::uint64_t droppedLines = 0;
    };

    bool consume(TokenBucket& bucket);
    bool writeLine(const char* event, boost::json::object fields);

    const std::string m_host;
    const Clock m_clock;
    const WallClock m_wall;
    const int m_fd;
    const LogRateLimit m_rateLimit;
    std::map<std::string, TokenBucket> m_buckets;
    std::string m_unsent; ///< Rest of a partially written line.
    std::uint64_t m_totalDroppedLines = 0;
};

} // namespace jujubereach::entry
