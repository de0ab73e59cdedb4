// Planned stop of a host: every request that has been read is answered before the process ends.
#pragma once

#include "jujubereach/fleet/owner.h"

#include <functional>
#include <memory>

namespace jujubereach::entry {

struct DrainHooks {
    Clock clock;
    std::function<void(Duration, std::function<void()>)> after; ///< Runs a function later, on this thread.
    std::function<std::size_t()> requestsInProgress; ///< Read at least in part and not yet answered.
    std::function<void()> stopAccepting; ///< Accepts no further connections; open ones stay.
    std::function<void()> answerOpenCalls; ///< Answers all calls that are still being decided.
    std::function<void()> stop; ///< Ends the process. Nothing is called after this.
    fleet::LogEvent log;
};

/// Serves as usual until no request is in progress, but no longer than the time for answers lasts. Then it
/// accepts no more connections, and stops once the open ones are quiet. Not thread-safe.
class Drain {
public:
    /// @param stopBound time from `start` until the platform kills the process.
    Drain(Duration stopBound, DrainHooks hooks);
    ~Drain();
    Drain(const Drain&) = delete;
    Drain& operator=(const Drain&) = delete;

    /// Call it once.
    void start();
    /// By this time all calls are to be answered; later ones are refused at once.
    TimePoint answersBy() const { return m_answersBy; }

private:
    void check();
    void checkLater();

    const DrainHooks m_hooks;
    const TimePoint m_start;
    const TimePoint m_answersBy;
    const TimePoint m_stopBy; ///< Requests that have arrived only in part are given up then.
    bool m_accepting = true;
    bool m_callsAnswered = false;
    bool m_wasQuiet = false; ///< No request was in progress at the last check, and none could connect since.
    std::shared_ptr<Drain*> m_self; ///< Set to null on destruction, for callbacks that run later.
};

} // namespace jujubereach::entry
