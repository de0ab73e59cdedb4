#include "jujubereach/net/memory-budget.h"

#include <algorithm>

namespace jujubereach::net {

namespace {

    constexpr std::size_t memoryDivisor = 4; // The rest is for the fleet's state and calls to other systems.
    constexpr std::size_t fileFds = 200;
    constexpr std::size_t minMemoryBytes = 6U << 20U; // Serves one legal request at each listener.
    constexpr std::size_t minListenerMemory = 512U << 10U;
    constexpr int bodilessReceiveBytes = 16'384; // For listeners that serve no bodies.
    // 31 peers keep up to four connections each to a host (`ClientLimits::maxIdlePerEndpoint`).
    constexpr std::size_t peerConnections = 160;
    constexpr std::size_t minConnections = 8; // Per listener.

    // Idle connections are not closed for memory, so they may fill half of the share at most.
    ListenerBounds percentOf(const ListenerBounds& all, std::size_t memory, std::size_t connections)
    {
        const auto memoryBytes = std::max(minListenerMemory, all.memoryBytes / 100 * memory);
        const auto byMemory = memoryBytes / 2 / MemoryShare::idleBytes;
        return { memoryBytes,
            std::max(minConnections, std::min(byMemory, all.maxConnections * connections / 100)),
            ListenerBounds {}.receiveBufferBytes };
    }

} // namespace

void MemoryShare::admit(std::size_t requestBytes)
{
    m_limit = std::max(m_configured, 4 * requestBytes); // Large requests have three of the four quarters.
    m_minPart = requestBytes;
}

ClientUse& MemoryShare::join(ClientId id)
{
    auto& client = m_clients[id.value];
    client.id = id;
    ++client.connections;
    return client;
}

void MemoryShare::leave(ClientUse& client)
{
    if (--client.connections > 0)
        return;
    release(client, client.bytes);
    m_clients.erase(client.id.value);
}

Reservation MemoryShare::reserve(ClientUse& client, std::size_t bytes, bool large)
{
    const auto most = large ? m_limit - m_limit / 4 : m_limit;
    if (m_held > most || bytes > most - m_held)
        return Reservation::ShareFull;
    const auto isScarce = m_held + bytes > most / 2;
    if (const auto parts = partsFor(client);
        isScarce && parts > 1 && client.bytes + bytes > std::max(m_minPart, most / parts))
        return Reservation::ClientOverPart;
    charge(client, bytes);
    return Reservation::Granted;
}

void MemoryShare::charge(ClientUse& client, std::size_t bytes)
{
    client.bytes += bytes;
    m_held += bytes;
    updateBusy(client);
}

void MemoryShare::release(ClientUse& client, std::size_t bytes)
{
    client.bytes -= bytes;
    m_held -= bytes;
    updateBusy(client);
}

void MemoryShare::updateBusy(ClientUse& client)
{
    const auto isBusy = client.bytes > client.connections * idleBytes;
    if (isBusy == client.isBusy)
        return;
    client.isBusy = isBusy;
    isBusy ? ++m_busy : --m_busy;
}

// Idle clients together have one part, so that they neither reduce the others' much nor find the share full.
std::size_t MemoryShare::partsFor(const ClientUse& client) const
{
    const auto busy = m_busy + (client.isBusy ? 0 : 1);
    return std::min(m_clients.size(), busy + 1);
}

MemoryBudget divide(const ProcessLimits& limits)
{
    const auto fds = limits.maxFds > fileFds ? limits.maxFds - fileFds : 0;
    // A quarter of the descriptors stays free for outgoing calls.
    const ListenerBounds all { std::max(minMemoryBytes, limits.memoryBytes / memoryDivisor), fds - fds / 4 };
    MemoryBudget out { percentOf(all, 60, 70), percentOf(all, 25, 20), percentOf(all, 5, 5),
        percentOf(all, 10, 5) };
    const auto byMemory = out.hosts.memoryBytes / 2 / MemoryShare::idleBytes;
    out.hosts.maxConnections
        = std::max(out.hosts.maxConnections, std::min({ peerConnections, byMemory, all.maxConnections / 4 }));
    out.readiness.receiveBufferBytes = out.metrics.receiveBufferBytes = bodilessReceiveBytes;
    return out;
}

} // namespace jujubereach::net
