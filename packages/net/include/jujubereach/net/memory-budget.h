// Account of the bytes that the connections of a server hold. One share per listener, so that a flood at one
// listener leaves the memory of the others untouched. No I/O and no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace jujubereach::net {

/// Network address of a client; for IPv6 its network of 64 bits, since one machine has many addresses of it.
struct ClientId {
    std::uint64_t value = 0;

    friend bool operator==(const ClientId&, const ClientId&) = default;
};

/// What the connections of one client address hold. The reference is valid until the last leave().
struct ClientUse {
    ClientId id;
    std::size_t connections = 0;
    std::size_t bytes = 0;
    bool isBusy = false; ///< Holds more than its connections take while idle.
};

enum class Reservation { Granted, ShareFull, ClientOverPart };

class MemoryShare {
public:
    /// Requests with a body above this size are large, in bytes. Jobs of ordinary callers are below it.
    static constexpr std::size_t largeBody = 16'384;

    /// Bytes of a connection's objects, including those of the loop.
    static constexpr std::size_t connectionBytes = 1536;
    /// Larger buffers are released between requests, in bytes.
    static constexpr std::size_t keptBytes = 2048;
    /// The most that an idle connection holds, in bytes.
    static constexpr std::size_t idleBytes = connectionBytes + 2 * keptBytes;

    explicit MemoryShare(std::size_t limit = SIZE_MAX)
        : m_configured(limit)
        , m_limit(limit)
    {
    }

    /// Makes each request of up to `requestBytes` fit into a share of which idle connections hold half, and
    /// into the part of each client, if necessary by raising the limit.
    void admit(std::size_t requestBytes);

    /// Each connection joins once and leaves once.
    ClientUse& join(ClientId id);
    void leave(ClientUse& client);

    /// Charges `bytes` if they fit. Large requests leave a quarter of the share to small ones. When more than
    /// half of what such requests may use is held, no client may hold more than an equal part of it; the
    /// parts are those of the busy clients and one for all others.
    Reservation reserve(ClientUse& client, std::size_t bytes, bool large);
    /// Charges bytes that exist already. May exceed the limit; the caller then closes connections.
    void charge(ClientUse& client, std::size_t bytes);
    void release(ClientUse& client, std::size_t bytes);

    std::size_t held() const { return m_held; }
    std::size_t limit() const { return m_limit; }
    bool isExceeded() const { return m_held > m_limit; }
    std::size_t clients() const { return m_clients.size(); }

private:
    void updateBusy(ClientUse& client);
    std::size_t partsFor(const ClientUse& client) const;

    const std::size_t m_configured;
    std::size_t m_limit;
    std::size_t m_minPart = 0; ///< Of a client, in bytes.
    std::size_t m_held = 0; ///< Sum of ClientUse::bytes.
    std::size_t m_busy = 0; ///< Clients of which `isBusy` is set.
    std::unordered_map<std::uint64_t, ClientUse> m_clients;
};

/// Bounds of the memory and descriptors that the listeners of one process may use.
struct ProcessLimits {
    std::size_t memoryBytes = 0; ///< Memory of the process, not only of its connections.
    std::size_t maxFds = 0;
};

struct ListenerBounds {
    std::size_t memoryBytes = 0;
    std::size_t maxConnections = 0;
    int receiveBufferBytes = 32'768; ///< In the kernel, per connection.
};

/// Divides the process's limits among its listeners.
struct MemoryBudget {
    ListenerBounds callers;
    ListenerBounds hosts;
    ListenerBounds readiness;
    ListenerBounds metrics;
};
MemoryBudget divide(const ProcessLimits& limits);

} // namespace jujubereach::net
