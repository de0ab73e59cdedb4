// Group commit of records to one value of the key-value service, many in each compare-and-swap.
//
// The committer does no I/O: nextCall() returns the call to make, onReply() takes its result, and
// takeCompletions() returns the outcomes of records. One call is in flight at a time.
#pragma once

#include "jujubereach/base/random.h"
#include "jujubereach/base/time.h"
#include "jujubereach/journal/call-budget.h"
#include "jujubereach/platform/kv.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace jujubereach::journal {

struct Record {
    std::string id; ///< Unique; records with the same id are the same change.
    std::string body; ///< Opaque to the committer.
};

struct AppliedRecords {
    std::string payload; ///< Payload after the records were applied.
    std::vector<std::string> rejections; ///< Reason for each record; empty if it was accepted.
};

/// Applies records to a payload, which is initially empty. Must be idempotent: a record that the payload
/// already contains is accepted and changes nothing.
using ApplyRecords
    = std::function<AppliedRecords(const std::string& payload, const std::vector<Record>& records)>;

enum class CommitStatus {
    Committed,
    Rejected, ///< By ApplyRecords, on a value that was current after the record was added.
    NotWritten, ///< Withdrawn, and certainly not written.
    Unknown, ///< Withdrawn after a write whose outcome is unknown.
};

struct Completion {
    std::string id;
    CommitStatus status = CommitStatus::Committed;
    std::string reason; ///< Set if rejected.
};

struct KvCall {
    CallKind kind = CallKind::Read; ///< A get, or a compare-and-swap.
    std::string key;
    std::string value;
    Revision expected;
};

/// Performs a call synchronously; meant for a traffic thread.
platform::KvReply executeCall(const platform::KvService& service, const KvCall& call);

struct CommitterConfig {
    std::string key;
    std::string writer; ///< Unique to this process, as "<host>#<incarnation>". Must not contain spaces.
    CallPriority priority = CallPriority::Jobs;
    std::size_t maxPending = 4'096; ///< Records.
    std::size_t maxPendingBytes = 4 << 20;
    std::size_t maxBatch = 512; ///< Records in one write.
    Duration interval { 20 }; ///< Minimum time between writes, so that records accumulate.
    Duration minBackoff { 100 };
    Duration maxBackoff { 5'000 };
    std::uint64_t seed = 1;
};

/// Returns the payload of a value written by a committer.
std::string payloadOf(const std::string& value);

class GroupCommitter {
public:
    GroupCommitter(CommitterConfig config, ApplyRecords apply);

    /// Returns false if the limit of pending records is reached. Records are committed in the order added.
    bool add(Record record, TimePoint now);
    /// Cancels a pending record. Returns NotWritten or Unknown; no completion follows.
    CommitStatus withdraw(const std::string& id);
    /// Requests a read of the current value, even if nothing is pending.
    void requestRead() { m_readWanted = true; }

    /// Returns the call to make now, if one is due and within the budget. It must be answered by onReply().
    std::optional<KvCall> nextCall(TimePoint now, CallBudget& budget);
    void onReply(const platform::KvReply& reply, TimePoint now);
    std::vector<Completion> takeCompletions();

    /// Last known payload; null before the first read, and after a conflict until the next read.
    const std::string* payload() const { return m_value ? &m_value->payload : nullptr; }
    /// Number of successful reads, each of which may have found changes of other writers.
    std::uint64_t readCount() const { return m_reads; }
    /// False from a failed call until the next one that the service answers.
    bool isAvailable() const { return m_failures == 0; }
    std::size_t pending() const { return m_pending.size(); }
    /// The earliest time at which nextCall() may return a call; TimePoint::max() if none is needed.
    TimePoint nextDue() const;

private:
    struct Pending {
        Record record;
        TimePoint addedAt;
    };
    struct Value {
        std::string payload;
        std::vector<std::string> operations; ///< Newest last.
        Revision revision;
        TimePoint callIssuedAt; ///< When that call was issued: the value was current at some later time.
    };
    /// One compare-and-swap.
    struct Write {
        std::string operation;
        std::vector<std::string> ids; ///< Ids of its records.
        std::vector<std::string> rejections;
        std::string payload;
        Revision expected;
        TimePoint issuedAt;
    };

    bool wantsCall() const;
    std::optional<KvCall> read(TimePoint now, CallBudget& budget);
    std::optional<KvCall> write(TimePoint now, CallBudget& budget);
    Write prepareWrite(TimePoint now);
    bool isFreshFor(const Write& write) const;
    void onRead(const platform::KvReply& reply, TimePoint now);
    void onWritten(const platform::KvReply& reply, TimePoint now);
    void onTooLarge(const Write& write);
    void resolveUnknownWrites();
    void complete(const Write& write);
    void backOff(TimePoint now);
    std::string encode(const Write& write) const;
    void decode(const std::string& value);

    CommitterConfig m_config;
    ApplyRecords m_apply;
    Random m_random;
    std::deque<Pending> m_pending; ///< Includes the records of m_write and m_unknown until they complete.
    std::unordered_set<std::string> m_ids; ///< Ids in m_pending.
    std::size_t m_pendingBytes = 0;
    std::optional<Value> m_value;
    bool m_reading = false;
    std::optional<Write> m_write; ///< In flight.
    std::vector<Write> m_unknown; ///< Writes with unknown outcome; they may still take effect.
    std::vector<Completion> m_completions;
    bool m_readWanted = false;
    TimePoint m_readIssuedAt;
    std::size_t m_batchLimit; ///< At most maxBatch records; reduced after a write was too large.
    std::uint64_t m_nextOperation = 1;
    std::uint64_t m_reads = 0;
    std::uint32_t m_failures = 0; ///< Consecutive failed calls.
    TimePoint m_notBefore;
};

} // namespace jujubereach::journal
