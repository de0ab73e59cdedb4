// Requests: reading calls, fetching answers, calls of peers.
#include "requests.h"

namespace jujubereach::daemon {

namespace {

    constexpr std::uint64_t longestDeadlineMs = 600'000;
    constexpr std::uint64_t usualDeadlineMs = 30'000;
    constexpr Duration fetchTimeout { 2000 };

    ApiAnswer unknownRequest()
    {
        return errorAnswer(ApiError { 404, "not_found", "no such request of this caller, or its time is over",
            "id", Ran::Unknown, {}, {} });
    }

    // The host in a request's id: "<host>-<incarnation>-<number>".
    std::optional<HostId> hostOf(const std::string& id)
    {
        const auto last = id.rfind('-');
        if (last == std::string::npos || last == 0)
            return std::nullopt;
        const auto before = id.rfind('-', last - 1);
        if (before == std::string::npos || before == 0)
            return std::nullopt;
        return HostId(id.substr(0, before));
    }

    std::string valueOr(const std::map<std::string, std::string>& query, const std::string& name)
    {
        auto it = query.find(name);
        return it == query.end() ? std::string() : it->second;
    }

} // namespace

std::string Requests::newId()
{
    return m_ctx.self.host.str() + "-" + std::to_string(m_ctx.self.incarnation.value) + "-"
        + std::to_string(++m_lastNumber);
}

Result<Requests::Parsed> Requests::parse(const ApiRequest& call)
{
    BOOST_LEAF_AUTO(fields, FieldReader::parse(call.body));
    Parsed parsed;
    auto& info = parsed.info;
    info.workspace = WorkspaceId(fields.requiredText("workspace"));
    info.workClass = ClassId(fields.requiredText("class"));
    info.caller = CallerId(fields.requiredText("caller"));
    info.key = fields.text("key");
    info.repeatable = fields.flag("repeatable", false);
    const auto deadline = fields.number("deadlineMs", usualDeadlineMs, 1, longestDeadlineMs);
    info.deadline = m_ctx.clock() + Duration(deadline);
    parsed.body = fields.text("body");
    if (auto finished = fields.finish(); !finished)
        return finished.error();
    if (!info.repeatable && info.key.empty())
        return fail({ ErrorCode::InvalidInput,
            "field 'key' is missing: a request that is not repeatable needs a key, so that a retry is "
            "recognised",
            "key", {} });
    if (parsed.body.size() > m_maxBodyBytes)
        return fail({ ErrorCode::InvalidInput,
            "field 'body' is larger than the manifest's limit of " + std::to_string(m_maxBodyBytes)
                + " bytes",
            "body", {} });
    info.id = RequestId(newId());
    return parsed;
}

void Requests::submit(const ApiRequest& call, Answer answer)
{
    auto parsed = outcomeOf([&] { return parse(call); });
    if (!parsed)
        return answer(errorAnswer(parsed.error));
    offer(std::move(*parsed.value), call.callerGone, std::move(answer));
}

void Requests::show(const ApiRequest& call, const Answer& answer)
{
    const RequestId id(call.path.back());
    const auto workspace = valueOr(call.query, "workspace");
    const auto caller = valueOr(call.query, "caller");
    const auto host = hostOf(id.str());
    if (!host || *host == m_ctx.self.host)
        return fetchLocal(id, WorkspaceId(workspace), CallerId(caller), answer);
    const auto address = m_cluster.listedAddressOf(*host);
    if (!address)
        return answer(unknownRequest());
    wire::ApiCallT forward;
    forward.operation = wire::ApiOperation::ShowRequest;
    forward.id = id.str();
    forward.query = workspace;
    forward.document = caller;
    m_ctx.peers->call(
        *address, wire::bodyOf(std::move(forward)), fetchTimeout, [answer](wire::CallResult result) {
            auto* reply = result.reply ? result.reply->body.AsApiReply() : nullptr;
            if (!reply)
                return answer(errorAnswer(ApiError { 503, "holder_not_reached",
                    "the host that keeps the answer does not reply", {}, Ran::Unknown, {}, fetchTimeout }));
            answer({ reply->status, reply->document, "application/json", {} });
        });
}

void Requests::fetchLocal(
    const RequestId& id, const WorkspaceId& workspace, const CallerId& caller, const Answer& answer)
{
    const auto fetched = m_table.fetch(id, workspace, caller);
    if (fetched.status == dispatch::FetchStatus::Unknown)
        return answer(unknownRequest());
    if (fetched.status == dispatch::FetchStatus::InProgress) {
        auto json = makeJson();
        json->set("request", id.str());
        json->set("state", std::string("in_progress"));
        return answer(jsonAnswer(202, json));
    }
    answer(finalAnswer(*m_table.find(id)));
}

void Requests::onPeerCall(const wire::ApiCallT& call, const Answer& answer)
{
    const RequestId id(call.id);
    if (call.operation == wire::ApiOperation::ShowRequest)
        return fetchLocal(id, WorkspaceId(call.query), CallerId(call.document), answer);
    awaitLocal(id, answer);
}

void Requests::awaitLocal(const RequestId& id, const Answer& answer)
{
    if (auto* work = find(id)) {
        work->waiters.push_back(answer);
        return;
    }
    auto* life = m_table.find(id);
    if (!life || !life->answer())
        return answer(errorAnswer(ApiError { 504, "outcome_unknown",
            "it may have run; its answer is not kept any more and it is never run again", {}, Ran::Unknown,
            {}, {} }));
    answer(finalAnswer(*life));
}

ApiAnswer Requests::finalAnswer(const dispatch::RequestLife& life) const
{
    const auto& final = *life.answer();
    const int status = dispatch::httpStatusOf(final);
    if (final.ran == Ran::Yes) {
        auto json = makeJson();
        json->set("request", life.info().id.str());
        json->set("ran", std::string("yes"));
        json->set("upstreamStatus", final.upstreamStatus);
        json->set("body", final.body);
        return jsonAnswer(status, json);
    }
    ApiError error;
    error.status = status;
    error.error = final.reason;
    error.ran = final.ran == Ran::No ? Ran::No : Ran::Unknown;
    error.what = error.ran == Ran::No ? "the request was refused and did not run"
                                      : "it is not known whether the request ran; it is not run again";
    if (final.retryAfter.count() > 0)
        error.retryAfter = final.retryAfter;
    if (auto it = m_references.find(life.info().id); it != m_references.end())
        error.reference = it->second;
    return errorAnswer(error);
}

} // namespace jujubereach::daemon
