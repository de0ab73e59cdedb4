#include "jujubereach/net/memory-budget.h"

#include <algorithm>

namespace jujubereach::net {

namespace {

    constexpr std::size_t memoryDivisor = 4; // The rest is for the fleet's state and calls to other systems.
    constexpr std::size_t fileFds = 200;
    constexpr std::size_t minMemoryBytes = 6U << 20U; // Serves one legal request at each listener.
    constexpr std::size_t minListenerMemory = 512U << 10U;
    constexpr std::size_t minConnections = 8; // Per listener.

    ListenerBounds percentOf(const ListenerBounds& all, std::size_t memory, std::size_t connections)
    {
        return { std::max(minListenerMemory, all.memoryBytes / 100 * memory),
            std::max(minConnections, all.maxConnections * connections / 100) };
    }

} // namespace

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
    m_held -= client.bytes;
    m_clients.erase(client.id.value);
}

Reservation MemoryShare::reserve(ClientUse& client, std::size_t bytes, bool large)
{
    const auto most = large ? m_limit - m_limit / 4 : m_limit;
    if (m_held > most || bytes > most - m_held)
        return Reservation::ShareFull;
    const auto isScarce = m_held + bytes > m_limit / 2;
    if (isScarce && m_clients.size() > 1 && client.bytes + bytes > most / m_clients.size())
        return Reservation::ClientOverPart;
    charge(client, bytes);
    return Reservation::Granted;
}

void MemoryShare::charge(ClientUse& client, std::size_t bytes)
{
    client.bytes += bytes;
    m_held += bytes;
}

void MemoryShare::release(ClientUse& client, std::size_t bytes)
{
    client.bytes -= bytes;
    m_held -= bytes;
}

MemoryBudget divide(const ProcessLimits& limits)
{
    const auto fds = limits.maxFds > fileFds ? limits.maxFds - fileFds : 0;
    // A quarter of the descriptors stays free for outgoing calls.
    const ListenerBounds all { std::max(minMemoryBytes, limits.memoryBytes / memoryDivisor), fds - fds / 4 };
    return { percentOf(all, 60, 70), percentOf(all, 25, 20), percentOf(all, 5, 5), percentOf(all, 10, 5) };
}

} // namespace jujubereach::net
