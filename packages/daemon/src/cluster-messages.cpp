#include "cluster-messages.h"

namespace jujubereach::daemon {

namespace {

    using membership::MemberUpdate;

    // Both enums list the same values in the same order.
    static_assert(
        static_cast<int>(wire::MemberState::Dead) == static_cast<int>(membership::MemberState::Dead));
    static_assert(static_cast<int>(wire::GossipKind::SyncReply)
        == static_cast<int>(membership::MessageKind::SyncReply));

    std::unique_ptr<wire::MemberT> memberOf(const MemberUpdate& update)
    {
        auto member = std::make_unique<wire::MemberT>();
        member->host = update.id.str();
        member->incarnation = update.incarnation.value;
        member->sequence = update.sequence;
        member->state = static_cast<wire::MemberState>(update.state);
        member->inner_address = update.address;
        member->http_address = update.httpAddress;
        return member;
    }

    MemberUpdate updateOf(const wire::MemberT& member)
    {
        MemberUpdate update;
        update.id = HostId(member.host);
        update.incarnation = { member.incarnation };
        update.sequence = member.sequence;
        update.state = member.state > wire::MemberState::MAX
            ? membership::MemberState::Dead
            : static_cast<membership::MemberState>(member.state);
        update.address = member.inner_address;
        update.httpAddress = member.http_address;
        return update;
    }

} // namespace

wire::GossipT toWire(const membership::Message& message)
{
    wire::GossipT gossip;
    gossip.kind = static_cast<wire::GossipKind>(message.kind);
    gossip.zone = message.zone.str();
    gossip.from = message.from.str();
    gossip.incarnation = message.incarnation.value;
    gossip.sequence = message.sequence;
    gossip.leaving = message.leaving;
    gossip.to = message.to.str();
    gossip.probe = message.probe;
    gossip.subject = message.subject.str();
    gossip.view = message.view;
    gossip.manifest_counter = message.manifestCounter;
    for (const auto& update : message.updates)
        gossip.members.push_back(memberOf(update));
    return gossip;
}

membership::Message fromWire(const wire::GossipT& gossip)
{
    membership::Message message;
    message.kind = static_cast<membership::MessageKind>(gossip.kind);
    message.zone = ZoneId(gossip.zone);
    message.from = HostId(gossip.from);
    message.incarnation = { gossip.incarnation };
    message.sequence = gossip.sequence;
    message.leaving = gossip.leaving;
    message.to = HostId(gossip.to);
    message.probe = gossip.probe;
    message.subject = HostId(gossip.subject);
    message.view = gossip.view;
    message.manifestCounter = gossip.manifest_counter;
    for (const auto& member : gossip.members)
        message.updates.push_back(updateOf(*member));
    return message;
}

wire::ZoneDigestT toWire(const membership::ZoneDigest& digest)
{
    wire::ZoneDigestT out;
    out.zone = digest.zone.str();
    out.manifest_counter = digest.manifestCounter;
    out.members = digest.members;
    out.view = digest.view;
    out.answer = digest.answer;
    for (const auto& delegate : digest.delegates) {
        auto contact = std::make_unique<wire::ContactT>();
        contact->host = delegate.id.str();
        contact->address = delegate.address;
        out.delegates.push_back(std::move(contact));
    }
    return out;
}

membership::ZoneDigest fromWire(const wire::ZoneDigestT& digest)
{
    membership::ZoneDigest out;
    out.zone = ZoneId(digest.zone);
    out.manifestCounter = digest.manifest_counter;
    out.members = digest.members;
    out.view = digest.view;
    out.answer = digest.answer;
    for (const auto& delegate : digest.delegates)
        out.delegates.push_back({ HostId(delegate->host), delegate->address });
    return out;
}

} // namespace jujubereach::daemon
