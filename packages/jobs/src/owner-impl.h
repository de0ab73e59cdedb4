// State of a domain's owner. Its parts: domain-owner.cpp public face, owner.cpp roles and inputs,
// owner-sync.cpp syncs and replies, owner-gangs.cpp gangs and decisions, owner-recovery.cpp gangs and jobs
// found after a change of owner.
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
    Contending, ///< Takes leases; starts and renews nothing.
    Owning, ///< Holds a fresh majority.
    Draining, ///< Owns, but starts nothing more before it hands over.
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
    SchedulerHooks m_scheduler; ///< Of this term.
    WorkerLeases m_leases;
    Role m_role = Role::Idle;
    std::uint64_t m_term = 0;
    std::vector<JobEvent> m_events;
    std::vector<std::string> m_log;
    bool m_recovered = false; ///< In this term.

    struct Job {
        scheduling::JobSpec spec;
        Ran ran = Ran::No; ///< Of all attempts so far.
        bool claimed = false; ///< Not restartable, and an attempt may have run.
        bool ended = false; ///< The end is not committed yet; kept so that no list starts it again.
        bool waitsForJournal = false; ///< Waits for the journal; the scheduler does not know it.
        JobId schedulerId; ///< The scheduler's name for it; a scheduler takes no id twice.
        GangId lastGang; ///< Last attempt that ended.
        std::optional<scheduling::EndKind> lastEnd; ///< Of it.
    };
    std::map<JobId, Job> m_jobs; ///< Every job of this term until its end is committed.

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
    /// The last attempt of a job that workers report as ended.
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
    void enqueueFoundJob(Job& job, const ReportedEnd* reported, TimePoint now);
    bool hasGang(const JobId& job) const;

    Random m_random;
    TimePoint m_contendNotBefore; ///< While it is ahead, a contender keeps quiet.
    std::optional<TimePoint> m_minoritySince; ///< Contending: holds some leases but no majority.
    TimePoint m_drainUntil;
    bool m_journalAvailable = true;
    std::uint64_t m_nextEvent = 1;
    std::uint64_t m_nextJob = 1;
    std::uint64_t m_nextResubmission = 1; ///< Of jobs that were parked.
    std::map<JobId, JobId> m_resubmitted; ///< Scheduler's names that differ from the job's id.
    std::uint64_t m_nextGang = 1; ///< With the term it makes a gang's id unique.
    std::map<GangId, Gang> m_gangs; ///< By the workers' name; kept until Ended.
    std::map<GangId, GangId> m_bySchedulerId;
    std::vector<std::set<GangId>> m_gangsOn; ///< By worker.
    std::vector<bool> m_labelsRequested; ///< By worker: of the sync under way or the last one.
    std::vector<bool> m_syncRequested; ///< By worker: commands may wait.
    std::vector<bool> m_reportedUp; ///< By worker: as the scheduler was told.
    std::set<std::pair<std::uint32_t, GangId>> m_pendingForgets; ///< Ended tasks that the next sync forgets.
    std::map<std::uint64_t, GangId> m_pendingClaims; ///< Claims under way, by event.
    std::map<std::uint64_t, JobId> m_pendingEnds; ///< Ends under way, by event.
    std::map<GangId, std::uint64_t>
        m_retainUntil; ///< Ended gangs that workers must not forget before the event.
    std::set<GangId>
        m_awaitingScheduler; ///< Ended gangs of which the scheduler has not yet said what follows.
    std::optional<Recovery> m_recovery; ///< Of this term, also when it is complete.
    TimePoint m_ownerSince;
    TimePoint m_nextCheck; ///< Of every worker and gang.
    bool m_journalViewComplete = false; ///< A complete view of the journal came in this term.
    std::map<JobId, FoundJob>
        m_foundJobs; ///< Found jobs that are not running, until it is certain that they run nowhere.

    friend class DomainOwner;
};

} // namespace jujubereach::jobs
