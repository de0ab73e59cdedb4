#include "worker-leases.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

namespace jujubereach::jobs {

namespace {

    constexpr Duration minRefusedRetry { 50 };
    constexpr Duration maxRefusedRetry { 200 };
    constexpr Duration firstFailureRetry { 100 };
    constexpr Duration maxFailureRetry { 500 };

} // namespace

WorkerLeases::WorkerLeases(std::size_t workers, const OwnerTimes& times)
    : m_times(times)
    , m_leases(workers)
{
}

void WorkerLeases::setReachable(std::uint32_t worker, bool reachable)
{
    m_leases[worker].reachable = reachable;
}

void WorkerLeases::beginContending(TimePoint now)
{
    ++m_epoch;
    m_hasTerm = false;
    m_majorityUntil = {};
    for (auto& lease : m_leases) {
        m_epoch = std::max(m_epoch, lease.minEpoch.value);
        lease.grantedFrom.reset();
        lease.lastGrant.reset();
        lease.nextSync = now;
    }
}

void WorkerLeases::beginTerm(TimePoint now)
{
    m_hasTerm = true;
    for (auto& lease : m_leases)
        lease.nextSync = std::min(lease.nextSync, now);
}

bool WorkerLeases::isDue(std::uint32_t worker, bool commandsWaiting, TimePoint now) const
{
    const auto& lease = m_leases[worker];
    if (!lease.reachable || lease.inFlight || now < lease.notBefore)
        return false;
    return commandsWaiting || now >= lease.nextSync;
}

bool WorkerLeases::isReleaseDue(std::uint32_t worker, TimePoint now) const
{
    const auto& lease = m_leases[worker];
    return lease.reachable && !lease.inFlight && now >= lease.notBefore && now < lease.mayHoldUntil;
}

Epoch WorkerLeases::issue(std::uint32_t worker, Duration ttl, TimePoint now)
{
    auto& lease = m_leases[worker];
    lease.inFlight = true;
    lease.issuedAt = now;
    lease.issuedTtl = ttl;
    lease.issuedEpoch = epochFor(lease);
    lease.nextSync = now + m_times.syncInterval;
    if (ttl > Duration(0))
        lease.mayHoldUntil = now + m_times.sendWindow + ttl;
    return lease.issuedEpoch;
}

void WorkerLeases::onReply(std::uint32_t worker, const platform::WorkerReply& reply, TimePoint now)
{
    auto& lease = m_leases[worker];
    lease.inFlight = false;
    switch (reply.status) {
    case platform::SyncStatus::Granted:
        onGranted(lease, now);
        break;
    case platform::SyncStatus::Refused:
        onRefused(lease, reply, now);
        break;
    case platform::SyncStatus::Unreachable:
    case platform::SyncStatus::Unknown:
        lease.notBefore
            = now + std::min(firstFailureRetry * (1 << std::min(lease.failures, 4U)), maxFailureRetry);
        lease.nextSync = std::min(lease.nextSync, lease.notBefore);
        ++lease.failures;
        break;
    }
}

void WorkerLeases::onGranted(Lease& lease, TimePoint now)
{
    lease.failures = 0;
    if (lease.issuedTtl == Duration(0)) {
        m_majorityUntil = {};
        lease.grantedFrom.reset();
        lease.mayHoldUntil = now;
        return;
    }
    lease.grantedFrom = lease.issuedAt;
    lease.grantedEpoch = lease.issuedEpoch;
    lease.lastGrant = now;
}

void WorkerLeases::onRefused(Lease& lease, const platform::WorkerReply& reply, TimePoint now)
{
    lease.failures = 0;
    m_majorityUntil = {};
    lease.grantedFrom.reset();
    lease.mayHoldUntil = now;
    lease.notBefore = now + minRefusedRetry;
    lease.nextSync = now + std::clamp(reply.leaseLeft, minRefusedRetry, maxRefusedRetry);
    if (reply.epoch < lease.issuedEpoch || reply.epoch.value == std::numeric_limits<std::uint64_t>::max())
        return;
    lease.minEpoch = Epoch { reply.epoch.value + 1 };
    if (!m_hasTerm)
        raiseEpoch(lease.minEpoch, now);
}

// While contending, the whole majority must be granted at one epoch, which becomes the term. This makes terms
// unique to one owner: any two majorities share a worker, and a worker grants an epoch to one holder only.
void WorkerLeases::raiseEpoch(Epoch seen, TimePoint now)
{
    if (seen.value <= m_epoch)
        return;
    m_epoch = seen.value;
    m_majorityUntil = {};
    for (auto& lease : m_leases) {
        if (lease.grantedFrom)
            lease.nextSync = now;
    }
}

Epoch WorkerLeases::epochFor(const Lease& lease) const
{
    return Epoch { m_hasTerm ? std::max(m_epoch, lease.minEpoch.value) : m_epoch };
}

bool WorkerLeases::isFresh(std::uint32_t worker, TimePoint now) const
{
    const auto& lease = m_leases[worker];
    return lease.grantedFrom && now < *lease.grantedFrom + m_times.workerLease
        && lease.grantedEpoch.value >= m_epoch;
}

// Called before every operation, so the result is cached and recomputed only once it expires.
bool WorkerLeases::hasMajority(TimePoint now) const
{
    if (now >= m_majorityUntil)
        m_majorityUntil = findMajorityEnd();
    return now < m_majorityUntil;
}

TimePoint WorkerLeases::findMajorityEnd() const
{
    std::vector<std::pair<TimePoint, std::uint32_t>> ends; ///< Lease end and weight of each granted worker.
    std::uint32_t total = 0;
    for (std::uint32_t worker = 0; worker < size(); ++worker) {
        const auto& lease = m_leases[worker];
        total += weightOf(worker);
        if (lease.grantedFrom && lease.grantedEpoch.value >= m_epoch)
            ends.emplace_back(*lease.grantedFrom + m_times.workerLease, weightOf(worker));
    }
    std::ranges::sort(ends, std::greater<>());
    std::uint32_t fresh = 0;
    for (const auto& [end, weight] : ends) {
        fresh += weight;
        if (2 * fresh > total)
            return end;
    }
    return {};
}

// Of an even number of workers the first counts twice, so that one of two halves has the majority.
std::uint32_t WorkerLeases::weightOf(std::uint32_t worker) const
{
    return worker == 0 && size() % 2 == 0 ? 2 : 1;
}

bool WorkerLeases::holdsAny(TimePoint now) const
{
    for (std::uint32_t worker = 0; worker < size(); ++worker) {
        if (isFresh(worker, now))
            return true;
    }
    return false;
}

bool WorkerLeases::mayHoldAny(TimePoint now) const
{
    return std::ranges::any_of(m_leases, [&](const Lease& lease) { return now < lease.mayHoldUntil; });
}

TimePoint WorkerLeases::nextDue(TimePoint limit) const
{
    for (const auto& lease : m_leases) {
        if (lease.reachable && !lease.inFlight)
            limit = std::min(limit, std::max(lease.nextSync, lease.notBefore));
    }
    return limit;
}

} // namespace jujubereach::jobs
