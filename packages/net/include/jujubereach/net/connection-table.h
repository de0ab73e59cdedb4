// Connections of one listener in the order in which they are closed: those that have expired, and those with
// the least progress when descriptors or memory run out. No I/O and no clock; all operations take constant
// time.
#pragma once

#include "jujubereach/base/time.h"
#include "jujubereach/net/memory-budget.h"

#include <boost/intrusive/list.hpp>

#include <array>
#include <optional>

namespace jujubereach::net {

enum class ConnectionState {
    Unused, ///< Has sent nothing yet.
    Idle, ///< Was answered at least once; sends nothing.
    Reading, ///< A request has arrived in part.
    Deciding, ///< The handler has not responded yet; never closed to gain capacity.
    Writing, ///< The client has not taken the whole response yet.
    Pipelined, ///< Has sent further requests before the last response; they wait for other connections' turn.
    Lingering, ///< Was refused; what it still sends is discarded, so that it can read the answer.
};
constexpr std::size_t connectionStates = 7;
const char* nameOf(ConnectionState state);

struct ConnectionTimeouts {
    Duration request { 3000 }; ///< From the first byte of a request to its last.
    Duration idle { 15'000 };
    Duration response { 10'000 }; ///< For each `ConnectionTable::responseProgress` bytes.
    Duration linger { 1000 };
};

/// Base of a connection. Maintained by the table.
struct ConnectionEntry {
    using Hook = boost::intrusive::list_member_hook<>;

    ClientUse* client = nullptr; ///< Set before the entry is added.
    ConnectionState state = ConnectionState::Unused;
    TimePoint enteredAt; ///< When the state began.
    TimePoint progressAt;
    std::size_t unaccountedBytes = 0; ///< Bytes since `progressAt`, less than those that count as progress.
    Hook progressHook;
    Hook requestHook; ///< Linked while the state is Reading.
};

class ConnectionTable {
public:
    /// Bytes that count as progress. Fewer bytes leave a connection's place in the order unchanged; otherwise
    /// single bytes at long intervals would keep a slow connection open.
    static constexpr std::size_t requestProgress = 4096;
    static constexpr std::size_t responseProgress = 16'384;
    /// Time without progress after which a connection is closed when others need its capacity. Longer than a
    /// retransmission on a link of 40 ms.
    static constexpr Duration stallTime { 500 };

    explicit ConnectionTable(std::size_t maxConnections = SIZE_MAX)
        : m_max(maxConnections)
    {
    }

    void add(ConnectionEntry& entry, TimePoint now);
    void remove(ConnectionEntry& entry);
    void enter(ConnectionEntry& entry, ConnectionState state, TimePoint now);
    void progress(ConnectionEntry& entry, std::size_t bytes, TimePoint now);

    bool isFull() const { return m_size >= m_max; }
    std::size_t size() const { return m_size; }
    std::size_t count(ConnectionState state) const { return listOf(state).size(); }

    /// The connection to close for the sake of a new one; null if all are being decided.
    ConnectionEntry* victimForConnection(TimePoint now, std::size_t clients);
    /// The connection to close for the sake of the memory that it holds; null if none is stalled.
    ConnectionEntry* victimForMemory(TimePoint now);
    /// As above, among the connections of one client. Searches a bounded number of connections.
    ConnectionEntry* victimForMemory(TimePoint now, const ClientUse& client);
    /// The client that has waited longest with its response unread; null if there is none.
    ConnectionEntry* oldestWriter();

    /// A connection whose time is over; null if there is none.
    ConnectionEntry* expired(TimePoint now, const ConnectionTimeouts& timeouts);
    std::optional<TimePoint> earliestDeadline(const ConnectionTimeouts& timeouts) const;

private:
    using ByProgress = boost::intrusive::list<ConnectionEntry,
        boost::intrusive::member_hook<ConnectionEntry, ConnectionEntry::Hook,
            &ConnectionEntry::progressHook>>;
    using ByRequest = boost::intrusive::list<ConnectionEntry,
        boost::intrusive::member_hook<ConnectionEntry, ConnectionEntry::Hook, &ConnectionEntry::requestHook>>;

    ByProgress& listOf(ConnectionState state) { return m_lists[static_cast<std::size_t>(state)]; }
    const ByProgress& listOf(ConnectionState state) const { return m_lists[static_cast<std::size_t>(state)]; }
    ConnectionEntry* stalled(ConnectionState state, TimePoint now);
    ConnectionEntry* stalledOf(const ClientUse& client, ConnectionState state, TimePoint now);
    ConnectionEntry* majority(std::size_t clients);
    ConnectionEntry* first(ConnectionState state, std::size_t clients);

    const std::size_t m_max;
    std::size_t m_size = 0; ///< Sum of the sizes of `m_lists`.
    std::array<ByProgress, connectionStates> m_lists; ///< One per state, each ordered by `progressAt`.
    ByRequest m_requests; ///< Those in state Reading, ordered by `enteredAt`.
};

} // namespace jujubereach::net
