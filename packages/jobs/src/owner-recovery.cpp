// Recovers gangs and jobs after a change of owner, from the workers' reports and the journal.
#include "owner-impl.h"

#include <algorithm>
#include <limits>

namespace jujubereach::jobs {

using scheduling::EndKind;

namespace {

    constexpr std::uint64_t untilResolved = std::numeric_limits<std::uint64_t>::max();

} // namespace

void DomainOwner::Impl::recover(TimePoint now)
{
    for (const auto& found :
        m_recovery->takeSettled([&](std::uint32_t worker) { return isLost(worker, now); }))
        recoverGang(found, now);
    if (!m_recovered && m_recovery->isComplete(now)) {
        m_recovered = true;
        appendLog("recovery complete with " + std::to_string(m_gangs.size()) + " gangs");
    }
    if (m_recovered)
        resolveFoundJobs(now);
    if (m_recovered && m_journalViewComplete && m_foundJobs.empty())
        m_presumedEnds.clear();
}

void DomainOwner::Impl::recoverGang(const Recovery::FoundGang& found, TimePoint now)
{
    if (!found.label) {
        for (const auto& [worker, report] : found.reports)
            onUnknownTask(worker, report, now);
        return;
    }
    Gang gang(found.id, *found.label, found.reports, found.lost, m_config, now);
    const auto& job = gang.job().id;
    auto journaled = m_foundJobs.find(job);
    bool alreadyEnded
        = journaled != m_foundJobs.end() && journaled->second.journaled && journaled->second.journaled->ended;
    if (gang.phase() < GangPhase::Stopping && !alreadyEnded && !m_jobs.contains(job))
        return adopt(std::move(gang), now);
    gang.stop(EndKind::Stopped, now);
    if (gang.phase() == GangPhase::Ended)
        return onFoundGangEnded(gang, now);
    addGang(std::move(gang));
}

void DomainOwner::Impl::adopt(Gang gang, TimePoint now)
{
    auto& job = m_jobs[gang.job().id];
    job.spec = gang.job();
    job.ran = Ran::Yes;
    job.claimed = !job.spec.restartable;
    job.schedulerId = job.spec.id;
    gang.setSchedulerId(gang.id());
    m_scheduler.adopt(job.spec, gang.id(), gang.run(), gang.ranFor(), now);
    emit(JobEventKind::Started, job, gang.id());
    auto found = m_foundJobs.find(job.spec.id);
    bool cancelled = found != m_foundJobs.end() && found->second.cancelled;
    m_foundJobs.erase(job.spec.id);
    m_presumedEnds.erase(job.spec.id);
    auto id = job.spec.id;
    addGang(std::move(gang));
    if (cancelled)
        m_scheduler.cancel(id, now);
}

void DomainOwner::Impl::onFoundGangEnded(const Gang& gang, TimePoint)
{
    const auto& id = gang.job().id;
    if (id.empty() || m_jobs.contains(id))
        return;
    auto& found = m_foundJobs[id];
    if (found.reported && found.reported->spec.attempt > gang.job().attempt)
        return;
    if (found.reported)
        m_retainUntil.erase(found.reported->gang);
    found.reported = ReportedEnd { gang.job(), gang.end(), gang.id(), gang.ran() };
    m_retainUntil[gang.id()] = untilResolved;
}

void DomainOwner::Impl::onJournaledJobs(
    const std::vector<JournaledJob>& jobs, JournalView view, TimePoint now)
{
    refreshRole(now);
    if (!owns())
        return;
    m_journalViewComplete = m_journalViewComplete || view == JournalView::Complete;
    for (const auto& journaled : jobs) {
        auto job = m_jobs.find(journaled.job.id);
        if (job == m_jobs.end())
            m_foundJobs[journaled.job.id].journaled = journaled;
        else if (journaled.ended && !job->second.ended)
            cancel(journaled.job.id, now);
    }
    recover(now);
}

void DomainOwner::Impl::rememberRuns()
{
    for (const auto& [id, gang] : m_gangs) {
        const auto& job = gang.job();
        if (!gang.isAdopted() || !job.restartable || gang.ran() == Ran::No)
            continue;
        auto end = gang.end();
        bool lostWorker = end.workerLosses > job.workerLosses;
        if (gang.phase() >= GangPhase::Stopping && !lostWorker)
            continue;
        end.kind = EndKind::WorkerLost;
        end.workerLosses = job.workerLosses + 1;
        m_presumedEnds[job.id] = ReportedEnd { job, end, id, gang.ran() };
    }
}

bool DomainOwner::Impl::hasGang(const JobId& job) const
{
    return std::ranges::any_of(m_gangs, [&](const auto& entry) { return entry.second.job().id == job; });
}

void DomainOwner::Impl::resolveFoundJobs(TimePoint now)
{
    for (auto entry = m_foundJobs.begin(); entry != m_foundJobs.end();) {
        const auto& reported = entry->second.reported;
        bool mayHaveEnded = !entry->second.journaled && !m_journalViewComplete
            && !(reported && reported->end.kind == EndKind::Completed);
        if (mayHaveEnded || hasGang(entry->first)) {
            ++entry;
            continue;
        }
        auto found = std::move(entry->second);
        entry = m_foundJobs.erase(entry);
        resolveFoundJob(found, now);
    }
}

void DomainOwner::Impl::resolveFoundJob(const FoundJob& found, TimePoint now)
{
    auto reported = found.reported;
    if (reported)
        m_retainUntil.erase(reported->gang);
    if (found.journaled && found.journaled->ended)
        return;
    const JobId id = reported ? reported->spec.id : found.journaled->job.id;
    if (auto presumed = m_presumedEnds.extract(id); !presumed.empty()) {
        const auto& end = presumed.mapped();
        bool isNewer = !reported || reported->spec.attempt < end.spec.attempt;
        if (isNewer && !(reported && reported->end.kind == EndKind::Completed))
            reported = end;
    }
    // Unless it completed the job, a reported end of an attempt older than the journaled one is outdated.
    if (reported && found.journaled && reported->spec.attempt < found.journaled->job.attempt
        && reported->end.kind != EndKind::Completed)
        reported.reset();
    auto& job = m_jobs[reported ? reported->spec.id : found.journaled->job.id];
    job.spec = reported ? reported->spec : found.journaled->job;
    job.claimed = (found.journaled && found.journaled->claimed) || (reported && !job.spec.restartable);
    job.ran = reported ? reported->ran : (job.claimed || job.spec.attempt > 0 ? Ran::Unknown : Ran::No);
    if (reported) {
        job.lastGang = reported->gang;
        job.lastEnd = reported->end.kind;
    }
    if (reported && reported->end.kind == EndKind::Completed)
        return endJob(job, { job.spec.id, EndKind::Completed, {}, false, "The job completed." });
    if (found.cancelled)
        return endJob(job,
            { job.spec.id, EndKind::Stopped, scheduling::RefusalReason::Cancelled, job.ran == Ran::No,
                "The job was cancelled." });
    bool safeToRepeat = reported && (reported->ran == Ran::No || reported->end.kind == EndKind::Checkpointed);
    if (job.claimed && !safeToRepeat) {
        bool failed = reported && reported->end.kind == EndKind::Failed;
        return endJob(job,
            { job.spec.id, failed ? EndKind::Failed : EndKind::Unknown,
                scheduling::RefusalReason::OutcomeUnknown, false,
                "It is not restartable, and an attempt was lost with its owner." });
    }
    enqueueFoundJob(job, reported ? &*reported : nullptr, now);
}

void DomainOwner::Impl::enqueueFoundJob(Job& job, const ReportedEnd* reported, TimePoint now)
{
    bool lostWorker = false;
    if (reported) {
        job.spec.attempt += reported->ran == Ran::No ? 0 : 1;
        job.spec.progress = reported->end.progress;
        lostWorker = reported->end.workerLosses > job.spec.workerLosses;
        job.spec.workerLosses = reported->end.workerLosses;
    }
    bool saved = reported && reported->end.kind == EndKind::Checkpointed;
    if (job.claimed || saved || lostWorker) {
        auto kind = job.claimed ? JobEventKind::Unclaimed : JobEventKind::Progress;
        m_retainUntil[job.lastGang] = emit(kind, job, job.lastGang).number;
        job.claimed = false;
    }
    enqueue(job, now);
}

} // namespace jujubereach::jobs
