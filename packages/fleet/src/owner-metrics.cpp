// Metrics by workspace and priority.
#include "owner-impl.h"

namespace jujubereach::fleet {

namespace {

    metrics::Labels labelsOf(const Job* job, int priority)
    {
        return { { "workspace", job ? job->record.workspace.str() : "unknown" },
            { "priority", job ? std::to_string(priority) : "unknown" } };
    }

} // namespace

void Owner::Impl::count(const char* name, const metrics::Labels& labels, double amount) const
{
    if (m_hooks.meter.add)
        m_hooks.meter.add(name, labels, amount);
}

// The queue wait is observed at the first task start of a job.
void Owner::Impl::countStart(const Job& job)
{
    const auto labels = labelsOf(&job, termsOf(job).priority);
    count("jujubereach_task_starts_total", labels);
    if (job.state == JobState::Queued && m_hooks.meter.observe)
        m_hooks.meter.observe("jujubereach_queue_wait_ms", labels, now() - job.arrived);
}

void Owner::Impl::countEnd(const EndedTask& end, const Job* job, double thrownAway)
{
    auto labels = labelsOf(job, job ? termsOf(*job).priority : 0);
    labels["kind"] = nameOf(end.kind);
    count("jujubereach_task_ends_total", labels);
    if (thrownAway > 0)
        count("jujubereach_thrown_away_core_seconds_total", labels, thrownAway);
}

void Owner::Impl::countFinish(const Job& job)
{
    auto labels = labelsOf(&job, termsOf(job).priority);
    labels["state"] = nameOf(job.state);
    if (m_hooks.meter.observe)
        m_hooks.meter.observe("jujubereach_job_ms", labels, now() - job.arrived);
}

} // namespace jujubereach::fleet
