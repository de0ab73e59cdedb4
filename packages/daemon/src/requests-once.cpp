// Requests that are not repeatable: the record before the dispatch, and what a second call with the key gets.
#include "requests.h"

#include <glog/logging.h>

namespace jujubereach::daemon {

namespace {

    constexpr Duration askLaterAfter { 1000 };
    constexpr Duration holderMargin { 500 };

    dispatch::OnceState stateOf(Ran ran)
    {
        switch (ran) {
        case Ran::Yes:
            return dispatch::OnceState::Done;
        case Ran::No:
            return dispatch::OnceState::NotRun;
        case Ran::Unknown:
            return dispatch::OnceState::Unknown;
        }
        return dispatch::OnceState::Unknown;
    }

    ApiAnswer unknownOutcome()
    {
        return errorAnswer(ApiError { 504, "outcome_unknown",
            "an earlier call with this key may have run; it is never run again", {}, Ran::Unknown, {}, {} });
    }

} // namespace

void Requests::record(dispatch::RequestLife& life, Work& work)
{
    const auto& info = life.info();
    life.recording();
    dispatch::OnceRecord record;
    record.key = dispatch::onceKey(info.workspace, info.key);
    record.digest = work.digest;
    record.request = info.id;
    record.host = m_ctx.self.host;
    record.incarnation = m_ctx.self.incarnation;
    m_once.create(record,
        [this, id = info.id](const std::optional<dispatch::OnceChange>& change) { onRecorded(id, change); });
}

void Requests::onRecorded(const RequestId& id, const std::optional<dispatch::OnceChange>& change)
{
    auto* work = find(id);
    auto* life = m_table.find(id);
    if (!work || !life)
        return;
    if (!change) {
        // The write may still take effect: the record must not look like a dispatch that nobody made.
        work->holdsRecord = true;
        giveUp(id, "record_not_written", askLaterAfter);
        return pump();
    }
    const auto action = change->record ? dispatch::decideOnce(*change, holderState(*change->record))
                                       : dispatch::OnceAction::Refuse;
    if (action == dispatch::OnceAction::Dispatch) {
        work->holdsRecord = true;
        life->recorded();
        m_ready.push_back(id);
        return pump();
    }
    if (action == dispatch::OnceAction::Refuse)
        giveUp(id, dispatch::nameOf(change->verdict), Duration(0));
    else
        followRecord(id, *change->record, action);
    pump();
}

dispatch::HolderState Requests::holderState(const dispatch::OnceRecord& record) const
{
    if (record.host == m_ctx.self.host)
        return record.incarnation == m_ctx.self.incarnation ? dispatch::HolderState::Self
                                                            : dispatch::HolderState::Gone;
    if (m_cluster.incarnationOf(record.host) == record.incarnation)
        return dispatch::HolderState::Alive;
    if (m_cluster.isGone(record.host, record.incarnation))
        return dispatch::HolderState::Gone;
    return m_cluster.listedAddressOf(record.host) ? dispatch::HolderState::Alive
                                                  : dispatch::HolderState::NotReached;
}

// This request itself never runs: its queue place is given back and the record's request answers.
void Requests::followRecord(
    const RequestId& id, const dispatch::OnceRecord& record, dispatch::OnceAction action)
{
    m_queue->notRun(id);
    find(id)->admitted = false;
    switch (action) {
    case dispatch::OnceAction::AnswerFromRecord:
        return answerFromRecord(id, record);
    case dispatch::OnceAction::WaitHere:
        return attachTo(id, record.request);
    case dispatch::OnceAction::FetchFromHolder:
        return fetchFromHolder(id, record);
    case dispatch::OnceAction::MarkUnknown:
        return markUnknown(id, record);
    case dispatch::OnceAction::AnswerUnknown:
        return finishWith(id, unknownOutcome());
    case dispatch::OnceAction::AskLater:
    case dispatch::OnceAction::Dispatch:
    case dispatch::OnceAction::Refuse:
        break;
    }
    finishWith(id,
        errorAnswer(ApiError { 503, "in_progress_elsewhere",
            "an earlier call with this key is in hand at a host that is not reached; ask again", {},
            Ran::Unknown, {}, askLaterAfter }));
}

void Requests::answerFromRecord(const RequestId& id, const dispatch::OnceRecord& record)
{
    if (!record.hasBody)
        return finishWith(id,
            errorAnswer(ApiError { 502, "answer_lost",
                "an earlier call with this key ran; its answer is not kept any more", {}, Ran::Yes, {},
                {} }));
    auto json = makeJson();
    json->set("request", record.request.str());
    json->set("ran", std::string("yes"));
    json->set("upstreamStatus", record.upstreamStatus);
    json->set("body", record.body);
    finishWith(id, jsonAnswer(record.upstreamStatus, json));
}

void Requests::attachTo(const RequestId& id, const RequestId& running)
{
    awaitLocal(running, [this, id](const ApiAnswer& answer) { finishWith(id, answer); });
}

void Requests::fetchFromHolder(const RequestId& id, const dispatch::OnceRecord& record)
{
    const auto address = m_cluster.listedAddressOf(record.host);
    if (!address)
        return finishWith(id, unknownOutcome());
    wire::ApiCallT call;
    call.operation = wire::ApiOperation::AwaitRequest;
    call.id = record.request.str();
    const auto left = m_table.find(id)->info().deadline - m_ctx.clock();
    const auto bound = std::max<Duration>(left, holderMargin);
    m_ctx.peers->call(
        *address, wire::bodyOf(std::move(call)), bound, [this, id, record](wire::CallResult result) {
            auto* reply = result.reply ? result.reply->body.AsApiReply() : nullptr;
            if (reply)
                return finishWith(id, { reply->status, reply->document, "application/json", {} });
            if (m_cluster.isGone(record.host, record.incarnation))
                return markUnknown(id, record);
            followRecord(id, record, dispatch::OnceAction::AskLater);
        });
}

void Requests::markUnknown(const RequestId& id, const dispatch::OnceRecord& record)
{
    LOG(INFO) << "once: host " << record.host << " is gone, the outcome of its request " << record.request
              << " is not known";
    m_once.abandon(record.key, record.request, [this, id](const std::optional<dispatch::OnceChange>& change) {
        if (change && change->record && change->record->state == dispatch::OnceState::Done)
            return answerFromRecord(id, *change->record);
        finishWith(id, unknownOutcome());
    });
}

void Requests::completeRecord(const dispatch::RequestLife& life, const Work& work)
{
    if (!work.holdsRecord || !life.answer())
        return;
    const auto& info = life.info();
    dispatch::OnceRecord outcome;
    outcome.key = dispatch::onceKey(info.workspace, info.key);
    outcome.digest = work.digest;
    outcome.request = info.id;
    outcome.host = m_ctx.self.host;
    outcome.incarnation = m_ctx.self.incarnation;
    outcome.state = stateOf(life.answer()->ran);
    outcome.upstreamStatus = life.answer()->upstreamStatus;
    outcome.body = life.answer()->body;
    m_once.complete(outcome);
}

} // namespace jujubereach::daemon
