// What the entry hosts of one zone tell each other about themselves and their peers.
#pragma once

#include "jujubereach/base/id.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jujubereach::membership {

enum class MemberState {
    Alive,
    Leaving, ///< Finishes its work and takes no new; never alive again in this incarnation.
    Dead,
};

/// Name of a state as it stands in JSON bodies and logs.
const char* nameOf(MemberState state);

/// What one host claims of another. Of two claims the one with the higher incarnation holds, then the higher
/// sequence, then the later state in the order of MemberState. Only the host itself raises its sequence.
struct MemberUpdate {
    HostId id;
    Incarnation incarnation;
    std::uint64_t sequence = 0; ///< Within the incarnation; raised to refute a false claim of death.
    MemberState state = MemberState::Alive;
    std::string address; ///< "ip:port" for entry hosts.
    std::string httpAddress; ///< "ip:port" for callers.

    friend bool operator==(const MemberUpdate&, const MemberUpdate&) = default;
};

/// Whether the claim `a` replaces the claim `b` about the same host.
bool replaces(const MemberUpdate& a, const MemberUpdate& b);

enum class MessageKind {
    Ping, ///< Asks for an Ack.
    Ack, ///< Answers a Ping; with `subject`, passes on the Ack of that host.
    PingRequest, ///< Asks the receiver to ping `subject` and to pass on its Ack.
    Announce, ///< Only carries updates.
    Join, ///< Asks for the receiver's table.
    Sync, ///< Carries a whole table, and asks for what the receiver knows better.
    SyncReply, ///< Carries what the sender of a Join or Sync did not know.
};

struct Message {
    MessageKind kind = MessageKind::Announce;
    ZoneId zone;
    HostId from;
    Incarnation incarnation; ///< Of the sender.
    std::uint64_t sequence = 0; ///< Of the sender.
    bool leaving = false; ///< Whether the sender is leaving.
    HostId to; ///< Empty when only the address is known.
    std::uint64_t probe = 0; ///< Number of the ping that an Ack answers.
    HostId subject;
    std::uint64_t view = 0; ///< Hash of the sender's live members; equal views hash equally.
    std::uint64_t manifestCounter = 0; ///< Of the manifest that the sender has in force; 0 means none.
    std::vector<MemberUpdate> updates;
};

/// A message with the address to send it to.
struct Outgoing {
    std::string address;
    Message message;
};

} // namespace jujubereach::membership
