#include "lanes.h"

namespace jujubereach::scheduling {

namespace {
    LaneKey keyOf(const Job& job)
    {
        return { job.spec.workClass, job.spec.workspace, job.spec.accelerators, job.revocable };
    }
} // namespace

void Lane::add(Job* job)
{
    m_byTime.emplace(TimeKey { job->predicted, job->sequence }, job);
    m_byArrival.emplace(job->sequence, job);
}

void Lane::remove(Job* job)
{
    m_byTime.erase({ job->predicted, job->sequence });
    m_byArrival.erase(job->sequence);
}

void Lanes::add(Job* job)
{
    m_lanes[keyOf(*job)].add(job);
    job->queued = true;
    ++m_size;
}

void Lanes::remove(Job* job)
{
    auto lane = m_lanes.find(keyOf(*job));
    lane->second.remove(job);
    if (lane->second.empty())
        m_lanes.erase(lane);
    job->queued = false;
    --m_size;
}

} // namespace jujubereach::scheduling
