// Workers as the owner sees them: what runs there, until when at the latest, and how far they are trusted.
#pragma once

#include "jujubereach/fleet/worker-calls.h"

#include <map>

namespace jujubereach::fleet {

enum class RunPhase {
    Ordered, ///< The start was sent and is not confirmed.
    Running,
    Stopping,
};

/// A run that a worker has, or may have.
struct ActiveRun {
    TaskId task;
    Run run;
    RunPhase phase = RunPhase::Ordered;
    Resources resources;
    int priority = 0;
    bool latencySensitive = false; ///< Has a tail target of its own.
    bool bestEffort = false;
    bool orphaned = false; ///< Belongs to no task that this owner wants; only to be stopped.
    bool callInFlight = false; ///< A start or stop is under way.
    int startAttempts = 0;
    bool startUnanswered
        = false; ///< A start had no answer: it may still be carried out, in a later life too.
    TimePoint orderedAt;
    TimePoint startSentAt; ///< Of the last attempt.
    TimePoint runningSince;
    TimePoint confirmedAt; ///< A look that was sent later shows the run, or it has ended.
    bool confirmed = false;
    TimePoint nextCall; ///< Earliest time of the next start or stop call.
    std::string ticket;
    std::string checkpoint; ///< That the start carried.
    int percent = 0;
    TimePoint progressAt; ///< When the percentage changed last.
};

/// An end that the worker lists until it is acknowledged.
struct UnacknowledgedEnd {
    JobId job;
    std::uint64_t changes = 0; ///< The job's count of changes that must be saved before.
};

/// A start without an answer, by the last time it was sent.
struct UnansweredStart {
    Run run;
    TimePoint sentAt;
};

/// How far a worker is trusted, by what became of the tasks that it ran.
struct WorkerHealth {
    int consecutiveFailures = 0; ///< Failures since the last task that was done.
    int quarantineCount = 0;
    TimePoint quarantinedUntil;
    bool hasCompletedTask = false; ///< Has finished a task.

    void taskDone();
    void taskFailed(TimePoint now);
    void taskStalled(TimePoint now);
    bool isQuarantined(TimePoint now) const { return now < quarantinedUntil; }
};

struct Worker {
    WorkerReport report;
    bool listed = false; ///< Stands in the store's list.
    bool fenced = false; ///< This life has answered to this owner's fence, and its runs are known.
    std::int64_t incarnation = 0; ///< Of the life that answered last; 0 before an answer.
    std::map<TaskId, ActiveRun> runs;
    Resources used; ///< Of `runs`.
    Resources urgent; ///< Part of `used` by tasks of the urgent priority.
    int latencySensitiveRuns = 0; ///< Runs with a tail target.
    int bestEffortRuns = 0; ///< Runs that use what others leave.
    Resources reservedByPlans; ///< Of plans that wait for room here.

    WorkerTime clock; ///< At `clockAt` or earlier.
    TimePoint clockAt;
    WorkerTime lastDeadline; ///< Highest that any order carried; nothing runs beyond it.

    bool pollInFlight = false;
    std::uint64_t pollCount = 0; ///< Only the answer to the last look counts.
    int missedPolls = 0; ///< Looks without an answer since the last one.
    TimePoint answeredAt; ///< The last look that was answered.
    bool lapsed = false; ///< Its lease has ended since it answered last.
    TimePoint nextPoll;
    std::uint64_t acknowledged = 0;
    std::map<std::uint64_t, UnacknowledgedEnd> ends;
    /// Starts that a later life may still carry out, whatever this one has ended or stopped since.
    std::map<TaskId, UnansweredStart> unansweredStarts;
    TimePoint drainingSince;
    WorkerHealth health;

    const WorkerId& id() const { return report.id; }
    WorkerTime clockNow(TimePoint now) const;
    /// When the last lease has surely ended, whatever the worker's clock within its drift.
    TimePoint lapseTime() const;
    void addRun(ActiveRun run);
    void removeRun(const TaskId& task);
    Resources freeResources() const;
};

/// Bound on the drift of a worker's clock against ours: 2 %, as the platform states, and rounding.
constexpr double clockDrift = 0.021;
/// The platform carries an unanswered order out so late at most.
constexpr Duration maxOrderDelay { 12'000 };
constexpr Duration lapseMargin { 150 }; ///< For a worker's timer that fires late.

} // namespace jujubereach::fleet
