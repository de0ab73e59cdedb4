// Structured log: one JSON object a line on standard output, bounded by kind, never blocking.
#pragma once

#include "jujubereach/base/time.h"

#include <boost/json/object.hpp>

#include <map>
#include <string>

namespace jujubereach::entry {

struct LogRateLimit {
    int burst = 200; ///< Lines of one kind at once.
    int perSecond = 40; ///< Lines of one kind in the long run; a flood of refusals stays below 1 % of a core.
};

/// Used from one thread. Lines over the budget, or that standard output does not take at once, are left out
/// and counted; a later line "left-out" tells how many.
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
    std::string m_unsent; ///< Of a line that was written in part.
    std::uint64_t m_totalDroppedLines = 0;
};

} // namespace jujubereach::entry
