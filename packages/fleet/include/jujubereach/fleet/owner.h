// The owner of a fleet of workers: places tasks of accepted jobs, renews worker leases and records how tasks
// end. Single-threaded; all I/O and time goes through hooks, so that tests can run it in virtual time.
#pragma once

#include "jujubereach/fleet/closed-zones.h"
#include "jujubereach/fleet/fleet-config.h"
#include "jujubereach/fleet/queue-order.h"
#include "jujubereach/fleet/records.h"
#include "jujubereach/fleet/store.h"
#include "jujubereach/fleet/worker-calls.h"
#include "jujubereach/metrics/registry.h"

#include <boost/json/object.hpp>

#include <memory>

namespace jujubereach::fleet {

/// Records metrics by name and labels.
struct Meter {
    std::function<void(const char* name, const metrics::Labels&, double amount)> add;
    std::function<void(const char* name, const metrics::Labels&, Duration)> observe;
    std::function<void(const char* name, const metrics::Labels&, double value)> set;
};

/// Writes one structured log line without blocking.
using LogEvent = std::function<void(const char* event, boost::json::object fields)>;

/// Safety mechanisms that tests disable to show that each is needed; all are enabled in production.
struct OwnerSwitches {
    /// A new owner does not restart tasks that may still run on workers it has not reached.
    bool awaitRecoveryGracePeriod = true;
    bool saveBeforeAcknowledging = true; ///< Ends are acknowledged to workers only once they are stored.
    /// Tasks of a silent worker are restarted only after its lease has expired.
    bool waitForLeases = true;
    bool trackUnansweredStarts = true; ///< A start without an answer is treated as possibly executed later.
};

/// Parts of the scheduler that operators can switch off or on; decisions are made without those that are off.
struct OwnerFeatures {
    bool workerSpeed = true; ///< Learns the speed of workers and places gangs by it.
    bool workspaceShares = true; ///< Divides scarce capacity fairly between workspaces.
    /// Weighs a preemption against waiting for runs to end. Off: no gain was measured
    /// (docs/design/preemption-cost.md).
    bool preemptionCost = false;
    bool interference = true; ///< Separates and paces tasks that slow each other down.
};

struct OwnerSettings {
    Duration maxHold { 10'000 }; ///< Longest lease that workers grant.
    Duration stopTimeout { 200 }; ///< Time a worker has to complete a stop.
    Duration cancelBound { 3000 }; ///< Tasks of a cancelled job stop within this time.
    Duration drainBound { 2500 }; ///< A draining worker keeps running for at least this time.
    Duration finishedJobRetention { 120'000 }; ///< Final states stay available for at least this time.
    Duration checkpointInterval { 2000 }; ///< Run time between two checkpoints of a task.
    Duration restoreTime { 250 }; ///< Time that a task restored from a checkpoint takes to make progress.
    /// Longest time for which a tail latency may exceed its target beside best-effort tasks that cause it.
    Duration interferenceBound { 4000 };
    Duration paceDelay { 100 }; ///< From a pace call until it takes effect.
    QueueOrder order = QueueOrder::ByUtility;
    OwnerSwitches switches;
    OwnerFeatures features;
    /// Run time off the preferred rack, or across racks, relative to that on one rack.
    double remoteFactor = 3;
    /// An owner whose ownership has not been confirmed for this time starts nothing and renews no lease.
    /// `recoveryGracePeriod` of a successor depends on it: the difference to `ownerLease` must not grow while
    /// hosts of an earlier build may take over.
    Duration ownershipTimeout { 4500 };
    /// Covers four renewal intervals, so that two lost renewals are tolerated. No successor takes over
    /// earlier than this after the last renewal.
    Duration ownerLease { 1000 };
    /// No task starts in an availability zone later than this after it was closed; 0 if zones are never
    /// closed. An owner whose knowledge of closed zones is older starts nothing.
    Duration closeZoneBound { 0 };
};

/// Time after a takeover by which every run that no poll has reported has certainly ended. The previous owner
/// may have issued orders until `ownershipTimeout` after its last renewal, the takeover came at least
/// `ownerLease` after that renewal, and runs ordered last end within `maxHold`.
Duration recoveryGracePeriod(const OwnerSettings& settings);

/// Time after an answered renewal was sent in which no successor can exist: the lease, less the drift of the
/// clocks.
Duration exclusivityPeriod(const OwnerSettings& settings);

struct Ticket {
    WorkerId worker;
    std::string ticket;
};

struct AdviceAnswer {
    bool answered = false;
    std::vector<Ticket> approved;
    Duration validity { 0 };
};

struct OwnerHooks {
    Clock clock; ///< Includes time during which the host was suspended.
    WallClock wall;
    WorkerCalls workers;
    std::function<void(StoreWrite, StoreDone)> write;
    /// Asks the advisory service which of the workers may run a step; `step` is any task of the step.
    std::function<void(TaskId step, std::vector<WorkerId>, std::function<void(AdviceAnswer)>)> advise;
    /// Another owner has taken over; this one has stopped issuing orders.
    std::function<void()> ownershipLost;
    std::function<void(Duration)> wakeIn; ///< Requests a call of `tick` after at most this time.
    LogEvent log;
    Meter meter;
};

struct OwnerFigures {
    std::size_t jobs = 0; ///< Jobs that are not in a final state.
    std::size_t waitingTasks = 0;
    std::size_t activeTasks = 0;
    std::size_t workers = 0;
    std::size_t usableWorkers = 0;
    std::size_t closedZones = 0;
    std::size_t pacedTasks = 0; ///< Best-effort tasks below full pace.
    /// Guaranteed accelerators that the workers outside closed zones do not cover, even if they were idle.
    std::int64_t guaranteeShortfall = 0;
    std::uint64_t starts = 0;
    std::uint64_t stops = 0;
    std::uint64_t endsByKind[6] = {};
    double thrownAway = 0; ///< Core-seconds of runs that ended without a result or checkpoint.
};

/// A worker to which an owner may have sent starts. The row is stored before the first start.
struct RosterRow {
    WorkerReport worker; ///< Only id and address are kept.
    bool open = true; ///< The worker may receive further starts. Stored as closed only after the last start.
    /// Of a closed row: all tasks that may still run there, or whose ends there may not be stored.
    std::vector<TaskId> tasks;
};

/// Not thread-safe.
class Owner {
public:
    Owner(OwnerSettings, OwnerHooks, Fence, Revision ownerKey);
    ~Owner();
    Owner(const Owner&) = delete;
    Owner& operator=(const Owner&) = delete;

    void setConfig(std::shared_ptr<const FleetConfig> config);
    void setSettings(const OwnerSettings& settings);
    /// Stops placing tasks in these availability zones. Tasks that run there may finish.
    void setClosedZones(std::set<ZoneId> zones);
    /// Reports that the closed zones were complete at `at` or later.
    void confirmClosedZones(TimePoint at);

    /// Reports that the store granted or renewed the ownership lease in a call sent at `sentAt`. No orders
    /// are issued before the first confirmation.
    void confirmOwnership(TimePoint sentAt);

    /// The previous owner is of a build that uses updates received after its lease: it may also start jobs
    /// that were accepted after the takeover. Called before any job is reported.
    void expectUnheldUpdates();

    /// Recovery: restores the stored state. `recovered` follows once, before any other notification.
    void restoreJob(JobRecord record, std::optional<ProgressRecord> progress, Revision progressRevision);
    /// Without a roster, the stored one cannot be read: any worker may run anything.
    void restoreRoster(const std::optional<std::vector<RosterRow>>& roster, Revision revision);
    /// The speeds of workers that a previous owner has stored. Optional, before or after `recovered`.
    void restoreSpeeds(const std::string& value);
    void recovered();

    /// Changes in the store: a job was accepted or cancelled, a worker entry was written or removed. A record
    /// may be reported more than once, also after its job has ended.
    ///
    /// Like the end of recovery, they take effect only once a confirmation covers the time of the call: a
    /// successor that existed then relies on this owner not to know them.
    void jobWritten(JobRecord record);
    /// All records of jobs that the store created up to this revision have been reported or restored.
    void jobsReported(Revision upTo);
    void workerReported(const WorkerReport& report);
    void workerUnlisted(const WorkerId& id);

    /// Performs all due work.
    void tick();

    OwnerFigures figures() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

std::string encodeRoster(const std::vector<RosterRow>& roster);
std::optional<std::vector<RosterRow>> decodeRoster(const std::string& value);

} // namespace jujubereach::fleet
