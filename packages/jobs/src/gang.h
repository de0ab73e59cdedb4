// One attempt of one job: which commands its members need, and how it ended.
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
    Starting, ///< Every hold is granted.
    Running, ///< Every member runs, or has run and completed.
    Checkpointing,
    Stopping, ///< The end is decided; members that may run or hold are being stopped.
    Ended, ///< No member holds an accelerator any more.
};

/// Of one gang, by worker.
using TaskReports = std::map<std::uint32_t, platform::TaskReport>;

class Gang {
public:
    /// A gang to start. `id` is the workers' name for it, `schedulerId` the scheduler's.
    Gang(
        GangId id, GangId schedulerId, scheduling::StartGang start, const OwnerConfig& config, TimePoint now);
    /// A gang that workers reported. It runs when it is whole, and else is stopped. Its members on workers
    /// in `lost` may run.
    Gang(GangId id, TaskLabel label, const TaskReports& reports, const std::set<std::uint32_t>& lost,
        const OwnerConfig& config, TimePoint now);
    /// A task without a readable label, to be stopped.
    static Gang orphan(GangId id, const OwnerConfig& config, TimePoint now);

    const GangId& id() const { return m_id; }
    const GangId& schedulerId() const { return m_schedulerId; }
    const scheduling::JobSpec& job() const { return m_job; }
    const scheduling::Run& run() const { return m_run; }
    GangPhase phase() const { return m_phase; }
    /// True once after each change of the phase.
    bool takePhaseChange() { return std::exchange(m_lastPhase, m_phase) != m_phase; }
    void setSchedulerId(GangId id) { m_schedulerId = std::move(id); }
    bool isAdopted() const { return !m_schedulerId.empty(); }
    std::vector<std::uint32_t> workers() const;
    bool isMember(std::uint32_t worker) const { return m_members.contains(worker); }

    /// Whether the starts may go out once every hold is granted; false while a claim is being journaled.
    void setMayStart(bool mayStart) { m_mayStart = mayStart; }
    bool mayStart() const { return m_mayStart; }
    /// The next command for a member, if it needs one. `allLeasesFresh` says that every member's worker is
    /// known alive, without which no lease is renewed.
    std::optional<platform::WorkerCommand> nextCommand(
        std::uint32_t worker, bool allLeasesFresh, TimePoint now);
    void onResult(std::uint32_t worker, const platform::CommandResult& result, TimePoint now);
    /// What the worker reported; null when it does not know the gang.
    void onReport(std::uint32_t worker, const platform::TaskReport* report, TimePoint now);
    void onWorkerLost(std::uint32_t worker, TimePoint now);
    void checkpoint(TimePoint now);
    void stop(scheduling::EndKind kind, TimePoint now);
    void tick(TimePoint now);

    /// Valid once the phase is Ended.
    scheduling::GangEnd end() const;
    Ran ran() const;
    bool hasCompleted() const; ///< Every member completed.
    Duration ranFor() const; ///< Least progress that a member reported.

private:
    struct Member {
        std::vector<std::uint32_t> accelerators;
        bool holdSent = false;
        bool held = false;
        bool startSent = false;
        bool startRefused = false;
        bool running = false;
        bool stopSent = false;
        bool ended = false;
        std::optional<platform::TaskState> endState;
        Duration progress { 0 };
        TimePoint nextRenew;
        TimePoint occupiedUntil; ///< Past it the worker has ended the task by itself.
    };

    Gang(GangId id, const OwnerConfig& config, TimePoint now);
    void addMembers();
    platform::WorkerCommand hold(Member& member, TimePoint now);
    platform::WorkerCommand start(Member& member, TimePoint now);
    platform::WorkerCommand renew(Member& member, TimePoint now);
    platform::WorkerCommand command(platform::WorkerOp op) const;
    void onMemberEnded(std::uint32_t worker, std::optional<platform::TaskState> state, TimePoint now);
    void onAbsent(std::uint32_t worker, Member& member, TimePoint now);
    void advance(TimePoint now);
    void fail(scheduling::EndKind kind, std::vector<std::uint32_t> blamed, TimePoint now);
    std::vector<std::uint32_t> lateMembers() const;
    template <typename F> bool all(F&& test) const;

    GangId m_id;
    GangId m_schedulerId; ///< Empty when the scheduler does not know the gang.
    scheduling::JobSpec m_job;
    scheduling::Run m_run;
    OwnerTimes m_times;
    std::uint32_t m_acceleratorsPerWorker = 1;
    bool m_holdBeforeStart = true;
    std::map<std::uint32_t, Member> m_members; ///< By worker.
    GangPhase m_phase = GangPhase::Holding;
    GangPhase m_lastPhase = GangPhase::Holding;
    bool m_mayStart = true;
    TimePoint m_deadline; ///< Of Holding, Starting and Checkpointing, and of the last member's end.
    scheduling::EndKind m_endKind = scheduling::EndKind::Completed; ///< Settled when Stopping begins.
    std::vector<std::uint32_t> m_blamed;
};

} // namespace jujubereach::jobs
