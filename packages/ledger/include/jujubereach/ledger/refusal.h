// Records of refused work, their references, and their keys in the key-value service.
#pragma once

#include "jujubereach/base/error.h"
#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"
#include "jujubereach/journal/group-log.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujubereach::ledger {

/// One refusal.
struct Refusal {
    WorkspaceId workspace;
    CallerId caller;
    ClassId workClass;
    std::string reason; ///< Name of the reason, such as "queue_full".
    std::string ran = "no"; ///< Whether the work ran: "no", "yes" or "unknown".
    WallTime at;
};

/// Refusals that are equal except for their time within `span`.
struct RefusalEntry {
    std::string reference; ///< Shared by all refusals of the entry.
    WorkspaceId workspace; ///< "*" for several workspaces, after aggregation under load.
    CallerId caller; ///< "*" for several.
    ClassId workClass; ///< "*" for several.
    std::string reason;
    std::string ran;
    WallTime from; ///< Start of the span.
    Duration span { 1'000 };
    std::uint64_t count = 0;
};

/// Value of an entry's workspace, caller or class that stands for several.
constexpr const char* wildcardId = "*";

/// Location of an entry. Its text form "<zone>/<host>.<incarnation>/<segment>/<number>" needs no escaping in
/// a URL.
struct Reference {
    ZoneId zone;
    HostId host;
    Incarnation incarnation;
    std::uint64_t segment = 0;
    std::uint64_t number = 0;
};

std::string textOf(const Reference& reference);
Result<Reference> parseReference(const std::string& text);
/// Key of the segment in the service: "refusals/<zone>/<host>#<incarnation>/<segment>".
std::string segmentKey(const Reference& reference);
/// Key prefix of the segments of a zone; of all zones if `zone` is empty.
std::string segmentPrefix(const ZoneId& zone = {});

/// Unset fields match everything. A "*" in an entry matches every workspace, caller or class, since the entry
/// may contain refusals of it.
struct RefusalQuery {
    std::optional<std::string> reference;
    std::optional<WorkspaceId> workspace;
    std::optional<CallerId> caller;
    std::optional<ClassId> workClass;
    std::optional<std::string> reason;
    std::optional<WallTime> from; ///< Inclusive.
    std::optional<WallTime> until; ///< Exclusive.
    std::size_t limit = 1'000;
};

bool matches(const RefusalQuery& query, const RefusalEntry& entry);
/// Merges matching entries of several sources: each reference once (with its highest count), newest first, at
/// most `query.limit`.
std::vector<RefusalEntry> merge(const std::vector<RefusalEntry>& entries, const RefusalQuery& query);

/// Record of an entry for the committer of its segment; the record's id is the reference.
journal::Record encodeEntry(const RefusalEntry& entry);
Result<RefusalEntry> decodeEntry(const std::string& body);
/// Decodes the value of a segment in the service.
Result<std::vector<RefusalEntry>> decodeSegment(const std::string& value);
/// Appends entries to a segment; entries already in it are skipped, so repeated commits are idempotent.
journal::AppliedRecords applyEntries(const std::string& payload, const std::vector<journal::Record>& records);

} // namespace jujubereach::ledger
