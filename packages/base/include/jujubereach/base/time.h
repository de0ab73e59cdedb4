// Types for time. Scheduling decisions take the current time as an argument, so that they can run in virtual
// time.
#pragma once

#include <chrono>
#include <ctime>
#include <functional>

namespace jujubereach {

using Duration = std::chrono::milliseconds;

/// A monotonic clock; its epoch has no meaning outside the process.
struct ControlClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<ControlClock, Duration>;
    static constexpr bool is_steady = true;
};
using TimePoint = ControlClock::time_point;

/// Returns the current time: of the steady clock in a daemon, of a variable in a test.
using Clock = std::function<TimePoint()>;

/// Returns a clock that reads std::chrono::steady_clock.
inline Clock steadyClock()
{
    return [] {
        auto elapsed = std::chrono::steady_clock::now().time_since_epoch();
        return TimePoint(std::chrono::duration_cast<Duration>(elapsed));
    };
}

/// Current time of the monotonic clock that also counts suspended time (CLOCK_BOOTTIME), so that a permission
/// that expires while the machine is suspended counts as expired afterwards.
inline TimePoint bootClockNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(Duration(time.tv_sec * 1000 + time.tv_nsec / 1'000'000));
}

/// Milliseconds since the Unix epoch, for records that people and other hosts read.
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
