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
    void endDoubt();
    OwnerFigures figures() const;

    // owner-save.cpp: what goes to the store.
    void changed(Job& job);
    void saveDue();
    bool save();
    void writeEnded(Job& job);
    void saveDone(const SavedParts& parts, Revision revision);
    void saveFailed(const SavedParts& parts, const StoreAnswer& answer);
    void noteSaved(Worker& worker);
    void saveSummary(StoreWrite& write);
    void saveRoster(StoreWrite& write, SavedParts& parts);
    bool isRosterOpen(const Worker& worker) const; ///< As it should be stored.
    bool rosterDiffers(const Worker& worker) const; ///< Its row from what should be stored.
    bool rosterDiffers() const;

    // owner-orders.cpp: calls to workers and their answers.
    void callsDue(Worker& worker);
    void look(Worker& worker);
    void startCall(Worker& worker, ActiveRun& run);
    void stopCall(Worker& worker, ActiveRun& run);
    void startAnswered(
        const WorkerId& id, const TaskId& task, Run run, TimePoint sentAt, const OrderAnswer& answer);
    void stopAnswered(const WorkerId& id, const TaskId& task, Run run, const OrderAnswer& answer);
    void lookMissed(Worker& worker, bool extended, OrderFate fate);
    void lookAnswered(const WorkerId& id, TimePoint sentAt, bool extended, const OrderAnswer& answer);
    bool noteAnswer(Worker& worker, TimePoint sentAt, const OrderAnswer& answer);
    void stop(Worker& worker, const TaskId& task, const char* why);
    void superseded(const char* by);

    // owner-ends.cpp: what becomes of runs.
    void adopt(Worker& worker, const RunningTask& running, TimePoint sentAt);
    void ended(Worker& worker, const EndedTask& end);
    void release(Worker& worker, const TaskId& task);
    void loseRuns(Worker& worker, const char* why, bool mayReturn = true);
    void expectLateStarts(Worker& worker);
    void expireLateStarts(Worker& worker);
    void loseRun(Worker& worker, const TaskId& task, const char* why);
    void taskDone(Job& job, Step& step, const TaskId& task);
    void taskFailed(Job& job, Step& step, const TaskId& task, Run run, Worker& worker);
    void stepAdvanced(Job& job);
    void finish(Job& job, JobState state, const char* why);
    void stopTasks(Job& job, const char* why);
    void describe(const Job* job, const Worker& worker, ActiveRun& run) const;
    void noteStarted(ActiveRun& run);
    void seenRunning(Worker& worker, ActiveRun& run, Step* step, const RunningTask& seen);
    void watchProgress(Worker& worker, ActiveRun& run, const RunningTask& seen);

    // owner-pass.cpp: placing.
    void pass();
    struct Ready;
    struct Pass;
    bool claims(const Job& job, std::map<WorkspaceId, std::int64_t>& claimed) const;
    std::optional<Ready> readyStep(Job& job, Occurrence& occurrence, std::size_t index) const;
    double rankAmong(const Job& job, const Occurrence& occurrence, bool guaranteed) const;
    std::vector<Ready> readySteps();
    bool mayDisplace(const Ready& ready) const;
    void keepRoomForUrgent(const std::vector<Ready>& waiting);
    PlaceRequest requestFor(const Ready& ready, Pass& pass) const;
    bool isOverdue(const Ready& ready, Pass& pass) const;
    bool isHalfIdle(const ServiceId& service, Pass& pass) const;
    std::set<WorkerId> workersWithEarlierRuns(const Ready& ready, const std::vector<WorkerView>& fleet);
    bool leavesRack(const Ready& ready, const PlaceRequest& request, Pass& pass) const;
    std::size_t placeReady(const Ready& ready, Pass& pass);
    void startPlaced(const Ready& ready, const Placement& placement, const std::vector<WorkerView>& fleet);
    bool isUsable(const Worker& worker) const; ///< New tasks may start there now.
    void sortByRack();
    void refreshFleet();
    void placeInOrder(const std::vector<Ready>& waiting, Pass& pass);
    void addRun(Worker& worker, ActiveRun run);
    void removeRun(Worker& worker, const TaskId& task);
    void begin(Job& job, const TaskId& task, Worker& worker, Run run);
    void occurrencesDue();
    bool mayOpenOccurrence(const Job& job) const;
    Duration expectedTime(const Job& job, const StepSpec& step) const;
    double workOf(const Job& job, const StepSpec& step) const;

    // owner-reserve.cpp: room for steps that backfill would starve.
    void applyReservations(const std::vector<Ready>& waiting, Pass& pass);
    void reserveFor(const Ready& ready, const PlaceRequest& request, Pass& pass);
    bool bindsUrgent(const Ready& ready, Pass& pass) const; ///< Its reservation, also urgent work.
    std::vector<std::vector<ExpectedEnd>> expectedEnds() const;

    // owner-advice.cpp: queues whose adviser must be asked.
    bool isAdvised(const Ready& ready, const PlaceRequest& request, const std::vector<WorkerView>& fleet);
    void advised(
        const TaskId& id, Step& step, const std::vector<WorkerId>& asked, const AdviceAnswer& answer);

    // owner-displace.cpp: room for urgent work.
    void addDisplaceable(std::vector<WorkerView>& fleet);
    bool displaceFor(const Ready& ready, Pass& pass);
    void stopWhole(const TaskId& task, const char* why);
    bool runPlan(Job& job, int occurrence, int stepIndex);
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
    bool inDoubt() const; ///< Any recovered task may still run on a silent worker.
    bool mayRunUnseen(const TaskId& task) const; ///< On a silent worker that was closed before the takeover.
    void resolved(const WorkerId& id);
    bool mayBeOrdered(const WorkerId& id) const;
    Worker* findWorker(const WorkerId& id);
    Job* findJob(const JobId& id);
    void soon(); ///< Asks for a pass.

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
    TimePoint m_nextDisplacing; ///< The search looks at every run of the fleet.
    TimePoint m_nextReserving; ///< The same.
    bool m_passDue = false;
    TimePoint m_nextPass;
    TimePoint m_waitingPass = TimePoint::max(); ///< When to try again though nothing happened.
    OwnerFigures m_figures;
};

} // namespace jujubereach::fleet
