// The owner's state and the parts of its work, a source file each.
#pragma once

#include "job.h"
#include "jujubereach/fleet/owner.h"
#include "jujubereach/fleet/placement.h"
#include "jujubereach/fleet/reservation.h"
#include "jujubereach/fleet/reserve.h"
#include "worker.h"

#include <deque>
#include <unordered_map>

namespace jujubereach::fleet {

/// What a queue's jobs have turned out to be.
struct QueueHistory {
    double meanWork = 0; ///< Of accepted jobs, in core-seconds.
    int jobs = 0;
    double timeFactor = 1; ///< Actual run time over the estimate.
    int timed = 0;
};

/// What one write to the store holds.
struct SavedParts {
    std::vector<std::pair<JobId, std::uint64_t>> jobs; ///< With the count of changes that is written.
    std::map<WorkerId, bool> roster; ///< Whether each row is open. Empty when it is not written.
};

class Owner::Impl {
public:
    Impl(OwnerSettings settings, OwnerHooks hooks, Fence fence, Revision ownerKey);

    // owner.cpp: jobs and workers come and go.
    void restoreJob(JobRecord record, std::optional<ProgressRecord> progress, Revision revision);
    void restoreRoster(const std::vector<RosterRow>& roster, Revision revision);
    void recovered();
    void jobWritten(JobRecord record);
    void workerReported(const WorkerReport& report);
    void workerUnlisted(const WorkerId& id);
    void tick();
    void sweep();
    void sweepWorker(Worker& worker);
    void endRecoveryGracePeriod();
    OwnerFigures figures() const;

    // owner-save.cpp: what goes to the store.
    void markChanged(Job& job);
    void saveIfDue();
    bool save();
    void finishWrite(Job& job);
    void saveSucceeded(const SavedParts& parts, Revision revision);
    void saveFailed(const SavedParts& parts, const StoreAnswer& answer);
    void acknowledgeSavedEnds(Worker& worker);
    void saveSummary(StoreWrite& write);
    void saveRoster(StoreWrite& write, SavedParts& parts);
    bool shouldBeOpenInRoster(const Worker& worker) const; ///< As it should be stored.
    bool rosterDiffers(const Worker& worker) const; ///< Its row from what should be stored.
    bool rosterDiffers() const;

    // owner-orders.cpp: calls to workers and their answers.
    void sendDueCalls(Worker& worker);
    void poll(Worker& worker);
    void startCall(Worker& worker, ActiveRun& run);
    void stopCall(Worker& worker, ActiveRun& run);
    void startAnswered(
        const WorkerId& id, const TaskId& task, Run run, TimePoint sentAt, const OrderAnswer& answer);
    void stopAnswered(const WorkerId& id, const TaskId& task, Run run, const OrderAnswer& answer);
    void pollFailed(Worker& worker, bool extended, OrderFate fate);
    void pollAnswered(const WorkerId& id, TimePoint sentAt, bool extended, const OrderAnswer& answer);
    bool processAnswer(Worker& worker, TimePoint sentAt, const OrderAnswer& answer);
    void stop(Worker& worker, const TaskId& task, const char* why);
    void markSuperseded(const char* by);

    // owner-ends.cpp: what becomes of runs.
    void adopt(Worker& worker, const RunningTask& running, TimePoint sentAt);
    void recordEnd(Worker& worker, const EndedTask& end);
    void release(Worker& worker, const TaskId& task);
    void loseRuns(Worker& worker, const char* why, bool mayReturn = true);
    void restoreUnansweredStarts(Worker& worker);
    void expireUnansweredStarts(Worker& worker);
    void loseRun(Worker& worker, const TaskId& task, const char* why);
    void taskDone(Job& job, Step& step, const TaskId& task);
    void taskFailed(Job& job, Step& step, const TaskId& task, Run run, Worker& worker);
    void retireFinishedOccurrences(Job& job);
    void finish(Job& job, JobState state, const char* why);
    void stopTasks(Job& job, const char* why);
    void setRequirements(const Job* job, const Worker& worker, ActiveRun& run) const;
    void markStarted(ActiveRun& run);
    void updateRun(Worker& worker, ActiveRun& run, Step* step, const RunningTask& seen);
    void checkProgress(Worker& worker, ActiveRun& run, const RunningTask& seen);

    // owner-pass.cpp: placing.
    void pass();
    struct ReadyStep;
    struct Pass;
    bool isWithinGuarantee(const Job& job, std::map<WorkspaceId, std::int64_t>& claimed) const;
    std::optional<ReadyStep> readyStep(Job& job, Occurrence& occurrence, std::size_t index) const;
    double rankInQueue(const Job& job, const Occurrence& occurrence, bool guaranteed) const;
    std::vector<ReadyStep> readySteps();
    bool mayPreempt(const ReadyStep& ready) const;
    void reserveForUrgent(const std::vector<ReadyStep>& waiting);
    PlaceRequest requestFor(const ReadyStep& ready, Pass& pass) const;
    bool isOverdue(const ReadyStep& ready, Pass& pass) const;
    bool isHalfIdle(const ServiceId& service, Pass& pass) const;
    std::set<WorkerId> workersWithEarlierRuns(const ReadyStep& ready, const std::vector<WorkerView>& fleet);
    bool mayRelaxRack(const ReadyStep& ready, const PlaceRequest& request, Pass& pass) const;
    std::size_t placeReady(const ReadyStep& ready, Pass& pass);
    void startPlaced(
        const ReadyStep& ready, const Placement& placement, const std::vector<WorkerView>& fleet);
    bool isUsable(const Worker& worker) const; ///< New tasks may start there now.
    void sortByRack();
    void refreshFleet();
    void placeInOrder(const std::vector<ReadyStep>& waiting, Pass& pass);
    void addRun(Worker& worker, ActiveRun run);
    void removeRun(Worker& worker, const TaskId& task);
    void begin(Job& job, const TaskId& task, Worker& worker, Run run);
    void addDueOccurrences();
    bool mayOpenOccurrence(const Job& job) const;
    Duration expectedTime(const Job& job, const StepSpec& step) const;
    double workOf(const Job& job, const StepSpec& step) const;

    // owner-reserve.cpp: room for steps that backfill would starve.
    void applyReservations(const std::vector<ReadyStep>& waiting, Pass& pass);
    void reserveFor(const ReadyStep& ready, const PlaceRequest& request, Pass& pass);
    bool bindsUrgent(const ReadyStep& ready, Pass& pass) const; ///< Its reservation, also urgent work.
    std::vector<std::vector<ExpectedEnd>> expectedEnds() const;

    // owner-advice.cpp: queues whose adviser must be asked.
    bool ensureAdvice(
        const ReadyStep& ready, const PlaceRequest& request, const std::vector<WorkerView>& fleet);
    void recordAdvice(
        const TaskId& id, Step& step, const std::vector<WorkerId>& asked, const AdviceAnswer& answer);

    // owner-displace.cpp: room for urgent work.
    void addPreemptionCandidates(std::vector<WorkerView>& fleet);
    bool preemptFor(const ReadyStep& ready, Pass& pass);
    void stopWhole(const TaskId& task, const char* why);
    bool executePlan(Job& job, int occurrence, int stepIndex);
    void dropPlan(Step& step);

    // owner-metrics.cpp: what operators count.
    void countStart(const Job& job);
    void countEnd(const EndedTask& end, const Job* job, double thrownAway);
    void countFinish(const Job& job);
    void count(const char* name, const metrics::Labels& labels = {}, double amount = 1) const;

    TimePoint now() const { return m_hooks.clock(); }
    bool mayOrder() const { return now() - m_confirmedAt < m_settings.ownershipTimeout && !m_superseded; }
    const Route& termsOf(const Job& job) const;
    TimePoint arrivalOf(const JobRecord& record) const; ///< Of a job that another owner knew before.
    bool hasUnresolvedWorkers() const; ///< Any recovered task may still run on a silent worker.
    bool mayRunUnseen(const TaskId& task) const; ///< On a silent worker that was closed before the takeover.
    void markResolved(const WorkerId& id);
    bool isOpenInRoster(const WorkerId& id) const;
    Worker* findWorker(const WorkerId& id);
    Job* findJob(const JobId& id);
    void schedulePass(); ///< Asks for a pass.

    OwnerSettings m_settings;
    const OwnerHooks m_hooks;
    const Fence m_fence;
    const Revision m_ownerKey;
    std::shared_ptr<const FleetConfig> m_config;
    TimePoint m_confirmedAt;
    TimePoint m_tookOverAt;
    bool m_superseded = false;
    bool m_recovered = false;
    std::shared_ptr<Impl*> m_self; ///< Answers that come after this object is gone find null.

    std::map<JobId, Job> m_jobs;
    std::set<JobId> m_open; ///< Jobs not in a final state.
    std::map<WorkerId, Worker> m_workers;
    std::map<RouteId, QueueHistory> m_history;
    std::map<ServiceId, UrgentReserve> m_reserves;

    std::set<WorkerId> m_unresolved; ///< Of the roster at takeover; may run what nobody told this owner.
    std::map<WorkerId, std::vector<TaskId>> m_closed; ///< Those of them that may run only these tasks.
    std::map<WorkerId, bool> m_roster; ///< As stored; only workers with an open row are given orders.
    Revision m_rosterRevision;
    bool m_rosterDue = false;

    std::deque<JobId> m_saveQueue; ///< Jobs with changes that no write under way has, oldest first.
    int m_savesInFlight = 0; ///< No two of them have a job in common.
    bool m_savingRoster = false;
    TimePoint m_nextSave;
    int m_saveFailures = 0;
    TimePoint m_summaryAt;
    std::string m_summary; ///< As last written.

    std::vector<Worker*> m_byRack; ///< All workers that may be ordered, by rack and id.
    bool m_byRackStale = true; ///< A worker came, went or changed what it is; or the roster did.
    std::vector<Worker*> m_usable; ///< Of `m_byRack`, as the last pass found them.
    std::vector<WorkerView> m_fleet; ///< One for each of `m_usable`; their free room is that of a pass.
    std::unordered_map<JobId, int> m_runsOf; ///< Runs that workers have, or may have, by job; none is 0.

    TimePoint m_nextSweep; ///< When to look at all workers and jobs again.
    TimePoint m_nextPreemption; ///< The search looks at every run of the fleet.
    TimePoint m_nextReservation; ///< The same.
    bool m_passDue = false;
    TimePoint m_nextPass;
    TimePoint m_nextRetryPass = TimePoint::max(); ///< When to try again though nothing happened.
    OwnerFigures m_figures;
};

} // namespace jujubereach::fleet
