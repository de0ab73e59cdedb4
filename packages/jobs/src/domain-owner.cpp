// Forwards the public interface of DomainOwner to its implementation; see owner-impl.h.
#include "owner-impl.h"

#include <utility>

namespace jujubereach::jobs {

DomainOwner::DomainOwner(OwnerConfig config, SchedulerFactory makeScheduler)
    : m_impl(std::make_unique<Impl>(std::move(config), std::move(makeScheduler)))
{
}

DomainOwner::~DomainOwner() = default;

void DomainOwner::setOwning(bool shouldOwn, TimePoint now)
{
    m_impl->setOwning(shouldOwn, now);
}

void DomainOwner::setReachable(std::uint32_t workerIndex, bool reachable, TimePoint)
{
    m_impl->m_leases.setReachable(workerIndex, reachable);
}

void DomainOwner::setJournalAvailable(bool available, TimePoint now)
{
    m_impl->setJournalAvailable(available, now);
}

void DomainOwner::reconfigure(const manifest::Manifest& manifest)
{
    if (m_impl->m_scheduler.reconfigure)
        m_impl->m_scheduler.reconfigure(manifest);
}

std::optional<scheduling::EndJob> DomainOwner::submit(const scheduling::JobSpec& job, TimePoint now)
{
    return m_impl->submit(job, now);
}

void DomainOwner::cancel(const JobId& job, TimePoint now)
{
    m_impl->cancel(job, now);
}

void DomainOwner::onJournaledJobs(const std::vector<JournaledJob>& jobs, TimePoint now, JournalView view)
{
    m_impl->onJournaledJobs(jobs, view, now);
}

void DomainOwner::onFenceRefused(std::uint64_t journaledTerm, TimePoint now)
{
    m_impl->onFenceRefused(journaledTerm, now);
}

void DomainOwner::onEventCommitted(std::uint64_t number, TimePoint now)
{
    m_impl->onEventCommitted(number, now);
}

void DomainOwner::onEventRejected(std::uint64_t number, TimePoint now)
{
    m_impl->onEventRejected(number, now);
}

void DomainOwner::onSyncReply(std::uint32_t workerIndex, const platform::WorkerReply& reply, TimePoint now)
{
    m_impl->onSyncReply(workerIndex, reply, now);
}

void DomainOwner::tick(TimePoint now)
{
    m_impl->tick(now);
}

std::vector<OutgoingSync> DomainOwner::dueSyncs(TimePoint now)
{
    return m_impl->dueSyncs(now);
}

TimePoint DomainOwner::nextDue(TimePoint now) const
{
    return m_impl->nextDue(now);
}

std::vector<JobEvent> DomainOwner::takeEvents()
{
    return std::exchange(m_impl->m_events, {});
}

std::vector<std::string> DomainOwner::takeLog()
{
    return std::exchange(m_impl->m_log, {});
}

bool DomainOwner::isOwner(TimePoint now) const
{
    return m_impl->isOwner(now);
}

std::uint64_t DomainOwner::term() const
{
    return m_impl->m_term;
}

bool DomainOwner::released() const
{
    return m_impl->m_role == Role::Idle;
}

bool DomainOwner::recovered() const
{
    return m_impl->m_recovered;
}

JobId DomainOwner::newJobId()
{
    const auto& config = m_impl->m_config;
    return JobId(config.zone.str() + "." + config.domain.str() + "." + std::to_string(m_impl->m_term) + "-"
        + std::to_string(m_impl->m_nextJob++));
}

scheduling::Explanation DomainOwner::explain(const JobId& job, TimePoint now) const
{
    return m_impl->explain(job, now);
}

scheduling::Scheduler::Usage DomainOwner::usage() const
{
    return m_impl->m_scheduler.usage ? m_impl->m_scheduler.usage() : scheduling::Scheduler::Usage {};
}

} // namespace jujubereach::jobs
