// One upstream as this host sees it: health from its answers, and how many requests it takes at a time.
#pragma once

#include "jujubereach/dispatch/upstreams.h"

#include <set>

namespace jujubereach::dispatch {

class UpstreamSet::Upstream {
public:
    explicit Upstream(UpstreamInfo info);

    const UpstreamInfo& info() const { return m_info; }
    void setInfo(const UpstreamInfo& info);
    void setGone() { m_gone = true; }
    bool isGone() const { return m_gone; }

    UpstreamHealth health(TimePoint now) const;
    bool takesWork(TimePoint now) const;
    bool probeDue(bool repeatable, TimePoint now) const;
    std::uint32_t inUse() const { return static_cast<std::uint32_t>(m_starts.size()); }
    /// Requests that it takes at the same time from this host.
    std::uint32_t limit() const { return static_cast<std::uint32_t>(m_limit); }
    double slowness() const { return m_slowness; }
    /// Lower is better. Slowness and failures fade with time, so that one which recovered is tried again.
    double score(TimePoint now) const;

    void started(TimePoint now, Duration expected, bool probe);
    /// `ratio`: time of the answer over the zone's mean for its class; only of whole answers.
    void finished(const platform::UpstreamAnswer& answer, TimePoint since, bool probe, double ratio,
        TimePoint now, Random& random);

private:
    double trustAt(TimePoint now) const;
    void fade(TimePoint now);
    void succeeded(double ratio, TimePoint now);
    void failed(bool unreachable, TimePoint now, Random& random);
    void setAside(TimePoint now, Random& random);
    void adapt(TimePoint now);

    UpstreamInfo m_info;
    bool m_gone = false; // not in the platform's list
    std::multiset<TimePoint> m_starts; // of the requests in progress
    Duration m_expected { 0 }; // of the request started last
    TimePoint m_lastAnswer;
    TimePoint m_lastEnd; // of any attempt; m_failures and m_slowness are as of then
    TimePoint m_saidLeaving; // its own word holds for a while, then the list's does again
    TimePoint m_pausedUntil; // after it said that it is busy
    double m_limit; // 1 to the slots
    double m_slowness = 1; // moving average of ratios
    double m_failures = 0; // moving average, 0 to 1
    TimePoint m_nextDecrease;
    std::uint32_t m_failureStreak = 0;
    std::uint32_t m_unreachableStreak = 0;
    bool m_setAside = false;
    bool m_probing = false; // a probe is in progress
    Duration m_probeBackoff { 0 };
    TimePoint m_nextProbe;
};

} // namespace jujubereach::dispatch
