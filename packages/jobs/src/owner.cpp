// Role changes and inputs of a domain's owner.
#include "owner-impl.h"

#include <algorithm>
#include <utility>

namespace jujubereach::jobs {

namespace {

    constexpr Duration checkInterval { 50 }; ///< Between time-based checks of all workers and gangs.
    constexpr Duration tickInterval { 100 };
    constexpr Duration idleInterval { 1'000 };
    constexpr Duration minContendPause { 300 };
    constexpr std::uint64_t contendPauseSpread = 1'500; ///< Milliseconds.

} // namespace

DomainOwner::Impl::Impl(OwnerConfig config, SchedulerFactory makeScheduler)
    : m_config(std::move(config))
    , m_makeScheduler(std::move(makeScheduler))
    , m_leases(m_config.workers.size(), m_config.times)
    , m_random(m_config.seed ^ stableHash(m_config.holder))
    , m_gangsOn(m_config.workers.size())
    , m_labelsRequested(m_config.workers.size(), true)
    , m_syncRequested(m_config.workers.size(), false)
    , m_reportedUp(m_config.workers.size(), false)
{
}

void DomainOwner::Impl::appendLog(const std::string& line)
{
    m_log.push_back(line);
}

void DomainOwner::Impl::setOwning(bool shouldOwn, TimePoint now)
{
    refreshRole(now);
    if (shouldOwn && m_role == Role::Draining)
        m_role = Role::Owning;
    else if (shouldOwn && (m_role == Role::Idle || m_role == Role::Releasing))
        becomeContender(now);
    else if (!shouldOwn && m_role == Role::Contending)
        startReleasing("stops contending and releases its leases");
    else if (!shouldOwn && m_role == Role::Owning) {
        m_role = Role::Draining;
        m_drainUntil = now + m_config.times.drainTimeout;
        for (auto& [id, gang] : m_gangs) {
            if (gang.phase() == GangPhase::Holding)
                gang.stop(scheduling::EndKind::Stopped, now);
            requestSync(gang);
        }
    }
    refreshRole(now);
}

void DomainOwner::Impl::becomeContender(TimePoint now)
{
    m_role = Role::Contending;
    m_contendNotBefore = now;
    m_minoritySince.reset();
    m_leases.beginContending(now);
}

void DomainOwner::Impl::startReleasing(const std::string& why)
{
    appendLog(why);
    dropTerm();
    m_presumedEnds.clear();
    m_role = Role::Releasing;
}

void DomainOwner::Impl::becomeOwner(TimePoint now)
{
    m_role = Role::Owning;
    m_term = m_leases.epoch();
    m_ownerSince = now;
    m_nextCheck = now;
    m_nextJob = 1;
    m_scheduler = m_makeScheduler();
    auto wait = m_config.times.taskLease + m_config.times.recoveryMargin;
    auto deadline = m_config.switches.waitForReports ? now + wait : now;
    m_recovery.emplace(m_config.workers.size(), m_config.acceleratorsPerWorker, deadline);
    m_leases.beginTerm(now);
    appendLog("became owner with term " + std::to_string(m_term));
}

// The next owner rebuilds all state of the term from the workers' reports and the journal.
void DomainOwner::Impl::dropTerm()
{
    m_term = 0;
    m_recovered = false;
    m_journalViewComplete = false;
    m_scheduler = {};
    m_recovery.reset();
    m_jobs.clear();
    m_foundJobs.clear();
    m_gangs.clear();
    m_bySchedulerId.clear();
    m_events.clear();
    m_pendingClaims.clear();
    m_pendingEnds.clear();
    m_retainUntil.clear();
    m_awaitingScheduler.clear();
    m_resubmitted.clear();
    m_pendingForgets.clear();
    for (auto& gangs : m_gangsOn)
        gangs.clear();
    std::fill(m_syncRequested.begin(), m_syncRequested.end(), false);
    std::fill(m_reportedUp.begin(), m_reportedUp.end(), false);
}

// Called at the start of every operation, so that a process that was paused detects expired leases before it
// acts on them.
void DomainOwner::Impl::refreshRole(TimePoint now)
{
    switch (m_role) {
    case Role::Idle:
        break;
    case Role::Contending:
        refreshContender(now);
        break;
    case Role::Owning:
    case Role::Draining:
        refreshOwner(now);
        break;
    case Role::Releasing:
        if (!m_leases.mayHoldAny(now))
            m_role = Role::Idle;
        break;
    }
}

// Two contenders that each hold a minority of the leases would block each other forever. A contender
// therefore releases a minority after the contend timeout and retries after a random delay.
void DomainOwner::Impl::refreshContender(TimePoint now)
{
    if (now < m_contendNotBefore)
        return;
    if (m_config.switches.majority ? m_leases.hasMajority(now) : m_leases.holdsAny(now))
        return becomeOwner(now);
    if (!m_leases.holdsAny(now)) {
        m_minoritySince.reset();
        return;
    }
    if (!m_minoritySince)
        m_minoritySince = now;
    if (now - *m_minoritySince < m_config.times.contendTimeout)
        return;
    auto pause = minContendPause + Duration(m_random.below(contendPauseSpread));
    appendLog("holds no majority of worker leases; retrying in " + std::to_string(pause.count()) + " ms");
    becomeContender(now);
    m_contendNotBefore = now + pause;
}

void DomainOwner::Impl::refreshOwner(TimePoint now)
{
    if (!(m_config.switches.majority ? m_leases.hasMajority(now) : m_leases.holdsAny(now))) {
        appendLog("lost the majority of worker leases in term " + std::to_string(m_term));
        bool draining = m_role == Role::Draining;
        rememberRuns();
        dropTerm();
        return draining ? startReleasing("hands over") : becomeContender(now);
    }
    if (m_role != Role::Draining)
        return;
    bool starting = std::ranges::any_of(m_gangs, [](const auto& entry) {
        return entry.second.phase() == GangPhase::Holding || entry.second.phase() == GangPhase::Starting;
    });
    if (!starting || now >= m_drainUntil)
        startReleasing("hands over");
}

void DomainOwner::Impl::onFenceRefused(std::uint64_t journaledTerm, TimePoint now)
{
    refreshRole(now);
    if (m_role != Role::Owning || m_term >= journaledTerm)
        return;
    appendLog("contends again: the journal is fenced at the newer term " + std::to_string(journaledTerm));
    dropTerm();
    m_leases.raiseEpochAbove(journaledTerm);
    becomeContender(now);
}

bool DomainOwner::Impl::isOwner(TimePoint now) const
{
    bool majority = m_config.switches.majority ? m_leases.hasMajority(now) : m_leases.holdsAny(now);
    return owns() && majority;
}

void DomainOwner::Impl::tick(TimePoint now)
{
    refreshRole(now);
    if (!owns())
        return;
    recover(now);
    if (now >= m_nextCheck) {
        m_nextCheck = now + checkInterval;
        refreshWorkers(now);
        tickGangs(now);
    }
    if (m_role == Role::Owning)
        decide(now);
    releaseEndedGangs();
}

TimePoint DomainOwner::Impl::nextDue(TimePoint now) const
{
    return m_role == Role::Idle ? now + idleInterval : m_leases.nextDue(now + tickInterval);
}

void DomainOwner::Impl::setJournalAvailable(bool available, TimePoint now)
{
    refreshRole(now);
    if (std::exchange(m_journalAvailable, available) == available || !available || !owns())
        return;
    for (auto& [id, job] : m_jobs) {
        if (std::exchange(job.waitsForJournal, false))
            enqueue(job, now);
    }
}

std::optional<scheduling::EndJob> DomainOwner::Impl::submit(const scheduling::JobSpec& spec, TimePoint now)
{
    refreshRole(now);
    if (!owns() || m_jobs.contains(spec.id) || m_foundJobs.contains(spec.id))
        return std::nullopt;
    auto& job = m_jobs[spec.id];
    job.spec = spec;
    return enqueue(job, now);
}

std::optional<scheduling::EndJob> DomainOwner::Impl::enqueue(Job& job, TimePoint now)
{
    if (!m_journalAvailable && !job.spec.restartable && m_config.switches.claimBeforeStart) {
        job.waitsForJournal = true;
        return std::nullopt;
    }
    auto spec = job.spec;
    if (!job.schedulerId.empty()) {
        m_resubmitted.erase(job.schedulerId);
        spec.id = JobId(job.spec.id.str() + "~" + std::to_string(m_nextResubmission++));
        m_resubmitted[spec.id] = job.spec.id;
    }
    job.schedulerId = spec.id;
    auto end = m_scheduler.submit(spec, now);
    if (end)
        endJob(job, *end);
    return end;
}

DomainOwner::Impl::Job* DomainOwner::Impl::findBySchedulerId(const JobId& id)
{
    auto other = m_resubmitted.find(id);
    auto job = m_jobs.find(other == m_resubmitted.end() ? id : other->second);
    return job != m_jobs.end() && job->second.schedulerId == id ? &job->second : nullptr;
}

void DomainOwner::Impl::cancel(const JobId& id, TimePoint now)
{
    refreshRole(now);
    if (!owns())
        return;
    if (auto found = m_foundJobs.find(id); found != m_foundJobs.end())
        found->second.cancelled = true;
    auto job = m_jobs.find(id);
    if (job == m_jobs.end() || job->second.ended)
        return;
    if (!job->second.waitsForJournal)
        return m_scheduler.cancel(job->second.schedulerId, now);
    bool neverRan = job->second.ran == Ran::No;
    endJob(job->second,
        { id, scheduling::EndKind::Stopped, scheduling::RefusalReason::Cancelled, neverRan,
            "The job was cancelled." });
}

scheduling::Explanation DomainOwner::Impl::explain(const JobId& id, TimePoint now) const
{
    auto job = m_jobs.find(id);
    scheduling::Explanation explanation;
    explanation.known = true;
    explanation.state = "queued";
    if (m_foundJobs.contains(id))
        explanation.text = "Waits until it is certain that no worker runs it after a change of owner.";
    else if (job != m_jobs.end() && job->second.waitsForJournal)
        explanation.text
            = "It is not restartable and waits for the key-value service, which must record its start.";
    else if (m_scheduler.explain)
        return m_scheduler.explain(job == m_jobs.end() ? id : job->second.schedulerId, now);
    else
        return {};
    return explanation;
}

} // namespace jujubereach::jobs
