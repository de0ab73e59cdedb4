// One worker as a state machine in explicit time.
#include "worker-machine.h"

#include <Poco/JSON/Array.h>

#include <algorithm>

namespace jujubereach::standins {

using platform::CommandOutcome;
using platform::hasEnded;
using platform::SyncStatus;
using platform::TaskState;
using platform::WorkerOp;
using platform::WorkerReply;

namespace {

    constexpr Duration usageLag { 1000 };
    const std::string gangEnded = "gang ended";

    std::string endReasonOf(TaskState state)
    {
        return platform::nameOf(state);
    }

} // namespace

WorkerMachine::WorkerMachine(WorkerId id, std::uint32_t accelerators, EventSink sink)
    : m_id(std::move(id))
    , m_accelerators(accelerators)
    , m_sink(std::move(sink))
{
}

WorkerReply WorkerMachine::sync(const platform::WorkerSync& sync, TimePoint now)
{
    advance(now);
    if (!takeLease(sync, now))
        return replyAt(SyncStatus::Refused, sync.labels, now);
    std::vector<CommandResult> results;
    for (const auto& command : sync.commands) {
        auto reason = carryOut(command, now);
        const auto outcome = reason.empty() ? CommandOutcome::Done : CommandOutcome::Refused;
        results.push_back({ command.gang, command.op, outcome, std::move(reason) });
    }
    advance(now);
    if (sync.ttl == Duration::zero()) {
        m_holder.clear();
        m_leaseUntil = now;
        m_lapseRecorded = true;
        recordLease("release", now);
    }
    auto reply = replyAt(SyncStatus::Granted, sync.labels, now);
    reply.results = std::move(results);
    return reply;
}

bool WorkerMachine::takeLease(const platform::WorkerSync& sync, TimePoint now)
{
    const bool isHolder = sync.holder == m_holder && sync.epoch == m_epoch;
    const bool isFree = m_holder.empty() || now >= m_leaseUntil;
    // The holder may also raise its own epoch.
    const bool isNewer = sync.epoch > m_epoch && (isFree || sync.holder == m_holder);
    if (sync.holder.empty() || (!isHolder && !isNewer))
        return false;
    m_holder = sync.holder;
    m_epoch = sync.epoch;
    m_leaseUntil = now + sync.ttl;
    const bool wasLapsed = m_lapseRecorded;
    m_lapseRecorded = false;
    if (isNewer || wasLapsed)
        recordLease("lease", now);
    return true;
}

void WorkerMachine::recordLease(const std::string& event, TimePoint at)
{
    auto object = newEvent(event);
    object->set("worker", m_id.str());
    object->set("holder", m_holder);
    object->set("epoch", static_cast<Poco::UInt64>(m_epoch.value));
    m_sink(object, at);
}

std::string WorkerMachine::carryOut(const WorkerCommand& command, TimePoint now)
{
    if (command.op == WorkerOp::Hold)
        return hold(command, now);
    if (command.op == WorkerOp::Stop)
        return stop(command.gang, now);
    if (command.op == WorkerOp::Forget)
        return forget(command.gang);
    auto found = m_tasks.find(command.gang);
    if (found == m_tasks.end())
        return m_ended.contains(command.gang) ? gangEnded : "gang unknown";
    auto& task = found->second;
    switch (command.op) {
    case WorkerOp::Start:
        return start(task, command, now);
    case WorkerOp::Renew:
        return renew(task, command, now);
    case WorkerOp::Checkpoint:
        return checkpoint(command.gang, task, now);
    default:
        return throttle(task, command, now);
    }
}

std::string WorkerMachine::hold(const WorkerCommand& command, TimePoint now)
{
    if (m_ended.contains(command.gang))
        return gangEnded;
    auto found = m_tasks.find(command.gang);
    if (found == m_tasks.end())
        return reserve(command, now);
    if (found->second.accelerators != command.accelerators)
        return "gang holds other accelerators";
    if (found->second.state == TaskState::Held)
        found->second.leaseUntil = now + command.lease;
    return {};
}

std::string WorkerMachine::reserve(const WorkerCommand& command, TimePoint now)
{
    for (auto accelerator : command.accelerators) {
        if (accelerator >= m_accelerators)
            return "no such accelerator";
        if (isTaken(accelerator))
            return "accelerator taken";
    }
    Task task;
    task.accelerators = command.accelerators;
    task.label = command.label;
    task.leaseUntil = now + command.lease;
    const auto& stored = m_tasks.emplace(command.gang, std::move(task)).first->second;
    recordTask("hold", command.gang, stored, now);
    return {};
}

std::string WorkerMachine::start(Task& task, const WorkerCommand& command, TimePoint now)
{
    if (hasEnded(task.state))
        return gangEnded;
    if (task.state != TaskState::Held)
        return {};
    task.state = TaskState::Running;
    task.runsSince = now;
    task.runTime = command.runTime;
    task.checkpointTime = command.checkpointTime;
    task.leaseUntil = now + command.lease;
    recordTask("start", command.gang, task, now);
    if (m_failStarts)
        end(command.gang, task, TaskState::Failed, now);
    return {};
}

std::string WorkerMachine::renew(Task& task, const WorkerCommand& command, TimePoint now)
{
    if (hasEnded(task.state))
        return gangEnded;
    if (task.state == TaskState::Held)
        return "not running";
    task.leaseUntil = now + command.lease;
    return {};
}

std::string WorkerMachine::checkpoint(const GangId& gang, Task& task, TimePoint now)
{
    if (task.state == TaskState::Checkpointing || task.state == TaskState::Checkpointed)
        return {};
    if (task.state != TaskState::Running)
        return hasEnded(task.state) ? gangEnded : "not running";
    task.done = progressAt(task, now);
    task.runsSince = now;
    task.state = TaskState::Checkpointing;
    task.checkpointedAt = now + task.checkpointTime;
    recordTask("checkpoint", gang, task, now);
    return {};
}

std::string WorkerMachine::throttle(Task& task, const WorkerCommand& command, TimePoint now)
{
    if (task.state != TaskState::Running)
        return hasEnded(task.state) ? gangEnded : "not running";
    task.done = progressAt(task, now);
    task.runsSince = now;
    task.percent = std::min(command.percent, 100U);
    return {};
}

std::string WorkerMachine::stop(const GangId& gang, TimePoint now)
{
    auto found = m_tasks.find(gang);
    // A hold that arrives after its stop must not reserve anything.
    if (found == m_tasks.end())
        m_ended.insert(gang);
    else if (!hasEnded(found->second.state))
        end(gang, found->second, TaskState::Stopped, now);
    return {};
}

std::string WorkerMachine::forget(const GangId& gang)
{
    auto found = m_tasks.find(gang);
    if (found != m_tasks.end() && !hasEnded(found->second.state))
        return "not ended";
    if (found != m_tasks.end())
        m_tasks.erase(found);
    return {};
}

void WorkerMachine::advance(TimePoint now)
{
    for (auto& [gang, task] : m_tasks)
        advance(gang, task, now);
    if (!m_lapseRecorded && now >= m_leaseUntil) {
        m_lapseRecorded = true;
        recordLease("lapse", m_leaseUntil);
    }
}

void WorkerMachine::advance(const GangId& gang, Task& task, TimePoint now)
{
    if (hasEnded(task.state))
        return;
    auto due = TimePoint::max();
    auto state = TaskState::Lapsed;
    if (task.state == TaskState::Running) {
        due = completionOf(task);
        state = TaskState::Completed;
    } else if (task.state == TaskState::Checkpointing) {
        due = task.checkpointedAt;
        state = TaskState::Checkpointed;
    }
    if (task.leaseUntil < due) {
        due = task.leaseUntil;
        state = TaskState::Lapsed;
    }
    if (now >= due)
        end(gang, task, state, due);
}

void WorkerMachine::die(TimePoint now)
{
    advance(now);
    for (auto& [gang, task] : m_tasks) {
        if (!hasEnded(task.state))
            end(gang, task, TaskState::Failed, now);
    }
}

void WorkerMachine::end(const GangId& gang, Task& task, TaskState state, TimePoint at)
{
    if (state == TaskState::Completed)
        task.done = task.runTime;
    else if (state != TaskState::Checkpointed)
        task.done = Duration::zero(); // Nothing was saved.
    task.state = state;
    task.leaseUntil = at;
    m_ended.insert(gang);
    recordTask("end", gang, task, at);
}

void WorkerMachine::recordTask(const std::string& event, const GangId& gang, const Task& task, TimePoint at)
{
    auto object = newEvent(event);
    object->set("worker", m_id.str());
    object->set("gang", gang.str());
    Poco::JSON::Array::Ptr accelerators = new Poco::JSON::Array;
    for (auto accelerator : task.accelerators)
        accelerators->add(accelerator);
    object->set("accelerators", accelerators);
    object->set("holder", m_holder);
    object->set("epoch", static_cast<Poco::UInt64>(m_epoch.value));
    object->set("label", task.label);
    if (hasEnded(task.state))
        object->set("reason", endReasonOf(task.state));
    m_sink(object, at);
}

bool WorkerMachine::isTaken(std::uint32_t accelerator) const
{
    return std::any_of(m_tasks.begin(), m_tasks.end(), [&](const auto& entry) {
        const auto& taken = entry.second.accelerators;
        return !hasEnded(entry.second.state)
            && std::find(taken.begin(), taken.end(), accelerator) != taken.end();
    });
}

Duration WorkerMachine::progressAt(const Task& task, TimePoint time)
{
    if (task.state != TaskState::Running || time <= task.runsSince)
        return task.done;
    return std::min(task.runTime, task.done + (time - task.runsSince) * task.percent / 100);
}

TimePoint WorkerMachine::completionOf(const Task& task)
{
    if (task.percent == 0)
        return TimePoint::max();
    return task.runsSince + (task.runTime - task.done) * 100 / task.percent;
}

WorkerReply WorkerMachine::replyAt(SyncStatus status, bool labels, TimePoint now) const
{
    WorkerReply reply;
    reply.status = status;
    if (now < m_leaseUntil) {
        reply.holder = m_holder;
        reply.leaseLeft = m_leaseUntil - now;
    }
    reply.epoch = m_epoch;
    for (const auto& [gang, task] : m_tasks) {
        const auto left = std::max(Duration::zero(), task.leaseUntil - now);
        reply.tasks.push_back({ gang, task.state, task.accelerators, progressAt(task, now - usageLag), left,
            labels ? task.label : std::string() });
    }
    return reply;
}

} // namespace jujubereach::standins
