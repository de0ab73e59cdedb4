// Builds the syncs to a domain's workers and processes their replies.
#include "owner-impl.h"

#include <algorithm>

namespace jujubereach::jobs {

using platform::SyncStatus;

std::vector<OutgoingSync> DomainOwner::Impl::dueSyncs(TimePoint now)
{
    refreshRole(now);
    std::vector<OutgoingSync> syncs;
    bool backingOff = m_role == Role::Contending && now < m_contendNotBefore;
    for (std::uint32_t worker = 0; worker < m_leases.size(); ++worker) {
        if (m_role == Role::Releasing || backingOff) {
            if (m_leases.isReleaseDue(worker, now))
                syncs.push_back(syncFor(worker, Duration(0), now));
        } else if (m_role != Role::Idle && m_leases.isDue(worker, m_syncRequested[worker], now)) {
            syncs.push_back(syncFor(worker, m_config.times.workerLease, now));
        }
    }
    return syncs;
}

OutgoingSync DomainOwner::Impl::syncFor(std::uint32_t worker, Duration ttl, TimePoint now)
{
    OutgoingSync out;
    out.workerIndex = worker;
    out.worker = m_config.workers[worker];
    out.sendBy = now + m_config.times.sendWindow;
    out.sync.holder = m_config.holder;
    out.sync.ttl = ttl;
    // Commands are sent only to a worker whose lease is held for certain, never to one that may have been
    // granted to a new owner.
    if (ttl > Duration(0) && owns() && m_leases.isFresh(worker, now))
        out.sync.commands = commandsFor(worker, now);
    m_syncRequested[worker] = false;
    // Labels are requested only until the worker's first report of the term, which rebuilds its gangs.
    out.sync.labels = !m_recovery || !m_recovery->hasReported(worker);
    m_labelsRequested[worker] = out.sync.labels;
    out.sync.epoch = m_leases.issue(worker, ttl, now);
    return out;
}

std::vector<platform::WorkerCommand> DomainOwner::Impl::commandsFor(std::uint32_t worker, TimePoint now)
{
    std::vector<platform::WorkerCommand> commands;
    for (const auto& id : m_gangsOn[worker]) {
        auto& gang = m_gangs.at(id);
        if (auto command = gang.nextCommand(worker, allLeasesFresh(gang, now), now))
            commands.push_back(std::move(*command));
    }
    for (auto entry = m_pendingForgets.lower_bound({ worker, GangId() });
         entry != m_pendingForgets.end() && entry->first == worker; ++entry) {
        platform::WorkerCommand command;
        command.op = platform::WorkerOp::Forget;
        command.gang = entry->second;
        commands.push_back(std::move(command));
    }
    return commands;
}

bool DomainOwner::Impl::allLeasesFresh(const Gang& gang, TimePoint now) const
{
    return std::ranges::all_of(
        gang.workers(), [&](std::uint32_t worker) { return m_leases.isFresh(worker, now); });
}

void DomainOwner::Impl::onSyncReply(std::uint32_t worker, const platform::WorkerReply& reply, TimePoint now)
{
    refreshRole(now);
    m_leases.onReply(worker, reply, now);
    refreshRole(now);
    bool answered = reply.status == SyncStatus::Granted || reply.status == SyncStatus::Refused;
    if (!owns() || !answered) {
        m_syncRequested[worker] = m_syncRequested[worker] || owns();
        return;
    }
    for (const auto& result : reply.results) {
        if (auto gang = m_gangs.find(result.gang); gang != m_gangs.end()) {
            gang->second.onResult(worker, result, reply.repeated, now);
            handlePhaseChange(gang->second, now);
        }
    }
    onTasks(worker, reply.tasks, reply.status == SyncStatus::Granted && m_leases.isFresh(worker, now), now);
}

void DomainOwner::Impl::onTasks(
    std::uint32_t worker, const std::vector<platform::TaskReport>& tasks, bool granted, TimePoint now)
{
    if (!m_labelsRequested[worker] && !m_recovery->hasReported(worker)) {
        // The sync was sent in an earlier term without labels, so no gang can be rebuilt from its reply.
        m_syncRequested[worker] = true;
        return;
    }
    if (granted && m_recovery->add(worker, tasks))
        recover(now);
    std::map<GangId, const platform::TaskReport*> byGang;
    for (const auto& task : tasks)
        byGang[task.gang] = &task;
    for (const auto& id : std::set<GangId>(m_gangsOn[worker])) {
        auto& gang = m_gangs.at(id);
        auto report = byGang.find(id);
        gang.onReport(worker, report == byGang.end() ? nullptr : report->second, now);
        handlePhaseChange(gang, now);
    }
    std::erase_if(m_pendingForgets,
        [&](const auto& entry) { return entry.first == worker && !byGang.contains(entry.second); });
    for (const auto& task : tasks) {
        if (granted && !m_gangsOn[worker].contains(task.gang) && !m_recovery->isKnown(task.gang))
            onUnknownTask(worker, task, now);
    }
}

void DomainOwner::Impl::onUnknownTask(std::uint32_t worker, const platform::TaskReport& task, TimePoint now)
{
    if (platform::hasEnded(task.state)) {
        if (!m_retainUntil.contains(task.gang) || !m_config.switches.forgetAfterCommit)
            m_pendingForgets.insert({ worker, task.gang });
        return;
    }
    auto gang = m_gangs.find(task.gang);
    if (gang == m_gangs.end()) {
        addGang(Gang::orphan(task.gang, m_config, now));
        gang = m_gangs.find(task.gang);
    }
    gang->second.onReport(worker, &task, now);
    m_gangsOn[worker].insert(task.gang);
    m_syncRequested[worker] = true;
}

bool DomainOwner::Impl::isAlive(std::uint32_t worker, TimePoint now) const
{
    auto last = m_leases.lastGrant(worker);
    return last && now - *last <= m_config.times.workerLostTimeout;
}

bool DomainOwner::Impl::isLost(std::uint32_t worker, TimePoint now) const
{
    return !isAlive(worker, now) && now - m_ownerSince > m_config.times.workerLostTimeout;
}

bool DomainOwner::Impl::isUsable(std::uint32_t worker, TimePoint now) const
{
    if (!isAlive(worker, now) || !m_recovery->hasReported(worker) || m_recovery->isPendingOn(worker))
        return false;
    return std::ranges::all_of(
        m_gangsOn[worker], [&](const GangId& id) { return m_gangs.at(id).isAdopted(); });
}

void DomainOwner::Impl::refreshWorkers(TimePoint now)
{
    for (std::uint32_t worker = 0; worker < m_leases.size(); ++worker) {
        bool usable = isUsable(worker, now);
        if (usable && !m_reportedUp[worker])
            m_scheduler.workerUp(worker, now);
        if (!usable && m_reportedUp[worker])
            m_scheduler.workerDown(worker, now);
        m_reportedUp[worker] = usable;
        if (!isLost(worker, now))
            continue;
        for (const auto& id : std::set<GangId>(m_gangsOn[worker])) {
            auto& gang = m_gangs.at(id);
            gang.onWorkerLost(worker, now);
            handlePhaseChange(gang, now);
        }
    }
}

} // namespace jujubereach::jobs
