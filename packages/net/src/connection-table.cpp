#include "jujubereach/net/connection-table.h"

namespace jujubereach::net {

namespace {

    constexpr int searchedEntries = 8; // Bounds the cost of a choice.

    constexpr int searchedStalled = 64; // For those of one client among those of all.

    void consider(std::optional<TimePoint>& earliest, TimePoint deadline)
    {
        if (!earliest || deadline < *earliest)
            earliest = deadline;
    }

} // namespace

const char* nameOf(ConnectionState state)
{
    static constexpr std::array<const char*, connectionStates> names { "unused", "idle", "reading",
        "deciding", "writing", "pipelined", "lingering" };
    return names[static_cast<std::size_t>(state)];
}

void ConnectionTable::add(ConnectionEntry& entry, TimePoint now)
{
    entry.state = ConnectionState::Unused;
    entry.enteredAt = entry.progressAt = now;
    listOf(entry.state).push_back(entry);
    ++m_size;
}

void ConnectionTable::remove(ConnectionEntry& entry)
{
    auto& list = listOf(entry.state);
    list.erase(list.iterator_to(entry));
    if (entry.requestHook.is_linked())
        m_requests.erase(m_requests.iterator_to(entry));
    --m_size;
}

void ConnectionTable::enter(ConnectionEntry& entry, ConnectionState state, TimePoint now)
{
    auto& former = listOf(entry.state);
    auto& list = listOf(state);
    list.splice(list.end(), former, former.iterator_to(entry));
    if (entry.requestHook.is_linked())
        m_requests.erase(m_requests.iterator_to(entry));
    if (state == ConnectionState::Reading)
        m_requests.push_back(entry);
    entry.state = state;
    entry.enteredAt = entry.progressAt = now;
    entry.unaccountedBytes = 0;
}

void ConnectionTable::progress(ConnectionEntry& entry, std::size_t bytes, TimePoint now)
{
    entry.unaccountedBytes += bytes;
    const auto counts = entry.state == ConnectionState::Reading ? requestProgress : responseProgress;
    if (entry.unaccountedBytes < counts || entry.state == ConnectionState::Lingering)
        return;
    entry.unaccountedBytes = 0;
    entry.progressAt = now;
    auto& list = listOf(entry.state);
    list.splice(list.end(), list, list.iterator_to(entry));
}

ConnectionEntry* ConnectionTable::stalled(ConnectionState state, TimePoint now)
{
    auto& list = listOf(state);
    return !list.empty() && list.front().progressAt + stallTime <= now ? &list.front() : nullptr;
}

ConnectionEntry* ConnectionTable::stalledOf(const ClientUse& client, ConnectionState state, TimePoint now)
{
    auto left = searchedStalled;
    for (auto& entry : listOf(state)) {
        if (left-- == 0 || entry.progressAt + stallTime > now)
            return nullptr;
        if (entry.client == &client)
            return &entry;
    }
    return nullptr;
}

// Connections that are opened at a high rate and send nothing, or a few bytes, must not displace the idle
// ones of callers. Null if such connections are not the majority.
ConnectionEntry* ConnectionTable::majority(std::size_t clients)
{
    using enum ConnectionState;
    const auto unused = count(Unused);
    const auto reading = count(Reading);
    if (unused + reading <= m_size / 2)
        return nullptr;
    if (unused >= reading)
        return first(Unused, clients);
    auto* entry = first(Reading, clients);
    return entry->progressAt == entry->enteredAt ? entry : first(Unused, clients);
}

// Prefers a connection of a client that has more than an equal part of the connections.
ConnectionEntry* ConnectionTable::first(ConnectionState state, std::size_t clients)
{
    auto& list = listOf(state);
    if (list.empty())
        return nullptr;
    auto left = searchedEntries;
    for (auto& entry : list) {
        if (entry.client && entry.client->connections * clients > m_size)
            return &entry;
        if (--left == 0)
            break;
    }
    return &list.front();
}

ConnectionEntry* ConnectionTable::victimForConnection(TimePoint now, std::size_t clients)
{
    using enum ConnectionState;
    if (auto* entry = first(Lingering, clients))
        return entry;
    for (const auto state : { Reading, Writing, Unused }) {
        if (auto* entry = stalled(state, now))
            return entry;
    }
    if (auto* entry = majority(clients))
        return entry;
    // Ordinary callers wait for a response before their next request.
    for (const auto state : { Pipelined, Idle, Unused, Reading, Writing }) {
        if (auto* entry = first(state, clients))
            return entry;
    }
    return nullptr;
}

ConnectionEntry* ConnectionTable::victimForMemory(TimePoint now)
{
    auto* reading = stalled(ConnectionState::Reading, now);
    auto* writing = stalled(ConnectionState::Writing, now);
    if (!reading || !writing)
        return reading ? reading : writing;
    return reading->progressAt < writing->progressAt ? reading : writing;
}

ConnectionEntry* ConnectionTable::victimForMemory(TimePoint now, const ClientUse& client)
{
    auto* entry = stalledOf(client, ConnectionState::Reading, now);
    return entry ? entry : stalledOf(client, ConnectionState::Writing, now);
}

ConnectionEntry* ConnectionTable::oldestWriter()
{
    auto& list = listOf(ConnectionState::Writing);
    return list.empty() ? nullptr : &list.front();
}

ConnectionEntry* ConnectionTable::expired(TimePoint now, const ConnectionTimeouts& timeouts)
{
    using enum ConnectionState;
    if (!m_requests.empty() && m_requests.front().enteredAt + timeouts.request <= now)
        return &m_requests.front();
    const auto check = [&](ConnectionState state, Duration timeout) -> ConnectionEntry* {
        auto& list = listOf(state);
        return !list.empty() && list.front().progressAt + timeout <= now ? &list.front() : nullptr;
    };
    if (auto* entry = check(Unused, timeouts.idle))
        return entry;
    if (auto* entry = check(Idle, timeouts.idle))
        return entry;
    if (auto* entry = check(Writing, timeouts.response))
        return entry;
    return check(Lingering, timeouts.linger);
}

std::optional<TimePoint> ConnectionTable::earliestDeadline(const ConnectionTimeouts& timeouts) const
{
    using enum ConnectionState;
    std::optional<TimePoint> earliest;
    if (!m_requests.empty())
        consider(earliest, m_requests.front().enteredAt + timeouts.request);
    for (const auto& [state, timeout] : { std::pair(Unused, timeouts.idle), std::pair(Idle, timeouts.idle),
             std::pair(Writing, timeouts.response), std::pair(Lingering, timeouts.linger) }) {
        if (const auto& list = listOf(state); !list.empty())
            consider(earliest, list.front().progressAt + timeout);
    }
    return earliest;
}

} // namespace jujubereach::net
