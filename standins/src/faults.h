// Switches that every stand-in has: outage, slowness, pauses, lost replies, callers cut off.
#pragma once

#include "http-service.h"
#include "jujubereach/base/random.h"
#include "jujubereach/platform/json.h"

#include <functional>
#include <mutex>
#include <set>
#include <string>

namespace jujubereach::standins {

/// Thread-safe.
class Faults {
public:
    /// Takes the fields that are present: outage, silent (booleans), slowMs, pauseMs, loseReplies,
    /// losePercent (numbers), cutCallers (array of names).
    void set(const platform::JsonObject& switches);

    /// Runs `act` under the switches. A cut or refused call is not carried out; a lost reply is. `losable`
    /// says whether this call is one whose replies get lost.
    Answer apply(const Call& call, bool losable, const std::function<Answer()>& act);

    bool isCut(const std::string& caller) const;
    /// Ends every delay at once, before the stand-in stops.
    void stop();

private:
    Duration delay() const;
    void sleep(Duration duration) const;
    bool takesReply();

    mutable std::mutex m_mutex;
    // All guarded by m_mutex.
    bool m_outage = false;
    bool m_silent = false;
    bool m_stopped = false;
    Duration m_slow { 0 };
    TimePoint m_pausedUntil {};
    std::uint64_t m_loseReplies = 0; ///< The next replies to lose.
    std::uint64_t m_losePercent = 0;
    std::set<std::string> m_cutCallers;
    Random m_random { 1 };
};

} // namespace jujubereach::standins
