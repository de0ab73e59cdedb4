// Calls between entry hosts: each request ends with one reply or a timeout; replies carry the request's
// correlation number.
//
// Used on the control thread only; the network thread passes messages to it through `post`.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"
#include "jujubereach/wire/network.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace jujubereach::wire {

enum class CallStatus {
    Answered,
    NotSent, ///< Provably not sent to the peer.
    Unknown, ///< Sent or queued; no reply in time.
};

struct CallResult {
    CallStatus status = CallStatus::Unknown;
    std::unique_ptr<EnvelopeT> reply; ///< Set when answered.
};

using OnReply = std::function<void(CallResult)>;
/// Sends one reply; a second call does nothing.
using Responder = std::function<void(BodyUnion)>;

struct LocalHost {
    HostId host;
    Incarnation incarnation;
    ZoneId zone;
};

struct PeersHooks {
    /// Runs a function on the control thread, soon or after a delay. Any thread.
    std::function<void(std::function<void()>)> post;
    std::function<void(Duration, std::function<void()>)> postAfter;
    /// Handles a call from a peer. The responder of a one-way message does nothing.
    std::function<void(EnvelopeT&, Responder)> onCall;
    /// A connection that this host opened is closed. May be empty.
    std::function<void(const std::string& address)> onLost;
    std::function<bool(const std::string& address)> mayReach;
};

class Peers : public std::enable_shared_from_this<Peers> {
public:
    static Result<std::shared_ptr<Peers>> open(
        const std::string& listenAddress, LocalHost self, NetworkLimits limits, PeersHooks hooks);
    ~Peers();

    /// Calls the peer at `address`; `onReply` runs once, on the control thread.
    void call(const std::string& address, BodyUnion body, Duration timeout, OnReply onReply);

    /// Sends without waiting for a reply. False when it is provably not sent.
    bool notify(const std::string& address, BodyUnion body);

    void disconnect(const std::string& address) { m_network->disconnect(address); }
    Network::Counters counters() const { return m_network->counters(); }

private:
    struct Pending {
        ConnectionId connection = 0;
        OnReply onReply;
    };

    Peers(LocalHost self, PeersHooks hooks);
    void onMessage(ConnectionId connection, EnvelopeT& envelope);
    void onClosed(ConnectionId connection);
    void finish(std::uint64_t correlation, CallResult result);
    void reply(ConnectionId connection, std::uint64_t correlation, BodyUnion body);
    EnvelopeT envelopeFor(BodyUnion body) const;

    LocalHost m_self;
    PeersHooks m_hooks;
    ConnectionId connect(const std::string& address);

    std::map<ConnectionId, std::string> m_opened; ///< Addresses by connection that this host opened.
    std::uint64_t m_lastCorrelation = 0;
    std::map<std::uint64_t, Pending> m_pending; ///< Unanswered calls by correlation number.
    std::unique_ptr<Network> m_network;
};

/// Wraps a schema message into an envelope body.
template <typename T> BodyUnion bodyOf(T message)
{
    BodyUnion body;
    body.Set(std::move(message));
    return body;
}

} // namespace jujubereach::wire
