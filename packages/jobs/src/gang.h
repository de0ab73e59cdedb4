// One attempt of one job: decides which commands its members need, and how the attempt ended.
#pragma once

#include "jujubereach/jobs/job-codec.h"
#include "jujubereach/jobs/owner.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jujubereach::jobs {

enum class GangPhase {
    Holding,
    Starting, ///< Every hold is granted; starts are being sent.
    Running, ///< Every member runs or has completed.
    Checkpointing,
    Stopping, ///< The end kind is fixed; members that may still hold accelerators are stopped.
    Ended, ///< No member holds an accelerator.
};

/// Task reports of one gang, by worker.
using TaskReports = std::map<std::uint32_t, platform::TaskReport>;

class Gang {
public:
    /// A gang to start. `id` identifies it to the workers, `schedulerId` to the scheduler.
    Gang(
        GangId id, GangId schedulerId, scheduling::StartGang start, const OwnerConfig& config, TimePoint now);
    /// A gang rebuilt from the reports of its workers. It continues if every member still runs or has
    /// completed, and is stopped otherwise. Members on workers in `lost` may still run.
    Gang(GangId id, TaskLabel label, const TaskReports& reports, const std::set<std::uint32_t>& lost,
        const OwnerConfig& config, TimePoint now);
    /// A gang without a readable label; its tasks are stopped.
    static Gang orphan(GangId id, const OwnerConfig& config, TimePoint now);

    const GangId& id() const { return m_id; }
    const GangId& schedulerId() const { return m_schedulerId; }
    const scheduling::JobSpec& job() const { return m_job; }
    const scheduling::Run& run() const { return m_run; }
    GangPhase phase() const { return m_phase; }
    /// Returns whether the phase has changed since the last call.
    bool takePhaseChange() { return std::exchange(m_lastPhase, m_phase) != m_phase; }
    void setSchedulerId(GangId id) { m_schedulerId = std::move(id); }
    bool isAdopted() const { return !m_schedulerId.empty(); }
    std::vector<std::uint32_t> workers() const;
    bool isMember(std::uint32_t worker) const { return m_members.contains(worker); }

    /// Allows starts to be sent once every hold is granted; false while a claim is being journaled.
    void setMayStart(bool mayStart) { m_mayStart = mayStart; }
    bool mayStart() const { return m_mayStart; }
    /// Returns the next command for a member, if it needs one. Task leases are renewed only while
    /// `allLeasesFresh`, that is, while the leases of all the gang's workers are held for certain.
    std::optional<platform::WorkerCommand> nextCommand(
        std::uint32_t worker, bool allLeasesFresh, TimePoint now);
    /// `repeated`: another copy of the command may have been executed.
    void onResult(std::uint32_t worker, const platform::CommandResult& result, bool repeated, TimePoint now);
    /// `report` is null when the worker's report does not list the gang.
    void onReport(std::uint32_t worker, const platform::TaskReport* report, TimePoint now);
    void onWorkerLost(std::uint32_t worker, TimePoint now);
    void checkpoint(TimePoint now);
    void stop(scheduling::EndKind kind, TimePoint now);
    void tick(TimePoint now);

    /// Requires phase Ended.
    scheduling::GangEnd end() const;
    Ran ran() const;
    bool hasCompleted() const; ///< Every member completed.
    Duration ranFor() const; ///< The least progress reported by any member.

private:
    struct Member {
        std::vector<std::uint32_t> accelerators;
        bool holdSent = false;
        bool held = false;
        bool startSent = false;
        bool startRepeated = false; ///< More than one start may have been executed.
        bool startRefused = false;
        bool running = false;
        bool stopSent = false;
        bool ended = false;
        std::optional<platform::TaskState> endState;
        Duration progress { 0 };
        TimePoint nextRenew;
        TimePoint occupiedUntil; ///< By then the worker has ended the task, as its lease has lapsed.
    };

    Gang(GangId id, const OwnerConfig& config, TimePoint now);
    void addMembers();
    platform::WorkerCommand makeHold(Member& member, TimePoint now);
    platform::WorkerCommand makeStart(Member& member, TimePoint now);
    platform::WorkerCommand makeRenew(Member& member, TimePoint now);
    platform::WorkerCommand makeCommand(platform::WorkerOp op) const;
    void onMemberEnded(std::uint32_t worker, std::optional<platform::TaskState> state, TimePoint now);
    void onAbsent(std::uint32_t worker, Member& member, TimePoint now);
    void advance(TimePoint now);
    void fail(scheduling::EndKind kind, std::vector<std::uint32_t> faultyWorkers, TimePoint now);
    std::vector<std::uint32_t> lateMembers() const;
    std::uint32_t workerLosses(scheduling::EndKind kind) const;
    template <typename F> bool all(F&& test) const;

    GangId m_id;
    GangId m_schedulerId; ///< Empty if the scheduler does not track the gang.
    scheduling::JobSpec m_job;
    scheduling::Run m_run;
    OwnerTimes m_times;
    std::uint32_t m_acceleratorsPerWorker = 1;
    bool m_holdBeforeStart = true;
    std::map<std::uint32_t, Member> m_members; ///< By worker.
    GangPhase m_phase = GangPhase::Holding;
    GangPhase m_lastPhase = GangPhase::Holding;
    bool m_mayStart = true;
    /// For the current phase; while Running, for the remaining members once one has completed.
    TimePoint m_deadline;
    scheduling::EndKind m_endKind = scheduling::EndKind::Completed; ///< Set when Stopping begins.
    std::vector<std::uint32_t> m_faultyWorkers;
    /// Worker whose loss ended the attempt. Reset if it turns out to have kept the task, as after a cut.
    std::optional<std::uint32_t> m_lostWorker;
};

} // namespace jujubereach::jobs
