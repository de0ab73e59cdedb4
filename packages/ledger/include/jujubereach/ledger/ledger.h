// Counts the refusals of one host, aggregates them under load, and commits them to segments in the key-value
// service.
//
// Refusals are added to an entry while it is open; a closed entry is immutable and is committed under its
// reference. Memory is bounded: the more entries wait, the coarser the aggregation. Counts are never dropped.
#pragma once

#include "jujubereach/journal/call-budget.h"
#include "jujubereach/journal/group-log.h"
#include "jujubereach/journal/outage-buffer.h"
#include "jujubereach/ledger/refusal.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jujubereach::ledger {

struct LedgerConfig {
    ZoneId zone;
    HostId host;
    Incarnation incarnation;
    /// Entries in memory that are not durable yet; aggregation gets coarser towards it.
    std::size_t maxEntries = 20'000;
    std::size_t entriesPerSegment = 250;
    std::size_t maxFieldBytes = 96; ///< Of a workspace, caller, class or reason; longer ones are truncated.
    Duration openTime { 1'000 }; ///< Time that an entry stays open before it is closed and committed.
    std::uint64_t seed = 1;
};

class RefusalLedger {
public:
    explicit RefusalLedger(LedgerConfig config);

    /// Counts a refusal and returns the reference of its entry, by which any host can look it up.
    std::string record(const Refusal& refusal, TimePoint now);

    /// Returns the next due call to the service, if any; its reply goes to onReply(). At most one call is in
    /// flight.
    std::optional<journal::KvCall> nextCall(TimePoint now, journal::CallBudget& budget);
    void onReply(const platform::KvReply& reply, TimePoint now);
    TimePoint nextDue(TimePoint now) const;

    /// Closed entries to copy to peers until they are durable.
    std::vector<journal::PeerCopy> dueCopies(TimePoint now) { return m_buffer.dueCopies(now); }
    void onCopied(const journal::PeerCopy& copy) { m_buffer.onCopied(copy); }
    void onPeersLost() { m_buffer.onPeersLost(); }

    /// Matching entries that are not durable yet; durable ones are in the service.
    std::vector<RefusalEntry> pending(const RefusalQuery& query) const;

    struct Stats {
        std::uint64_t recorded = 0; ///< Refusals recorded since the start.
        std::uint64_t durable = 0; ///< Refusals among them that are durable in the service.
        std::size_t entries = 0; ///< Entries that are not durable yet.
    };
    Stats stats() const;

private:
    /// Fields shared by all refusals of an entry.
    struct AggregationKey {
        WorkspaceId workspace;
        CallerId caller;
        ClassId workClass;
        std::string reason;
        std::string ran;
        std::int64_t from = 0;
        std::int64_t span = 0;

        friend auto operator<=>(const AggregationKey&, const AggregationKey&) = default;
    };
    struct OpenEntry {
        RefusalEntry entry;
        std::uint64_t segment = 0;
        TimePoint since;
    };
    /// Group of entries stored as one value in the service.
    struct Segment {
        std::unique_ptr<journal::GroupCommitter> committer;
        std::map<std::string, RefusalEntry> closedEntries; ///< By reference, until committed.
    };

    AggregationKey aggregationKeyOf(const Refusal& refusal) const;
    OpenEntry& open(const AggregationKey& key, TimePoint now);
    void closeEntries(TimePoint now);
    void close(OpenEntry& open, TimePoint now);
    Segment& segmentOf(std::uint64_t number);
    void handleCompletions(Segment& segment);
    std::string keyOfSegment(std::uint64_t number) const;
    std::size_t entries() const { return m_open.size() + m_closedCount; }

    LedgerConfig m_config;
    journal::OutageBuffer m_buffer;
    std::map<AggregationKey, OpenEntry> m_open;
    std::map<std::uint64_t, Segment> m_segments; ///< Segments with entries that are not durable yet.
    std::size_t m_closedCount = 0;
    std::uint64_t m_currentSegment = 0; ///< Segment that receives new entries.
    std::uint64_t m_nextNumber = 0; ///< Number of the next entry in m_currentSegment.
    std::optional<std::uint64_t> m_segmentInCall; ///< Segment whose call is in flight.
    std::uint64_t m_recorded = 0;
    std::uint64_t m_durable = 0;
};

/// Returns the segments whose newest entry is older than `retention`. Any host may remove them from the
/// service.
std::vector<platform::KvEntry> expiredSegments(
    const std::vector<platform::KvEntry>& segments, WallTime now, Duration retention);

} // namespace jujubereach::ledger
