// What Members does on messages: takes in claims, refutes false ones, answers.
#include "members-impl.h"

#include <algorithm>

namespace jujubereach::membership {

namespace {

    constexpr Duration deadInTable { 600'000 }; ///< Older removals are not part of an exchanged table.

    const MemberUpdate* findUpdate(const std::vector<MemberUpdate>& updates, const HostId& id)
    {
        auto found = std::find_if(
            updates.begin(), updates.end(), [&](const MemberUpdate& update) { return update.id == id; });
        return found == updates.end() ? nullptr : &*found;
    }

} // namespace

std::vector<Outgoing> Members::Impl::receive(const Message& message, TimePoint now)
{
    observe(now);
    if (m_superseded || m_self.state == MemberState::Dead || !isForUs(message))
        return {};
    if (message.from == m_self.id) {
        // Another start of this host.
        onClaimAboutSelf(
            { m_self.id, message.incarnation, message.sequence, MemberState::Alive, {}, {} }, now);
        return takeOutgoing();
    }
    noteSender(message, now);
    for (const auto& update : message.updates) {
        if (update.id != message.from || update.state == MemberState::Dead)
            applyUpdate(update, now);
    }
    if (m_superseded)
        return takeOutgoing();
    m_answered = m_answered || !message.to.empty();
    compareViews(message, now);
    answer(message, now);
    return takeOutgoing();
}

bool Members::Impl::isForUs(const Message& message) const
{
    return message.zone == m_zone && !message.from.empty() && (message.to.empty() || message.to == m_self.id);
}

void Members::Impl::noteSender(const Message& message, TimePoint now)
{
    const auto* entry = m_table.find(message.from);
    const auto* introduction = findUpdate(message.updates, message.from);
    if (!entry && !introduction)
        return;
    auto claim = introduction ? *introduction : entry->update;
    if (claim.state == MemberState::Dead && introduction)
        return; // It departs; the update is applied with the others.
    claim.incarnation = message.incarnation;
    claim.sequence = message.sequence;
    claim.state = message.leaving ? MemberState::Leaving : MemberState::Alive;
    if (entry && replaces(entry->update, claim)) {
        correctSender(*entry, claim);
        return;
    }
    if (takeIn(claim, now))
        m_queue.add(claim, now);
    m_table.noteHeard(message.from, now);
    m_probes.clear(message.from);
}

// A member that comes is probed in the running round already, at a random place in it.
bool Members::Impl::takeIn(const MemberUpdate& claim, TimePoint now)
{
    auto before = m_table.reachableCount();
    if (!m_table.apply(claim, now))
        return false;
    if (m_table.reachableCount() > before) {
        auto place = static_cast<std::ptrdiff_t>(m_random.below(m_probeOrder.size() + 1));
        m_probeOrder.insert(m_probeOrder.begin() + place, claim.id);
    }
    return true;
}

// The sender does not know that it was removed or replaced: it refutes or stops.
void Members::Impl::correctSender(const MemberEntry& entry, const MemberUpdate& claim)
{
    auto message = header(MessageKind::Announce, claim.id);
    message.updates = { entry.update, m_self };
    send(claim.address, std::move(message));
}

void Members::Impl::applyUpdate(const MemberUpdate& update, TimePoint now)
{
    if (update.id == m_self.id) {
        onClaimAboutSelf(update, now);
        return;
    }
    const auto* entry = m_table.find(update.id);
    bool isRemoval = update.state == MemberState::Dead && entry && !entry->isDead()
        && entry->update.incarnation == update.incarnation && entry->update.sequence >= update.sequence;
    if (isRemoval && entry->heardAt && now - *entry->heardAt < m_settings.fresh) {
        // It has just spoken to this host: let it answer the claim itself.
        auto message = header(MessageKind::Ping, update.id);
        message.updates = { update };
        sendTo(update.id, std::move(message));
        return;
    }
    if (!takeIn(update, now))
        return;
    if (update.state == MemberState::Dead)
        m_probes.clear(update.id);
    if (m_answered)
        m_queue.add(update, now);
}

void Members::Impl::onClaimAboutSelf(const MemberUpdate& claim, TimePoint now)
{
    if (claim.incarnation > m_self.incarnation) {
        // A clock that went back gave this start a number too low; it is still the later one.
        if (now - m_startedAt < m_settings.joining) {
            m_self.incarnation.value = claim.incarnation.value + 1;
            m_self.sequence = 0;
            ++m_ownVersion;
            announce(m_self);
        } else
            m_superseded = true;
        return;
    }
    bool isFalse = claim.incarnation == m_self.incarnation && claim.state == MemberState::Dead
        && claim.sequence >= m_self.sequence;
    if (isFalse) {
        m_self.sequence = claim.sequence + 1;
        announce(m_self);
    }
}

void Members::Impl::compareViews(const Message& message, TimePoint now)
{
    if (message.view == viewHash()) {
        m_divergedSince.reset();
        return;
    }
    if (!m_divergedSince)
        m_divergedSince = now;
    bool isExchange = message.kind == MessageKind::Sync || message.kind == MessageKind::SyncReply;
    const auto* entry = m_table.find(message.from);
    if (isExchange || !entry || entry->isDead() || now < m_nextSync
        || now - *m_divergedSince < m_settings.divergence)
        return;
    m_nextSync = now + m_settings.syncInterval;
    auto sync = header(MessageKind::Sync, message.from);
    sync.updates = wholeTable(now);
    sendTo(message.from, std::move(sync));
}

void Members::Impl::answer(const Message& message, TimePoint now)
{
    switch (message.kind) {
    case MessageKind::Ping: {
        auto ack = withUpdates(MessageKind::Ack, message.from, now);
        ack.probe = message.probe;
        sendTo(message.from, std::move(ack));
        return;
    }
    case MessageKind::Ack:
        onAck(message, now);
        return;
    case MessageKind::PingRequest:
        onPingRequest(message, now);
        return;
    case MessageKind::Join:
    case MessageKind::Sync: {
        auto reply = header(MessageKind::SyncReply, message.from);
        reply.updates = whatIsNewTo(message, now);
        sendTo(message.from, std::move(reply));
        return;
    }
    case MessageKind::SyncReply:
        // After a start, the members that it named have yet to hear of this host.
        if (m_tablesWanted > 0) {
            --m_tablesWanted;
            announce(m_self);
        }
        return;
    case MessageKind::Announce:
        return;
    }
}

void Members::Impl::onAck(const Message& message, TimePoint now)
{
    if (!message.subject.empty()) {
        m_probes.clear(message.subject);
        return;
    }
    auto relay = m_probes.takeRelay(message.probe);
    if (!relay)
        return;
    auto ack = withUpdates(MessageKind::Ack, relay->origin, now);
    ack.subject = message.from;
    ack.probe = relay->originNumber;
    sendTo(relay->origin, std::move(ack));
}

void Members::Impl::onPingRequest(const Message& message, TimePoint now)
{
    const auto* entry = m_table.find(message.subject);
    if (!entry)
        return;
    auto number = m_probes.addRelay(message.from, message.probe, now);
    ping(message.subject, number, true, now);
}

std::vector<MemberUpdate> Members::Impl::whatIsNewTo(const Message& message, TimePoint now) const
{
    auto updates = wholeTable(now);
    std::erase_if(updates, [&](const MemberUpdate& update) {
        const auto* theirs = findUpdate(message.updates, update.id);
        return update.id == message.from || (theirs && !replaces(update, *theirs));
    });
    return updates;
}

std::vector<MemberUpdate> Members::Impl::wholeTable(TimePoint now) const
{
    std::vector<MemberUpdate> updates { m_self };
    for (const auto& [id, entry] : m_table.entries()) {
        if (!entry.isDead() || now - entry.changedAt < deadInTable)
            updates.push_back(entry.update);
    }
    return updates;
}

} // namespace jujubereach::membership
