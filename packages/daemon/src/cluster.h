// Which entry hosts, workers and upstreams there are: membership over the wire and the platform's list.
#pragma once

#include "context.h"
#include "jujubereach/membership/delegates.h"
#include "jujubereach/membership/members.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubereach::daemon {

struct ClusterHooks {
    std::function<void()> onView; ///< The live hosts of the zone changed.
    std::function<void(const std::vector<platform::Machine>&)> onMachines; ///< A fresh list of the zone.
    /// A peer, of this zone or a delegate of another, has this manifest in force.
    std::function<void(const HostId& peer, std::uint64_t counter)> onPeerManifest;
    std::function<void()> onSuperseded; ///< A later start of this host is known.
};

/// One known entry host, for operators.
struct HostRow {
    HostId host;
    ZoneId zone;
    std::string state;
    std::string innerAddress;
    std::string httpAddress;
    std::uint64_t manifestCounter = 0;
};

class Cluster {
public:
    Cluster(Context& ctx, ClusterHooks hooks);

    void start();
    void onGossip(const wire::GossipT& gossip);
    void onDigest(const wire::ZoneDigestT& digest);
    void setManifestCounter(std::uint64_t counter);

    /// The member with this inner address; none when no one has it.
    std::optional<HostId> memberAt(const std::string& address) const;
    std::vector<HostId> live() const { return m_members.live(); }
    /// Of a member that is not dead.
    std::optional<Incarnation> incarnationOf(const HostId& host) const;
    /// Known to have ended: removed from the zone, or started anew since.
    bool isGone(const HostId& host, Incarnation incarnation) const;
    std::optional<std::string> addressOf(const HostId& host) const;
    /// Inner addresses of the other live hosts of the zone.
    std::vector<std::string> peerAddresses() const;
    bool isDelegate() const;
    /// One delegate of each other zone that was heard lately.
    std::vector<membership::DelegateContact> otherZoneContacts() const;
    /// Inner addresses of every other known entry host, of all zones.
    std::vector<std::string> allAddresses() const;
    std::optional<std::string> addressInZone(const ZoneId& zone) const;
    /// Inner address of any entry host that the platform has listed, this zone's or another's.
    std::optional<std::string> listedAddressOf(const HostId& host) const;
    bool joined() const { return m_members.joined(m_ctx.clock()); }
    std::vector<HostRow> rows() const;

    void leave();
    void depart();

private:
    void tick();
    void send(const std::vector<membership::Outgoing>& messages);
    void reportChanges();
    void sendDigests();
    membership::ZoneDigest ownDigest() const;
    void pollHostList();
    void pollAllZones();
    void onZoneList(const std::vector<platform::Machine>& machines);
    void onAllZones(const std::vector<platform::Machine>& machines);
    void heartbeat();

    Context& m_ctx;
    const ClusterHooks m_hooks;
    membership::Members m_members;
    membership::ZoneLinks m_links;
    std::map<HostId, std::uint64_t> m_manifestCounters; ///< As peers last told.
    std::map<HostId, platform::Machine> m_listed; ///< Entry hosts of all zones.
    std::uint64_t m_manifestCounter = 0;
    std::uint64_t m_seenView = 0;
    bool m_seenJoined = false;
    bool m_leaving = false;
};

} // namespace jujubereach::daemon
