#include "gang.h"

#include "jujubereach/jobs/job-codec.h"

#include <algorithm>

namespace jujubereach::jobs {

using platform::TaskState;
using platform::WorkerOp;
using scheduling::EndKind;

template <typename F> bool Gang::all(F&& test) const
{
    return std::ranges::all_of(m_members, [&](const auto& entry) { return test(entry.second); });
}

Gang::Gang(GangId id, const OwnerConfig& config, TimePoint now)
    : m_id(std::move(id))
    , m_times(config.times)
    , m_acceleratorsPerWorker(config.acceleratorsPerWorker)
    , m_holdBeforeStart(config.switches.holdBeforeStart)
    , m_deadline(now + config.times.startTimeout)
{
}

Gang::Gang(
    GangId id, GangId schedulerId, scheduling::StartGang start, const OwnerConfig& config, TimePoint now)
    : Gang(std::move(id), config, now)
{
    m_schedulerId = std::move(schedulerId);
    m_job = std::move(start.job);
    m_run = start.run;
    addMembers();
}

Gang::Gang(GangId id, TaskLabel label, const TaskReports& reports, const std::set<std::uint32_t>& lost,
    const OwnerConfig& config, TimePoint now)
    : Gang(std::move(id), config, now)
{
    m_job = std::move(label.job);
    m_run = label.run;
    addMembers();
    m_phase = GangPhase::Running;
    m_deadline = TimePoint::max();
    // A gang whose members are all still held has not run, since starts are sent only after all holds.
    bool held = std::ranges::any_of(
        reports, [](const auto& entry) { return entry.second.state == TaskState::Held; });
    bool heldEverywhere = reports.size() == m_members.size()
        && std::ranges::all_of(
            reports, [](const auto& entry) { return entry.second.state == TaskState::Held; });
    for (auto& [worker, member] : m_members) {
        member.holdSent = true;
        member.startSent = !heldEverywhere;
        member.occupiedUntil = now + m_times.taskLease + m_times.recoveryMargin;
    }
    if (held)
        stop(EndKind::Stopped, now);
    for (auto worker : workers()) {
        auto report = reports.find(worker);
        if (report != reports.end())
            onReport(worker, &report->second, now);
        else if (lost.contains(worker))
            onWorkerLost(worker, now);
        else
            onMemberEnded(worker, std::nullopt, now);
    }
    // If a member has ended, its owner may already have told the other workers to drop their tasks.
    if (std::ranges::any_of(
            reports, [](const auto& entry) { return platform::hasEnded(entry.second.state); }))
        m_lostWorker.reset();
}

Gang Gang::orphan(GangId id, const OwnerConfig& config, TimePoint now)
{
    Gang gang(std::move(id), config, now);
    gang.m_phase = GangPhase::Stopping;
    gang.m_endKind = EndKind::Stopped;
    return gang;
}

void Gang::addMembers()
{
    for (std::uint32_t i = m_run.first; i < m_run.first + m_run.count; ++i)
        m_members[i / m_acceleratorsPerWorker].accelerators.push_back(i % m_acceleratorsPerWorker);
}

std::vector<std::uint32_t> Gang::workers() const
{
    std::vector<std::uint32_t> workers;
    workers.reserve(m_members.size());
    for (const auto& [worker, member] : m_members)
        workers.push_back(worker);
    return workers;
}

std::optional<platform::WorkerCommand> Gang::nextCommand(
    std::uint32_t worker, bool allLeasesFresh, TimePoint now)
{
    auto entry = m_members.find(worker);
    if (entry == m_members.end() || entry->second.ended)
        return std::nullopt;
    auto& member = entry->second;
    if (m_phase == GangPhase::Stopping && member.holdSent) {
        member.stopSent = true;
        return makeCommand(WorkerOp::Stop);
    }
    if (m_phase == GangPhase::Holding && !member.held)
        return makeHold(member, now);
    if ((m_phase == GangPhase::Starting || !m_holdBeforeStart) && member.held && m_mayStart
        && !member.running)
        return makeStart(member, now);
    bool live = m_phase == GangPhase::Running || m_phase == GangPhase::Checkpointing;
    if (live && member.running && allLeasesFresh && now >= member.nextRenew)
        return makeRenew(member, now);
    if (m_phase == GangPhase::Checkpointing && member.running)
        return makeCommand(WorkerOp::Checkpoint);
    return std::nullopt;
}

platform::WorkerCommand Gang::makeCommand(WorkerOp op) const
{
    platform::WorkerCommand command;
    command.op = op;
    command.gang = m_id;
    return command;
}

platform::WorkerCommand Gang::makeHold(Member& member, TimePoint now)
{
    member.holdSent = true;
    member.occupiedUntil = std::max(member.occupiedUntil, now + m_times.holdLease + m_times.recoveryMargin);
    auto result = makeCommand(WorkerOp::Hold);
    result.accelerators = member.accelerators;
    result.lease = m_times.holdLease;
    result.label = encodeLabel({ m_job, m_run });
    return result;
}

platform::WorkerCommand Gang::makeStart(Member& member, TimePoint now)
{
    member.startRepeated = member.startSent;
    member.startSent = true;
    member.occupiedUntil = std::max(member.occupiedUntil, now + m_times.taskLease + m_times.recoveryMargin);
    auto result = makeCommand(WorkerOp::Start);
    result.lease = m_times.taskLease;
    result.runTime = std::max(m_job.declaredRunTime - m_job.progress, Duration(1));
    result.checkpointTime = m_job.checkpointTime;
    return result;
}

platform::WorkerCommand Gang::makeRenew(Member& member, TimePoint now)
{
    member.nextRenew = now + m_times.renewInterval;
    member.occupiedUntil = std::max(member.occupiedUntil, now + m_times.taskLease + m_times.recoveryMargin);
    auto result = makeCommand(WorkerOp::Renew);
    result.lease = m_times.taskLease;
    return result;
}

void Gang::onResult(std::uint32_t worker, const platform::CommandResult& result, bool repeated, TimePoint now)
{
    auto entry = m_members.find(worker);
    if (entry == m_members.end())
        return;
    auto& member = entry->second;
    bool done = result.outcome == platform::CommandOutcome::Done;
    // An earlier start may have run, perhaps before a restart of the worker. The report that follows decides.
    if (result.op == WorkerOp::Start && !done && (repeated || member.startRepeated))
        return;
    if (result.op == WorkerOp::Hold && done)
        member.held = true;
    if (result.op == WorkerOp::Start && done && !member.ended)
        member.running = true;
    if (result.op == WorkerOp::Start && !done && !member.running)
        member.startRefused = true;
    bool starting = m_phase == GangPhase::Holding || m_phase == GangPhase::Starting;
    if (starting && !done && (result.op == WorkerOp::Hold || result.op == WorkerOp::Start))
        fail(EndKind::StartFailed, { worker }, now);
    advance(now);
}

void Gang::onReport(std::uint32_t worker, const platform::TaskReport* report, TimePoint now)
{
    if (report && m_phase == GangPhase::Stopping && !isMember(worker)) {
        m_members[worker].holdSent = m_members[worker].startSent = true;
        m_members[worker].occupiedUntil = now + m_times.taskLease + m_times.recoveryMargin;
    }
    auto entry = m_members.find(worker);
    if (entry == m_members.end() || entry->second.ended)
        return;
    auto& member = entry->second;
    if (!report)
        return onAbsent(worker, member, now);
    if (m_lostWorker == worker)
        m_lostWorker.reset();
    member.progress = report->progress;
    if (platform::hasEnded(report->state))
        return onMemberEnded(worker, report->state, now);
    member.held = true;
    if (report->state != TaskState::Held)
        member.running = true;
    advance(now);
}

// A task that was held or running and is missing from the worker's report is lost, as after a restart.
void Gang::onAbsent(std::uint32_t worker, Member& member, TimePoint now)
{
    bool stopping = m_phase == GangPhase::Stopping;
    if (member.held || member.running || (stopping && member.stopSent)
        || (m_phase == GangPhase::Running && member.startSent))
        onMemberEnded(worker, std::nullopt, now);
}

void Gang::onMemberEnded(std::uint32_t worker, std::optional<TaskState> state, TimePoint now)
{
    auto& member = m_members[worker];
    member.ended = true;
    member.endState = state;
    if (!state && m_phase < GangPhase::Stopping)
        m_lostWorker = worker;
    bool live = m_phase == GangPhase::Running || m_phase == GangPhase::Checkpointing;
    if (m_phase == GangPhase::Starting && state == TaskState::Completed)
        member.running = true;
    else if (m_phase == GangPhase::Holding || m_phase == GangPhase::Starting)
        fail(state == TaskState::Failed ? EndKind::Failed : EndKind::StartFailed, { worker }, now);
    else if (live && state == TaskState::Completed && m_phase == GangPhase::Running)
        m_deadline = std::min(m_deadline, now + m_times.finishTimeout);
    else if (live && state == TaskState::Checkpointed && m_phase == GangPhase::Running)
        checkpoint(now);
    else if (live && state == TaskState::Failed)
        fail(EndKind::Failed, { worker }, now);
    else if (live && state == TaskState::Stopped)
        fail(EndKind::Stopped, {}, now);
    else if (live && state != TaskState::Completed && state != TaskState::Checkpointed)
        fail(EndKind::WorkerLost, { worker }, now);
    advance(now);
}

void Gang::onWorkerLost(std::uint32_t worker, TimePoint now)
{
    auto entry = m_members.find(worker);
    if (entry == m_members.end() || entry->second.ended || m_phase >= GangPhase::Stopping)
        return;
    m_lostWorker = worker;
    bool ran = m_phase == GangPhase::Running || m_phase == GangPhase::Checkpointing;
    fail(ran ? EndKind::WorkerLost : EndKind::StartFailed, { worker }, now);
    advance(now);
}

void Gang::checkpoint(TimePoint now)
{
    if (m_phase == GangPhase::Holding || m_phase == GangPhase::Starting)
        return stop(EndKind::Stopped, now);
    if (m_phase != GangPhase::Running)
        return;
    m_phase = GangPhase::Checkpointing;
    m_deadline = now + 2 * m_job.checkpointTime + m_times.finishTimeout;
}

void Gang::stop(EndKind kind, TimePoint now)
{
    fail(kind, {}, now);
    advance(now);
}

void Gang::fail(EndKind kind, std::vector<std::uint32_t> faultyWorkers, TimePoint)
{
    if (m_phase >= GangPhase::Stopping)
        return;
    m_phase = GangPhase::Stopping;
    m_endKind = kind;
    m_faultyWorkers = std::move(faultyWorkers);
}

void Gang::tick(TimePoint now)
{
    if (m_phase == GangPhase::Stopping) {
        for (auto& [worker, member] : m_members)
            member.ended = member.ended || !member.holdSent || now >= member.occupiedUntil;
    } else if (now >= m_deadline) {
        bool starting = m_phase == GangPhase::Holding || m_phase == GangPhase::Starting;
        if (m_phase == GangPhase::Checkpointing)
            fail(EndKind::Stopped, {}, now);
        else
            fail(starting ? EndKind::StartFailed : EndKind::Failed, lateMembers(), now);
    }
    advance(now);
}

std::vector<std::uint32_t> Gang::lateMembers() const
{
    std::vector<std::uint32_t> workers;
    for (const auto& [worker, member] : m_members) {
        bool late = m_phase == GangPhase::Holding ? !member.held : !member.running;
        if (m_phase == GangPhase::Running ? !member.ended : late && m_mayStart)
            workers.push_back(worker);
    }
    return workers;
}

void Gang::advance(TimePoint now)
{
    if (m_phase == GangPhase::Holding && m_mayStart && all([](const Member& m) { return m.held; }))
        m_phase = GangPhase::Starting;
    if (m_phase == GangPhase::Starting && all([](const Member& m) { return m.running; })) {
        m_phase = GangPhase::Running;
        bool completed = std::ranges::any_of(m_members, [](const auto& entry) { return entry.second.ended; });
        m_deadline = completed ? now + m_times.finishTimeout : TimePoint::max();
    }
    bool live = m_phase != GangPhase::Ended;
    if (live && all([](const Member& m) { return m.ended || !m.holdSent; })
        && m_phase != GangPhase::Holding) {
        // If some members completed and others were checkpointed, the job has no consistent checkpoint to
        // resume.
        bool saved = all([](const Member& m) { return m.endState == TaskState::Checkpointed; });
        if (m_phase != GangPhase::Stopping && !hasCompleted())
            m_endKind = saved ? EndKind::Checkpointed : EndKind::Stopped;
        m_phase = GangPhase::Ended;
    }
}

bool Gang::hasCompleted() const
{
    return !m_members.empty() && all([](const Member& m) { return m.endState == TaskState::Completed; });
}

Duration Gang::ranFor() const
{
    Duration least = Duration::max();
    for (const auto& [worker, member] : m_members)
        least = std::min(least, member.progress);
    return m_members.empty() ? Duration(0) : least;
}

// Only saved progress ends a row of losses: an attempt that was preempted or failed may have been ended
// before it could crash its worker.
std::uint32_t Gang::workerLosses(EndKind kind) const
{
    if (kind == EndKind::Checkpointed && ran() != Ran::No)
        return 0;
    return m_job.workerLosses + (m_lostWorker && ran() != Ran::No ? 1 : 0);
}

scheduling::GangEnd Gang::end() const
{
    scheduling::GangEnd end { m_schedulerId, m_endKind, m_job.progress, m_faultyWorkers, 0 };
    if (hasCompleted()) {
        end.kind = EndKind::Completed;
        end.faultyWorkers.clear();
    }
    if (end.kind == EndKind::Checkpointed)
        end.progress = m_job.progress + ranFor();
    end.workerLosses = workerLosses(end.kind);
    return end;
}

Ran Gang::ran() const
{
    bool sent = std::ranges::any_of(
        m_members, [](const auto& entry) { return entry.second.startSent && !entry.second.startRefused; });
    if (std::ranges::any_of(m_members, [](const auto& entry) { return entry.second.running; }))
        return Ran::Yes;
    return sent ? Ran::Unknown : Ran::No;
}

} // namespace jujubereach::jobs
