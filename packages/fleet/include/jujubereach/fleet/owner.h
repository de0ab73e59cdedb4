// The owner of a fleet of workers: places accepted jobs, keeps their leases, records their ends.
// Decides on one thread, in the time that its clock tells, through hooks only.
#pragma once

#include "jujubereach/fleet/fleet-config.h"
#include "jujubereach/fleet/queue-order.h"
#include "jujubereach/fleet/records.h"
#include "jujubereach/fleet/store.h"
#include "jujubereach/fleet/worker-calls.h"
#include "jujubereach/metrics/registry.h"

#include <boost/json/object.hpp>

#include <memory>

namespace jujubereach::fleet {

/// Counts and times for the operators, under a metric's name and its labels.
struct Meter {
    std::function<void(const char* name, const metrics::Labels&, double amount)> add;
    std::function<void(const char* name, const metrics::Labels&, Duration)> observe;
};

/// Writes one line of the log, without blocking.
using LogEvent = std::function<void(const char* event, boost::json::object fields)>;

/// Mechanisms that tests take away to show that they are needed; all are on otherwise.
struct OwnerSwitches {
    bool awaitRecoveryGracePeriod = true; ///< A new owner waits for what may run unseen.
    bool saveBeforeAcknowledging = true; ///< Workers forget an end only once the store has it.
    bool waitForLeases = true; ///< What a silent worker ran is not run elsewhere before its lease has ended.
    bool trackUnansweredStarts = true; ///< A start without an answer may still come.
};

struct OwnerSettings {
    Duration maxHold { 10'000 }; ///< Longest lease that workers grant.
    Duration stopTimeout { 200 }; ///< Bound on a stop at a worker.
    Duration cancelBound { 3000 }; ///< A cancelled job's tasks are stopped within it.
    Duration drainBound { 2500 }; ///< A worker that leaves serves so long at least.
    Duration finishedJobRetention { 120'000 }; ///< A job's final state is told so long at least.
    Duration checkpointInterval { 2000 }; ///< Of work, between two checkpoints of a task.
    Duration restoreTime { 250 }; ///< Before a restored task moves.
    QueueOrder order = QueueOrder::ByUtility;
    OwnerSwitches switches;
    double remoteFactor = 3; ///< Run time away from a step's data, or over racks, against that near it.
    /// Without confirmation of its ownership for so long, an owner neither starts nor extends anything.
    /// A successor counts on it: see `recoveryGracePeriod`.
    Duration ownershipTimeout { 5000 };
    Duration ownerLease {
        1500
    }; ///< Three renewals, one of them lost. A successor comes no sooner after the last.
};

/// A run that no look has found has surely ended so long after a takeover: the last owner may have ordered
/// until `ownershipTimeout` after a renewal, its key held for `ownerLease` after it, and what it ordered
/// lives for `maxHold`.
Duration recoveryGracePeriod(const OwnerSettings& settings);

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
    Clock clock; ///< Counts suspended time too.
    WallClock wall;
    WorkerCalls workers;
    std::function<void(StoreWrite, StoreDone)> write;
    /// Asks which of some workers may run a step; `step` names any task of it.
    std::function<void(TaskId step, std::vector<WorkerId>, std::function<void(AdviceAnswer)>)> advise;
    std::function<void()> ownershipLost; ///< Another owner exists; this one has stopped ordering.
    std::function<void(Duration)> wakeIn; ///< Asks for a call of `tick` at the latest after so long.
    LogEvent log;
    Meter meter;
};

struct OwnerFigures {
    std::size_t jobs = 0; ///< Not in a final state.
    std::size_t waitingTasks = 0;
    std::size_t activeTasks = 0;
    std::size_t workers = 0;
    std::size_t usableWorkers = 0;
    std::uint64_t starts = 0;
    std::uint64_t stops = 0;
    std::uint64_t endsByKind[6] = {};
    double thrownAway = 0; ///< Core-seconds of work that ended without being saved.
};

/// A worker in the roster's record: an owner may have given it orders. Saved before the first of them.
struct RosterRow {
    WorkerReport worker; ///< Only id and address are kept.
    bool open = true; ///< It may be given more. Saved as closed only once nothing more is ordered there.
    std::vector<TaskId> tasks; ///< Of a closed one: all that may still run there.
};

/// Called from one thread.
class Owner {
public:
    Owner(OwnerSettings, OwnerHooks, Fence, Revision ownerKey);
    ~Owner();
    Owner(const Owner&) = delete;
    Owner& operator=(const Owner&) = delete;

    void setConfig(std::shared_ptr<const FleetConfig> config);
    void setSettings(const OwnerSettings& settings);

    /// The store has begun or renewed this owner's lease by a call sent at `sentAt`. Nothing is ordered
    /// before.
    void confirmOwnership(TimePoint sentAt);

    /// Recovery: what the store holds, then `recovered` once, before any other news.
    void restoreJob(JobRecord record, std::optional<ProgressRecord> progress, Revision progressRevision);
    void restoreRoster(const std::vector<RosterRow>& roster, Revision revision);
    void recovered();

    /// News from the store: a job was accepted or cancelled, a worker reported or lost its entry.
    void jobWritten(JobRecord record);
    void workerReported(const WorkerReport& report);
    void workerUnlisted(const WorkerId& id);

    /// Does what is due.
    void tick();

    OwnerFigures figures() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

std::string encodeRoster(const std::vector<RosterRow>& roster);
std::optional<std::vector<RosterRow>> decodeRoster(const std::string& value);

} // namespace jujubereach::fleet
