// Commits records to one value of the key-value service, many with each compare-and-swap.
//
// The committer does no I/O: next() says which call to make, onReply() takes what came of it, and
// takeCompletions() says what became of the records. One call is under way at a time.
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
    std::string id; ///< Unique; two records with one id are the same change.
    std::string body; ///< Opaque to the committer.
};

struct AppliedRecords {
    std::string payload; ///< The value after the records.
    std::vector<std::string> rejections; ///< One for each record; empty when it was accepted.
};

/// Applies records to a payload, "" at first. Must be idempotent: a record that the payload holds already
/// is accepted and changes nothing.
using ApplyRecords
    = std::function<AppliedRecords(const std::string& payload, const std::vector<Record>& records)>;

enum class CommitStatus {
    Committed,
    Rejected, ///< By apply, on a value that was current after the record was added.
    NotWritten, ///< Withdrawn and provably not written.
    Unknown, ///< Withdrawn after a write whose outcome is not known.
};

struct Completion {
    std::string id;
    CommitStatus status = CommitStatus::Committed;
    std::string reason; ///< Of a rejection.
};

struct KvCall {
    CallKind kind = CallKind::Read; ///< A get, or a compare-and-swap.
    std::string key;
    std::string value;
    Revision expected;
};

/// Carries out a call; for traffic threads.
platform::KvReply executeCall(const platform::KvService& service, const KvCall& call);

struct CommitterConfig {
    std::string key;
    std::string writer; ///< Unique to this process, as "<host>#<incarnation>"; without spaces.
    CallPriority priority = CallPriority::Jobs;
    std::size_t maxPending = 4'096; ///< Records.
    std::size_t maxPendingBytes = 4 << 20;
    std::size_t maxBatch = 512; ///< Records in one write.
    Duration interval { 20 }; ///< Between writes, so that records gather.
    Duration minBackoff { 100 };
    Duration maxBackoff { 5'000 };
    std::uint64_t seed = 1;
};

/// The payload of a value that a committer wrote.
std::string payloadOf(const std::string& value);

class GroupCommitter {
public:
    GroupCommitter(CommitterConfig config, ApplyRecords apply);

    /// False when the bound of pending records is reached. Records are committed in the order of adding.
    bool add(Record record, TimePoint now);
    /// Gives up a record. Answers NotWritten or Unknown; no completion follows.
    CommitStatus withdraw(const std::string& id);
    /// Asks for the current value although nothing is to be written.
    void requestRead() { m_readWanted = true; }

    /// The call to make now, if one is due and the budget has it. It must be answered by onReply.
    std::optional<KvCall> nextCall(TimePoint now, CallBudget& budget);
    void onReply(const platform::KvReply& reply, TimePoint now);
    std::vector<Completion> takeCompletions();

    /// Last known payload; nothing before the first read and after a conflict until the next read.
    const std::string* payload() const { return m_value ? &m_value->payload : nullptr; }
    /// Rises whenever a payload of another writer was read.
    std::uint64_t readCount() const { return m_reads; }
    /// False from the first failed call until the next answered one.
    bool isAvailable() const { return m_failures == 0; }
    std::size_t pending() const { return m_pending.size(); }
    /// When next() may have a call; the far future when nothing is wanted.
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
        TimePoint callIssuedAt; ///< The value was current at some time after it.
    };
    /// One compare-and-swap.
    struct Write {
        std::string operation;
        std::vector<std::string> ids; ///< Of its records.
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
    std::deque<Pending> m_pending; ///< Also those of m_write and m_unknown until they are completed.
    std::unordered_set<std::string> m_ids; ///< Of m_pending.
    std::size_t m_pendingBytes = 0;
    std::optional<Value> m_value;
    bool m_reading = false;
    std::optional<Write> m_write; ///< Under way.
    std::vector<Write> m_unknown; ///< May have taken effect; may still do so at the known revision.
    std::vector<Completion> m_completions;
    bool m_readWanted = false;
    TimePoint m_readIssuedAt;
    std::size_t m_batchLimit; ///< At most maxBatch; smaller after a write was too large.
    std::uint64_t m_nextOperation = 1;
    std::uint64_t m_reads = 0;
    std::uint32_t m_failures = 0; ///< In a row.
    TimePoint m_notBefore;
};

} // namespace jujubereach::journal
