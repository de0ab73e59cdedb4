// What Members does as time passes: joins, probes, removes, announces.
#include "members-impl.h"

#include <algorithm>

namespace jujubereach::membership {

namespace {

    constexpr std::size_t updatesPerAnnouncement = 50;
    constexpr int joinsPerRetry = 5; ///< While nobody has answered yet.
    constexpr int suspectAfterTimeouts = 3;
    constexpr int listedLeavingSpeedup = 3;

} // namespace

std::vector<Outgoing> Members::Impl::tick(TimePoint now)
{
    observe(now);
    if (m_superseded || m_self.state == MemberState::Dead)
        return {};
    contactOthers(now);
    startProbes(now);
    advanceProbes(now);
    flushAnnouncements(now);
    return takeOutgoing();
}

// After a pause the silence of the others is this process's own: their probes start anew. The others may
// have removed this host, so it shows itself again.
void Members::Impl::observe(TimePoint now)
{
    auto gap = now - m_lastCall;
    m_lastCall = std::max(m_lastCall, now);
    if (gap <= m_settings.pauseGap)
        return;
    m_probes.clearAll();
    if (gap >= m_settings.suspicion && m_self.state != MemberState::Dead) {
        ++m_self.sequence;
        announce(m_self);
    }
}

void Members::Impl::contactOthers(TimePoint now)
{
    if (now < m_nextContact)
        return;
    m_table.forgetDead(now - m_settings.forgetDead);
    m_probes.dropRelays(now - m_settings.probeTimeout * suspectAfterTimeouts);
    if (!m_answered) {
        m_nextContact = now + m_settings.retry / joinsPerRetry;
        join(now);
        return;
    }
    // Hosts that started together must not all contact a lost one at the same moment.
    auto jitter = m_random.below(static_cast<std::uint64_t>(m_settings.retry.count() / 2) + 1);
    m_nextContact = now + m_settings.retry * 3 / 4 + Duration(jitter);
    if (m_tablesWanted > 0)
        joinAgain(now);
    contactLost(now);
}

// Where many hosts start together the first table is not whole yet.
void Members::Impl::joinAgain(TimePoint now)
{
    auto members = m_table.reachable();
    if (members.empty())
        return;
    const auto& member = members[m_random.below(members.size())];
    sendTo(member, withUpdates(MessageKind::Join, member, now));
}

void Members::Impl::join(TimePoint now)
{
    auto contacts = lostContacts();
    if (contacts.empty())
        return;
    const auto& contact = contacts[m_random.below(contacts.size())];
    send(contact.address, withUpdates(MessageKind::Join, contact.id, now));
}

// Partitions heal because each side keeps trying the hosts that it has lost.
void Members::Impl::contactLost(TimePoint now)
{
    auto contacts = lostContacts();
    if (contacts.empty())
        return;
    const auto& contact = contacts[m_random.below(contacts.size())];
    const auto* entry = m_table.find(contact.id);
    if (!entry) {
        send(contact.address, withUpdates(MessageKind::Join, contact.id, now));
        return;
    }
    auto message = header(MessageKind::Ping, contact.id);
    message.updates = { m_self, entry->update };
    send(contact.address, std::move(message));
}

// Dead members, and seeds and listed hosts that are no members.
std::vector<ListedHost> Members::Impl::lostContacts() const
{
    std::vector<std::string> known { m_self.address };
    std::vector<ListedHost> contacts;
    for (const auto& [id, entry] : m_table.entries()) {
        if (entry.isDead())
            contacts.push_back({ id, entry.update.address, false });
        known.push_back(entry.update.address);
    }
    auto isKnown = [&](const std::string& address) {
        return std::find(known.begin(), known.end(), address) != known.end();
    };
    for (const auto& seed : m_seeds) {
        if (!isKnown(seed))
            contacts.push_back({ {}, seed, false });
    }
    for (const auto& [id, host] : m_listed) {
        if (!m_table.find(id) && !isKnown(host.address))
            contacts.push_back(host);
    }
    return contacts;
}

void Members::Impl::startProbes(TimePoint now)
{
    auto members = m_table.reachableCount();
    if (members == 0) {
        m_nextProbe = now;
        return;
    }
    auto perPeriod = std::min(members, m_settings.probesPerPeriod);
    auto interval = m_settings.period / static_cast<Duration::rep>(perPeriod);
    // Late ticks are caught up with, but not beyond one period.
    m_nextProbe = std::max(m_nextProbe, now - m_settings.period);
    for (; m_nextProbe <= now; m_nextProbe += interval) {
        auto target = nextTarget();
        if (!target)
            continue;
        if (auto* probe = m_probes.start(*target, now))
            ping(*target, probe->number, false, now);
    }
}

// Round robin over a shuffled order: each member is probed within a bounded time.
std::optional<HostId> Members::Impl::nextTarget()
{
    for (int round = 0; round < 2; ++round) {
        while (!m_probeOrder.empty()) {
            auto id = m_probeOrder.front();
            m_probeOrder.pop_front();
            const auto* entry = m_table.find(id);
            if (entry && !entry->isDead())
                return id;
        }
        auto members = m_table.reachable();
        for (std::size_t i = members.size(); i > 1; --i)
            std::swap(members[i - 1], members[m_random.below(i)]);
        m_probeOrder.assign(members.begin(), members.end());
    }
    return std::nullopt;
}

void Members::Impl::advanceProbes(TimePoint now)
{
    std::vector<HostId> removed;
    for (auto& [target, probe] : m_probes.open()) {
        if (probe.suspectedAt && now - *probe.suspectedAt >= suspicionOf(target))
            removed.push_back(target);
        else
            advanceProbe(target, probe, now);
    }
    for (const auto& target : removed)
        remove(target, now);
}

// Pings again at each timeout, from the first one on through other hosts as well.
void Members::Impl::advanceProbe(const HostId& target, Probe& probe, TimePoint now)
{
    if (now - probe.sentAt < m_settings.probeTimeout)
        return;
    probe.sentAt = now;
    ping(target, probe.number, true, now);
    askRelays(target, probe, probe.relayed ? 1 : m_settings.relays, now);
    probe.relayed = true;
    if (!probe.suspectedAt && now - probe.startedAt >= m_settings.probeTimeout * suspectAfterTimeouts)
        probe.suspectedAt = now;
}

void Members::Impl::askRelays(const HostId& target, const Probe& probe, std::size_t count, TimePoint now)
{
    auto relays = m_table.reachable();
    std::erase(relays, target);
    for (std::size_t i = 0; i < count && !relays.empty(); ++i) {
        auto pick = m_random.below(relays.size());
        auto message = withUpdates(MessageKind::PingRequest, relays[pick], now);
        message.subject = target;
        message.probe = probe.number;
        sendTo(relays[pick], std::move(message));
        relays.erase(relays.begin() + static_cast<std::ptrdiff_t>(pick));
    }
}

void Members::Impl::remove(const HostId& target, TimePoint now)
{
    m_probes.clear(target);
    const auto* entry = m_table.find(target);
    if (!entry || entry->isDead())
        return;
    auto update = entry->update;
    update.state = MemberState::Dead;
    m_table.apply(update, now);
    announce(update);
}

// The platform's list lags, so it shortens a suspicion that this host has itself, and starts none.
Duration Members::Impl::suspicionOf(const HostId& target) const
{
    auto listed = m_listed.find(target);
    bool isLeaving = listed != m_listed.end() && listed->second.leaving;
    return isLeaving ? m_settings.suspicion / listedLeavingSpeedup : m_settings.suspicion;
}

void Members::Impl::probeAtOnce(const HostId& id, TimePoint now)
{
    observe(now);
    const auto* entry = m_table.find(id);
    if (!entry || entry->isDead())
        return;
    // The failed connection stands for the first ping; the next tick asks others.
    if (auto* probe = m_probes.start(id, now - m_settings.probeTimeout))
        probe->startedAt = now - m_settings.probeTimeout;
}

// To everybody, also to a host that is said to be dead: if it is not, it answers. Each announcement is sent
// a second time at the next tick, so that one lost message delays nobody.
void Members::Impl::flushAnnouncements(TimePoint now)
{
    auto fresh = std::exchange(m_announcements, {});
    auto updates = std::exchange(m_repeated, fresh);
    for (const auto& update : fresh) {
        m_queue.add(update, now);
        std::erase_if(updates, [&](const MemberUpdate& older) { return older.id == update.id; });
    }
    updates.insert(updates.end(), fresh.begin(), fresh.end());
    if (updates.empty())
        return;
    auto receivers = m_table.reachable();
    for (const auto& update : updates) {
        if (update.state == MemberState::Dead && update.id != m_self.id)
            receivers.push_back(update.id);
    }
    for (const auto& receiver : receivers)
        sendAnnouncement(receiver, updates);
}

void Members::Impl::sendAnnouncement(const HostId& receiver, const std::vector<MemberUpdate>& updates)
{
    for (std::size_t first = 0; first < updates.size(); first += updatesPerAnnouncement) {
        auto end = std::min(first + updatesPerAnnouncement, updates.size());
        auto message = header(MessageKind::Announce, receiver);
        message.updates.assign(updates.begin() + static_cast<std::ptrdiff_t>(first),
            updates.begin() + static_cast<std::ptrdiff_t>(end));
        sendTo(receiver, std::move(message));
    }
}

} // namespace jujubereach::membership
