// The refusals of one host: counted, aggregated in floods, and committed to segments in the service.
//
// An entry is open while refusals are added to it, then closed for ever and committed under its reference.
// Memory is bounded: the more entries wait, the more refusals share one, and no count is lost.
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
    std::size_t maxEntries = 20'000; ///< Not durable yet, in memory.
    std::size_t entriesPerSegment = 250;
    std::size_t maxFieldBytes = 96; ///< Of a workspace, caller, class or reason; longer ones are cut.
    Duration openTime { 1'000 }; ///< Of an entry, before it is closed and committed.
    std::uint64_t seed = 1;
};

class RefusalLedger {
public:
    explicit RefusalLedger(LedgerConfig config);

    /// Counts a refusal. Answers its reference, by which any host finds its entry from now on.
    std::string record(const Refusal& refusal, TimePoint now);

    /// The call to the service that is due, if any; answered by onReply. One is under way at a time.
    std::optional<journal::KvCall> nextCall(TimePoint now, journal::CallBudget& budget);
    void onReply(const platform::KvReply& reply, TimePoint now);
    TimePoint nextDue(TimePoint now) const;

    /// Closed entries for the peers, until they are durable.
    std::vector<journal::PeerCopy> dueCopies(TimePoint now) { return m_buffer.dueCopies(now); }
    void onCopied(const journal::PeerCopy& copy) { m_buffer.onCopied(copy); }
    void onPeersLost() { m_buffer.onPeersLost(); }

    /// Entries that are not durable yet. The rest is in the service.
    std::vector<RefusalEntry> pending(const RefusalQuery& query) const;

    struct Stats {
        std::uint64_t recorded = 0; ///< Refusals since the start.
        std::uint64_t durable = 0; ///< Of them, in the service.
        std::size_t entries = 0; ///< Not durable yet.
    };
    Stats stats() const;

private:
    /// What refusals of one entry have in common.
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
    /// One value in the service.
    struct Segment {
        std::unique_ptr<journal::GroupCommitter> committer;
        std::map<std::string, RefusalEntry> closed; ///< By reference, until committed.
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
    std::map<std::uint64_t, Segment> m_segments; ///< With entries that are not durable yet.
    std::size_t m_closedCount = 0;
    std::uint64_t m_currentSegment = 0; ///< That takes new entries.
    std::uint64_t m_nextNumber = 0; ///< In that segment.
    std::optional<std::uint64_t> m_segmentInCall; ///< Segment whose call is under way.
    std::uint64_t m_recorded = 0;
    std::uint64_t m_durable = 0;
};

/// Segments whose newest entry is older than `retention`, to be removed from the service by any host.
std::vector<platform::KvEntry> expiredSegments(
    const std::vector<platform::KvEntry>& segments, WallTime now, Duration retention);

} // namespace jujubereach::ledger
