#include "health.h"

#include <algorithm>

namespace jujubereach::scheduling {

namespace {
    constexpr std::size_t quarantineDivisor = 5; ///< At most 1/5 of the workers are quarantined.
}

WorkerHealth::WorkerHealth(std::uint32_t workers, const Policy& policy)
    : m_policy(policy)
    , m_workers(workers)
{
}

bool WorkerHealth::recordFailure(std::uint32_t worker, const JobId& job, TimePoint now)
{
    auto& state = m_workers[worker];
    if (state.quarantined || state.lastJob == job)
        return false;
    state.lastJob = job;
    ++state.failures;
    auto bound = std::max<std::size_t>(1, m_workers.size() / quarantineDivisor);
    if (state.failures < m_policy.quarantineFailures || m_quarantined.size() >= bound)
        return false;
    state.quarantined = true;
    state.delay = m_policy.probeDelay;
    state.probeAt = now + state.delay;
    m_quarantined.push_back(worker);
    return true;
}

bool WorkerHealth::recordSuccess(std::uint32_t worker)
{
    auto& state = m_workers[worker];
    bool wasQuarantined = state.quarantined;
    std::erase(m_quarantined, worker);
    state = Worker {};
    return wasQuarantined;
}

void WorkerHealth::recordProbeFailure(std::uint32_t worker, TimePoint now)
{
    auto& state = m_workers[worker];
    state.delay = std::min(state.delay * 2, m_policy.maxProbeDelay);
    state.probeAt = now + state.delay;
}

void WorkerHealth::endQuarantine(std::uint32_t worker)
{
    recordSuccess(worker);
    m_workers[worker].failures = m_policy.quarantineFailures - 1;
}

std::vector<std::uint32_t> WorkerHealth::dueProbes(TimePoint now) const
{
    std::vector<std::uint32_t> due;
    for (auto worker : m_quarantined) {
        if (m_workers[worker].probeAt <= now)
            due.push_back(worker);
    }
    return due;
}

std::optional<TimePoint> WorkerHealth::nextProbe() const
{
    std::optional<TimePoint> next;
    for (auto worker : m_quarantined) {
        if (!next || m_workers[worker].probeAt < *next)
            next = m_workers[worker].probeAt;
    }
    return next;
}

} // namespace jujubereach::scheduling
