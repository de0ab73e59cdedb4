// The few hosts of a zone that speak with other zones, and what they say: digests first.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/random.h"
#include "jujubereach/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jujubereach::membership {

constexpr std::size_t delegatesPerZone = 2;

/// The zone's delegates by rendezvous over its live hosts. Hosts with different views may name more than two;
/// everything a delegate does is safe when others do it as well.
std::vector<HostId> chooseDelegates(const std::vector<HostId>& live, const ZoneId& zone);

bool isDelegate(const std::vector<HostId>& live, const ZoneId& zone, const HostId& self);

/// Where a delegate of another zone is reached.
struct DelegateContact {
    HostId id;
    std::string address;
};

/// What one zone tells another.
struct ZoneDigest {
    ZoneId zone;
    std::uint64_t manifestCounter
        = 0; ///< In force at the sender; a lower receiver fetches it from the sender.
    std::uint32_t members = 0; ///< Live hosts.
    std::uint64_t view = 0; ///< Hash of the live hosts.
    std::vector<DelegateContact> delegates; ///< Of the sender's zone.
    bool answer = false; ///< Answers a digest; is not answered itself.
};

struct DigestOutgoing {
    std::string address;
    ZoneDigest digest;
};

/// Another zone as this host last heard of it.
struct ZoneRecord {
    ZoneDigest digest;
    TimePoint heardAt;
};

struct ZoneLinksSettings {
    Duration period { 2000 }; ///< Between two digests to each other zone.
    Duration lost { 10'000 }; ///< Without a digest, after which a zone counts as cut off.
};

/// Decides to whom a delegate sends its digest: one contact of every other zone per period, in turn.
class ZoneLinks {
public:
    ZoneLinks(ZoneId zone, ZoneLinksSettings settings, std::uint64_t seed);

    /// Entry hosts of another zone from the settings or the platform's list; any of them answers a digest
    /// with the digest of its zone, which names the delegates.
    void setContacts(const ZoneId& zone, std::vector<std::string> addresses);

    /// `own` is this host's digest; nothing is sent unless it is a delegate.
    std::vector<DigestOutgoing> tick(const ZoneDigest& own, bool delegate, TimePoint now);
    /// Returns whether the digest should be answered with the own one.
    bool onDigest(const ZoneDigest& digest, TimePoint now);

    bool cutOff(const ZoneId& zone, TimePoint now) const;
    const std::map<ZoneId, ZoneRecord>& zones() const { return m_zones; }

private:
    std::vector<std::string> addressesOf(const ZoneId& zone) const;

    ZoneId m_zone;
    ZoneLinksSettings m_settings;
    Random m_random;
    std::map<ZoneId, std::vector<std::string>> m_contacts;
    std::map<ZoneId, ZoneRecord> m_zones;
    std::map<ZoneId, TimePoint> m_sentAt;
    std::map<ZoneId, std::size_t> m_turn;
};

} // namespace jujubereach::membership
