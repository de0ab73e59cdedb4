#include "client.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <Poco/UUIDGenerator.h>

#include <sstream>

namespace jujubereach::ctl {

namespace {

    namespace net = Poco::Net;

    constexpr Duration connectTimeout { 2000 };

    Poco::Timespan timespanOf(Duration duration)
    {
        return Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
    }

    Poco::JSON::Object::Ptr parseObject(const std::string& text)
    {
        try {
            Poco::JSON::Parser parser;
            return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
        } catch (const Poco::Exception&) {
            return new Poco::JSON::Object;
        }
    }

    Reply sendTo(const std::string& server, const Call& call)
    {
        const Poco::URI uri("http://" + server);
        net::HTTPClientSession session(uri.getHost(), uri.getPort());
        session.setTimeout(timespanOf(connectTimeout), timespanOf(call.timeout), timespanOf(call.timeout));
        net::HTTPRequest request(call.method, call.path, net::HTTPMessage::HTTP_1_1);
        for (const auto& [name, value] : call.headers)
            request.set(name, value);
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(call.body.size()));
        session.sendRequest(request) << call.body;
        net::HTTPResponse response;
        auto& in = session.receiveResponse(response);
        Reply reply;
        reply.status = response.getStatus();
        Poco::StreamCopier::copyToString(in, reply.text);
        reply.json = parseObject(reply.text);
        return reply;
    }

} // namespace

std::string Reply::field(const std::string& name) const
{
    if (!json->has(name) || json->isNull(name))
        return {};
    return json->get(name).toString();
}

Result<Reply> Client::send(const Call& call) const
{
    std::string tried;
    for (const auto& server : m_servers) {
        try {
            return sendTo(server, call);
        } catch (const Poco::Exception& e) {
            tried += (tried.empty() ? "" : "; ") + server + ": " + e.displayText();
        }
    }
    return fail({ ErrorCode::Unavailable, "no entry host answered (" + tried + ")", "--server", {} });
}

Poco::JSON::Object callerJson(const std::string& workspace, const std::string& workClass,
    const std::string& caller, const std::string& key)
{
    Poco::JSON::Object json(Poco::JSON_PRESERVE_KEY_ORDER);
    json.set("workspace", workspace);
    json.set("class", workClass);
    json.set("caller", caller);
    json.set("key", key.empty() ? Poco::UUIDGenerator::defaultGenerator().createRandom().toString() : key);
    return json;
}

std::string toText(const Poco::JSON::Object& json)
{
    std::ostringstream out;
    json.stringify(out);
    return out.str();
}

std::string escapeQuery(const std::string& value)
{
    std::string out;
    Poco::URI::encode(value, "&=+?#/%", out);
    return out;
}

} // namespace jujubereach::ctl
