// Delegates of a zone and the digests between zones.
#include "jujubereach/membership/delegates.h"

#include "jujubereach/membership/ownership.h"

#include <algorithm>
#include <set>

namespace jujubereach::membership {

std::vector<HostId> chooseDelegates(const std::vector<HostId>& live, const ZoneId& zone)
{
    auto ranked = rankHosts(live, "delegate/" + zone.str());
    ranked.resize(std::min(ranked.size(), delegatesPerZone));
    return ranked;
}

bool isDelegate(const std::vector<HostId>& live, const ZoneId& zone, const HostId& self)
{
    auto delegates = chooseDelegates(live, zone);
    return std::find(delegates.begin(), delegates.end(), self) != delegates.end();
}

ZoneLinks::ZoneLinks(ZoneId zone, ZoneLinksSettings settings, std::uint64_t seed)
    : m_zone(std::move(zone))
    , m_settings(settings)
    , m_random(seed)
{
}

void ZoneLinks::setContacts(const ZoneId& zone, std::vector<std::string> addresses)
{
    if (zone == m_zone)
        return;
    m_contacts[zone] = std::move(addresses);
    m_turn.try_emplace(zone, m_random.next());
}

std::vector<std::string> ZoneLinks::addressesOf(const ZoneId& zone) const
{
    std::vector<std::string> addresses;
    if (auto record = m_zones.find(zone); record != m_zones.end())
        for (const auto& delegate : record->second.digest.delegates)
            addresses.push_back(delegate.address);
    // Delegates that are gone are found again through the other contacts.
    if (auto contacts = m_contacts.find(zone);
        contacts != m_contacts.end() && (addresses.empty() || m_turn.at(zone) % 3 == 0))
        return contacts->second;
    return addresses;
}

std::vector<DigestOutgoing> ZoneLinks::tick(const ZoneDigest& own, bool delegate, TimePoint now)
{
    std::vector<DigestOutgoing> outgoing;
    if (!delegate)
        return outgoing;
    for (auto& [zone, turn] : m_turn) {
        auto sent = m_sentAt.find(zone);
        if (sent != m_sentAt.end() && now - sent->second < m_settings.period)
            continue;
        m_sentAt[zone] = now;
        auto addresses = addressesOf(zone);
        ++turn;
        if (!addresses.empty())
            outgoing.push_back({ addresses[turn % addresses.size()], own });
    }
    return outgoing;
}

bool ZoneLinks::onDigest(const ZoneDigest& digest, TimePoint now)
{
    if (digest.zone == m_zone || digest.zone.empty())
        return false;
    m_zones[digest.zone] = { digest, now };
    m_turn.try_emplace(digest.zone, m_random.next());
    return !digest.answer;
}

bool ZoneLinks::cutOff(const ZoneId& zone, TimePoint now) const
{
    auto record = m_zones.find(zone);
    return record == m_zones.end() || now - record->second.heardAt > m_settings.lost;
}

} // namespace jujubereach::membership
