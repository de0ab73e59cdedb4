// The public side of Members, and the messages that both halves send.
#include "members-impl.h"

#include <algorithm>

namespace jujubereach::membership {

Members::Members(ZoneId zone, MemberUpdate self, MembersSettings settings, std::uint64_t seed, TimePoint now)
    : m_impl(std::make_unique<Impl>(std::move(zone), std::move(self), settings, seed, now))
{
}

Members::~Members() = default;

void Members::setSeeds(std::vector<std::string> addresses)
{
    m_impl->m_seeds = std::move(addresses);
}

void Members::onHostList(const std::vector<ListedHost>& hosts)
{
    m_impl->m_listed.clear();
    for (const auto& host : hosts)
        m_impl->m_listed[host.id] = host;
}

std::vector<Outgoing> Members::tick(TimePoint now)
{
    return m_impl->tick(now);
}

std::vector<Outgoing> Members::onMessage(const Message& message, TimePoint now)
{
    return m_impl->receive(message, now);
}

void Members::onUnreachable(const HostId& id, TimePoint now)
{
    m_impl->probeAtOnce(id, now);
}

void Members::leave()
{
    if (m_impl->m_self.state == MemberState::Alive)
        m_impl->changeOwnState(MemberState::Leaving);
}

std::vector<Outgoing> Members::depart(TimePoint now)
{
    return m_impl->depart(now);
}

bool Members::superseded() const
{
    return m_impl->m_superseded;
}

bool Members::joined(TimePoint now) const
{
    return m_impl->joined(now);
}

const MemberUpdate& Members::self() const
{
    return m_impl->m_self;
}

std::vector<HostId> Members::live() const
{
    std::vector<HostId> ids;
    for (const auto& [id, entry] : m_impl->m_table.entries()) {
        if (entry.update.state == MemberState::Alive)
            ids.push_back(id);
    }
    const auto& self = m_impl->m_self;
    if (self.state == MemberState::Alive && !m_impl->m_superseded)
        ids.insert(std::lower_bound(ids.begin(), ids.end(), self.id), self.id);
    return ids;
}

std::vector<Member> Members::others() const
{
    std::vector<Member> members;
    for (const auto& [id, entry] : m_impl->m_table.entries())
        members.push_back({ entry.update, m_impl->m_probes.isSuspect(id), entry.changedAt });
    return members;
}

std::optional<Member> Members::find(const HostId& id) const
{
    const auto* entry = m_impl->m_table.find(id);
    if (!entry)
        return std::nullopt;
    return Member { entry->update, m_impl->m_probes.isSuspect(id), entry->changedAt };
}

std::uint64_t Members::viewVersion() const
{
    return m_impl->m_table.version() + m_impl->m_ownVersion;
}

std::uint64_t Members::viewHash() const
{
    return m_impl->viewHash();
}

void Members::setManifestCounter(std::uint64_t counter)
{
    m_impl->m_manifestCounter = counter;
}

std::vector<MemberChange> Members::takeChanges()
{
    return m_impl->m_table.takeChanges();
}

Members::Impl::Impl(
    ZoneId zone, MemberUpdate self, MembersSettings settings, std::uint64_t seed, TimePoint now)
    : m_zone(std::move(zone))
    , m_self(std::move(self))
    , m_settings(settings)
    , m_random(seed)
    , m_queue(settings.sendsPerUpdate)
    , m_startedAt(now)
    , m_lastCall(now)
    , m_nextProbe(now)
    , m_nextContact(now)
    , m_nextSync(now)
{
    announce(m_self);
}

void Members::Impl::changeOwnState(MemberState state)
{
    m_self.state = state;
    ++m_self.sequence;
    ++m_ownVersion;
    announce(m_self);
}

std::vector<Outgoing> Members::Impl::depart(TimePoint now)
{
    if (m_superseded)
        return {};
    changeOwnState(MemberState::Dead);
    flushAnnouncements(now);
    return takeOutgoing();
}

Message Members::Impl::header(MessageKind kind, const HostId& to) const
{
    Message message;
    message.kind = kind;
    message.zone = m_zone;
    message.from = m_self.id;
    message.incarnation = m_self.incarnation;
    message.sequence = m_self.sequence;
    message.leaving = m_self.state == MemberState::Leaving;
    message.to = to;
    message.view = viewHash();
    message.manifestCounter = m_manifestCounter;
    return message;
}

// A receiver that has not spoken to this host yet may not know its addresses.
Message Members::Impl::withUpdates(MessageKind kind, const HostId& to, TimePoint now)
{
    auto message = header(kind, to);
    message.updates = m_queue.take(m_settings.updatesPerMessage, now);
    const auto* entry = m_table.find(to);
    if (!entry || !entry->heardAt)
        message.updates.push_back(m_self);
    return message;
}

void Members::Impl::send(const std::string& address, Message message)
{
    if (!address.empty())
        m_outgoing.push_back({ address, std::move(message) });
}

void Members::Impl::sendTo(const HostId& to, Message message)
{
    if (const auto* entry = m_table.find(to))
        send(entry->update.address, std::move(message));
}

void Members::Impl::ping(const HostId& target, std::uint64_t number, bool introduce, TimePoint now)
{
    auto message = withUpdates(MessageKind::Ping, target, now);
    message.probe = number;
    if (introduce)
        message.updates.push_back(m_self);
    sendTo(target, std::move(message));
}

void Members::Impl::announce(const MemberUpdate& update)
{
    std::erase_if(m_announcements, [&](const MemberUpdate& other) { return other.id == update.id; });
    m_announcements.push_back(update);
}

std::vector<Outgoing> Members::Impl::takeOutgoing()
{
    return std::exchange(m_outgoing, {});
}

} // namespace jujubereach::membership
