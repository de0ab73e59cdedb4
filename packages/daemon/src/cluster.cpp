#include "cluster.h"

#include "cluster-messages.h"

#include <glog/logging.h>

#include <algorithm>

namespace jujubereach::daemon {

namespace {

    constexpr Duration tickInterval { 50 };
    constexpr Duration digestInterval { 500 };
    constexpr Duration zoneListInterval { 1000 };
    constexpr Duration allZonesInterval { 5000 };
    constexpr Duration heartbeatInterval { 1000 };

    membership::MemberUpdate selfOf(const Context& ctx)
    {
        membership::MemberUpdate self;
        self.id = ctx.self.host;
        self.incarnation = ctx.self.incarnation;
        self.address = ctx.settings.innerAddress;
        self.httpAddress = ctx.settings.httpAddress;
        return self;
    }

} // namespace

Cluster::Cluster(Context& ctx, ClusterHooks hooks)
    : m_ctx(ctx)
    , m_hooks(std::move(hooks))
    , m_members(ctx.settings.zone, selfOf(ctx), {}, ctx.random.next(), ctx.clock())
    , m_links(ctx.settings.zone, {}, ctx.random.next())
{
    m_members.setSeeds(ctx.settings.seeds);
}

void Cluster::start()
{
    m_ctx.loop.every(tickInterval, [this] { tick(); });
    m_ctx.loop.every(digestInterval, [this] { sendDigests(); });
    m_ctx.loop.every(heartbeatInterval, [this] { heartbeat(); });
    pollHostList();
    pollAllZones();
}

void Cluster::tick()
{
    send(m_members.tick(m_ctx.clock()));
    reportChanges();
    if (m_members.superseded())
        m_hooks.onSuperseded();
}

void Cluster::onGossip(const wire::GossipT& gossip)
{
    const auto message = fromWire(gossip);
    if (message.zone != m_ctx.settings.zone)
        return;
    m_manifestCounters[message.from] = message.manifestCounter;
    send(m_members.onMessage(message, m_ctx.clock()));
    reportChanges();
    m_hooks.onPeerManifest(message.from, message.manifestCounter);
}

void Cluster::send(const std::vector<membership::Outgoing>& messages)
{
    for (const auto& outgoing : messages) {
        const bool sent = m_ctx.peers->notify(outgoing.address, wire::bodyOf(toWire(outgoing.message)));
        if (!sent && !outgoing.message.to.empty())
            m_members.onUnreachable(outgoing.message.to, m_ctx.clock());
    }
}

void Cluster::reportChanges()
{
    for (const auto& change : m_members.takeChanges())
        LOG(INFO) << "membership: host " << change.id << " is " << membership::nameOf(change.after);
    const bool hasJoined = joined();
    if (m_members.viewVersion() == m_seenView && hasJoined == m_seenJoined)
        return;
    m_seenView = m_members.viewVersion();
    m_seenJoined = hasJoined;
    m_hooks.onView();
}

bool Cluster::isDelegate() const
{
    return membership::isDelegate(live(), m_ctx.settings.zone, m_ctx.self.host);
}

membership::ZoneDigest Cluster::ownDigest() const
{
    membership::ZoneDigest digest;
    const auto hosts = live();
    digest.zone = m_ctx.settings.zone;
    digest.manifestCounter = m_manifestCounter;
    digest.members = static_cast<std::uint32_t>(hosts.size());
    digest.view = m_members.viewHash();
    for (const auto& host : membership::chooseDelegates(hosts, m_ctx.settings.zone)) {
        if (const auto address = addressOf(host))
            digest.delegates.push_back({ host, *address });
    }
    return digest;
}

void Cluster::sendDigests()
{
    for (const auto& outgoing : m_links.tick(ownDigest(), isDelegate(), m_ctx.clock()))
        m_ctx.peers->notify(outgoing.address, wire::bodyOf(toWire(outgoing.digest)));
}

void Cluster::onDigest(const wire::ZoneDigestT& wireDigest)
{
    const auto digest = fromWire(wireDigest);
    if (m_links.onDigest(digest, m_ctx.clock()) && !digest.delegates.empty()) {
        // Marked, so that two zones do not answer each other's answers for ever.
        auto own = ownDigest();
        own.answer = true;
        m_ctx.peers->notify(digest.delegates.front().address, wire::bodyOf(toWire(own)));
    }
    if (!digest.delegates.empty())
        m_hooks.onPeerManifest(digest.delegates.front().id, digest.manifestCounter);
}

void Cluster::setManifestCounter(std::uint64_t counter)
{
    m_manifestCounter = counter;
    m_members.setManifestCounter(counter);
}

void Cluster::pollHostList()
{
    auto fetch = [list = m_ctx.platform.hostList, zone = m_ctx.settings.zone] {
        return outcomeOf([&] { return list(zone); });
    };
    callThen(
        m_ctx.platformIo, m_ctx.loop, fetch, [this](const Outcome<std::vector<platform::Machine>>& machines) {
            if (machines)
                onZoneList(*machines.value);
            m_ctx.loop.postAfter(zoneListInterval, [this] { pollHostList(); });
        });
}

void Cluster::onZoneList(const std::vector<platform::Machine>& machines)
{
    std::vector<membership::ListedHost> hosts;
    for (const auto& machine : machines) {
        if (machine.kind == platform::MachineKind::EntryHost)
            hosts.push_back(
                { HostId(machine.id), machine.address, machine.state == platform::MachineState::Leaving });
    }
    m_members.onHostList(hosts);
    m_hooks.onMachines(machines);
}

void Cluster::pollAllZones()
{
    auto fetch = [list = m_ctx.platform.hostList] { return outcomeOf([&] { return list(ZoneId()); }); };
    callThen(
        m_ctx.platformIo, m_ctx.loop, fetch, [this](const Outcome<std::vector<platform::Machine>>& machines) {
            if (machines)
                onAllZones(*machines.value);
            m_ctx.loop.postAfter(allZonesInterval, [this] { pollAllZones(); });
        });
}

void Cluster::onAllZones(const std::vector<platform::Machine>& machines)
{
    m_listed.clear();
    std::map<ZoneId, std::vector<std::string>> contacts;
    for (const auto& machine : machines) {
        if (machine.kind != platform::MachineKind::EntryHost)
            continue;
        m_listed[HostId(machine.id)] = machine;
        if (machine.zone != m_ctx.settings.zone)
            contacts[machine.zone].push_back(machine.address);
    }
    for (auto& [zone, addresses] : contacts)
        m_links.setContacts(zone, std::move(addresses));
}

void Cluster::heartbeat()
{
    platform::Machine machine;
    machine.id = m_ctx.self.host.str();
    machine.kind = platform::MachineKind::EntryHost;
    machine.state = m_leaving ? platform::MachineState::Leaving : platform::MachineState::Live;
    machine.zone = m_ctx.settings.zone;
    machine.address = m_ctx.settings.innerAddress;
    machine.httpAddress = m_ctx.settings.httpAddress;
    m_ctx.platformIo.submit([beat = m_ctx.platform.heartbeat, machine] { beat(machine); });
}

std::optional<Incarnation> Cluster::incarnationOf(const HostId& host) const
{
    if (host == m_ctx.self.host)
        return m_ctx.self.incarnation;
    const auto member = m_members.find(host);
    if (!member || member->update.state == membership::MemberState::Dead)
        return std::nullopt;
    return member->update.incarnation;
}

bool Cluster::isGone(const HostId& host, Incarnation incarnation) const
{
    const auto member = m_members.find(host);
    if (!member)
        return false;
    if (member->update.incarnation > incarnation)
        return true;
    return member->update.incarnation == incarnation && member->update.state == membership::MemberState::Dead;
}

std::optional<std::string> Cluster::addressOf(const HostId& host) const
{
    if (host == m_ctx.self.host)
        return m_ctx.settings.innerAddress;
    const auto member = m_members.find(host);
    if (!member || member->update.state == membership::MemberState::Dead)
        return std::nullopt;
    return member->update.address;
}

std::optional<std::string> Cluster::listedAddressOf(const HostId& host) const
{
    if (auto address = addressOf(host))
        return address;
    for (const auto& [zone, record] : m_links.zones()) {
        for (const auto& delegate : record.digest.delegates) {
            if (delegate.id == host)
                return delegate.address;
        }
    }
    auto it = m_listed.find(host);
    return it == m_listed.end() ? std::nullopt : std::optional(it->second.address);
}

std::optional<HostId> Cluster::memberAt(const std::string& address) const
{
    for (const auto& member : m_members.others()) {
        if (member.update.address == address)
            return member.update.id;
    }
    return std::nullopt;
}

std::vector<std::string> Cluster::peerAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto& host : live()) {
        if (host == m_ctx.self.host)
            continue;
        if (auto address = addressOf(host))
            addresses.push_back(*address);
    }
    return addresses;
}

std::vector<membership::DelegateContact> Cluster::otherZoneContacts() const
{
    std::vector<membership::DelegateContact> contacts;
    for (const auto& [zone, record] : m_links.zones()) {
        if (!m_links.cutOff(zone, m_ctx.clock()) && !record.digest.delegates.empty())
            contacts.push_back(record.digest.delegates.front());
    }
    return contacts;
}

std::vector<std::string> Cluster::allAddresses() const
{
    auto addresses = peerAddresses();
    for (const auto& [host, machine] : m_listed) {
        if (machine.zone != m_ctx.settings.zone)
            addresses.push_back(machine.address);
    }
    return addresses;
}

std::optional<std::string> Cluster::addressInZone(const ZoneId& zone) const
{
    auto it = m_links.zones().find(zone);
    if (it != m_links.zones().end() && !it->second.digest.delegates.empty())
        return it->second.digest.delegates.front().address;
    for (const auto& [host, machine] : m_listed) {
        if (machine.zone == zone && machine.state == platform::MachineState::Live)
            return machine.address;
    }
    return std::nullopt;
}

std::vector<HostRow> Cluster::rows() const
{
    std::vector<HostRow> rows;
    rows.push_back({ m_ctx.self.host, m_ctx.settings.zone, m_leaving ? "leaving" : "alive",
        m_ctx.settings.innerAddress, m_ctx.settings.httpAddress, m_manifestCounter });
    for (const auto& member : m_members.others()) {
        HostRow row { member.update.id, m_ctx.settings.zone, membership::nameOf(member.update.state),
            member.update.address, member.update.httpAddress, 0 };
        if (member.suspect && member.update.state != membership::MemberState::Dead)
            row.state = "suspect";
        if (auto it = m_manifestCounters.find(row.host); it != m_manifestCounters.end())
            row.manifestCounter = it->second;
        rows.push_back(std::move(row));
    }
    return rows;
}

void Cluster::leave()
{
    m_leaving = true;
    m_members.leave();
    heartbeat();
}

void Cluster::depart()
{
    send(m_members.depart(m_ctx.clock()));
}

} // namespace jujubereach::daemon
