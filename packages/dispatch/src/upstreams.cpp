#include "jujubereach/dispatch/upstreams.h"

#include "upstream.h"

#include <algorithm>

namespace jujubereach::dispatch {

namespace {

    constexpr double initialExpectedMs = 50;
    constexpr double expectedGain = 0.02;
    constexpr int doubtFactor = 1; // of the usual time, for which a request without answer keeps its credit
    constexpr double longestRatio
        = 10; // of one answer, so that a slow upstream does not move the zone's mean

    bool contains(const std::vector<UpstreamId>& list, const UpstreamId& id)
    {
        return std::find(list.begin(), list.end(), id) != list.end();
    }

} // namespace

UpstreamSet::UpstreamSet(std::uint64_t seed)
    : m_random(seed)
{
}

UpstreamSet::~UpstreamSet() = default;
UpstreamSet::UpstreamSet(UpstreamSet&&) noexcept = default;
UpstreamSet& UpstreamSet::operator=(UpstreamSet&&) noexcept = default;

void UpstreamSet::setUpstreams(const std::vector<UpstreamInfo>& list, [[maybe_unused]] TimePoint now)
{
    for (auto& [id, upstream] : m_upstreams)
        upstream->setGone();
    for (const UpstreamInfo& info : list) {
        auto [place, isNew] = m_upstreams.try_emplace(info.id);
        if (isNew)
            place->second = std::make_unique<Upstream>(info);
        else
            place->second->setInfo(info);
        m_credits.setSlots(info.id, info.slots);
    }
    std::erase_if(m_upstreams, [this](const auto& item) {
        bool ended = item.second->isGone() && item.second->inUse() == 0;
        if (ended)
            m_credits.remove(item.first);
        return ended;
    });
}

void UpstreamSet::setPeers(std::vector<HostId> hosts, HostId self, Incarnation incarnation)
{
    m_credits.setPeers(std::move(hosts), std::move(self), incarnation);
}

void UpstreamSet::peerLost(const HostId& host, TimePoint now)
{
    m_credits.peerLost(host, now);
}

bool UpstreamSet::canTake(const Upstream& upstream, TimePoint now) const
{
    return upstream.takesWork(now) && upstream.inUse() < upstream.limit()
        && m_credits.idle(upstream.info().id, now) > 0;
}

std::uint32_t UpstreamSet::usableSlots(TimePoint now) const
{
    std::uint32_t sum = 0;
    for (const auto& [id, upstream] : m_upstreams) {
        if (upstream->health(now) == UpstreamHealth::Working)
            sum += std::min(upstream->limit(), m_credits.usable(id, now));
        else if (upstream->probeDue(true, now))
            ++sum; // or no request would ever come to be the probe
    }
    return sum;
}

std::uint32_t UpstreamSet::freeSlots(TimePoint now) const
{
    std::uint32_t sum = 0;
    for (const auto& [id, upstream] : m_upstreams) {
        if (canTake(*upstream, now))
            sum += std::min(upstream->limit() - upstream->inUse(), m_credits.idle(id, now));
        else if (upstream->probeDue(true, now))
            ++sum;
    }
    return sum;
}

bool UpstreamSet::hasFree(TimePoint now) const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(),
        [&](const auto& item) { return canTake(*item.second, now) || item.second->probeDue(true, now); });
}

void UpstreamSet::giveBackDoubtful(TimePoint now)
{
    std::erase_if(m_doubtful, [&](const Doubtful& doubtful) {
        if (now < doubtful.until)
            return false;
        m_credits.giveBack(doubtful.upstream, doubtful.source);
        return true;
    });
}

std::optional<Lease> UpstreamSet::pick(const PickFor& request, TimePoint now)
{
    giveBackDoubtful(now);
    if (Upstream* upstream = dueProbe(request, now))
        return take(*upstream, request, true, now);
    if (Upstream* upstream = best(request, now))
        return take(*upstream, request, false, now);
    return std::nullopt;
}

UpstreamSet::Upstream* UpstreamSet::dueProbe(const PickFor& request, TimePoint now)
{
    for (auto& [id, upstream] : m_upstreams) {
        bool due = upstream->probeDue(request.repeatable, now) && m_credits.idle(id, now) > 0;
        if (due && !contains(request.excluded, id))
            return upstream.get();
    }
    return nullptr;
}

// The least loaded by its own limit and speed; credits are this host's alone, so that hosts that see the
// same do not all run to one upstream. Starts at a random place so that ties are spread.
UpstreamSet::Upstream* UpstreamSet::best(const PickFor& request, TimePoint now)
{
    if (m_upstreams.empty())
        return nullptr;
    auto place = m_upstreams.begin();
    std::advance(place, static_cast<std::ptrdiff_t>(m_random.below(m_upstreams.size())));
    Upstream* found = nullptr;
    std::pair<bool, double> foundRank; // tried before, score
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
        Upstream& upstream = *place->second;
        auto rank = std::pair(contains(request.excluded, upstream.info().id), upstream.score(now));
        if (canTake(upstream, now) && (!found || rank < foundRank)) {
            found = &upstream;
            foundRank = rank;
        }
        if (++place == m_upstreams.end())
            place = m_upstreams.begin();
    }
    return found;
}

Lease UpstreamSet::take(Upstream& upstream, const PickFor& request, bool probe, TimePoint now)
{
    const UpstreamInfo& info = upstream.info();
    Lease lease { ++m_lastLease, info.id, info.address };
    m_taken[lease.number] = { info.id, request.workClass, m_credits.take(info.id, now), now, probe };
    upstream.started(now, expectedOf(request.workClass), probe);
    return lease;
}

void UpstreamSet::finished(const Lease& lease, const platform::UpstreamAnswer& answer, TimePoint now)
{
    auto found = m_taken.find(lease.number);
    if (found == m_taken.end())
        return;
    Taken taken = std::move(found->second);
    m_taken.erase(found);
    if (answer.status == platform::UpstreamStatus::Unknown)
        m_doubtful.push_back(
            { taken.upstream, taken.source, now + doubtFactor * expectedOf(taken.workClass) });
    else
        m_credits.giveBack(taken.upstream, taken.source);
    auto upstream = m_upstreams.find(taken.upstream);
    if (upstream == m_upstreams.end())
        return;
    bool whole = answer.status == platform::UpstreamStatus::Answered && answer.httpStatus < 500;
    double ratio = whole ? ratioOf(taken.workClass, now - taken.since) : 1;
    upstream->second->finished(answer, taken.since, taken.probe, ratio, now, m_random);
}

double UpstreamSet::ratioOf(const ClassId& workClass, Duration took)
{
    double milliseconds = std::max(1.0, static_cast<double>(took.count()));
    auto [place, isNew] = m_expected.try_emplace(workClass, milliseconds);
    double ratio = std::min(longestRatio, milliseconds / place->second);
    place->second += expectedGain * (std::min(ratio, 3.0) - 1) * place->second;
    return ratio;
}

Duration UpstreamSet::expectedOf(const ClassId& workClass) const
{
    auto found = m_expected.find(workClass);
    double expected = found == m_expected.end() ? initialExpectedMs : found->second;
    return Duration(static_cast<Duration::rep>(expected));
}

CreditReport UpstreamSet::report(std::uint32_t wanted, TimePoint now)
{
    giveBackDoubtful(now);
    return m_credits.report(wanted, now);
}

std::optional<CreditGrant> UpstreamSet::onReport(const CreditReport& report, TimePoint now)
{
    std::vector<UpstreamId> healthy;
    for (const auto& [id, upstream] : m_upstreams) {
        if (upstream->takesWork(now))
            healthy.push_back(id);
    }
    return m_credits.onReport(report, healthy, now);
}

void UpstreamSet::onGrant(const CreditGrant& grant, TimePoint now)
{
    m_credits.onGrant(grant, now);
}

std::vector<UpstreamView> UpstreamSet::view(TimePoint now) const
{
    std::vector<UpstreamView> views;
    for (const auto& [id, upstream] : m_upstreams) {
        std::uint32_t usable = std::min(upstream->limit(), m_credits.usable(id, now));
        views.push_back({ id, upstream->health(now), upstream->inUse(), usable, upstream->slowness() });
    }
    return views;
}

} // namespace jujubereach::dispatch
