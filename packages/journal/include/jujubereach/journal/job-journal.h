// The journal of one domain: the jobs that were accepted, the claims of their starts and their ends, in
// one value of the key-value service.
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
    Fence, ///< A new owner: records of older terms are refused from now on.
    Accept,
    Claim, ///< An attempt of a job that is not restartable is about to start.
    Unclaim, ///< That attempt did not run, or its progress is saved in `spec`.
    Update, ///< A newer `spec`, with attempt and progress.
    End,
};

struct JobEnd {
    std::string kind; ///< Such as "completed"; by name, so that older hosts can read newer ones.
    std::string ran; ///< "yes", "no" or "unknown".
    std::string reason; ///< Of a refusal, else empty.
    std::string text; ///< One sentence for people.
    WallTime at;
};

struct JobRecord {
    JobRecordKind kind = JobRecordKind::Accept;
    std::uint64_t term = 0; ///< Of the owner that wrote it.
    JobId job; ///< Empty for a fence.
    std::string key; ///< Accept: "<workspace>/<idempotency key>", or empty.
    std::string spec; ///< Opaque here. Empty leaves the journaled one.
    std::string gang; ///< Claim, Unclaim.
    std::optional<JobEnd> end; ///< End.
    WallTime at;
    bool copied = false; ///< Flushed by the holder of a copy: its term is not judged.
};

/// A job as it stands in the journal.
struct JournalEntry {
    std::string key;
    std::string spec; ///< Empty once the job has ended.
    std::string claim; ///< Gang that may have started; only of jobs that are not restartable.
    std::optional<JobEnd> end;
    WallTime acceptedAt;
};

struct JobJournal {
    std::uint64_t term = 0; ///< Newest fence.
    std::map<JobId, JournalEntry> jobs;

    /// The job with this key, so that a retried submit finds it.
    std::optional<JobId> findKey(const std::string& key) const;
};

struct JournalLimits {
    std::size_t maxBytes = 900'000; ///< Of the payload, estimated.
    std::size_t maxSpecBytes = 16'384;
    Duration endRetention { 24 * 3'600'000 };
    Duration minEndRetention { 3'600'000 }; ///< When space is short; copies expire before it.
};

std::string encodeJournal(const JobJournal& journal);
Result<JobJournal> decodeJournal(const std::string& payload);

/// A record for the committer. `id` names the change, so that a replay of it changes nothing.
Record encodeRecord(const std::string& id, const JobRecord& record);
Result<JobRecord> decodeRecord(const std::string& body);
/// The same record as the holder of a copy flushes it.
Record asCopied(const Record& record);

/// Applies one record. Answers why it is refused, or "".
/// A refused Accept of a known key answers "duplicate key of <job>".
std::string applyRecord(JobJournal& journal, const JobRecord& record, const JournalLimits& limits);

/// For the committer of a domain's journal.
ApplyRecords jobJournalApply(JournalLimits limits = {});

/// Key of a domain's journal in the service.
std::string journalKey(const ZoneId& zone, const DomainId& domain);

} // namespace jujubereach::journal
