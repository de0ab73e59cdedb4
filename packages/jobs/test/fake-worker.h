// A worker in virtual time that follows the contract in platform/worker.h and records its tasks.
#pragma once

#include "jujubereach/jobs/job-codec.h"
#include "jujubereach/platform/worker.h"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace jujubereach::jobs::test {

using platform::TaskState;
using platform::WorkerOp;

inline bool isRunning(TaskState state)
{
    return state == TaskState::Running || state == TaskState::Checkpointing;
}

class FakeWorker {
public:
    struct Task {
        TaskState state = TaskState::Held;
        std::vector<std::uint32_t> accelerators;
        std::string label;
        JobId job;
        TimePoint leaseUntil;
        TimePoint startedAt;
        TimePoint endsAt;
        Duration checkpointTime { 0 };
        Duration progress { 0 };
        bool started = false;
    };

    platform::WorkerReply sync(const platform::WorkerSync& sync, TimePoint now)
    {
        advance(now);
        platform::WorkerReply reply;
        bool own = sync.holder == m_holder && sync.epoch >= m_epoch;
        bool free = now >= m_leaseUntil && sync.epoch > m_epoch;
        reply.status = own || free ? platform::SyncStatus::Granted : platform::SyncStatus::Refused;
        if (own || free) {
            m_holder = sync.holder;
            m_epoch = sync.epoch;
            m_leaseUntil = now + sync.ttl;
            for (const auto& command : sync.commands)
                reply.results.push_back(execute(command, now));
        }
        reply.holder = m_holder;
        reply.epoch = m_epoch;
        reply.leaseLeft = std::max(m_leaseUntil - now, Duration(0));
        for (const auto& [gang, task] : tasks)
            reply.tasks.push_back({ gang, task.state, task.accelerators, task.progress,
                std::max(task.leaseUntil - now, Duration(0)), sync.labels ? task.label : std::string() });
        return reply;
    }

    void advance(TimePoint now)
    {
        for (auto& [gang, task] : tasks) {
            if (isRunning(task.state))
                task.progress = std::min(now, task.endsAt) - task.startedAt;
            if (platform::hasEnded(task.state))
                continue;
            if (task.state != TaskState::Held && now >= task.endsAt)
                end(gang, task,
                    task.state == TaskState::Running ? TaskState::Completed : TaskState::Checkpointed);
            else if (now >= task.leaseUntil)
                end(gang, task, TaskState::Lapsed);
        }
    }

    /// Loses all tasks, and grants no lease until any earlier one must have lapsed.
    void restart(TimePoint now)
    {
        for (auto& [gang, task] : tasks)
            m_endedGangs.insert(gang);
        tasks.clear();
        m_holder.clear();
        m_leaseUntil = now + Duration(2'000);
    }

    /// Loses all tasks. Keeps its lease, epoch and ended gangs, as one that stores them does.
    void restartWithLease()
    {
        for (auto& [gang, task] : tasks)
            m_endedGangs.insert(gang);
        tasks.clear();
    }

    void fail()
    {
        for (auto& [gang, task] : tasks)
            end(gang, task, TaskState::Failed);
    }

    bool isHeld() const
    {
        return std::ranges::any_of(
            tasks, [](const auto& entry) { return !platform::hasEnded(entry.second.state); });
    }

    std::map<GangId, Task> tasks;
    std::set<GangId> everHeld;

private:
    void end(const GangId& gang, Task& task, TaskState state)
    {
        task.state = state;
        m_endedGangs.insert(gang);
    }

    bool isFree(const std::vector<std::uint32_t>& wanted) const
    {
        return std::ranges::none_of(tasks, [&](const auto& entry) {
            return !platform::hasEnded(entry.second.state)
                && std::ranges::find_first_of(entry.second.accelerators, wanted)
                != entry.second.accelerators.end();
        });
    }

    platform::CommandResult execute(const platform::WorkerCommand& command, TimePoint now)
    {
        platform::CommandResult result { command.gang, command.op, platform::CommandOutcome::Done, {} };
        auto refuse = [&](const char* why) {
            result.outcome = platform::CommandOutcome::Refused;
            result.reason = why;
        };
        auto task = tasks.find(command.gang);
        bool live = task != tasks.end() && !platform::hasEnded(task->second.state);
        if (command.op == WorkerOp::Forget) {
            if (task != tasks.end() && !live)
                tasks.erase(task);
        } else if (command.op == WorkerOp::Hold && !live) {
            if (m_endedGangs.contains(command.gang))
                refuse("gang ended");
            else if (!isFree(command.accelerators))
                refuse("accelerator taken");
            else
                hold(command, now);
        } else if (command.op != WorkerOp::Hold && !live) {
            refuse("no such task");
        } else if (command.op != WorkerOp::Hold) {
            change(task->first, task->second, command, now);
        }
        return result;
    }

    void hold(const platform::WorkerCommand& command, TimePoint now)
    {
        auto& task = tasks[command.gang];
        task.accelerators = command.accelerators;
        task.label = command.label;
        task.job = decodeLabel(command.label)->job.id;
        task.leaseUntil = now + command.lease;
        everHeld.insert(command.gang);
    }

    void change(const GangId& gang, Task& task, const platform::WorkerCommand& command, TimePoint now)
    {
        if (command.op == WorkerOp::Start && task.state == TaskState::Held) {
            task.state = TaskState::Running;
            task.started = true;
            task.startedAt = now;
            task.endsAt = now + command.runTime;
            task.checkpointTime = command.checkpointTime;
            task.leaseUntil = now + command.lease;
        } else if (command.op == WorkerOp::Renew) {
            task.leaseUntil = now + command.lease;
        } else if (command.op == WorkerOp::Checkpoint && task.state == TaskState::Running) {
            task.state = TaskState::Checkpointing;
            task.endsAt = now + task.checkpointTime;
        } else if (command.op == WorkerOp::Stop) {
            end(gang, task, TaskState::Stopped);
        }
    }

    std::string m_holder;
    Epoch m_epoch;
    TimePoint m_leaseUntil;
    std::set<GangId> m_endedGangs;
};

} // namespace jujubereach::jobs::test
