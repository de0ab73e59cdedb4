// Executes the scheduler's decisions on gangs and handles the ends of gangs and jobs.
#include "owner-impl.h"

#include <algorithm>
#include <utility>

namespace jujubereach::jobs {

using scheduling::EndKind;

namespace {

    constexpr std::uint64_t noEvent = 0;

    Ran combineRan(Ran earlier, Ran later)
    {
        if (earlier == Ran::Yes || later == Ran::Yes)
            return Ran::Yes;
        return earlier == Ran::Unknown ? earlier : later;
    }

} // namespace

void DomainOwner::Impl::decide(TimePoint now)
{
    for (const auto& decision : m_scheduler.decide(now))
        std::visit([&](const auto& each) { execute(each, now); }, decision);
}

void DomainOwner::Impl::execute(const scheduling::StartGang& start, TimePoint now)
{
    auto* found = findBySchedulerId(start.job.id);
    if (!found || found->ended)
        return m_scheduler.gangEnded({ start.gang, EndKind::Unknown, {}, {} }, now);
    auto& job = *found;
    bool needsClaim = !job.spec.restartable && m_config.switches.claimBeforeStart;
    if (needsClaim && job.claimed)
        return m_scheduler.gangEnded({ start.gang, EndKind::Unknown, job.spec.progress, {} }, now);
    if (needsClaim && !m_journalAvailable)
        return deferUntilJournal(job, start.gang, now);
    GangId id(job.spec.id.str() + "/" + std::to_string(m_term) + "." + std::to_string(m_nextGang++));
    auto attempt = start;
    attempt.job = job.spec;
    Gang gang(id, start.gang, std::move(attempt), m_config, now);
    if (needsClaim) {
        job.claimed = true;
        gang.setMayStart(false);
        m_pendingClaims[emit(JobEventKind::Claimed, job, id).number] = id;
    }
    addGang(std::move(gang));
}

// Withdraws the job from the scheduler, which must not reserve accelerators for a job that cannot start
// before the journal is available. The scheduler's EndJob for the cancel is ignored: the job is deferred by
// then or has been submitted again under another id.
void DomainOwner::Impl::deferUntilJournal(Job& job, const GangId& schedulerGang, TimePoint now)
{
    job.waitsForJournal = true;
    m_scheduler.gangEnded({ schedulerGang, EndKind::Checkpointed, job.spec.progress, {} }, now);
    m_scheduler.cancel(job.schedulerId, now);
}

void DomainOwner::Impl::execute(const scheduling::PreemptGang& preempt, TimePoint now)
{
    auto id = m_bySchedulerId.find(preempt.gang);
    if (id == m_bySchedulerId.end())
        return;
    auto& gang = m_gangs.at(id->second);
    if (preempt.checkpoint)
        gang.checkpoint(now);
    else
        gang.stop(EndKind::Stopped, now);
    handlePhaseChange(gang, now);
}

void DomainOwner::Impl::execute(const scheduling::EndJob& end, TimePoint)
{
    auto* job = findBySchedulerId(end.job);
    if (job && !job->ended && !job->waitsForJournal)
        endJob(*job, end);
}

void DomainOwner::Impl::endJob(Job& job, const scheduling::EndJob& end)
{
    job.ended = true;
    job.waitsForJournal = false;
    auto& event = emit(JobEventKind::Ended, job, job.lastGang);
    event.end = end.kind;
    if (end.kind == EndKind::Unknown && job.lastEnd == EndKind::Failed)
        event.end = EndKind::Failed;
    event.refusal = end.refusal;
    event.text = end.text;
    event.ran = event.end == EndKind::Completed ? Ran::Yes : job.ran;
    if (event.ran == Ran::No && !end.neverRan && event.end == EndKind::Unknown)
        event.ran = Ran::Unknown;
    m_pendingEnds[event.number] = job.spec.id;
    if (!job.lastGang.empty())
        m_retainUntil[job.lastGang] = event.number;
    m_awaitingScheduler.erase(job.lastGang);
}

JobEvent& DomainOwner::Impl::emit(JobEventKind kind, const Job& job, const GangId& gang)
{
    JobEvent event;
    event.number = m_nextEvent++;
    event.kind = kind;
    event.term = m_term;
    event.job = job.spec;
    event.gang = gang;
    m_events.push_back(std::move(event));
    return m_events.back();
}

void DomainOwner::Impl::addGang(Gang gang)
{
    auto id = gang.id();
    if (gang.isAdopted())
        m_bySchedulerId[gang.schedulerId()] = id;
    for (auto worker : gang.workers()) {
        if (worker < m_gangsOn.size())
            m_gangsOn[worker].insert(id);
    }
    gang.takePhaseChange();
    auto& added = m_gangs.insert_or_assign(id, std::move(gang)).first->second;
    requestSync(added);
}

void DomainOwner::Impl::requestSync(const Gang& gang)
{
    for (auto worker : gang.workers()) {
        if (worker < m_syncRequested.size())
            m_syncRequested[worker] = true;
    }
}

void DomainOwner::Impl::tickGangs(TimePoint now)
{
    std::vector<GangId> ids;
    ids.reserve(m_gangs.size());
    for (const auto& [id, gang] : m_gangs)
        ids.push_back(id);
    for (const auto& id : ids) {
        auto& gang = m_gangs.at(id);
        gang.tick(now);
        handlePhaseChange(gang, now);
    }
}

/// Handles a change of phase, if there was one. Destroys `gang` if it has ended.
void DomainOwner::Impl::handlePhaseChange(Gang& gang, TimePoint now)
{
    if (!gang.takePhaseChange())
        return;
    requestSync(gang);
    if (gang.phase() == GangPhase::Running && gang.isAdopted()) {
        m_scheduler.gangRunning(gang.schedulerId(), now);
        emit(JobEventKind::Started, m_jobs.at(gang.job().id), gang.id());
    }
    if (gang.phase() != GangPhase::Ended)
        return;
    auto ended = gang;
    m_gangs.erase(ended.id());
    m_bySchedulerId.erase(ended.schedulerId());
    for (auto worker : ended.workers()) {
        if (worker < m_gangsOn.size())
            m_gangsOn[worker].erase(ended.id());
    }
    if (ended.isAdopted())
        onGangEnded(ended, now);
    else
        onFoundGangEnded(ended, now);
}

void DomainOwner::Impl::onGangEnded(const Gang& gang, TimePoint now)
{
    auto& job = m_jobs.at(gang.job().id);
    auto end = gang.end();
    job.ran = combineRan(job.ran, gang.ran());
    job.lastGang = gang.id();
    job.lastEnd = end.kind;
    if (gang.ran() != Ran::No || end.kind == EndKind::Checkpointed)
        ++job.spec.attempt;
    job.spec.progress = end.progress;
    bool lostWorker = end.workerLosses > job.spec.workerLosses;
    job.spec.workerLosses = end.workerLosses;
    m_retainUntil[gang.id()] = noEvent;
    m_awaitingScheduler.insert(gang.id());
    bool safeToRepeat = gang.ran() == Ran::No || end.kind == EndKind::Checkpointed;
    if (job.claimed && safeToRepeat) {
        job.claimed = false;
        m_retainUntil[gang.id()] = emit(JobEventKind::Unclaimed, job, gang.id()).number;
    } else if (end.kind == EndKind::Checkpointed || (lostWorker && job.spec.restartable)) {
        m_retainUntil[gang.id()] = emit(JobEventKind::Progress, job, gang.id()).number;
    } else if (job.claimed && end.kind == EndKind::StartFailed) {
        end.kind = EndKind::Unknown; // Some members may have run, and a retry would repeat their work.
    }
    // No work was lost and no worker is at fault, so the scheduler treats the end like a checkpoint.
    bool noFault
        = end.kind == EndKind::Stopped || (end.kind == EndKind::StartFailed && end.faultyWorkers.empty());
    if (gang.ran() == Ran::No && noFault)
        end.kind = EndKind::Checkpointed;
    m_scheduler.gangEnded(end, now);
}

// Once the scheduler has decided, workers may drop the ended tasks of gangs whose end caused no event.
void DomainOwner::Impl::releaseEndedGangs()
{
    for (const auto& id : m_awaitingScheduler) {
        if (auto kept = m_retainUntil.find(id); kept != m_retainUntil.end() && kept->second == noEvent)
            m_retainUntil.erase(kept);
    }
    m_awaitingScheduler.clear();
}

void DomainOwner::Impl::onEventCommitted(std::uint64_t number, TimePoint now)
{
    refreshRole(now);
    std::erase_if(m_retainUntil, [&](const auto& entry) { return entry.second == number; });
    if (auto end = m_pendingEnds.find(number); end != m_pendingEnds.end()) {
        m_resubmitted.erase(m_jobs.at(end->second).schedulerId);
        m_jobs.erase(end->second);
        m_pendingEnds.erase(end);
    }
    auto claim = m_pendingClaims.find(number);
    if (claim == m_pendingClaims.end())
        return;
    if (auto gang = m_gangs.find(claim->second); gang != m_gangs.end()) {
        gang->second.setMayStart(true);
        gang->second.tick(now);
        requestSync(gang->second);
        handlePhaseChange(gang->second, now);
    }
    m_pendingClaims.erase(claim);
}

void DomainOwner::Impl::onEventRejected(std::uint64_t number, TimePoint now)
{
    refreshRole(now);
    auto claim = m_pendingClaims.find(number);
    if (claim == m_pendingClaims.end())
        return onEventCommitted(number, now);
    auto id = claim->second;
    m_pendingClaims.erase(claim);
    auto entry = m_gangs.find(id);
    if (entry == m_gangs.end())
        return;
    auto& gang = entry->second;
    m_jobs.at(gang.job().id).ran = Ran::Unknown;
    appendLog("job " + gang.job().id.str() + " is already claimed by another owner and will not be started");
    gang.stop(EndKind::Unknown, now);
    handlePhaseChange(gang, now);
}

} // namespace jujubereach::jobs
