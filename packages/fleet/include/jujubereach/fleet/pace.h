// Decides at which pace best-effort tasks work beside latency-sensitive ones. Works on plain data.
#pragma once

#include "jujubereach/fleet/interference.h"
#include "jujubereach/fleet/job-spec.h"

#include <optional>
#include <set>

namespace jujubereach::fleet {

constexpr int fullPace = 100; ///< In percent.

/// A best-effort task starts beside a latency-sensitive one only below this share of the target; a lower pace
/// is raised below it.
constexpr double headroomShare = 0.7;
/// Paces are lowered above this share of the target.
constexpr double pressureShare = 0.9;
/// A tail latency covers the requests of this time.
constexpr Duration tailWindow { 500 };

/// The last reported tail latency of a latency-sensitive task.
struct TailReading {
    TaskKind kind;
    Duration tail { 0 }; ///< 0 if there were no requests.
    Duration target { 0 };
};

/// A best-effort task beside latency-sensitive ones.
struct PacedTask {
    TaskId task;
    TaskKind kind;
    int percent = fullPace; ///< The pace that was decided last.
    bool known = true; ///< False if the worker may work at another pace since an earlier owner.
    bool mayReduce = true; ///< Whether the step allows one more unavailable task.
    /// When `percent` has taken effect; unset while the worker has not confirmed it.
    std::optional<TimePoint> settledAt;
};

enum class PaceReason {
    Pressure,
    Headroom,
    Exchange,
    NotTheCause,
    NoTarget,
    TooLong,
    MissAllowed,
    CannotPace
};
const char* nameOf(PaceReason reason);

struct PaceDecision {
    TaskId task;
    int percent = fullPace;
    bool stop = false; ///< Stop the task, so that it can run elsewhere, instead of setting its pace.
    PaceReason reason = PaceReason::Pressure;
};

/// Keeps tails below their targets by the pace of best-effort tasks: halves it under pressure, raises it in
/// small steps with headroom, and restores it if pace 0 does not help. A tail that exceeds its target has all
/// its neighbours at pace 0 well within `bound`, whichever of them is the cause.
class PaceController {
public:
    /// `bound` is the longest time for which a tail may exceed its target beside a task that causes it.
    explicit PaceController(Duration bound)
        : m_bound(bound)
    {
    }
    void setBound(Duration bound) { m_bound = bound; }

    /// Decides after a list of the worker. Returns the tasks whose pace changes or that should stop.
    std::vector<PaceDecision> decide(const WorkerId& worker, const std::vector<TailReading>& tails,
        const std::vector<PacedTask>& tasks, InterferenceModel& model, TimePoint now);
    void forget(const WorkerId& worker) { m_workers.erase(worker); }

private:
    struct State {
        TimePoint overSince; ///< While a tail exceeds its target: since when; unset otherwise.
        TimePoint changedAt; ///< The last change of a pace.
        /// The neighbours are not the cause of a tail over its target, as a test at pace 0 has shown. The
        /// test is repeated after this time: a neighbour may become the cause meanwhile.
        TimePoint clearedUntil;
        bool wasCleared = false; ///< A test at pace 0 has shown that before, and the tail is still over.
    };

    std::vector<PaceDecision> lower(State& state, const TailReading& worst,
        const std::vector<PacedTask>& tasks, InterferenceModel& model, TimePoint now) const;
    std::vector<PaceDecision> restore(State& state, const TailReading& worst,
        const std::vector<PacedTask>& tasks, InterferenceModel& model, TimePoint now) const;
    static std::vector<PaceDecision> raise(State& state, const TailReading& worst,
        const std::vector<PacedTask>& tasks, const InterferenceModel& model, TimePoint now);
    static std::vector<PaceDecision> settle(State& state, const TailReading& worst,
        const std::vector<PacedTask>& tasks, const InterferenceModel& model, TimePoint now);

    Duration m_bound;
    std::map<WorkerId, State> m_workers; ///< Only workers with tasks of both kinds.
};

/// Share of the target that the tail has reached.
double pressureOf(const TailReading& reading);

} // namespace jujubereach::fleet
