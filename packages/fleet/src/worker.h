// In-memory state of workers: their runs, leases and health.
#pragma once

#include "jujubereach/fleet/interference.h"
#include "jujubereach/fleet/pace.h"
#include "jujubereach/fleet/worker-calls.h"

#include <map>

namespace jujubereach::fleet {

enum class RunPhase {
    Ordered, ///< The start has been sent but not confirmed.
    Running,
    Stopping,
};

/// What the lists have shown of the rate of a run.
struct RateMeasurement {
    int basePercent = -1; ///< At `baseAt`; negative before the first list.
    TimePoint baseAt;
    TimePoint listedAt; ///< When the last list arrived.
    int usedPercent = 0; ///< Part of the run in the last observation of its rate; 0 for none.
    bool disturbed = false; ///< A part before `baseAt` does not show the speed of the worker.
};

/// The pace at which a best-effort run works.
struct RunPace {
    int percent = fullPace; ///< Decided last.
    int working = fullPace; ///< Confirmed last.
    bool known
        = true; ///< False if an earlier owner, or a call to an earlier incarnation, may have set another.
    bool confirmed = true; ///< The worker has confirmed `percent`.
    bool callInFlight = false;
    int refusals = 0; ///< Of calls since the last success.
    TimePoint settledAt; ///< When a confirmed pace takes effect.
    TimePoint nextCall;
    TimePoint repeatUntil; ///< A call without an answer may be executed until then.

    static RunPace unknown() { return { fullPace, fullPace, false, false, false, 0, {}, {}, {} }; }
    bool isLowered() const { return !known || percent < fullPace; }
    /// Whether it works at full pace as far as is known: the worker has confirmed it, or sets no pace at all.
    bool isFull() const { return !isLowered() && (confirmed || refusals > 0); }
    /// Whether it may be held at pace 0, so that no progress is to be expected.
    bool mayBeHeld() const { return !known || (refusals == 0 && (percent == 0 || !confirmed)); }
    /// Whether a pace other than the one at the start has ever been decided.
    bool wasSet() const { return !confirmed || settledAt != TimePoint {}; }
};

/// A run that a worker executes or may execute.
struct ActiveRun {
    TaskId task;
    Run run;
    RunPhase phase = RunPhase::Ordered;
    Resources resources;
    int priority = 0;
    bool latencySensitive = false; ///< Has a tail latency target.
    bool bestEffort = false;
    TaskKind kind; ///< 0 unless interference is learned.
    /// Processor need of a best-effort run that is not part of `resources`, as other tasks may use it.
    std::int64_t idleMilliCores = 0;
    Duration tailTarget { 0 };
    Duration tail { 0 }; ///< Last reported tail latency.
    TimePoint tailAt; ///< When it was reported; unset before.
    RunPace pace;
    bool orphaned = false; ///< Not the current run of any task; only to be stopped.
    bool adopted = false; ///< Found on the worker: its start time is not known.
    bool reported = false; ///< This incarnation has confirmed its start or listed it.
    /// The latest whose list has shown the run; 0 if none has.
    std::int64_t incarnation = 0;
    bool carriedOver = false; ///< Ordered from an earlier incarnation; not reported by this one.
    bool isolated = false; ///< Nothing else starts on the worker before `probationEnds`.
    TimePoint probationEnds; ///< A run that lasts longer clears its task of crashes; unset if there are none.
    bool callInFlight = false; ///< A start or stop call is in flight.
    int startAttempts = 0;
    std::uint64_t repeatVersion = 0; ///< Version of the job's progress to be stored before a second attempt.
    /// A start got no answer: it may be executed later, by a later incarnation too.
    bool startUnanswered = false;
    bool answerUnsaved = false; ///< The start was stored before it was answered.
    TimePoint orderedAt;
    TimePoint startSentAt; ///< When the last attempt was sent.
    TimePoint startAnsweredAt; ///< When an attempt was answered with success; unset before.
    TimePoint runningSince;
    bool startTimeKnown = false; ///< `runningSince` is when the worker accepted the only start.
    double gangSpeed
        = 0; ///< Of the slowest worker of the gang when it was placed; 0 if it is no gang or unknown.
    TimePoint confirmedAt; ///< If a poll sent after this time does not list the run, it has ended.
    bool confirmed = false;
    TimePoint nextCall; ///< Earliest time of the next start or stop call.
    std::string ticket;
    std::string checkpoint; ///< Sent with the start.
    int percent = 0;
    TimePoint progressAt; ///< When `percent` last changed.
    int basePercent = -1; ///< Progress at `baseAt`, from which its speed is measured; negative if unknown.
    TimePoint baseAt;
    RateMeasurement rate;

    /// Including the processors that it does not take from others.
    Resources neededResources() const { return resources + Resources { idleMilliCores, 0, 0 }; }
    /// Whether it is executed by the known incarnation of the worker or by a later one.
    bool isUndecided() const { return startAnsweredAt != TimePoint {} && incarnation == 0; }
};

/// A restart, of which the first list of the new incarnation tells which runs it has ended.
struct RestartInDoubt {
    TimePoint crashedAt;
    bool othersEnded = false; ///< It has ended runs that are not undecided.
    std::vector<ActiveRun> undecided;
};

/// An end that the worker reports until it is acknowledged.
struct UnacknowledgedEnd {
    TaskId task;
    std::uint64_t changes = 0; ///< Version of the job's progress that must be saved first.
};

/// A start that got no answer, with the time of its last attempt.
struct UnansweredStart {
    Run run;
    TimePoint sentAt;
};

/// Health of a worker, derived from the outcomes of its tasks. Unhealthy workers are quarantined.
struct WorkerHealth {
    int consecutiveFailures = 0; ///< Failures since the last completed task.
    int quarantineCount = 0;
    TimePoint quarantinedUntil;
    bool hasCompletedTask = false;

    void taskDone();
    void taskFailed(TimePoint now);
    void taskStalled(TimePoint now);
    bool isQuarantined(TimePoint now) const { return now < quarantinedUntil; }
};

/// Orders that renew a lease. One without an answer may be executed late, by a later incarnation too.
struct Renewals {
    std::int64_t incarnation = 0; ///< The one to which the last was sent.
    TimePoint sentAt; ///< When the last was sent.
    TimePoint earlierSentAt; ///< When the last to an earlier incarnation was sent.

    void add(std::int64_t to, TimePoint at);
    /// When the last to an incarnation other than the given one was sent; unset if there was none.
    TimePoint lastToOthers(std::int64_t current) const
    {
        return incarnation == current ? earlierSentAt : sentAt;
    }
};

struct Worker {
    WorkerReport report;
    bool listed = false; ///< Has an entry in the store.
    bool fenced = false; ///< This incarnation has accepted the owner's fence and its runs are known.
    std::int64_t incarnation = 0; ///< Latest incarnation that answered; 0 before the first answer.
    std::int64_t firstIncarnation = 0; ///< The first that accepted the owner's fence.
    std::map<TaskId, ActiveRun> runs;
    Resources used; ///< By `runs`.
    Resources urgent; ///< The part of `used` taken by urgent tasks.
    int latencySensitiveRuns = 0;
    int bestEffortRuns = 0;
    std::int64_t idleMilliCores = 0; ///< Of best-effort runs; not part of `used`.
    TimePoint bestEffortStartedAt; ///< The last start of a best-effort run.
    TimePoint bestEffortStoppedAt; ///< The last stop of one that slowed a neighbour down.
    TimePoint observedAt; ///< The last list from which interference was learned.
    int isolatedRuns = 0;

    WorkerTime clock; ///< Worker's clock, read at `clockAt` or earlier.
    TimePoint clockAt;
    WorkerTime lastDeadline; ///< Latest deadline in any order; no run outlasts it.

    bool pollInFlight = false;
    bool pollWaits = false; ///< The poll in flight waits for an end.
    std::uint64_t pollCount = 0; ///< Identifies the last poll; answers to earlier ones are ignored.
    int missedPolls = 0; ///< Polls without an answer since the last answered one.
    TimePoint silentSince; ///< While polls are missed: when the first one failed.
    TimePoint answeredAt; ///< When the last poll was answered.
    TimePoint listRequestedAt; ///< When that poll was sent.
    bool listDue = false; ///< The next poll does not wait for an end.
    bool lapsed = false; ///< The lease has expired since the last answer.
    TimePoint nextPoll;
    std::uint64_t acknowledged = 0;
    std::uint64_t acknowledgementAnswered = 0; ///< The worker has dropped ends up to this number.
    TimePoint withheldSince; ///< While an acknowledgement is withheld: since when.
    std::map<std::uint64_t, UnacknowledgedEnd> ends;
    /// Starts that a later incarnation may still execute, even if this one has ended or stopped them.
    std::map<TaskId, UnansweredStart> unansweredStarts;
    TimePoint leavesAt; ///< Of a draining worker: the earliest time at which it leaves.
    TimePoint coldUntil; ///< Runs more slowly before, after its start.
    bool listLate = false; ///< The last list was delayed, so its percentages are old.
    double speed = 1; ///< Of `speedIncarnation`, relative to the mean of the service.
    double speedDeviation = 0; ///< Standard deviation of log(`speed`).
    std::int64_t speedIncarnation = 0;
    WorkerHealth health;
    /// Runs whose lease has expired while the worker was silent; it may have crashed under them.
    std::vector<ActiveRun> expiredRuns;
    TimePoint lapsedAt; ///< When they expired.
    RestartInDoubt restart;

    const WorkerId& id() const { return report.id; }
    /// Whether `report` describes the incarnation that answers, not one that has ended.
    bool isReportCurrent() const { return report.incarnation >= incarnation; }
    bool isDraining() const { return report.draining && isReportCurrent(); }
    WorkerTime clockNow(TimePoint now) const;
    void recordMissedPoll(TimePoint now);
    bool isUndecided(const ActiveRun& run) const; ///< Whether this run is among `runs`, and undecided.
    bool isIsolated(TimePoint now) const; ///< Whether a run on probation must not share the worker.
    /// Time by which the lease has certainly expired, given the bound on the drift of the worker's clock.
    /// if no renewal sent to an earlier incarnation is executed late.
    TimePoint lapseTime() const;
    void addRun(ActiveRun run);
    void removeRun(const TaskId& task);
    Resources freeResources() const;
};

/// Bound on the drift of a worker's clock against the owner's: 2 % as stated by the platform, plus rounding.
constexpr double clockDrift = 0.021;
/// The platform executes an unanswered order at most this late.
constexpr Duration maxOrderDelay { 12'000 };
/// A run that may crash its worker has the worker for itself no longer than this.
constexpr Duration maxIsolation { 30'000 };
constexpr Duration lapseMargin { 150 }; ///< Allows for a worker timer that fires late.

} // namespace jujubereach::fleet
