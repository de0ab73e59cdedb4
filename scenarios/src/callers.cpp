// What callers and operators send to an entry host.
#include "callers.h"

namespace jujubereach::scenarios {

namespace {

    using platform::JsonObject;

    constexpr Duration answerMargin { 5000 };

    std::string textOf(const JsonObject& object, const std::string& name)
    {
        return object.isNull(name) ? std::string() : object.get(name).toString();
    }

    void set(JsonObject& object, const std::string& name, Duration duration)
    {
        object.set(name, static_cast<Poco::Int64>(duration.count()));
    }

    Ran ranOf(const HttpResult& result, const JsonObject& json)
    {
        if (!result.connected)
            return Ran::No;
        if (!result.answered)
            return Ran::Unknown;
        const auto ran = textOf(json, "ran");
        if (ran == "no")
            return Ran::No;
        return ran == "yes" || (ran.empty() && result.isOk()) ? Ran::Yes : Ran::Unknown;
    }

    // Makes the call and fills in what every kind of call has.
    HttpResult send(const Target& target, HttpCall http, CallerCall& call)
    {
        http.address = target.address;
        call.host = target.host;
        call.sentAt = systemWallClock()();
        auto result = callHttp(http);
        call.answeredAt = systemWallClock()();
        call.connected = result.connected;
        call.answered = result.answered;
        call.status = result.status;
        const auto json = result.json();
        call.ran = ranOf(result, *json);
        call.error = textOf(*json, "error");
        call.what = textOf(*json, "what");
        call.reference = textOf(*json, "reference");
        return result;
    }

} // namespace

JobCall submitJob(const Target& target, const JobSpec& spec)
{
    JsonObject body;
    body.set("workspace", spec.workspace);
    body.set("class", spec.workClass);
    body.set("caller", spec.caller);
    body.set("key", spec.key);
    body.set("kind", spec.kind);
    body.set("accelerators", spec.accelerators);
    set(body, "runTimeMs", spec.runTime);
    set(body, "checkpointTimeMs", spec.checkpointTime);
    body.set("checkpointable", spec.isCheckpointable);
    body.set("restartable", spec.isRestartable);
    if (!spec.shape.empty())
        body.set("shape", spec.shape);
    JobCall call;
    const auto result
        = send(target, { {}, "POST", "/v1/jobs", platform::toText(body), {}, Duration(15'000) }, call);
    if (result.isOk())
        call.job = JobId(textOf(*result.json(), "job"));
    call.accelerators = spec.accelerators;
    call.restartable = spec.isRestartable;
    return call;
}

RequestCall sendRequest(const Target& target, const RequestSpec& spec)
{
    JsonObject body;
    body.set("workspace", spec.workspace);
    body.set("class", spec.workClass);
    body.set("caller", spec.caller);
    body.set("key", spec.key);
    body.set("repeatable", spec.isRepeatable);
    set(body, "deadlineMs", spec.deadline);
    body.set("body", spec.payload);
    RequestCall call;
    const auto result = send(target,
        { {}, "POST", "/v1/requests", platform::toText(body), {}, spec.deadline + answerMargin }, call);
    call.payload = spec.payload;
    call.repeatable = spec.isRepeatable;
    call.body = textOf(*result.json(), "body");
    return call;
}

ManifestChange applyManifest(const Target& target, const std::string& document, const std::string& json,
    const std::string& operationId, Revision base)
{
    HttpCall http { {}, "PUT", "/v1/manifest", json, { { "X-Operation-Id", operationId } },
        Duration(15'000) };
    if (base.value > 0)
        http.headers.emplace_back("X-Base-Revision", std::to_string(base.value));
    ManifestChange change;
    const auto result = send(target, http, change);
    change.document = document;
    if (result.isOk())
        change.revision = Revision { result.json()->optValue<Poco::UInt64>("revision", 0) };
    return change;
}

std::string jobState(const Target& target, const JobId& job)
{
    HttpCall call;
    call.address = target.address;
    call.path = "/v1/jobs/" + escapeQuery(job.str());
    const auto result = callHttp(call);
    if (!result.isOk())
        return {};
    const auto json = result.json();
    const auto state = textOf(*json, "state");
    return state == "ended" ? state + ":" + textOf(*json, "end") : state;
}

} // namespace jujubereach::scenarios
