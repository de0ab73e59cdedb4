// The journal of one domain, stored in one value of the key-value service: accepted jobs, claims of attempts
// and ends.
#pragma once

#include "jujubereach/base/error.h"
#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"
#include "jujubereach/journal/group-log.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubereach::journal {

enum class JobRecordKind {
    Fence, ///< Starts a new owner's term: from now on, records of older terms are rejected.
    Accept,
    Claim, ///< An attempt of a non-restartable job is about to start.
    Unclaim, ///< The claimed attempt did not run, or its progress is saved in `spec`.
    Update, ///< Updates `spec`, with attempt count and progress.
    End,
};

struct JobEnd {
    std::string kind; ///< Such as "completed". A name, so that older hosts can read kinds added later.
    std::string ran; ///< "yes", "no" or "unknown".
    std::string reason; ///< Refusal reason, or empty.
    std::string text; ///< One sentence for the user.
    WallTime at;
};

struct JobRecord {
    JobRecordKind kind = JobRecordKind::Accept;
    std::uint64_t term = 0; ///< Term of the owner that wrote the record.
    JobId job; ///< Empty for a fence.
    std::string key; ///< For Accept: "<workspace>/<idempotency key>", or empty.
    std::string spec; ///< Opaque to the journal. If empty, the journaled one is kept.
    std::string gang; ///< For Claim and Unclaim.
    std::optional<JobEnd> end; ///< For End.
    WallTime at;
    bool copied = false; ///< Flushed from a peer's copy; exempt from the check of its term.
};

/// A job in the journal.
struct JournalEntry {
    std::string key;
    std::string spec; ///< Empty once the job has ended.
    std::string claim; ///< Gang that may have started; only for non-restartable jobs.
    std::optional<JobEnd> end;
    WallTime acceptedAt;
};

struct JobJournal {
    std::uint64_t term = 0; ///< Term of the newest fence.
    std::map<JobId, JournalEntry> jobs;

    /// Finds the job with this idempotency key, so that a retried submit is recognized.
    std::optional<JobId> findKey(const std::string& key) const;
};

struct JournalLimits {
    std::size_t maxBytes = 900'000; ///< Estimated size of the payload.
    std::size_t maxSpecBytes = 16'384;
    Duration endRetention { 24 * 3'600'000 };
    /// Applies when space is short. Longer than peers keep copies, so that a flushed copy finds its job's
    /// end.
    Duration minEndRetention { 3'600'000 };
};

std::string encodeJournal(const JobJournal& journal);
Result<JobJournal> decodeJournal(const std::string& payload);

/// Encodes a record for the committer. `id` identifies the change, so that replaying it has no effect.
Record encodeRecord(const std::string& id, const JobRecord& record);
Result<JobRecord> decodeRecord(const std::string& body);
/// Returns the record marked as flushed from a peer's copy.
Record asCopied(const Record& record);

/// Applies one record. Returns the reason if it is rejected, else an empty string.
/// An Accept with a known key is rejected with "duplicate key of <job>".
std::string applyRecord(JobJournal& journal, const JobRecord& record, const JournalLimits& limits);

/// Returns the apply function for the committer of a domain's journal.
ApplyRecords jobJournalApply(JournalLimits limits = {});

/// Returns the key of a domain's journal in the key-value service.
std::string journalKey(const ZoneId& zone, const DomainId& domain);

} // namespace jujubereach::journal
