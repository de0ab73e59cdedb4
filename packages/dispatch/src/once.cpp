#include "jujubereach/dispatch/once.h"

#include "once-shard.h"

#include "jujubereach/base/random.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

namespace jujubereach::dispatch {

namespace {

    constexpr std::size_t digestLetters = 32; // 128 bits

    std::string digestOf(const std::string& text)
    {
        Poco::SHA2Engine engine;
        engine.update(text);
        return Poco::DigestEngine::digestToHex(engine.digest()).substr(0, digestLetters);
    }

    bool isSameAttempt(const OnceRecord& a, const OnceRecord& b)
    {
        return a.request == b.request && a.host == b.host && a.incarnation == b.incarnation;
    }

    // Done and NotRun never change; Unknown only to Done.
    bool mayBecome(OnceState from, OnceState to)
    {
        if (from == OnceState::Dispatched)
            return to != OnceState::Dispatched;
        return from == OnceState::Unknown && to == OnceState::Done;
    }

    bool fits(const OnceShardText& shard, const OnceLimits& limits)
    {
        return shard.value().size() <= limits.shardBytes;
    }

} // namespace

const char* nameOf(OnceState state)
{
    switch (state) {
    case OnceState::Dispatched:
        return "dispatched";
    case OnceState::Done:
        return "done";
    case OnceState::NotRun:
        return "not_run";
    case OnceState::Unknown:
        return "unknown";
    }
    return "unknown";
}

const char* nameOf(OnceVerdict verdict)
{
    switch (verdict) {
    case OnceVerdict::Created:
        return "created";
    case OnceVerdict::Exists:
        return "exists";
    case OnceVerdict::Mismatch:
        return "key_used_with_another_body";
    case OnceVerdict::ShardFull:
        return "once_shard_full";
    case OnceVerdict::Changed:
        return "changed";
    case OnceVerdict::NotHeld:
        return "not_held";
    case OnceVerdict::Corrupt:
        return "corrupt";
    }
    return "corrupt";
}

const char* nameOf(OnceAction action)
{
    switch (action) {
    case OnceAction::Dispatch:
        return "dispatch";
    case OnceAction::AnswerFromRecord:
        return "answer_from_record";
    case OnceAction::WaitHere:
        return "wait_here";
    case OnceAction::FetchFromHolder:
        return "fetch_from_holder";
    case OnceAction::MarkUnknown:
        return "mark_unknown";
    case OnceAction::AnswerUnknown:
        return "answer_unknown";
    case OnceAction::AskLater:
        return "ask_later";
    case OnceAction::Refuse:
        return "refuse";
    }
    return "refuse";
}

std::string onceKey(const WorkspaceId& workspace, const std::string& idempotencyKey)
{
    // The length keeps ("ab", "c") and ("a", "bc") apart.
    return digestOf(std::to_string(workspace.str().size()) + ":" + workspace.str() + idempotencyKey);
}

std::string bodyDigest(const std::string& body)
{
    return digestOf(body);
}

std::string onceShard(const std::string& key, const OnceLimits& limits)
{
    return "once/" + std::to_string(stableHash(key) % limits.shards);
}

OnceChange createOnce(
    const std::string& value, const OnceRecord& record, WallTime now, const OnceLimits& limits)
{
    auto shard = OnceShardText::from(value);
    if (!shard)
        return { OnceVerdict::Corrupt, std::nullopt, std::nullopt };
    auto known = shard->find(record.key);
    if (known && known->state == OnceState::Dispatched && isSameAttempt(*known, record))
        return { OnceVerdict::Created, std::nullopt, known };
    bool isExpired = known && now.milliseconds - known->created.milliseconds > limits.retention.count();
    if (known && !isExpired && known->state != OnceState::NotRun) {
        bool isSameBody = known->digest.empty() || known->digest == record.digest;
        return { isSameBody ? OnceVerdict::Exists : OnceVerdict::Mismatch, std::nullopt, known };
    }

    OnceRecord created = record;
    created.state = OnceState::Dispatched;
    created.created = now;
    shard->prune({ now.milliseconds - limits.retention.count() });
    shard->put(created);
    if (!fits(*shard, limits))
        return { OnceVerdict::ShardFull, std::nullopt, std::nullopt };
    return { OnceVerdict::Created, shard->value(), created };
}

OnceChange completeOnce(const std::string& value, const OnceRecord& outcome, const OnceLimits& limits)
{
    auto shard = OnceShardText::from(value);
    if (!shard)
        return { OnceVerdict::Corrupt, std::nullopt, std::nullopt };
    auto known = shard->find(outcome.key);
    if (!known || !isSameAttempt(*known, outcome))
        return { OnceVerdict::NotHeld, std::nullopt, known };
    if (known->state == outcome.state)
        return { OnceVerdict::Changed, std::nullopt, known };
    if (!mayBecome(known->state, outcome.state))
        return { OnceVerdict::NotHeld, std::nullopt, known };

    known->state = outcome.state;
    known->upstreamStatus = outcome.upstreamStatus;
    known->hasBody = outcome.state == OnceState::Done && outcome.body.size() <= limits.bodyBytes;
    known->body = known->hasBody ? outcome.body : std::string();
    shard->put(*known);
    if (!fits(*shard, limits)) {
        known->hasBody = false;
        known->body.clear();
        shard->put(*known);
    }
    return { OnceVerdict::Changed, shard->value(), known };
}

OnceChange abandonOnce(const std::string& value, const std::string& key, const RequestId& request)
{
    auto shard = OnceShardText::from(value);
    if (!shard)
        return { OnceVerdict::Corrupt, std::nullopt, std::nullopt };
    auto known = shard->find(key);
    if (!known || known->request != request || known->state != OnceState::Dispatched)
        return { OnceVerdict::NotHeld, std::nullopt, known };
    known->state = OnceState::Unknown;
    shard->put(*known);
    return { OnceVerdict::Changed, shard->value(), known };
}

std::optional<OnceRecord> findOnce(const std::string& value, const std::string& key)
{
    auto shard = OnceShardText::from(value);
    return shard ? shard->find(key) : std::nullopt;
}

OnceAction decideOnce(const OnceChange& change, HolderState holder)
{
    if (change.verdict == OnceVerdict::Created)
        return OnceAction::Dispatch;
    if (change.verdict != OnceVerdict::Exists || !change.record)
        return OnceAction::Refuse;
    const OnceRecord& record = *change.record;
    bool isDispatched = record.state == OnceState::Dispatched;
    if (record.state == OnceState::Done && record.hasBody)
        return OnceAction::AnswerFromRecord;
    switch (holder) {
    case HolderState::Self:
        return OnceAction::WaitHere;
    case HolderState::Alive:
        return OnceAction::FetchFromHolder;
    case HolderState::Gone:
        return isDispatched                   ? OnceAction::MarkUnknown
            : record.state == OnceState::Done ? OnceAction::AnswerFromRecord
                                              : OnceAction::AnswerUnknown;
    case HolderState::NotReached:
        return isDispatched                   ? OnceAction::AskLater
            : record.state == OnceState::Done ? OnceAction::AnswerFromRecord
                                              : OnceAction::AnswerUnknown;
    }
    return OnceAction::Refuse;
}

} // namespace jujubereach::dispatch
