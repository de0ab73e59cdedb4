// Jobs as the owner sees them while they run.
#pragma once

#include "jujubereach/fleet/records.h"

#include <map>
#include <set>

namespace jujubereach::fleet {

struct Task {
    bool done = false;
    Run lastRun; ///< Highest known start.
    std::set<Run> failedRuns; ///< Of a gang: kept in task 0.
    std::string checkpoint;
    WorkerId worker; ///< Where a run of it is, or may be; empty for none.
    std::set<WorkerId> failedOn;
};

/// Workers chosen for the tasks of a step whose room is still being freed.
struct PreemptionPlan {
    std::vector<std::pair<int, WorkerId>> tasks; ///< Index and worker.
    TimePoint expires;
};

/// Workers that are kept for a step at the head of the queue.
struct StepReservation {
    std::vector<WorkerId> workers;
    TimePoint since;
    TimePoint freeAt; ///< By the expected ends of what runs there.
};

/// What the adviser of a queue has said of a step.
struct StepAdvice {
    std::map<WorkerId, std::string> tickets;
    std::set<WorkerId> approved; ///< Does not change, though tickets expire.
    std::set<WorkerId> named; ///< Workers that it was asked about.
    TimePoint expires;
    TimePoint retryAt;
    bool asking = false;
};

struct Step {
    const StepSpec* spec = nullptr;
    std::vector<Task> tasks;
    int done = 0;
    int active = 0; ///< Tasks with a worker.
    StepAdvice advice;
    std::optional<PreemptionPlan> plan;
    std::optional<StepReservation> reservation;
    std::map<WorkerId, int> onWorker; ///< Active tasks by worker.
    TimePoint waitingSince; ///< Unset while no task waits.
    TimePoint nextFeasibilityCheck; ///< Whether its rack could take it at all.
    TimePoint nextPreemption; ///< Whether something may be displaced for it.

    bool finished() const { return done == spec->count; }
    /// The task that carries what a gang's members share, else the task itself.
    Task& shared(int index) { return tasks[spec->gang ? 0 : static_cast<std::size_t>(index)]; }
};

struct Occurrence {
    int number = 0;
    std::vector<Step> steps;

    bool finished() const;
    /// Whether all steps that this one waits for are done.
    bool isReady(const Step& step) const;
};

struct Job {
    JobRecord record;
    JobState state = JobState::Queued;
    std::map<int, Occurrence> occurrences; ///< Those that are due and not done.
    int nextOccurrence = 0; ///< The first that is not due yet.
    TimePoint arrived; ///< When this owner heard of it.
    TimePoint ended;
    TimePoint firstStart; ///< Of any task, by this owner; unset before.
    TimePoint lastStart; ///< The same.
    int starts = 0; ///< Of tasks, by this owner.
    bool recovered = false; ///< Another owner may have started its tasks.
    Revision progressRevision; ///< Of its progress record; 0 for none.
    std::uint64_t changes = 0; ///< Rises with each change of what is saved.
    std::uint64_t saved = 0; ///< The value of `changes` that the store has.
    bool saving = false; ///< A write of it is under way.
    bool inSaveQueue = false;

    const JobId& id() const { return record.id; }
    const JobSpec& spec() const { return record.spec; }
    int occurrenceCount() const { return std::max(1, record.spec.repeatCount); }
    void addOccurrence(int number);
    Step* findStep(const TaskId& task); ///< Null for a task that the job does not have, or no longer.
    const StepSpec* specOf(const TaskId& task) const; ///< Also after the task's end.
    ProgressRecord progress() const;
    void restore(const ProgressRecord& progress);
};

} // namespace jujubereach::fleet
