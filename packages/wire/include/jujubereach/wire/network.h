// Connections between entry hosts, served by one thread: framing, idle bounds, bounded buffers.
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
    Duration pingInterval { 1000 }; ///< An idle connection carries an empty message this often.
    Duration receiveTimeout { 3000 }; ///< A connection on which nothing arrives for so long is closed.
    std::size_t maxBufferedBytes = 8'000'000; ///< To one peer; a send beyond it fails.
    std::size_t maxConnections = 1024;
};

/// Hooks run on the network's thread and must not block.
struct NetworkHooks {
    std::function<void(ConnectionId, std::unique_ptr<EnvelopeT>)> onMessage;
    std::function<void(ConnectionId)> onClosed;
    /// A test cuts this host off from a peer by answering false for its inner address.
    std::function<bool(const std::string& address)> mayReach;
};

class Network {
public:
    /// Listens at "ip:port". The result is InvalidInput when the address cannot be used.
    static Result<std::unique_ptr<Network>> open(
        const std::string& listenAddress, NetworkLimits limits, NetworkHooks hooks);
    ~Network(); ///< Closes every connection and ends the thread.
    Network(const Network&) = delete;
    Network& operator=(const Network&) = delete;

    /// Returns the connection to a peer and opens it when there is none. Any thread.
    ConnectionId connectionTo(const std::string& address);

    /// Queues a message. False means that it is provably not sent: the connection is gone or its buffer
    /// full. Any thread.
    bool send(ConnectionId connection, const EnvelopeT& envelope);

    /// Closes the connection to a peer; what is queued is dropped.
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
