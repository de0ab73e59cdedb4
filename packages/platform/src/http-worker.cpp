#include "http-client.h"
#include "jujubereach/platform/json.h"
#include "jujubereach/platform/worker.h"

namespace jujubereach::platform {

namespace {

    WorkerReply replyOf(const HttpReply& http)
    {
        WorkerReply none;
        none.status = http.outcome == HttpOutcome::NotSent ? SyncStatus::Unreachable : SyncStatus::Unknown;
        if (http.outcome != HttpOutcome::Answered || http.status != 200)
            return none;
        auto object = parseObject(http.body);
        auto reply = object ? workerReplyFromJson(**object) : std::nullopt;
        if (!reply)
            return none;
        reply->repeated = http.repeated;
        return *reply;
    }

} // namespace

WorkerClient httpWorkerClient(Duration timeout, const std::string& caller)
{
    HttpClientOptions options;
    options.connectTimeout = timeout;
    options.caller = caller;
    auto client = std::make_shared<HttpClient>(options);
    return [=](const std::string& address, const WorkerSync& sync) {
        HttpCall call;
        call.method = "POST";
        call.path = "/v1/sync";
        call.body = toText(*toJson(sync));
        call.timeout = timeout;
        // A sync may be retried: its commands are idempotent per gang.
        call.idempotent = true;
        call.reuseTimeout = timeout / 2;
        return replyOf(client->call(address, call));
    };
}

} // namespace jujubereach::platform
