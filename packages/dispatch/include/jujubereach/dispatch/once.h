// Records in the key-value service that let a request that is not repeatable run at most once.
//
// A record is created before dispatch, by a write that succeeds for one host only. The functions take
// the value of a shard and give its new value; the caller runs them through a compare-and-swap.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/ran.h"
#include "jujubereach/base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace jujubereach::dispatch {

enum class OnceState {
    Dispatched, ///< Its host may have sent it.
    Done, ///< An upstream gave its whole answer.
    NotRun, ///< Known not to have run; the key may be used again.
    Unknown, ///< May have run; never run again.
};
const char* nameOf(OnceState state);

struct OnceRecord {
    std::string key; ///< onceKey(): digest of workspace and idempotency key.
    std::string digest; ///< bodyDigest() of the request; the same key with another body is an error.
    RequestId request;
    HostId host; ///< That created the record and alone may dispatch.
    Incarnation incarnation;
    OnceState state = OnceState::Dispatched;
    WallTime created;
    int upstreamStatus = 0; ///< HTTP status when done.
    std::string body; ///< When done and no longer than the bound; else kept by the host alone.
    bool hasBody = false;
};

struct OnceLimits {
    std::uint32_t shards = 64;
    std::size_t shardBytes = 900'000; ///< Below what the service takes.
    std::size_t bodyBytes = 1024; ///< A longer answer is not kept in the record.
    Duration retention { 24 * 3600 * 1000 }; ///< For which a key is remembered.
};

std::string onceKey(const WorkspaceId& workspace, const std::string& idempotencyKey);
std::string bodyDigest(const std::string& body);
/// Key of the shard in the service: "once/<shard>".
std::string onceShard(const std::string& key, const OnceLimits& limits);

enum class OnceVerdict {
    Created, ///< This request holds the record and may be dispatched, once.
    Exists, ///< Another request holds the key; see the record.
    Mismatch, ///< The key was used with another body.
    ShardFull, ///< No room for a record: not run.
    Changed, ///< The record has the new state.
    NotHeld, ///< The record is gone or is another request's; nothing was changed.
    Corrupt, ///< The value cannot be read; nothing was changed.
};
const char* nameOf(OnceVerdict verdict);

struct OnceChange {
    OnceVerdict verdict = OnceVerdict::Corrupt;
    std::optional<std::string> value; ///< What to write; nothing when the shard stays as it is.
    std::optional<OnceRecord> record; ///< The record of the key after the change.
};

/// Creates the record. Applying it again after a lost reply says Created again: the request id and the
/// host's incarnation are the same. Drops records older than the retention.
OnceChange createOnce(
    const std::string& value, const OnceRecord& record, WallTime now, const OnceLimits& limits);

/// The holder's outcome: Done, NotRun or Unknown. A late Done replaces Unknown; Done and NotRun are final.
OnceChange completeOnce(const std::string& value, const OnceRecord& outcome, const OnceLimits& limits);

/// Another host found that the holder is gone: Dispatched becomes Unknown.
OnceChange abandonOnce(const std::string& value, const std::string& key, const RequestId& request);

/// The record of a key; nothing when there is none or the value cannot be read.
std::optional<OnceRecord> findOnce(const std::string& value, const std::string& key);

/// What is known of the host that a record names.
enum class HolderState {
    Self, ///< This host and incarnation.
    Alive, ///< A live peer of the same incarnation.
    Gone, ///< Left, or started anew.
    NotReached, ///< Of another zone, or silent: its state is not known.
};

enum class OnceAction {
    Dispatch, ///< Run it; nobody else will.
    AnswerFromRecord,
    WaitHere, ///< In progress in this host: attach to it.
    FetchFromHolder, ///< In progress, or its answer is kept, at the host of the record.
    MarkUnknown, ///< abandonOnce(), then answer "unknown; never run again".
    AnswerUnknown, ///< "Unknown; never run again".
    AskLater, ///< Somebody has it in hand; its outcome is not known here yet.
    Refuse, ///< Not run by this request.
};
const char* nameOf(OnceAction action);

/// What to do after createOnce() with its verdict and record.
OnceAction decideOnce(const OnceChange& change, HolderState holder);

} // namespace jujubereach::dispatch
