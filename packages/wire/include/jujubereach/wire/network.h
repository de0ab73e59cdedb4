// Connections between entry hosts, served by one thread: framing, timeouts and bounded send buffers.
#pragma once

#include "jujubereach/base/time.h"
#include "jujubereach/wire/frame.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jujubereach::wire {

using ConnectionId = std::uint64_t;

struct NetworkLimits {
    Duration connectTimeout { 1000 };
    Duration pingInterval { 1000 }; ///< Interval of empty messages on an idle connection.
    Duration receiveTimeout { 3000 }; ///< A connection that receives nothing for this long is closed.
    std::size_t maxBufferedBytes = 8'000'000; ///< Per connection; a send beyond it fails.
    std::size_t maxConnections = 1024;
};

/// Hooks run on the network's thread and must not block.
struct NetworkHooks {
    std::function<void(ConnectionId, std::unique_ptr<EnvelopeT>)> onMessage;
    std::function<void(ConnectionId)> onClosed;
    /// For tests: returning false for a peer's inner address cuts this host off from the peer. May be empty.
    std::function<bool(const std::string& address)> mayReach;
};

class Network {
public:
    /// Listens on "ip:port". Fails with InvalidInput when the address cannot be used.
    static Result<std::unique_ptr<Network>> open(
        const std::string& listenAddress, NetworkLimits limits, NetworkHooks hooks);
    ~Network(); ///< Closes every connection and stops the thread.
    Network(const Network&) = delete;
    Network& operator=(const Network&) = delete;

    /// Returns the connection to a peer, and opens one if there is none. Any thread.
    ConnectionId connectionTo(const std::string& address);

    /// Queues a message. False means that it is provably not sent: the connection is closed, its buffer is
    /// full or the message is too large. Any thread.
    bool send(ConnectionId connection, const EnvelopeT& envelope);

    /// Closes the connection to a peer and drops its queued messages.
    void disconnect(const std::string& address);

    struct Counters {
        std::uint64_t bytesIn = 0;
        std::uint64_t bytesOut = 0;
        std::uint64_t messagesIn = 0;
        std::uint64_t messagesOut = 0;
        std::size_t connections = 0;
    };
    Counters counters() const;

private:
    class Impl;
    explicit Network(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace jujubereach::wire
