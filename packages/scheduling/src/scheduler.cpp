#include "jujubereach/scheduling/scheduler.h"

#include "impl.h"

namespace jujubereach::scheduling {

const char* nameOf(EndKind kind)
{
    switch (kind) {
    case EndKind::Completed:
        return "completed";
    case EndKind::Failed:
        return "failed";
    case EndKind::StartFailed:
        return "start_failed";
    case EndKind::WorkerLost:
        return "worker_lost";
    case EndKind::Checkpointed:
        return "checkpointed";
    case EndKind::Stopped:
        return "stopped";
    case EndKind::Unknown:
        return "unknown";
    }
    return "unknown";
}

const char* nameOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NeverFits:
        return "never_fits";
    case RefusalReason::UnknownWorkspace:
        return "unknown_workspace";
    case RefusalReason::UnknownClass:
        return "unknown_class";
    case RefusalReason::UnknownShape:
        return "unknown_shape";
    case RefusalReason::QueueFull:
        return "queue_full";
    case RefusalReason::FailsEverywhere:
        return "fails_everywhere";
    case RefusalReason::Cancelled:
        return "cancelled";
    case RefusalReason::OutcomeUnknown:
        return "outcome_unknown";
    case RefusalReason::WorkersLost:
        return "workers_lost";
    }
    return "unknown";
}

Scheduler::Scheduler(
    const manifest::Manifest& manifest, const ZoneId& zone, const DomainId& domain, const Policy& policy)
    : m_impl(std::make_unique<Impl>(manifest, zone, domain, policy))
{
}

Scheduler::~Scheduler() = default;

void Scheduler::reconfigure(const manifest::Manifest& manifest)
{
    m_impl->reconfigure(manifest);
}

std::optional<EndJob> Scheduler::submit(const JobSpec& job, TimePoint now)
{
    return m_impl->submit(job, now);
}

void Scheduler::cancel(const JobId& job, TimePoint now)
{
    m_impl->cancel(job, now);
}

void Scheduler::adopt(const JobSpec& job, const GangId& gang, const Run& run, Duration ranFor, TimePoint now)
{
    m_impl->adopt(job, gang, run, ranFor, now);
}

void Scheduler::workerUp(std::uint32_t worker, TimePoint)
{
    m_impl->setWorker(worker, true);
}

void Scheduler::workerDown(std::uint32_t worker, TimePoint)
{
    m_impl->setWorker(worker, false);
}

void Scheduler::gangRunning(const GangId& gang, TimePoint now)
{
    m_impl->gangRunning(gang, now);
}

void Scheduler::gangEnded(const GangEnd& end, TimePoint now)
{
    m_impl->gangEnded(end, now);
}

std::vector<Decision> Scheduler::decide(TimePoint now)
{
    return m_impl->decide(now);
}

std::optional<TimePoint> Scheduler::nextDue(TimePoint now) const
{
    return m_impl->nextDue(now);
}

Explanation Scheduler::explain(const JobId& job, TimePoint now) const
{
    return m_impl->explain(job, now);
}

Scheduler::Usage Scheduler::usage() const
{
    return m_impl->usage();
}

std::uint64_t Scheduler::stepCount() const
{
    return m_impl->stepCount();
}

} // namespace jujubereach::scheduling
