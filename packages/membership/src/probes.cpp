// Open probes and relayed pings.
#include "probes.h"

namespace jujubereach::membership {

Probe* Probes::start(const HostId& target, TimePoint now)
{
    auto [place, isNew] = m_probes.try_emplace(target);
    if (!isNew)
        return nullptr;
    place->second.number = ++m_lastNumber;
    place->second.startedAt = now;
    place->second.sentAt = now;
    return &place->second;
}

bool Probes::isSuspect(const HostId& target) const
{
    auto probe = m_probes.find(target);
    return probe != m_probes.end() && probe->second.suspectedAt;
}

std::uint64_t Probes::addRelay(const HostId& origin, std::uint64_t originNumber, TimePoint now)
{
    m_relays[++m_lastNumber] = { origin, originNumber, now };
    return m_lastNumber;
}

std::optional<RelayedPing> Probes::takeRelay(std::uint64_t number)
{
    auto found = m_relays.find(number);
    if (found == m_relays.end())
        return std::nullopt;
    auto relay = found->second;
    m_relays.erase(found);
    return relay;
}

void Probes::dropRelays(TimePoint madeBefore)
{
    std::erase_if(m_relays, [&](const auto& item) { return item.second.madeAt < madeBefore; });
}

} // namespace jujubereach::membership
