#include "upstream.h"

#include <algorithm>
#include <cmath>

namespace jujubereach::dispatch {

namespace {

    constexpr double gain = 0.1; // of the moving averages
    constexpr double slowAbove = 1.8;
    constexpr double slowDecrease = 0.85;
    constexpr double slownessNoise = 0.2; // below this much above 1, upstreams count as equal
    constexpr double failuresNoise = 0.05;
    constexpr double failureWeight = 4; // in the pick
    constexpr std::chrono::duration<double> halfTrust { 3 }; // what was seen counts half after this time
    constexpr Duration decreasePeriod { 200 };
    constexpr Duration busyPause { 20 };
    constexpr Duration leavingHold { 30'000 };
    constexpr Duration suspectMinimum { 500 };
    constexpr int suspectFactor = 5; // of the usual time
    constexpr std::uint32_t failuresToSetAside = 5;
    constexpr std::uint32_t unreachableToSetAside = 2;
    constexpr Duration firstProbe { 250 };
    constexpr Duration lastProbe { 2000 };

} // namespace

const char* nameOf(UpstreamHealth health)
{
    switch (health) {
    case UpstreamHealth::Working:
        return "working";
    case UpstreamHealth::Suspect:
        return "suspect";
    case UpstreamHealth::SetAside:
        return "set_aside";
    case UpstreamHealth::Leaving:
        return "leaving";
    }
    return "unknown";
}

UpstreamSet::Upstream::Upstream(UpstreamInfo info)
    : m_info(std::move(info))
    , m_limit(std::max(1U, m_info.slots))
{
}

void UpstreamSet::Upstream::setInfo(const UpstreamInfo& info)
{
    m_gone = false;
    const bool isBack = m_info.leaving && !info.leaving;
    if (info.address != m_info.address || isBack)
        m_saidLeaving = TimePoint(); // another process under the same id
    if (info.slots > m_info.slots)
        m_limit += info.slots - m_info.slots;
    m_info = info;
    m_limit = std::clamp(m_limit, 1.0, std::max(1.0, static_cast<double>(info.slots)));
}

UpstreamHealth UpstreamSet::Upstream::health(TimePoint now) const
{
    bool saidSo = m_saidLeaving != TimePoint() && now - m_saidLeaving < leavingHold;
    if (m_gone || m_info.leaving || saidSo)
        return UpstreamHealth::Leaving;
    if (m_setAside)
        return UpstreamHealth::SetAside;
    // Silent: nothing came back since its oldest request started, long ago.
    if (!m_starts.empty() && m_lastAnswer <= *m_starts.begin()) {
        auto patience = std::max(suspectMinimum, suspectFactor * m_expected);
        if (now - *m_starts.begin() > patience)
            return UpstreamHealth::Suspect;
    }
    return UpstreamHealth::Working;
}

bool UpstreamSet::Upstream::takesWork(TimePoint now) const
{
    return now >= m_pausedUntil && health(now) == UpstreamHealth::Working;
}

bool UpstreamSet::Upstream::probeDue(bool repeatable, TimePoint now) const
{
    // A request that is provably not sent does no harm, so an unreachable one is probed with any.
    bool harmless = repeatable || m_unreachableStreak > 0;
    return harmless && !m_probing && now >= m_nextProbe && health(now) == UpstreamHealth::SetAside;
}

// How much what was seen of it still counts, 0 to 1.
double UpstreamSet::Upstream::trustAt(TimePoint now) const
{
    return std::exp2(-std::chrono::duration<double>(now - m_lastEnd) / halfTrust);
}

void UpstreamSet::Upstream::fade(TimePoint now)
{
    m_failures *= trustAt(now);
    m_slowness = 1 + (m_slowness - 1) * trustAt(now);
    m_lastEnd = now;
}

double UpstreamSet::Upstream::score(TimePoint now) const
{
    double trust = trustAt(now);
    double slow = 1 + std::max(0.0, m_slowness - 1 - slownessNoise) * trust;
    double failures = m_failures * trust < failuresNoise ? 0 : m_failures * trust;
    return slow * slow * (1 + failureWeight * failures) * (inUse() + 1) / std::max(1U, m_info.slots);
}

void UpstreamSet::Upstream::started(TimePoint now, Duration expected, bool probe)
{
    m_starts.insert(now);
    m_expected = expected;
    if (probe)
        m_probing = true;
}

void UpstreamSet::Upstream::finished(const platform::UpstreamAnswer& answer, TimePoint since, bool probe,
    double ratio, TimePoint now, Random& random)
{
    auto start = m_starts.find(since);
    if (start != m_starts.end())
        m_starts.erase(start);
    fade(now);
    if (probe)
        m_probing = false;
    switch (answer.status) {
    case platform::UpstreamStatus::Answered:
        m_lastAnswer = now;
        answer.httpStatus >= 500 ? failed(false, now, random) : succeeded(ratio, now);
        return;
    case platform::UpstreamStatus::Busy:
        m_lastAnswer = now;
        m_limit = std::max({ 1.0, m_limit - 1, std::min(m_limit, static_cast<double>(inUse())) });
        m_pausedUntil = now + busyPause;
        if (m_setAside)
            setAside(now, random);
        return;
    case platform::UpstreamStatus::Leaving:
        m_saidLeaving = now;
        return;
    case platform::UpstreamStatus::NotSent:
        failed(true, now, random);
        return;
    case platform::UpstreamStatus::Unknown:
        failed(false, now, random);
        return;
    }
}

void UpstreamSet::Upstream::succeeded(double ratio, TimePoint now)
{
    m_failureStreak = 0;
    m_unreachableStreak = 0;
    m_failures -= gain * m_failures;
    m_slowness += gain * (ratio - m_slowness);
    if (m_setAside) {
        m_setAside = false;
        m_probeBackoff = Duration(0);
        m_limit = 1;
    }
    adapt(now);
}

// Adds one request for each round of good answers, and takes off a part when answers become slow.
void UpstreamSet::Upstream::adapt(TimePoint now)
{
    if (m_slowness <= slowAbove) {
        m_limit = std::min(static_cast<double>(std::max(1U, m_info.slots)), m_limit + 1 / m_limit);
        return;
    }
    if (now < m_nextDecrease)
        return;
    m_limit = std::max(1.0, m_limit * slowDecrease);
    m_nextDecrease = now + decreasePeriod;
}

void UpstreamSet::Upstream::failed(bool unreachable, TimePoint now, Random& random)
{
    m_failures += gain * (1 - m_failures);
    if (unreachable)
        ++m_unreachableStreak;
    else {
        ++m_failureStreak;
        m_unreachableStreak = 0;
    }
    if (m_setAside || m_failureStreak >= failuresToSetAside || m_unreachableStreak >= unreachableToSetAside)
        setAside(now, random);
}

void UpstreamSet::Upstream::setAside(TimePoint now, Random& random)
{
    m_setAside = true;
    m_probeBackoff = std::clamp(2 * m_probeBackoff, firstProbe, lastProbe);
    auto jitter
        = static_cast<Duration::rep>(random.below(static_cast<std::uint64_t>(m_probeBackoff.count())));
    m_nextProbe = now + m_probeBackoff / 2 + Duration(jitter);
}

} // namespace jujubereach::dispatch
