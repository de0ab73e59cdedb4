// The owner of a domain: acquires the leases of its workers, starts and ends gangs on them, and rebuilds the
// domain's state after a change of owner. It does no I/O and is not thread-safe.
//
// The caller runs a loop: report inputs, call tick(now), then send the syncs of dueSyncs(now) and journal the
// events of takeEvents().
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
    Duration renewInterval { 3'000 }; ///< Between renewals of a task lease.
    Duration sendWindow { 1'000 }; ///< A sync not sent within it is dropped; see OutgoingSync::sendBy.
    Duration workerLostTimeout { 3'000 }; ///< Since the last granted reply.
    Duration startTimeout { 3'000 }; ///< From the creation of the gang until every member runs.
    Duration finishTimeout { 5'000 }; ///< From the first member's completion until the last one's.
    Duration recoveryMargin { 2'000 }; ///< Covers syncs of the previous owner that are still in flight.
    Duration contendTimeout { 1'500 }; ///< A contender without a majority releases its leases after it.
    Duration drainTimeout { 1'000 }; ///< Before a handover, how long starting gangs may take to run.
};

/// For tests only. Each flag disables one safety mechanism, to prove that the property test for it can fail.
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
    std::vector<WorkerId> workers; ///< In the domain's order; accelerators are numbered along it.
    std::uint32_t acceleratorsPerWorker = 0;
    OwnerTimes times;
    OwnerSwitches switches;
    std::uint64_t seed = 1;
};

/// A sync to send to a worker. Each must be answered by exactly one onSyncReply().
struct OutgoingSync {
    std::uint32_t workerIndex = 0;
    WorkerId worker;
    platform::WorkerSync sync;
    TimePoint sendBy; ///< Checked just before sending: a late sync is dropped and answered as Unreachable.
};

enum class JobEventKind {
    Claimed, ///< A non-restartable job is about to start; it starts once this event is committed.
    Unclaimed, ///< The claimed attempt did not run, or ended with its progress saved.
    Started, ///< Every member of the gang runs.
    Progress, ///< An attempt ended at a checkpoint or lost a worker; the job waits for the next attempt.
    Ended,
};

/// A change to journal. The daemon queues events in order while the key-value service is down.
struct JobEvent {
    std::uint64_t number = 0; ///< For onEventCommitted() and onEventRejected(); increases within one owner.
    JobEventKind kind = JobEventKind::Started;
    std::uint64_t term = 0; ///< Term of the owner; the journal rejects claims of an older term.
    scheduling::JobSpec job; ///< Includes the attempt count, progress and losses so far.
    GangId gang; ///< Gang id used by the workers; empty when no gang was started.
    scheduling::EndKind end = scheduling::EndKind::Completed; ///< For Ended only.
    std::optional<scheduling::RefusalReason> refusal; ///< For Ended only.
    Ran ran = Ran::Unknown; ///< For Ended only.
    std::string text; ///< One sentence for the user.
};

/// A job as recorded in the journal.
struct JournaledJob {
    scheduling::JobSpec job; ///< Includes the attempt count, progress and losses of the last event.
    bool claimed = false; ///< An attempt of a non-restartable job may have started.
    bool ended = false;
};

enum class JournalView {
    Partial, ///< Jobs may be missing, as during an outage.
    Complete, ///< All jobs in the journal. Ended jobs need only their id and `ended`.
};

class DomainOwner {
public:
    DomainOwner(OwnerConfig config, SchedulerFactory makeScheduler);
    ~DomainOwner();

    /// Sets whether membership selects this host as owner. On false, waits up to the drain timeout for
    /// starting gangs to run, then releases the leases.
    void setOwning(bool shouldOwn, TimePoint now);
    /// No syncs are sent to an unreachable worker, such as one whose address is unknown.
    void setReachable(std::uint32_t workerIndex, bool reachable, TimePoint now);
    /// While false, non-restartable jobs do not start, since their claims cannot be journaled.
    void setJournalAvailable(bool available, TimePoint now);
    void reconfigure(const manifest::Manifest& manifest);

    /// Queues an accepted job. Returns its end if the job can never run. Requires isOwner(now).
    std::optional<scheduling::EndJob> submit(const scheduling::JobSpec& job, TimePoint now);
    void cancel(const JobId& job, TimePoint now);
    /// Reports the jobs in the journal; may be called again with a newer list. Jobs that this owner does not
    /// know are started once it is certain that no worker runs them. If an attempt's end is known only from a
    /// worker's report, the job is not restarted before a complete view, since the journal may hold its end.
    void onJournaledJobs(
        const std::vector<JournaledJob>& jobs, TimePoint now, JournalView view = JournalView::Partial);
    /// The journal rejected this term's fence as older than `journaledTerm`. This happens when restarted
    /// workers have lost their epochs. The owner contends again for a higher term.
    void onFenceRefused(std::uint64_t journaledTerm, TimePoint now);
    void onEventCommitted(std::uint64_t number, TimePoint now);
    /// The journal rejected the event, for example a claim of a job that another owner has already claimed.
    void onEventRejected(std::uint64_t number, TimePoint now);

    void onSyncReply(std::uint32_t workerIndex, const platform::WorkerReply& reply, TimePoint now);
    void tick(TimePoint now);

    /// Returns the syncs to send now. At most one per worker is in flight.
    std::vector<OutgoingSync> dueSyncs(TimePoint now);
    /// The latest time for the next tick() if no input arrives before.
    TimePoint nextDue(TimePoint now) const;
    std::vector<JobEvent> takeEvents();
    std::vector<std::string> takeLog(); ///< Log lines, without the domain's id.

    /// True while unexpired leases of a majority of the workers are held. Only then may a job be accepted or
    /// an event be journaled.
    bool isOwner(TimePoint now) const;
    /// Increases with every change of owner and is unique to one owner. 0 without a majority.
    std::uint64_t term() const;
    /// True if no worker lease can be held, as after setOwning(false) has completed.
    bool released() const;
    /// True once every worker has reported in this term, or enough time has passed that the tasks of those
    /// that have not reported must have lapsed.
    bool recovered() const;
    /// Returns an id that is unique across changes of owner. Requires isOwner().
    JobId newJobId();

    scheduling::Explanation explain(const JobId& job, TimePoint now) const;
    scheduling::Scheduler::Usage usage() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace jujubereach::jobs
