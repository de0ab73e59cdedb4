// Virtual time: events run in order of their time, the same on every run.
#pragma once

#include "jujubereach/base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace jujubereach::bench {

/// Microseconds since the start of the run.
using Micros = std::int64_t;

constexpr Micros microsPerMs = 1000;
constexpr Micros microsPerSecond = 1'000'000;

class Events {
public:
    Micros now() const { return m_now; }
    /// Starts above zero, which has no meaning for some parts.
    TimePoint time() const { return TimePoint(Duration(1'000'000 + m_now / microsPerMs)); }

    void at(Micros when, std::function<void()> event);
    void after(Micros wait, std::function<void()> event) { at(m_now + wait, std::move(event)); }
    /// Runs every event before `end`.
    void runUntil(Micros end);

private:
    struct Event {
        Micros when = 0;
        std::uint64_t number = 0; // events of the same time run in the order of at()
        std::function<void()> run;

        bool operator<(const Event& other) const
        {
            return std::pair(when, number) > std::pair(other.when, other.number);
        }
    };

    std::priority_queue<Event> m_queue;
    Micros m_now = 0;
    std::uint64_t m_count = 0;
};

} // namespace jujubereach::bench
