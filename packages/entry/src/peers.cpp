#include "peers.h"

#include <boost/json.hpp>

#include <algorithm>

namespace jujubereach::entry {

using fleet::StoreAnswer;
using fleet::StoreFate;
using fleet::StoreLease;

namespace {

    constexpr auto peerPrefix = "host/";
    constexpr Duration peerLease { 12'000 }; // Four renewals; how long a host that left stays listed at most.
    constexpr Duration renewInterval { 3000 };
    constexpr Duration listInterval { 5000 }; // A list of 150 hosts costs each host 3 KB/s of traffic.
    constexpr Duration retryInterval { 1000 };
    constexpr Duration callTimeout { 1500 };

    std::string encodePeer(const std::string& address, const ZoneId& zone)
    {
        return boost::json::serialize(boost::json::object { { "address", address }, { "zone", zone.str() } });
    }

} // namespace

Peers::Peers(const HostHooks& host, const HostSettings& settings)
    : m_host(host)
    , m_name(settings.name)
    , m_address(settings.forwardAddress)
    , m_zone(settings.zone)
    , m_region(settings.region)
    , m_zones(settings.zones)
{
}

void Peers::after(Duration delay, std::function<void(Peers&)> step)
{
    m_host.after(delay, [self = shared_from_this(), step = std::move(step)] {
        if (!self->m_stopped)
            step(*self);
    });
}

void Peers::start(Duration jitter)
{
    after(jitter, [](Peers& self) { self.announce(); });
    after(jitter + retryInterval, [](Peers& self) { self.readList(); });
}

void Peers::announce()
{
    m_host.store.grantLease(peerLease, callTimeout, [self = shared_from_this()](const StoreAnswer& granted) {
        if (self->m_stopped)
            return;
        if (granted.fate != StoreFate::Done)
            return self->after(retryInterval, [](Peers& peers) { peers.announce(); });
        fleet::StoreWrite write;
        write.puts.push_back(
            { peerPrefix + self->m_name, encodePeer(self->m_address, self->m_zone), granted.lease });
        self->m_host.store.write(
            std::move(write), callTimeout, [self, lease = granted.lease](const StoreAnswer& written) {
                if (self->m_stopped)
                    return;
                if (written.fate != StoreFate::Done)
                    return self->after(retryInterval, [](Peers& peers) { peers.announce(); });
                self->renew(lease);
            });
    });
}

void Peers::renew(StoreLease lease)
{
    after(renewInterval, [lease](Peers& self) {
        self.m_host.store.renewLease(
            lease, callTimeout, [peers = self.shared_from_this(), lease](const StoreAnswer& answer) {
                if (peers->m_stopped)
                    return;
                answer.fate == StoreFate::Missing ? peers->announce() : peers->renew(lease);
            });
    });
}

void Peers::readList()
{
    m_items.clear();
    readPage({});
}

void Peers::readPage(const std::string& from)
{
    m_host.store.range(peerPrefix, from, callTimeout, [self = shared_from_this()](StoreAnswer answer) {
        if (self->m_stopped)
            return;
        if (answer.fate != StoreFate::Done)
            return self->after(retryInterval, [](Peers& peers) { peers.readList(); });
        std::move(answer.items.begin(), answer.items.end(), std::back_inserter(self->m_items));
        if (answer.more && !self->m_items.empty())
            return self->readPage(self->m_items.back().key);
        self->updatePeers(self->m_items);
        self->after(listInterval, [](Peers& peers) { peers.readList(); });
    });
}

void Peers::updatePeers(const std::vector<fleet::StoreItem>& items)
{
    std::vector<Peer> peers;
    for (const auto& item : items) {
        if (item.key == peerPrefix + m_name)
            continue;
        boost::system::error_code failed;
        const auto parsed = boost::json::parse(item.value, failed);
        const auto* row = failed ? nullptr : parsed.if_object();
        const auto* address = row ? row->if_contains("address") : nullptr;
        const auto* zone = row ? row->if_contains("zone") : nullptr;
        if (!address || !address->is_string() || !zone || !zone->is_string()) {
            m_host.log("record-unreadable", { { "key", item.key } });
            continue;
        }
        Peer peer { std::string(address->get_string()), 2 };
        const ZoneId zoneId(std::string(zone->get_string()));
        const auto region = m_zones.find(zoneId);
        if (zoneId == m_zone)
            peer.distance = 0;
        else if (region != m_zones.end() && region->second == m_region)
            peer.distance = 1;
        peers.push_back(std::move(peer));
    }
    std::stable_sort(
        peers.begin(), peers.end(), [](const Peer& a, const Peer& b) { return a.distance < b.distance; });
    m_peers = std::move(peers);
}

std::vector<std::string> Peers::candidates(std::size_t maxCount)
{
    std::vector<std::string> out;
    const auto add = [&](const std::string& address) {
        if (out.size() < maxCount && std::find(out.begin(), out.end(), address) == out.end())
            out.push_back(address);
    };
    if (std::any_of(m_peers.begin(), m_peers.end(),
            [&](const Peer& peer) { return peer.address == m_lastSuccessful; }))
        add(m_lastSuccessful);
    // A fault may have cut off the whole availability zone, so candidates include one host at each distance.
    ++m_rotation;
    for (int round = 0; round < 2; ++round) {
        for (auto begin = m_peers.begin(); begin != m_peers.end();) {
            const auto end = std::find_if(
                begin, m_peers.end(), [&](const Peer& peer) { return peer.distance != begin->distance; });
            const auto size = static_cast<std::size_t>(end - begin);
            add((begin + static_cast<std::ptrdiff_t>((m_rotation + static_cast<std::size_t>(round)) % size))
                    ->address);
            begin = end;
        }
    }
    return out;
}

void Peers::recordFailure(const std::string& address)
{
    if (m_lastSuccessful == address)
        m_lastSuccessful.clear();
}

} // namespace jujubereach::entry
