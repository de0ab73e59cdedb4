// Implementation of DomainOwner. owner.cpp has roles and inputs, owner-sync.cpp syncs and replies,
// owner-gangs.cpp scheduler decisions and gangs, owner-recovery.cpp gangs and jobs found after a change of
// owner.
#pragma once

#include "gang.h"
#include "recovery.h"
#include "worker-leases.h"

#include "jujubereach/base/random.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace jujubereach::jobs {

enum class Role {
    Idle,
    Contending, ///< Acquires worker leases; sends no commands.
    Owning, ///< Holds unexpired leases of a majority of the workers.
    Draining, ///< Still owner, but starts no more gangs before handing over.
    Releasing,
};

class DomainOwner::Impl {
public:
    Impl(OwnerConfig config, SchedulerFactory makeScheduler);

    // owner.cpp
    void setOwning(bool shouldOwn, TimePoint now);
    void setJournalAvailable(bool available, TimePoint now);
    std::optional<scheduling::EndJob> submit(const scheduling::JobSpec& job, TimePoint now);
    void cancel(const JobId& job, TimePoint now);
    void tick(TimePoint now);
    void onFenceRefused(std::uint64_t journaledTerm, TimePoint now);
    TimePoint nextDue(TimePoint now) const;
    bool isOwner(TimePoint now) const;
    scheduling::Explanation explain(const JobId& job, TimePoint now) const;

    // owner-sync.cpp
    std::vector<OutgoingSync> dueSyncs(TimePoint now);
    void onSyncReply(std::uint32_t worker, const platform::WorkerReply& reply, TimePoint now);

    // owner-gangs.cpp
    void onEventCommitted(std::uint64_t number, TimePoint now);
    void onEventRejected(std::uint64_t number, TimePoint now);

    // owner-recovery.cpp
    void onJournaledJobs(const std::vector<JournaledJob>& jobs, JournalView view, TimePoint now);

    OwnerConfig m_config;
    SchedulerFactory m_makeScheduler;
    SchedulerHooks m_scheduler; ///< Empty outside a term.
    WorkerLeases m_leases;
    Role m_role = Role::Idle;
    std::uint64_t m_term = 0;
    std::vector<JobEvent> m_events;
    std::vector<std::string> m_log;
    bool m_recovered = false; ///< Recovery is complete in this term.

    struct Job {
        scheduling::JobSpec spec;
        Ran ran = Ran::No; ///< Over all attempts so far.
        bool claimed = false; ///< Not restartable, and an attempt may have started.
        bool ended = false; ///< Kept until the end is committed, so that no journal view restarts it.
        bool waitsForJournal = false; ///< Deferred until the journal is available; unknown to the scheduler.
        JobId schedulerId; ///< Id in the scheduler, which accepts each id only once.
        GangId lastGang; ///< Gang of the last attempt that ended.
        std::optional<scheduling::EndKind> lastEnd; ///< End kind of lastGang.
    };
    std::map<JobId, Job> m_jobs; ///< Jobs of this term whose end is not committed.

private:
    // owner.cpp
    void refreshRole(TimePoint now);
    void becomeContender(TimePoint now);
    void becomeOwner(TimePoint now);
    void dropTerm();
    void refreshContender(TimePoint now);
    void refreshOwner(TimePoint now);
    void startReleasing(const std::string& why);
    bool owns() const { return m_role == Role::Owning || m_role == Role::Draining; }
    std::optional<scheduling::EndJob> enqueue(Job& job, TimePoint now);
    Job* findBySchedulerId(const JobId& id);
    void appendLog(const std::string& line);

    // owner-sync.cpp
    OutgoingSync syncFor(std::uint32_t worker, Duration ttl, TimePoint now);
    std::vector<platform::WorkerCommand> commandsFor(std::uint32_t worker, TimePoint now);
    bool allLeasesFresh(const Gang& gang, TimePoint now) const;
    void onTasks(
        std::uint32_t worker, const std::vector<platform::TaskReport>& tasks, bool granted, TimePoint now);
    void onUnknownTask(std::uint32_t worker, const platform::TaskReport& task, TimePoint now);
    bool isAlive(std::uint32_t worker, TimePoint now) const;
    bool isLost(std::uint32_t worker, TimePoint now) const;
    void refreshWorkers(TimePoint now);
    bool isUsable(std::uint32_t worker, TimePoint now) const;

    // owner-gangs.cpp
    void decide(TimePoint now);
    void execute(const scheduling::StartGang& start, TimePoint now);
    void execute(const scheduling::PreemptGang& preempt, TimePoint now);
    void execute(const scheduling::EndJob& end, TimePoint now);
    void deferUntilJournal(Job& job, const GangId& schedulerGang, TimePoint now);
    void addGang(Gang gang);
    void requestSync(const Gang& gang);
    void tickGangs(TimePoint now);
    void handlePhaseChange(Gang& gang, TimePoint now);
    void onGangEnded(const Gang& gang, TimePoint now);
    void endJob(Job& job, const scheduling::EndJob& end);
    void releaseEndedGangs();
    JobEvent& emit(JobEventKind kind, const Job& job, const GangId& gang);

    // owner-recovery.cpp
    /// The newest ended attempt of a job that workers reported.
    struct ReportedEnd {
        scheduling::JobSpec spec;
        scheduling::GangEnd end;
        GangId gang;
        Ran ran = Ran::Unknown;
    };
    struct FoundJob {
        std::optional<JournaledJob> journaled;
        std::optional<ReportedEnd> reported;
        bool cancelled = false;
    };
    void recover(TimePoint now);
    void recoverGang(const Recovery::FoundGang& found, TimePoint now);
    void adopt(Gang gang, TimePoint now);
    void onFoundGangEnded(const Gang& gang, TimePoint now);
    void resolveFoundJobs(TimePoint now);
    void resolveFoundJob(const FoundJob& found, TimePoint now);
    void rememberRuns();
    void enqueueFoundJob(Job& job, const ReportedEnd* reported, TimePoint now);
    bool hasGang(const JobId& job) const;

    Random m_random;
    TimePoint m_contendNotBefore; ///< Until then a contender only releases leases.
    /// While contending: since when some leases but no majority are held.
    std::optional<TimePoint> m_minoritySince;
    TimePoint m_drainUntil;
    bool m_journalAvailable = true;
    std::uint64_t m_nextEvent = 1;
    std::uint64_t m_nextJob = 1;
    std::uint64_t m_nextResubmission = 1; ///< Suffix of the scheduler's id for the next resubmitted job.
    std::map<JobId, JobId> m_resubmitted; ///< Job id by scheduler's id, where the two differ.
    std::uint64_t m_nextGang = 1; ///< Part of the gang id; unique together with the term.
    std::map<GangId, Gang> m_gangs; ///< By the workers' gang id; removed when Ended.
    std::map<GangId, GangId> m_bySchedulerId;
    std::vector<std::set<GangId>> m_gangsOn; ///< Gangs with a member on each worker.
    std::vector<bool> m_labelsRequested; ///< By worker: whether its last sync asked for labels.
    std::vector<bool> m_syncRequested; ///< By worker: commands may be waiting for a sync.
    std::vector<bool> m_reportedUp; ///< By worker: last state reported to the scheduler.
    /// Ended tasks that the workers are told to drop.
    std::set<std::pair<std::uint32_t, GangId>> m_pendingForgets;
    std::map<std::uint64_t, GangId> m_pendingClaims; ///< Claims not committed yet, by event number.
    std::map<std::uint64_t, JobId> m_pendingEnds; ///< Ends not committed yet, by event number.
    /// Ended gangs that workers must keep reporting until the event is committed.
    std::map<GangId, std::uint64_t> m_retainUntil;
    /// Ended gangs for which the scheduler has not yet decided what follows.
    std::set<GangId> m_awaitingScheduler;
    std::optional<Recovery> m_recovery; ///< Set for the whole term, also after recovery is complete.
    TimePoint m_ownerSince;
    TimePoint m_nextCheck; ///< Next periodic check of all workers and gangs.
    bool m_journalViewComplete = false; ///< A complete view of the journal was received in this term.
    /// Jobs from the journal or reports, until it is certain that no worker runs them.
    std::map<JobId, FoundJob> m_foundJobs;
    /// Ends of the attempts of restartable jobs that ran when the majority was lost. They apply if no worker
    /// reports the attempt in the next term, since a crash may have taken the majority of the workers.
    std::map<JobId, ReportedEnd> m_presumedEnds;

    friend class DomainOwner;
};

} // namespace jujubereach::jobs
