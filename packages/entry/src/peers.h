// The other entry hosts, as registered in the store. They may decide calls that this host cannot.
#pragma once

#include "jujubereach/entry/entry-host.h"

namespace jujubereach::entry {

/// Registers this host under a lease and reads the list of all hosts periodically. The last list stays in use
/// while the store is unreachable; a call to a host that has left costs one failed attempt.
class Peers : public std::enable_shared_from_this<Peers> {
public:
    Peers(const HostHooks& host, const HostSettings& settings);
    /// `jitter` spreads the store calls of hosts that start at the same time.
    void start(Duration jitter);
    void stop() { m_stopped = true; }

    /// Addresses in the order to try: the last successful one, then by distance, then round-robin.
    std::vector<std::string> candidates(std::size_t maxCount);
    void recordSuccess(const std::string& address) { m_lastSuccessful = address; }
    void recordFailure(const std::string& address);

private:
    struct Peer {
        std::string address;
        int distance = 0; ///< 0 in the same availability zone, 1 in the same region, 2 elsewhere.
    };

    void announce();
    void renew(fleet::StoreLease lease);
    void readList();
    void readPage(const std::string& after);
    void updatePeers(const std::vector<fleet::StoreItem>& items);
    void after(Duration delay, std::function<void(Peers&)> step);

    const HostHooks& m_host;
    const std::string m_name;
    const std::string m_address;
    const ZoneId m_zone;
    const RegionId m_region;
    const std::map<ZoneId, RegionId> m_zones;
    std::vector<Peer> m_peers; ///< Sorted by distance.
    std::vector<fleet::StoreItem> m_items; ///< Pages of the list read in progress.
    std::string m_lastSuccessful;
    std::size_t m_rotation = 0;
    bool m_stopped = false;
};

} // namespace jujubereach::entry
