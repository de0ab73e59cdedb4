// Time as a value: decisions take the time as an argument, so that they run in virtual time.
#pragma once

#include <chrono>
#include <ctime>
#include <functional>

namespace jujubereach {

using Duration = std::chrono::milliseconds;

/// A point on a clock that never goes back; its zero has no meaning outside the process.
struct ControlClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<ControlClock, Duration>;
    static constexpr bool is_steady = true;
};
using TimePoint = ControlClock::time_point;

/// Tells the time: the steady clock in a daemon, a variable in a test.
using Clock = std::function<TimePoint()>;

/// Returns the clock of the machine.
inline Clock steadyClock()
{
    return [] {
        auto elapsed = std::chrono::steady_clock::now().time_since_epoch();
        return TimePoint(std::chrono::duration_cast<Duration>(elapsed));
    };
}

/// The machine's clock with suspended time counted: a permission that ran out meanwhile is seen to have.
inline TimePoint bootClockNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(Duration(time.tv_sec * 1000 + time.tv_nsec / 1'000'000));
}

/// Milliseconds since 1970, for records that people and other hosts read.
struct WallTime {
    std::int64_t milliseconds = 0;

    friend auto operator<=>(const WallTime&, const WallTime&) = default;
};
using WallClock = std::function<WallTime()>;

inline WallClock systemWallClock()
{
    return [] {
        auto elapsed = std::chrono::system_clock::now().time_since_epoch();
        return WallTime { std::chrono::duration_cast<Duration>(elapsed).count() };
    };
}

} // namespace jujubereach
