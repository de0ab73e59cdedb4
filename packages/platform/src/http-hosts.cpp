#include "http-client.h"
#include "jujubereach/platform/hosts.h"
#include "jujubereach/platform/json.h"

#include <Poco/JSON/Array.h>

namespace jujubereach::platform {

namespace {

    HttpClientOptions optionsFor(Duration timeout, const std::string& caller)
    {
        HttpClientOptions options;
        options.connectTimeout = timeout;
        options.caller = caller;
        return options;
    }

    Result<std::vector<Machine>> machinesOf(const HttpReply& reply)
    {
        if (reply.outcome != HttpOutcome::Answered || reply.status != 200)
            return fail(
                { ErrorCode::Unavailable, "the host list does not answer", "platform host list", {} });
        auto object = parseObject(reply.body);
        auto array = object ? (*object)->getArray("machines") : nullptr;
        if (!array)
            return fail(
                { ErrorCode::Unavailable, "the host list's answer is malformed", "platform host list", {} });
        std::vector<Machine> machines;
        for (unsigned i = 0; i < array->size(); ++i) {
            auto element = array->getObject(i);
            auto machine = element ? machineFromJson(*element) : std::nullopt;
            // Machines of a kind that this version does not know are ignored.
            if (machine)
                machines.push_back(std::move(*machine));
        }
        return machines;
    }

} // namespace

HostList httpHostList(const std::string& address, Duration timeout, const std::string& caller)
{
    auto client = std::make_shared<HttpClient>(optionsFor(timeout, caller));
    return [=](const ZoneId& zone) {
        HttpCall call;
        call.method = "GET";
        call.path = "/hosts?zone=" + zone.str();
        call.timeout = timeout;
        call.idempotent = true;
        call.reuseTimeout = timeout / 2;
        return machinesOf(client->call(address, call));
    };
}

HostHeartbeat httpHostHeartbeat(const std::string& address, Duration timeout, const std::string& caller)
{
    auto client = std::make_shared<HttpClient>(optionsFor(timeout, caller));
    return [=](const Machine& machine) {
        HttpCall call;
        call.method = "POST";
        call.path = "/hosts/heartbeat";
        call.body = toText(*toJson(machine));
        call.timeout = timeout;
        call.idempotent = true;
        call.reuseTimeout = timeout / 2;
        auto reply = client->call(address, call);
        return reply.outcome == HttpOutcome::Answered && reply.status == 200;
    };
}

} // namespace jujubereach::platform
