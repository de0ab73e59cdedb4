// One HTTP call of a caller, an operator or the observer.
#include "http-call.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <istream>
#include <ostream>

namespace jujubereach::scenarios {

namespace {

    namespace net = Poco::Net;

    constexpr Duration connectTimeout { 1000 };

    Poco::Timespan timespanOf(Duration duration)
    {
        return { std::chrono::duration_cast<std::chrono::microseconds>(duration).count() };
    }

    void send(net::HTTPClientSession& session, const HttpCall& call)
    {
        net::HTTPRequest request(call.method, call.path, net::HTTPMessage::HTTP_1_1);
        request.setHost(call.address);
        for (const auto& [name, value] : call.headers)
            request.set(name, value);
        if (call.method != net::HTTPRequest::HTTP_GET || !call.body.empty()) {
            request.setContentType("application/json");
            request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
        }
        session.sendRequest(request) << call.body << std::flush;
    }

    void receive(net::HTTPClientSession& session, HttpResult& result)
    {
        net::HTTPResponse response;
        auto& in = session.receiveResponse(response);
        Poco::StreamCopier::copyToString(in, result.body);
        result.status = response.getStatus();
        const bool isWhole = !response.hasContentLength()
            || result.body.size() == static_cast<std::size_t>(response.getContentLength64());
        result.answered = isWhole && !session.networkException();
    }

} // namespace

platform::JsonObject::Ptr HttpResult::json() const
{
    auto object = platform::parseObject(body);
    return object ? *object : platform::JsonObject::Ptr(new platform::JsonObject);
}

HttpResult callHttp(const HttpCall& call)
{
    HttpResult result;
    try {
        net::StreamSocket socket;
        socket.connect(net::SocketAddress(call.address), timespanOf(connectTimeout));
        result.connected = true;
        socket.setReceiveTimeout(timespanOf(call.timeout));
        socket.setSendTimeout(timespanOf(call.timeout));
        net::HTTPClientSession session(socket);
        send(session, call);
        receive(session, result);
    } catch (const Poco::Exception&) {
        result.answered = false;
    }
    return result;
}

std::string escapeQuery(const std::string& text)
{
    std::string result;
    Poco::URI::encode(text, "!*'();:@&=+$,/?#[]%", result);
    return result;
}

} // namespace jujubereach::scenarios
