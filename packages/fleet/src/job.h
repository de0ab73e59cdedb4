// In-memory state of jobs.
#pragma once

#include "jujubereach/fleet/records.h"

#include <array>
#include <map>
#include <set>

namespace jujubereach::fleet {

struct Task {
    bool done = false;
    Run lastRun; ///< Highest known start.
    std::set<Run> failedRuns; ///< Those of a gang are kept in task 0.
    std::string checkpoint;
    WorkerId worker; ///< Worker that runs or may run the task; empty for none.
    std::set<WorkerId> failedOn;
    CrashHistory crashes;
    std::uint64_t crashVersion = 0; ///< Version of the job's progress with the last crash; 0 for none.
    std::optional<TaskStart> start; ///< Of `lastRun`, until the run is known to have ended.
    /// A previous owner has started the task, and no worker has reported the run to this owner yet.
    bool startUnresolved = false;

    bool isWaiting() const { return !done && worker.empty(); }
};

/// Workers chosen for the tasks of a step, where preempted tasks are still stopping.
struct PreemptionPlan {
    std::vector<std::pair<int, WorkerId>> tasks; ///< Index and worker.
    Resources perTask; ///< Reserved on the worker of each task.
    TimePoint expires;
    std::vector<TaskId> awaited; ///< Runs that end by themselves, whose capacity the plan uses.
    std::vector<TaskId> victims; ///< Runs that were stopped for the plan.
    TimePoint awaitUntil; ///< The plan is dropped if one of `awaited` is expected to end later.
};

/// Workers reserved for a step at the head of the queue.
struct StepReservation {
    std::vector<WorkerId> workers;
    bool isolated = false; ///< For tasks that must run alone.
    TimePoint since;
    TimePoint freeAt; ///< By the expected ends of the runs on the workers.
    Resources capacity; ///< Of all `workers`, when they were reserved.
};

/// What the advisory service has answered about a worker for a step; holds for one incarnation.
struct WorkerAdvice {
    std::int64_t incarnation = 0;
    bool approved = false;
    std::string ticket;
    TimePoint expires; ///< Of the ticket, less the time that a start takes to arrive.
};

/// Answers of the advisory service for a step.
struct StepAdvice {
    std::map<WorkerId, WorkerAdvice> workers; ///< All that the service has been asked about.
    TimePoint retryAt; ///< The service is not asked before.
    /// Earliest next search for workers to ask about, for tasks that may share a worker and for isolated
    /// ones.
    std::array<TimePoint, 2> nextSearch;
    std::size_t loggedWorkers = 0; ///< Size of `workers` when a lack of approved workers was last logged.
    bool asking = false;
};

/// Workers with a current answer of the advisory service.
struct AdvisedWorkers {
    std::set<WorkerId> ticketed; ///< Approved, with a valid ticket.
    std::set<WorkerId> approved;
    std::set<WorkerId> denied;
};

struct Step {
    const StepSpec* spec = nullptr;
    std::vector<Task> tasks;
    int done = 0;
    int active = 0; ///< Tasks that have a worker.
    StepAdvice advice;
    std::optional<StepReservation> reservation;
    std::map<WorkerId, int> onWorker; ///< Active tasks by worker.
    TimePoint waitingSince; ///< Unset while no task is waiting.
    TimePoint nextFeasibilityCheck; ///< Earliest next check whether the step would fit an empty fleet.
    TimePoint nextPreemption; ///< Earliest next search for tasks to preempt.
    TimePoint awaitsSince; ///< When a plan for its waiting tasks first awaited ends; unset before.
    const char* preemptionDecision = ""; ///< Reason of the last one, which is logged when it changes.
    TimePoint nextSeparationLine; ///< Earliest next log line on a wait for known interfering pairs.

    bool finished() const { return done == spec->count; }
    /// The task that holds the shared state of a gang (task 0), or the task itself.
    Task& shared(int index) { return tasks[spec->gang ? 0 : static_cast<std::size_t>(index)]; }
};

struct Occurrence {
    int number = 0;
    std::vector<Step> steps;

    bool finished() const;
    /// Whether all steps that `step` depends on are done.
    bool isReady(const Step& step) const;
};

struct Job {
    JobRecord record;
    JobState state = JobState::Queued;
    std::map<int, Occurrence> occurrences; ///< Due and not finished.
    int nextOccurrence = 0; ///< The first one not added to `occurrences` yet.
    TimePoint arrived; ///< When this owner learned of it; for a restored job, its acceptance.
    TimePoint ended;
    TimePoint firstStart; ///< First start of a task by this owner; unset before.
    TimePoint lastStart; ///< Last start of a task by this owner; unset before.
    int starts = 0; ///< Number of task starts by this owner.
    bool recovered = false; ///< A previous owner may have started its tasks.
    Revision progressRevision; ///< Revision of its progress record; 0 for none.
    std::uint64_t changes = 0; ///< Version of the progress, raised by each change.
    std::uint64_t saved = 0; ///< Version of the progress that is stored.
    bool saving = false; ///< A write of the progress is in flight.
    bool writeUnanswered = false; ///< A write that expects `progressRevision` may have been carried out.
    bool inSaveQueue = false;
    bool begun = false; ///< A worker has begun one of its tasks, as far as this owner knows.
    bool startUnresolved = false; ///< Whether it holds for any task.
    bool awaitsCrashSave = false; ///< A task may start once the count of its crashes is stored.
    /// Starts that were sent more than once, with the time until which one of the orders may be executed.
    std::map<TaskId, TimePoint> repeatedStarts;

    const JobId& id() const { return record.id; }
    const JobSpec& spec() const { return record.spec; }
    int occurrenceCount() const { return std::max(1, record.spec.repeatCount); }
    void addOccurrence(int number);
    Step* findStep(const TaskId& task); ///< Null if there is no such task or its occurrence is finished.
    const StepSpec* specOf(const TaskId& task) const; ///< Also valid after the task has ended.
    ProgressRecord progress() const;
    /// Orders of the previous owner may be executed until `ordersExpire`.
    void restore(const ProgressRecord& progress, TimePoint ordersExpire);
    /// Whether an order of a repeated start of the task, or of a member of its gang, may be executed later.
    bool mayStartLate(const TaskId& task, TimePoint now) const;
};

} // namespace jujubereach::fleet
