// A record of work that was turned away, its reference, and its place in the key-value service.
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

/// One refusal as it happens.
struct Refusal {
    WorkspaceId workspace;
    CallerId caller;
    ClassId workClass;
    std::string reason; ///< By name, such as "queue_full".
    std::string ran = "no"; ///< "no", "yes" or "unknown".
    WallTime at;
};

/// Refusals that differ in nothing but their time within `span`.
struct RefusalEntry {
    std::string reference; ///< Shared by all of them.
    WorkspaceId workspace; ///< "*" for several, when a flood was aggregated further.
    CallerId caller; ///< Likewise.
    ClassId workClass; ///< Likewise.
    std::string reason;
    std::string ran;
    WallTime from; ///< Start of the span.
    Duration span { 1'000 };
    std::uint64_t count = 0;
};

/// Stands for "several" in an entry.
constexpr const char* wildcardId = "*";

/// Where an entry lies: host, segment and number. Its text is
/// "<zone>/<host>.<incarnation>/<segment>/<number>" and needs no escape in a URL.
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
/// Prefix of the segments of a zone, or of all.
std::string segmentPrefix(const ZoneId& zone = {});

/// Empty fields match everything. An entry with "*" matches every workspace, caller or class, since it may
/// hold refusals of it.
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
/// Entries of several sources, each reference once, newest first, at most the query's limit.
std::vector<RefusalEntry> merge(const std::vector<RefusalEntry>& entries, const RefusalQuery& query);

/// The record of an entry for the committer of its segment; its id is the reference.
journal::Record encodeEntry(const RefusalEntry& entry);
Result<RefusalEntry> decodeEntry(const std::string& body);
/// The entries of a segment as it stands in the service.
Result<std::vector<RefusalEntry>> decodeSegment(const std::string& value);
/// Adds entries to a segment; an entry that is there already is not added again.
journal::AppliedRecords applyEntries(const std::string& payload, const std::vector<journal::Record>& records);

} // namespace jujubereach::ledger
