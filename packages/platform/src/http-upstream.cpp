#include "http-client.h"
#include "jujubereach/platform/upstream.h"

namespace jujubereach::platform {

namespace {

    UpstreamStatus statusOf(const HttpReply& http, const RequestId& request, bool verifiesId)
    {
        if (http.outcome == HttpOutcome::NotSent)
            return UpstreamStatus::NotSent;
        // An answer with another id belongs to another request, even if it says that the request did not run.
        const bool isOwn = !verifiesId || http.header("x-request-id") == request.str();
        if (http.outcome == HttpOutcome::Unknown || !isOwn)
            return UpstreamStatus::Unknown;
        const auto notRun = http.status == 503 ? http.header("x-not-run") : std::string();
        if (notRun == "busy")
            return UpstreamStatus::Busy;
        return notRun == "leaving" ? UpstreamStatus::Leaving : UpstreamStatus::Answered;
    }

    HttpCall callFor(const UpstreamCall& call)
    {
        HttpCall http;
        http.method = "POST";
        http.path = "/work";
        http.headers = { { "X-Request-Id", call.request.str() }, { "X-Workspace", call.workspace.str() },
            { "X-Class", call.workClass.str() }, { "X-Deadline-Ms", std::to_string(call.timeout.count()) } };
        http.body = call.body;
        http.contentType = "application/octet-stream";
        http.timeout = call.timeout;
        return http;
    }

} // namespace

UpstreamClient httpUpstreamClient(Duration connectTimeout, Duration idleTimeout, const std::string& caller,
    std::function<bool()> verifiesIds)
{
    HttpClientOptions options;
    options.connectTimeout = connectTimeout;
    options.idleTimeout = idleTimeout;
    options.caller = caller;
    auto client = std::make_shared<HttpClient>(options);
    return
        [client, verifiesIds = std::move(verifiesIds)](const std::string& address, const UpstreamCall& call) {
            const auto start = std::chrono::steady_clock::now();
            auto http = client->call(address, callFor(call));
            UpstreamAnswer answer;
            answer.status = statusOf(http, call.request, !verifiesIds || verifiesIds());
            if (answer.status == UpstreamStatus::Answered) {
                answer.httpStatus = http.status;
                answer.body = std::move(http.body);
            }
            answer.took = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - start);
            return answer;
        };
}

} // namespace jujubereach::platform
