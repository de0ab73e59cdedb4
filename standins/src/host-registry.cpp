// The platform's list of machines.
#include "host-registry.h"

namespace jujubereach::standins {

namespace {

    bool isSame(const platform::Machine& a, const platform::Machine& b)
    {
        return a.state == b.state && a.zone == b.zone && a.address == b.address
            && a.httpAddress == b.httpAddress && a.slots == b.slots;
    }

} // namespace

HostRegistry::HostRegistry(Duration lag, Duration timeToLive)
    : m_lag(lag)
    , m_timeToLive(timeToLive)
{
}

void HostRegistry::report(const platform::Machine& machine, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    auto& entry = m_entries[{ machine.kind, machine.id }];
    if (now - entry.lastReport > m_timeToLive)
        entry.versions.clear();
    entry.lastReport = now;
    if (entry.versions.empty() || !isSame(entry.versions.back().second, machine))
        entry.versions.emplace_back(now, machine);
    const auto seen = now - m_lag;
    while (entry.versions.size() > 1 && entry.versions[1].first <= seen)
        entry.versions.pop_front();
}

std::vector<platform::Machine> HostRegistry::list(const ZoneId& zone, TimePoint now) const
{
    const auto seen = now - m_lag;
    std::vector<platform::Machine> machines;
    const std::scoped_lock lock(m_mutex);
    for (const auto& [key, entry] : m_entries) {
        const platform::Machine* shown = nullptr;
        for (const auto& [time, machine] : entry.versions) {
            if (time <= seen)
                shown = &machine;
        }
        const bool live = entry.lastReport + m_timeToLive > seen;
        if (shown && live && (zone.empty() || shown->zone == zone))
            machines.push_back(*shown);
    }
    return machines;
}

} // namespace jujubereach::standins
