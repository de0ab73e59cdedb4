#include "jujubereach/journal/call-budget.h"

#include <algorithm>

namespace jujubereach::journal {

namespace {

    constexpr double usableShare = 0.95; ///< Share of the service's limits that all hosts together use.
    constexpr double burstShare = 0.25; ///< Capacity of a bucket, as a share of one second's calls.
    constexpr double reservePerPriority = 0.15; ///< Share of a bucket reserved for each higher priority.
    constexpr double minRate = 0.05; ///< Calls per second of a host, regardless of the number of hosts.

} // namespace

CallBudget::CallBudget(CallLimits limits, std::uint32_t hosts, TimePoint now)
    : m_limits(limits)
{
    for (auto& bucket : m_buckets)
        bucket.refilledAt = now;
    setHosts(hosts, now);
    for (auto& bucket : m_buckets)
        bucket.tokens = bucket.capacity;
}

void CallBudget::setHosts(std::uint32_t hosts, TimePoint now)
{
    for (auto& bucket : m_buckets)
        refill(bucket, now);
    setShare(bucketOf(CallKind::Read), m_limits.readsPerSecond, std::max(hosts, 1U));
    setShare(bucketOf(CallKind::Write), m_limits.writesPerSecond, std::max(hosts, 1U));
}

// In any second a host makes at most `capacity + rate` calls, so all hosts together stay within the usable
// share.
void CallBudget::setShare(Bucket& bucket, double limit, std::uint32_t hosts)
{
    double own = limit * usableShare / hosts;
    bucket.capacity = std::max(1.0, own * burstShare);
    bucket.rate = std::max(own - bucket.capacity, minRate);
    bucket.tokens = std::min(bucket.tokens, bucket.capacity);
}

void CallBudget::refill(Bucket& bucket, TimePoint now)
{
    double seconds = std::chrono::duration<double>(now - bucket.refilledAt).count();
    bucket.tokens = std::min(bucket.capacity, bucket.tokens + std::max(seconds, 0.0) * bucket.rate);
    bucket.refilledAt = std::max(bucket.refilledAt, now);
}

bool CallBudget::take(CallKind kind, CallPriority priority, TimePoint now)
{
    auto& bucket = bucketOf(kind);
    refill(bucket, now);
    double reserve = (bucket.capacity - 1) * reservePerPriority * static_cast<double>(priority);
    if (bucket.tokens < 1 + reserve)
        return false;
    bucket.tokens -= 1;
    return true;
}

double CallBudget::rate(CallKind kind) const
{
    return m_buckets[static_cast<std::size_t>(kind)].rate;
}

} // namespace jujubereach::journal
