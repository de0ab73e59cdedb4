// Implementation of the owner. The functions are grouped by the source file that defines them.
#pragma once

#include "job.h"
#include "jujubereach/fleet/owner.h"
#include "jujubereach/fleet/pace.h"
#include "jujubereach/fleet/placement.h"
#include "jujubereach/fleet/preemption-cost.h"
#include "jujubereach/fleet/reservation.h"
#include "jujubereach/fleet/reserve.h"
#include "jujubereach/fleet/worker-speed.h"
#include "jujubereach/fleet/workspace-shares.h"
#include "worker.h"

#include <deque>
#include <unordered_map>

namespace jujubereach::fleet {

/// Statistics on the jobs of a queue.
struct QueueHistory {
    double meanWork = 0; ///< Mean work of accepted jobs, in core-seconds.
    int jobs = 0;
    double timeFactor = 1; ///< Moving average of the ratio of run time to estimate.
    int timed = 0; ///< Runs that have entered `timeFactor`.
};

/// Contents of one write to the store.
struct SavedParts {
    std::vector<std::pair<JobId, std::uint64_t>> jobs; ///< With the version of the progress that is written.
    std::optional<std::map<WorkerId, bool>> roster; ///< Whether each row is open, if the roster is written.
};

/// A start that may still be executed, by a later incarnation of the worker too, although the task no longer
/// runs there. The task starts nowhere else meanwhile.
struct LateStart {
    WorkerId worker;
    TimePoint expires; ///< After this no order of the start is executed.
};

/// A poll in flight.
struct SentPoll {
    TimePoint at;
    bool extends = false; ///< Renews the lease.
    std::uint64_t acknowledged = 0;
};

/// An update from the store that is not applied yet.
struct HeldUpdate {
    TimePoint receivedAt;
    std::function<void()> apply;
};

/// Use of a service by workspace.
struct ServiceShares {
    WorkspaceShares shares;
    Resources capacity; ///< Of the usable workers.
    std::map<WorkspaceId, Resources> use;
    std::map<WorkspaceId, TimePoint> loggedAt;
};

class Owner::Impl {
public:
    struct ReadyStep;
    struct Pass;

    Impl(OwnerSettings settings, OwnerHooks hooks, Fence fence, Revision ownerKey);

    // owner.cpp: registration and removal of jobs and workers, periodic checks.
    void restoreJob(JobRecord record, std::optional<ProgressRecord> progress, Revision revision);
    void restoreRoster(const std::optional<std::vector<RosterRow>>& roster, Revision revision);
    void recovered();
    void jobWritten(JobRecord record);
    bool isForgotten(const JobRecord& record) const;
    bool mayForget(const Job& job) const;
    void workerReported(const WorkerReport& report);
    void workerUnlisted(const WorkerId& id);
    void tick();
    void sweep();
    void sweepWorker(Worker& worker);
    void logLapse(const Worker& worker) const;
    void endRecoveryGracePeriod();
    OwnerFigures figures() const;

    // owner-updates.cpp: updates from the store.
    /// Applies the update, now or once a renewal shows that no successor existed when it was received.
    void receiveUpdate(std::function<void()> apply);
    void confirmOwnership(TimePoint sentAt);
    /// Whether no successor can have existed at `time`.
    bool isExclusive(TimePoint time) const { return time - m_confirmedAt < exclusivityPeriod(m_settings); }

    // owner-save.cpp: writes to the store.
    void markChanged(Job& job);
    void saveIfDue();
    bool save();
    void finishWrite(Job& job);
    void saveSucceeded(const SavedParts& parts, Revision revision);
    void saveFailed(const SavedParts& parts, const StoreAnswer& answer);
    void resolveConflict(const SavedParts& parts, const StoreAnswer& answer);
    void resolveConflict(Job& job, const std::vector<StoreItem>& items);
    void adoptStoredEnd(Job& job, JobState state, Revision revision);
    void giveUpOwnership(const char* why);
    void acknowledgeSavedEnds(Worker& worker);
    void saveSummary(StoreWrite& write);
    void saveSpeedsIfDue();
    void saveRoster(StoreWrite& write, SavedParts& parts);
    bool shouldBeOpenInRoster(const Worker& worker) const; ///< The state that should be stored.
    bool belongsInRoster(const Worker& worker) const; ///< Whether a row should be stored.
    bool rosterDiffers(const Worker& worker) const; ///< Whether its stored row is out of date.
    bool rosterDiffers() const;

    // owner-orders.cpp: calls to workers and handling of their answers.
    void sendDueCalls(Worker& worker);
    bool needsPoll(const Worker& worker) const;
    void poll(Worker& worker);
    void startCall(Worker& worker, ActiveRun& run);
    void stopCall(Worker& worker, ActiveRun& run);
    void startAnswered(
        const WorkerId& id, const TaskId& task, Run run, TimePoint sentAt, const OrderAnswer& answer);
    void logStartAnswer(const Worker& worker, const ActiveRun& run, const OrderAnswer& answer) const;
    void stopAnswered(
        const WorkerId& id, const TaskId& task, Run run, TimePoint sentAt, const OrderAnswer& answer);
    static bool awaitsList(const Worker& worker); ///< Whether a list decides what to do next.
    void requestList(Worker& worker);
    bool mayAcknowledge(const Worker& worker) const;
    void pollFailed(Worker& worker, bool extended, OrderFate fate);
    void pollAnswered(const WorkerId& id, const SentPoll& poll, const OrderAnswer& answer);
    TimePoint nextPollBesideEnds(Worker& worker);
    void loseAbsentRuns(Worker& worker, TimePoint sentAt, const OrderAnswer& answer);
    bool markFenced(Worker& worker, const OrderAnswer& answer);
    bool processAnswer(Worker& worker, TimePoint sentAt, const OrderAnswer& answer);
    void logRestart(const Worker& worker, std::int64_t newIncarnation, const char* shownBy) const;
    void stop(Worker& worker, const TaskId& task, const char* why);
    void stopDoomedRuns(Worker& worker);
    TimePoint expectedEnd(const Job& job, const Step& step, const Worker& worker, const ActiveRun& run);
    void markSuperseded(const char* by);

    // owner-ends.cpp: transitions of runs and of their jobs.
    void adopt(Worker& worker, const RunningTask& running, TimePoint sentAt);
    void assign(Worker& worker, Job& job, Step& step, const RunningTask& running);
    void recordEnd(Worker& worker, const EndedTask& end);
    void release(Worker& worker, const TaskId& task);
    void loseRuns(Worker& worker, const char* why, bool mayReturn = true);
    void restoreUnansweredStarts(Worker& worker);
    void expireUnansweredStarts(Worker& worker);
    /// Time by which the lease has certainly expired, however late renewals are executed.
    TimePoint lapseTime(const Worker& worker) const;
    Duration longestHold() const; ///< Of a worker, as measured by the owner's clock.
    void loseRun(Worker& worker, const TaskId& task, const char* why);
    void taskDone(Job& job, Step& step, const TaskId& task);
    void taskFailed(Job& job, Step& step, const TaskId& task, Run run, Worker& worker);
    void retireFinishedOccurrences(Job& job);
    void finish(Job& job, JobState state, const char* why);
    void stopTasks(Job& job, const char* why);
    void setRequirements(const Job* job, const Worker& worker, ActiveRun& run);
    void markStarted(ActiveRun& run, bool startTimeKnown = false);
    void updateRun(Worker& worker, ActiveRun& run, Step* step, const RunningTask& seen);
    void checkProgress(Worker& worker, ActiveRun& run, const RunningTask& seen);

    // owner-crashes.cpp: tasks that may crash the workers on which they run.
    void recordCrash(Worker& worker, std::int64_t newIncarnation);
    void recordCrashUnderAbsentRuns(Worker& worker, const std::vector<TaskId>& absent);
    void countCrash(Worker& worker, const std::vector<ActiveRun>& suspects, TimePoint crashedAt, bool alone);
    bool isOneGang(const std::vector<ActiveRun>& runs);
    void countCrash(Job& job, Task& task);
    static bool shouldGiveUp(const CrashHistory& history);
    bool recordCrashOf(const ActiveRun& run, TimePoint crashedAt, bool alone);
    void clearCrashesAfterProbation(const ActiveRun& run);
    /// Whether the store has the count of its crashes. A takeover would hide two crashes if the task started
    /// before.
    static bool isCrashSaved(const Job& job, const Task& task) { return job.saved >= task.crashVersion; }
    static bool mustIsolate(const Task& task);
    static bool shouldIsolate(const Task& task);
    static std::vector<ReadyStep> splitIsolated(ReadyStep ready);
    void limitIsolated(const ReadyStep& ready, PlaceRequest& request, const Pass& pass) const;
    std::set<WorkerId> workersAtCrashSites() const;
    void beginProbation(const Task& task, ActiveRun& run, bool isolated) const;

    // owner-starts.cpp: what a successor knows of the starts of the previous owner.
    Task* findTask(const TaskId& id);
    void markAnswered(ActiveRun& run);
    void confirmStart(ActiveRun& run);
    /// How long an order of the start that got no answer may still be executed there; 0 for none.
    Duration startMayComeFor(const Worker& worker, const TaskId& id) const;
    /// Sends it again, once the store holds that it is repeated.
    void repeatStart(Worker& worker, ActiveRun& run);
    void extendRepeatedStart(const TaskId& id, TimePoint sentAt);
    void settleSingleStart(Worker& worker, ActiveRun& run);
    void awaitRepeatedStart(Worker& worker, const Job& job, const EndedTask& end);
    /// Stores which incarnation executes the run; 0 if that is not known, or if the worker leaves.
    void setIncarnation(const ActiveRun& run, const Worker& worker, std::int64_t incarnation);
    void markLeaving(const Worker& worker);
    void forgetStart(const TaskId& id, const Worker& worker);
    void forgetStartsBeforeRestart(Worker& worker, std::int64_t newIncarnation);
    void resolveStarts(Job& job);
    bool resolveStart(Job& job, const TaskId& id, Task& task);
    bool awaitLateStart(const TaskId& id, const WorkerId& worker, TimePoint expires);
    bool isOver(const LateStart& late);
    TimePoint lastEarlierOrder() const; ///< The previous owner issues no orders later.
    void requestListAfter(const LateStart& late);
    void expireLateStarts();
    bool awaitsLateStart(const Worker& worker) const;

    // owner-pass.cpp: placement.
    void pass();
    std::set<WorkerId> workersToAvoid(const ReadyStep& ready, Pass& pass) const;
    bool isWithinGuarantee(const Job& job, std::map<WorkspaceId, std::int64_t>& claimed) const;
    std::optional<ReadyStep> readyStep(Job& job, Occurrence& occurrence, std::size_t index) const;
    double rankInQueue(const Job& job, const Occurrence& occurrence, bool guaranteed) const;
    std::vector<ReadyStep> readySteps();
    bool mayPreempt(const ReadyStep& ready) const;
    void reserveForUrgent(const std::vector<ReadyStep>& waiting);
    PlaceRequest requestFor(const ReadyStep& ready, Pass& pass);
    bool isOverdue(const ReadyStep& ready, Pass& pass) const;
    bool isHalfIdle(const ServiceId& service, Pass& pass) const;
    std::set<WorkerId> workersWithEarlierRuns(const ReadyStep& ready, const std::vector<WorkerView>& fleet);
    bool mayRelaxRack(const ReadyStep& ready, const PlaceRequest& request, Pass& pass) const;
    std::size_t placeReady(const ReadyStep& ready, Pass& pass);
    std::size_t placeTasks(const ReadyStep& ready, Pass& pass);
    Placement findPlacement(const ReadyStep& ready, PlaceRequest& request, Pass& pass);
    void startPlaced(
        const ReadyStep& ready, const Placement& placement, const std::vector<WorkerView>& fleet);
    /// Whether new tasks may start there now; a plan made before a quarantine is still executed.
    bool acceptsTasks(const Worker& worker) const;
    bool isUsable(const Worker& worker) const; ///< The same, unless it is quarantined.
    /// Whether the worker, by its entry, could run a task of the step if it were empty.
    bool couldRunOn(const Worker& worker, const Job& job, const StepSpec& step) const;
    static WorkerView viewOf(const Worker& worker); ///< Without its runs.
    void sortByRack();
    void refreshFleet();
    void placeInOrder(const std::vector<ReadyStep>& waiting, Pass& pass);
    void addRun(Worker& worker, ActiveRun run);
    void removeRun(Worker& worker, const TaskId& task);
    void begin(Job& job, const TaskId& task, Worker& worker, Run run, bool isolated = false);
    void addDueOccurrences();
    bool mayOpenOccurrence(const Job& job) const;
    Duration expectedTime(const Job& job, const StepSpec& step) const;
    double workOf(const Job& job, const StepSpec& step) const;

    // owner-reserve.cpp: reservations for steps that backfill would starve.
    void applyReservations(const std::vector<ReadyStep>& waiting, Pass& pass);
    void reserveFor(const ReadyStep& ready, const PlaceRequest& request, Pass& pass);
    /// Whether urgent steps must respect its reservation.
    bool bindsUrgent(const ReadyStep& ready, Pass& pass) const;
    std::vector<std::vector<ExpectedEnd>> expectedEnds();

    // owner-zones.cpp: availability zones that operators have closed.
    void setClosedZones(std::set<ZoneId> zones);
    bool isInClosedZone(const Worker& worker) const { return m_closedZones.isClosed(worker.report.zone); }
    std::int64_t guaranteeShortfall() const;
    void logClosedZones() const;

    // owner-advice.cpp: calls to the advisory service of a queue.
    enum class AskAbout {
        Free, ///< Workers where tasks fit now.
        Preemptible, ///< All where tasks could fit: a preemption needs tickets.
        Reservable, ///< The same, unless enough are approved: a reservation needs no tickets.
    };
    bool isCurrent(const WorkerId& id, const WorkerAdvice& advice) const;
    AdvisedWorkers advisedWorkers(const Step& step) const;
    void askForAdvice(
        const ReadyStep& ready, const PlaceRequest& request, const std::vector<WorkerView>& fleet);
    /// Workers about which to ask in one call; none if answers would not help to place the request.
    std::vector<WorkerId> workersToAsk(const Step& step, const PlaceRequest& request,
        const std::vector<WorkerView>& fleet, AskAbout which) const;
    void recordAdvice(const TaskId& id, Step& step, const std::map<WorkerId, std::int64_t>& asked, int needed,
        const AdviceAnswer& answer);
    void dropTicket(const TaskId& task, const WorkerId& worker);
    void logMissingWorkers(const ReadyStep& ready, const PlaceRequest& request);

    // owner-shares.cpp: fair shares of scarce capacity between workspaces.
    void countUse();
    double weightOf(const WorkspaceId& id) const;
    bool statesWeights() const; ///< Whether the configuration states a weight for any workspace.
    double factorOf(const Job& job) const; ///< For the ranks of its steps; 1 without competition.
    void updateShares(const std::vector<ReadyStep>& waiting);
    void orderByShares(std::vector<ReadyStep>& waiting);
    void reportShares(
        const ServiceId& id, ServiceShares& service, const std::vector<WorkspaceDemand>& demands);

    // owner-displace.cpp: preemption for urgent steps.
    void addPreemptionCandidates(std::vector<WorkerView>& fleet);
    PreemptionCandidate candidateOf(
        const Job& job, const Step& step, const Worker& worker, const ActiveRun& run, double rank);
    void markResumable(std::vector<WorkerView>& fleet);
    /// Expected end of a run; a run that lasts longer than expected is taken to last a while longer.
    TimePoint endUnlessStopped(const Job& job, const Step& step, const Worker& worker, const ActiveRun& run);
    UrgentNeed urgentNeedOf(const ReadyStep& ready) const;
    PreemptionDecision decideFor(const ReadyStep& ready, const PlaceRequest& request, Pass& pass) const;
    void logDecision(const ReadyStep& ready, const PreemptionDecision& decision);
    /// Returns whether a plan now holds capacity for the step.
    bool preemptFor(const ReadyStep& ready, Pass& pass);
    void plan(const ReadyStep& ready, const std::vector<int>& waiting, const Preemption& found, Pass& pass);
    const ActiveRun* findRun(const TaskId& task);
    bool victimsStop(const PreemptionPlan& plan); ///< Whether a victim of the plan still runs.
    bool endsInTime(const PreemptionPlan& plan);
    bool awaitsEnds(const ReadyStep& ready) const; ///< Whether a plan for the step awaits runs that end.
    void stopWhole(const TaskId& task, const char* why);
    bool executePlan(Job& job, int occurrence, int stepIndex);
    void dropPlans(const Job& job);
    void dropPlans(const Worker& worker);
    void dropExpiredPlans();
    std::map<WorkerId, Resources> reservedByPlans() const;

    // owner-speed.cpp: speed of workers.
    static std::int64_t incarnationOf(const Worker& worker);
    static bool isDelayed(const Worker& worker, TimePoint at, const OrderAnswer& answer);
    bool showsSpeed(const Worker& worker, const Step& step, const ActiveRun& run) const;
    void measureRate(Worker& worker, ActiveRun& run, const Step& step, int percent);
    void measureEnd(const Worker& worker, const ActiveRun& run, const Step& step);
    void observeRate(const Worker& worker, const ActiveRun& run, int percent, Duration time, bool running);
    void discardRate(ActiveRun& run);
    void refitSpeeds();
    void restoreSpeeds(const std::string& value);
    double speedOf(const Worker& worker) const; ///< 1 if unknown.
    double cautiousSpeedOf(const Worker& worker) const; ///< Less one standard deviation.
    /// Of the worker, or of the slowest worker of a gang.
    double speedOfRun(const Worker& worker, const Step& step, const ActiveRun& run);
    /// `expectedTime` on workers of this speed.
    Duration expectedTimeAt(double speed, const Job& job, const StepSpec& step) const;
    void recordGangSpeed(
        const ReadyStep& ready, const Placement& placement, const std::vector<WorkerView>& fleet);
    void logGangSpeed(
        const ReadyStep& ready, const Placement& placement, const std::vector<WorkerView>& fleet) const;
    // owner-interference.cpp: tasks that slow each other down on one worker.
    /// Whether latency-sensitive and best-effort tasks may share a worker.
    bool mayPace() const { return m_settings.features.interference && m_hooks.workers.pace; }
    TaskKind kindOf(const Job& job, const StepSpec& step, int stepIndex);
    /// Resources that a run of the step takes from other tasks.
    Resources resourcesOf(const StepSpec& step) const;
    void setClass(const Job& job, const StepSpec& step, ActiveRun& run);
    void recordTails(Worker& worker, const OrderAnswer& answer);
    /// Whether its lists are needed as often as tails change.
    bool awaitsTails(const Worker& worker) const;
    void learnInterference(Worker& worker);
    bool mayStall(ActiveRun& run) const;
    /// The time for what takes `time` at full pace. A pace of 0 counts as 1 percent.
    static Duration pacedTime(const ActiveRun& run, Duration time);
    void decidePaces(Worker& worker, TimePoint sentAt);
    void applyPace(Worker& worker, const PaceDecision& decision, const ActiveRun* worst, TimePoint sentAt);
    void logPace(const Worker& worker, const ActiveRun& run, const PaceDecision& decision,
        const ActiveRun* worst, TimePoint sentAt);
    bool mayStopPaced(const TaskId& task);
    void moveHeldTasks(Pass& pass);
    void moveHeldTask(Worker& worker, const TaskId& task, Pass& pass);
    int unavailableTasks(const Step& step, TaskId task);
    std::vector<PacedTask> pacedTasks(Worker& worker, bool underPressure);
    bool needsPaceCall(const ActiveRun& run) const;
    void sendDuePaces(Worker& worker);
    void paceCall(Worker& worker, ActiveRun& run);
    void paceAnswered(const WorkerId& id, const PaceOrder& order, std::int64_t incarnation, TimePoint sentAt,
        const OrderAnswer& answer);
    bool admitsBestEffort(const Worker& worker) const;
    void refreshKnownPairs();
    const std::vector<double>* separationFor(const ReadyStep& ready);
    void logKeptApart(const ReadyStep& ready, const PlaceRequest& request, const Placement& placement);

    // owner-metrics.cpp: metrics.
    void countStart(const Job& job);
    void countEnd(const EndedTask& end, const Job* job, double thrownAway);
    void countFinish(const Job& job);
    void count(const char* name, const metrics::Labels& labels = {}, double amount = 1) const;

    TimePoint now() const { return m_hooks.clock(); }
    bool mayOrder() const { return now() - m_confirmedAt < m_settings.ownershipTimeout && !m_superseded; }
    /// Whether tasks may start; what runs is kept alive as long as `mayOrder` holds.
    bool mayStart() const { return mayOrder() && m_closedZones.isFresh(now(), m_settings.closeZoneBound); }
    const Route& termsOf(const Job& job) const;
    TimePoint arrivalOf(const JobRecord& record) const; ///< For a restored job.
    bool hasUnresolvedWorkers() const; ///< Whether any restored task may still run on a silent worker.
    /// Whether the roster lists it on a silent worker with a closed row.
    bool mayRunUnseen(const TaskId& task) const;
    void markResolved(const WorkerId& id);
    bool isOpenInRoster(const WorkerId& id) const;
    Worker* findWorker(const WorkerId& id);
    Job* findJob(const JobId& id);
    void schedulePass();

    OwnerSettings m_settings;
    const OwnerHooks m_hooks;
    const Fence m_fence;
    const Revision m_ownerKey;
    std::shared_ptr<const FleetConfig> m_config;
    ClosedZones m_closedZones;
    TimePoint m_confirmedAt; ///< When the last answered renewal was sent.
    std::deque<HeldUpdate>
        m_heldUpdates; ///< Oldest first; updates are applied in the order of their arrival.
    TimePoint m_tookOverAt;
    bool m_superseded = false;
    bool m_expectsUnheldUpdates = false; ///< The previous owner may start jobs accepted after the takeover.
    bool m_recovered = false;
    std::shared_ptr<Impl*> m_self; ///< Null after destruction, so that late answers are ignored.

    /// All jobs of the store that are not in a final state, and those that reached one recently.
    std::map<JobId, Job> m_jobs;
    std::set<JobId> m_open; ///< Jobs not in a final state.
    /// All records created up to this revision have been in `m_jobs`, unless they cannot be read.
    Revision m_jobsReported;
    std::map<WorkerId, Worker> m_workers;
    std::map<WorkerId, Renewals> m_renewals; ///< Outlive the entry of a worker that leaves and returns.
    /// By step (with task index 0). What plans reserve is derived from here alone: a worker may leave,
    /// restart or return while a plan waits for it.
    std::map<TaskId, PreemptionPlan> m_plans;
    std::map<RouteId, QueueHistory> m_history;
    std::map<ServiceId, UrgentReserve> m_reserves;
    WorkerSpeeds m_speeds;
    std::map<ServiceId, bool> m_speedsDiffer; ///< As last logged.
    TimePoint m_speedsFittedAt;
    TimePoint m_nextSpeedsSave;
    bool m_speedsUnsaved = false; ///< The last write of them has failed.
    std::map<ServiceId, ServiceShares> m_shares; ///< A successor starts without it.
    TimePoint m_nextShareUpdate;

    /// Until the recovery grace period is over. No other roster is stored before, for a successor.
    bool m_rosterUnreadable = false;
    std::set<WorkerId> m_unresolved; ///< Workers of the roster at takeover whose runs are not known yet.
    /// Unresolved workers with a closed row, and the tasks they may run.
    std::map<WorkerId, std::vector<TaskId>> m_closed;
    /// Workers of the roster that had been replaced at their address when this owner reached it.
    std::set<WorkerId> m_replaced;
    std::map<TaskId, LateStart> m_lateStarts;
    std::set<WorkerId> m_lateStartWorkers; ///< Workers of `m_lateStarts`.
    std::map<WorkerId, bool> m_roster; ///< Stored rows; only workers with an open row receive starts.
    Revision m_rosterRevision;
    bool m_rosterDue = false;

    std::deque<JobId> m_saveQueue; ///< Changed jobs that no write in flight includes, oldest first.
    int m_savesInFlight = 0; ///< Writes in flight never share a job.
    bool m_savingRoster = false;
    /// A write that expects `m_rosterRevision` may have been carried out.
    bool m_rosterWriteUnanswered = false;
    TimePoint m_nextSave;
    int m_saveFailures = 0;
    TimePoint m_summaryAt;
    std::string m_summary; ///< Last value written.

    std::vector<Worker*> m_byRack; ///< All workers with an open row, by rack and id.
    bool m_byRackStale = true; ///< Set when a worker entry or the roster has changed.
    std::vector<Worker*> m_usable; ///< Usable workers of `m_byRack` at the last pass.
    std::vector<WorkerView> m_fleet; ///< One view for each of `m_usable`, updated by each pass.
    std::map<std::string, TimePoint> m_crashSites; ///< Last crash by address of the worker.
    std::unordered_map<JobId, int> m_runsOf; ///< Number of runs on all workers by job; entries are positive.

    InterferenceModel m_interference;
    PaceController m_pace;
    std::map<TaskId, WorkerId> m_heldTasks; ///< At pace 0 for so long that the next pass tries to move them.
    TimePoint m_nextMove; ///< Rate limit: stopped tasks start elsewhere before others are considered.
    KnownPairs m_knownPairs; ///< As of the last refresh.
    TimePoint m_nextPairRefresh;
    /// Added costs of `m_fleet`, by kind and whether known pairs are excluded; computed anew after each
    /// refresh of the pairs, as that visits all runs of the fleet.
    std::map<std::pair<TaskKind, bool>, std::vector<double>> m_separations;

    std::multiset<TimePoint> m_adviceCalls; ///< When the calls without an answer were sent.
    TimePoint m_nextSweep; ///< Next periodic check of all workers and jobs.
    TimePoint m_nextPreemption; ///< Rate limit: a search visits all runs of the fleet.
    TimePoint m_nextReservation; ///< Rate limit: a choice visits all runs of the fleet.
    bool m_passDue = false;
    TimePoint m_nextPass;
    TimePoint m_nextRetryPass = TimePoint::max(); ///< Next pass if no event requests one.
    OwnerFigures m_figures;
};

} // namespace jujubereach::fleet
