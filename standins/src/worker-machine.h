// One worker as a state machine in explicit time: its lease, its tasks, and what it records of them.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"
#include "jujubereach/platform/worker.h"
#include "recorder.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jujubereach::standins {

/// Takes the events of a worker with the time at which each happened.
using EventSink = std::function<void(const JsonObject::Ptr& event, TimePoint at)>;

/// Keeps the contract of platform/worker.h. Not thread-safe.
class WorkerMachine {
public:
    WorkerMachine(WorkerId id, std::uint32_t accelerators, EventSink sink);

    platform::WorkerReply sync(const platform::WorkerSync& sync, TimePoint now);
    /// Ends what is due: leases that lapsed, tasks that completed.
    void advance(TimePoint now);
    /// Ends every task, as the loss of the machine does.
    void die(TimePoint now);
    /// Whether every task fails as soon as it starts.
    void setFailStarts(bool fail) { m_failStarts = fail; }

private:
    struct Task {
        platform::TaskState state = platform::TaskState::Held;
        std::vector<std::uint32_t> accelerators;
        std::string label;
        TimePoint leaseUntil;
        TimePoint runsSince; ///< Of the speed below.
        Duration done { 0 }; ///< Run time done before `runsSince`.
        Duration runTime { 0 };
        Duration checkpointTime { 0 };
        TimePoint checkpointedAt; ///< When a checkpoint that was begun will be finished.
        std::uint32_t percent = 100;
    };
    using CommandResult = platform::CommandResult;
    using WorkerCommand = platform::WorkerCommand;

    bool takeLease(const platform::WorkerSync& sync, TimePoint now);
    void recordLease(const std::string& event, TimePoint at);
    /// The reason of a refusal; empty when the command was carried out.
    std::string carryOut(const WorkerCommand& command, TimePoint now);
    std::string hold(const WorkerCommand& command, TimePoint now);
    std::string reserve(const WorkerCommand& command, TimePoint now);
    std::string start(Task& task, const WorkerCommand& command, TimePoint now);
    std::string renew(Task& task, const WorkerCommand& command, TimePoint now);
    std::string checkpoint(const GangId& gang, Task& task, TimePoint now);
    std::string throttle(Task& task, const WorkerCommand& command, TimePoint now);
    std::string stop(const GangId& gang, TimePoint now);
    std::string forget(const GangId& gang);

    void advance(const GangId& gang, Task& task, TimePoint now);
    void end(const GangId& gang, Task& task, platform::TaskState state, TimePoint at);
    void recordTask(const std::string& event, const GangId& gang, const Task& task, TimePoint at);
    bool isTaken(std::uint32_t accelerator) const;
    static Duration progressAt(const Task& task, TimePoint time);
    static TimePoint completionOf(const Task& task);
    platform::WorkerReply replyAt(platform::SyncStatus status, bool labels, TimePoint now) const;

    const WorkerId m_id;
    const std::uint32_t m_accelerators;
    const EventSink m_sink;
    bool m_failStarts = false;
    std::string m_holder; ///< Empty when nobody holds the lease or it was released.
    Epoch m_epoch; ///< Highest granted; never goes back.
    TimePoint m_leaseUntil;
    bool m_lapseRecorded = true;
    std::map<GangId, Task>
        m_tasks; ///< Held, running, and ended but not forgotten. No two live ones share an accelerator.
    std::set<GangId> m_ended; ///< Gangs that never run here again; kept after they are forgotten.
};

} // namespace jujubereach::standins
