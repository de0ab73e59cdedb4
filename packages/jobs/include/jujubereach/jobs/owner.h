// The owner of a domain: takes the leases of its workers, starts and ends gangs on them, and rebuilds the
// domain's state when it takes over. Values in, values out; one control thread calls it.
//
// Calls in a loop: hand in what happened, then tick(now), then carry out due(now) and takeEvents().
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/ran.h"
#include "jujubereach/base/time.h"
#include "jujubereach/jobs/scheduler-hooks.h"
#include "jujubereach/platform/worker.h"
#include "jujubereach/scheduling/scheduler.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jujubereach::jobs {

struct OwnerTimes {
    Duration workerLease { 2'000 };
    Duration taskLease { 15'000 };
    Duration holdLease { 4'000 };
    Duration syncInterval { 500 };
    Duration renewInterval { 3'000 }; ///< Of task leases.
    Duration sendWindow { 1'000 }; ///< A sync that is not sent within it is dropped.
    Duration workerLostTimeout { 3'000 }; ///< Without a granted reply.
    Duration startTimeout { 3'000 }; ///< From the first hold until the whole gang runs.
    Duration finishTimeout { 5'000 }; ///< Between the first and the last member that completes.
    Duration recoveryMargin { 2'000 }; ///< For syncs of the previous owner that are still under way.
    Duration contendTimeout { 1'500 }; ///< Leases of a minority are given back after it.
    Duration drainTimeout { 1'000 }; ///< For gangs that are starting while the owner hands over.
};

/// Test only: each switches one mechanism off, to show that its property test can fail.
struct OwnerSwitches {
    bool majority = true;
    bool holdBeforeStart = true;
    bool waitForReports = true;
    bool claimBeforeStart = true;
    bool forgetAfterCommit = true;
};

struct OwnerConfig {
    ZoneId zone;
    DomainId domain;
    std::string holder; ///< "<host>#<incarnation>".
    std::vector<WorkerId> workers; ///< In the order of the domain's line.
    std::uint32_t acceleratorsPerWorker = 0;
    OwnerTimes times;
    OwnerSwitches switches;
    std::uint64_t seed = 1;
};

/// A sync for a traffic thread. Every one is answered by exactly one onSyncReply.
struct OutgoingSync {
    std::uint32_t workerIndex = 0;
    WorkerId worker;
    platform::WorkerSync sync;
    TimePoint sendBy; ///< When it is past just before sending, the sync is dropped as Unreachable.
};

enum class JobEventKind {
    Claimed, ///< A job that is not restartable is about to start; its start waits for the commit.
    Unclaimed, ///< That attempt did not run, or ended with its progress saved.
    Started, ///< Every member runs.
    Progress, ///< An attempt ended and the job waits for another.
    Ended,
};

/// A change to journal. While the service is down the events stay with the daemon, in order.
struct JobEvent {
    std::uint64_t number = 0; ///< For eventCommitted and eventRejected; rises within one owner.
    JobEventKind kind = JobEventKind::Started;
    std::uint64_t term = 0; ///< Of the owner; the journal refuses a claim of an older term.
    scheduling::JobSpec job; ///< With attempt and progress so far.
    GangId gang; ///< As the workers know it; empty when none was started.
    scheduling::EndKind end = scheduling::EndKind::Completed; ///< Ended only.
    std::optional<scheduling::RefusalReason> refusal; ///< Ended only.
    Ran ran = Ran::Unknown; ///< Ended only.
    std::string text; ///< One sentence for people.
};

/// A job as the journal lists it.
struct JournaledJob {
    scheduling::JobSpec job; ///< With attempt and progress of the last event.
    bool claimed = false; ///< An attempt of a job that is not restartable may have started.
    bool ended = false;
};

enum class JournalView {
    Partial, ///< Perhaps not every job, as in an outage.
    Complete, ///< Every job that the journal holds, the ended ones too; of those id and `ended` suffice.
};

class DomainOwner {
public:
    DomainOwner(OwnerConfig config, SchedulerFactory makeScheduler);
    ~DomainOwner();

    /// Membership's choice. False hands over: gangs that are starting settle, then the leases are released.
    void setOwning(bool shouldOwn, TimePoint now);
    /// A worker without an address is not synced.
    void setReachable(std::uint32_t workerIndex, bool reachable, TimePoint now);
    /// While false, jobs that are not restartable do not start, since their claim cannot be journaled.
    void setJournalAvailable(bool available, TimePoint now);
    void reconfigure(const manifest::Manifest& manifest);

    /// An accepted job. Answers the end when it can never run. Needs isOwner(now).
    std::optional<scheduling::EndJob> submit(const scheduling::JobSpec& job, TimePoint now);
    void cancel(const JobId& job, TimePoint now);
    /// What the journal holds; may be called again with a newer list. Jobs that this owner does not know
    /// are started once it is certain that they run nowhere. A job of which only a worker tells that an
    /// attempt ended is not started again before a complete view, since the journal may have its end.
    void onJournaledJobs(
        const std::vector<JournaledJob>& jobs, TimePoint now, JournalView view = JournalView::Partial);
    /// The journal refused the fence of this term, because workers that restarted forgot their epochs. The
    /// owner contends again for a term above `journaledTerm`.
    void onFenceRefused(std::uint64_t journaledTerm, TimePoint now);
    void onEventCommitted(std::uint64_t number, TimePoint now);
    /// The journal refused the event, such as a claim that another owner made before.
    void onEventRejected(std::uint64_t number, TimePoint now);

    void onSyncReply(std::uint32_t workerIndex, const platform::WorkerReply& reply, TimePoint now);
    void tick(TimePoint now);

    /// Syncs to send; at most one is under way for each worker.
    std::vector<OutgoingSync> dueSyncs(TimePoint now);
    /// When tick() is due although nothing happens.
    TimePoint nextDue(TimePoint now) const;
    std::vector<JobEvent> takeEvents();
    std::vector<std::string> takeLog(); ///< Short sentences, without the domain's id.

    /// True while a fresh majority of the worker leases is held: only then may a job be accepted or an
    /// event be journaled.
    bool isOwner(TimePoint now) const;
    /// Rises with every change of owner; unique to one owner. 0 without a majority.
    std::uint64_t term() const;
    /// After setOwning(false): no lease is held any more.
    bool released() const;
    /// True once every worker has reported or its tasks have lapsed since the majority was won.
    bool recovered() const;
    /// Unique, also over changes of owner. Needs isOwner.
    JobId newJobId();

    scheduling::Explanation explain(const JobId& job, TimePoint now) const;
    scheduling::Scheduler::Usage usage() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace jujubereach::jobs
