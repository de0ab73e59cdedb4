// State and steps of Members; tick and receive are in files of their own.
#pragma once

#include "jujubereach/membership/members.h"

#include "member-table.h"
#include "probes.h"
#include "update-queue.h"

#include <deque>

namespace jujubereach::membership {

class Members::Impl {
public:
    Impl(ZoneId zone, MemberUpdate self, MembersSettings settings, std::uint64_t seed, TimePoint now);

    std::vector<Outgoing> tick(TimePoint now);
    std::vector<Outgoing> receive(const Message& message, TimePoint now);
    void probeAtOnce(const HostId& id, TimePoint now);
    void changeOwnState(MemberState state);
    std::vector<Outgoing> depart(TimePoint now);

    std::uint64_t viewHash() const { return m_table.hash() + hashOf(m_self); }
    bool joined(TimePoint now) const { return m_answered || now - m_startedAt >= m_settings.joining; }

    ZoneId m_zone;
    MemberUpdate m_self;
    MembersSettings m_settings;
    Random m_random;
    MemberTable m_table; ///< Every known host but this one.
    Probes m_probes;
    std::vector<std::string> m_seeds;
    std::map<HostId, ListedHost> m_listed;
    std::uint64_t m_manifestCounter = 0;
    std::uint64_t m_ownVersion = 0; ///< Rises with each change of the own state.
    bool m_superseded = false; ///< Never cleared; nothing is sent once it is set.

private:
    // In time (members-tick.cpp).
    void observe(TimePoint now);
    void contactOthers(TimePoint now);
    void join(TimePoint now);
    void joinAgain(TimePoint now);
    void contactLost(TimePoint now);
    std::vector<ListedHost> lostContacts() const;
    void startProbes(TimePoint now);
    std::optional<HostId> nextTarget();
    void advanceProbes(TimePoint now);
    void advanceProbe(const HostId& target, Probe& probe, TimePoint now);
    void askRelays(const HostId& target, const Probe& probe, std::size_t count, TimePoint now);
    void remove(const HostId& target, TimePoint now);
    Duration suspicionOf(const HostId& target) const;
    void flushAnnouncements(TimePoint now);
    void sendAnnouncement(const HostId& receiver, const std::vector<MemberUpdate>& updates);

    // On messages (members-receive.cpp).
    bool isForUs(const Message& message) const;
    void noteSender(const Message& message, TimePoint now);
    bool takeIn(const MemberUpdate& claim, TimePoint now);
    void correctSender(const MemberEntry& entry, const MemberUpdate& claim);
    void applyUpdate(const MemberUpdate& update, TimePoint now);
    void onClaimAboutSelf(const MemberUpdate& claim, TimePoint now);
    void compareViews(const Message& message, TimePoint now);
    void answer(const Message& message, TimePoint now);
    void onAck(const Message& message, TimePoint now);
    void onPingRequest(const Message& message, TimePoint now);
    std::vector<MemberUpdate> whatIsNewTo(const Message& message, TimePoint now) const;
    std::vector<MemberUpdate> wholeTable(TimePoint now) const;

    // Messages.
    Message header(MessageKind kind, const HostId& to) const;
    Message withUpdates(MessageKind kind, const HostId& to, TimePoint now);
    void send(const std::string& address, Message message);
    void sendTo(const HostId& to, Message message);
    void ping(const HostId& target, std::uint64_t number, bool introduce, TimePoint now);
    void announce(const MemberUpdate& update);
    std::vector<Outgoing> takeOutgoing();

    UpdateQueue m_queue;
    std::vector<MemberUpdate> m_announcements; ///< To be told to every member at the next tick.
    std::vector<MemberUpdate> m_repeated; ///< Announced at the last tick, and once more at the next.
    std::vector<Outgoing> m_outgoing; ///< Of the call that is running.
    std::deque<HostId> m_probeOrder; ///< Members that are still to be probed in this round.
    TimePoint m_startedAt;
    TimePoint m_lastCall;
    TimePoint m_nextProbe;
    TimePoint m_nextContact;
    std::optional<TimePoint> m_divergedSince; ///< Since when no peer has shown an equal view.
    TimePoint m_nextSync;
    bool m_answered = false; ///< A peer has answered this start.
    int m_tablesWanted = 2; ///< Tables that are still to be asked for after the start.
};

} // namespace jujubereach::membership
