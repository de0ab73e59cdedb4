// A small HTTP server on loopback.
#include "http-service.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <iterator>

namespace jujubereach::standins {

namespace {

    using Poco::Net::HTTPServerRequest;
    using Poco::Net::HTTPServerResponse;

    constexpr int listenBacklog = 1024;
    constexpr std::size_t stackBytes = 256U << 10;
    const Poco::Timespan keepAliveTimeout(60, 0);

    Call callOf(HTTPServerRequest& request)
    {
        Call call;
        const Poco::URI uri(request.getURI());
        call.method = request.getMethod();
        call.path = uri.getPath();
        for (const auto& [name, value] : uri.getQueryParameters())
            call.query[name] = value;
        for (const auto& [name, value] : request)
            call.headers[Poco::toLower(name)] = value;
        call.body.assign(std::istreambuf_iterator<char>(request.stream()), {});
        return call;
    }

    void send(const Answer& answer, HTTPServerResponse& response)
    {
        response.setStatusAndReason(static_cast<HTTPServerResponse::HTTPStatus>(answer.status));
        response.setContentType(answer.contentType);
        for (const auto& [name, value] : answer.headers)
            response.set(name, value);
        response.setContentLength64(static_cast<Poco::Int64>(answer.body.size()));
        const auto size = answer.delivery == Delivery::CutShort ? answer.body.size() / 2 : answer.body.size();
        response.send().write(answer.body.data(), static_cast<std::streamsize>(size)).flush();
    }

    void shutDown(HTTPServerRequest& request)
    {
        if (auto* impl = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&request))
            impl->socket().shutdown();
    }

    class RequestHandler : public Poco::Net::HTTPRequestHandler {
    public:
        explicit RequestHandler(const Handler& handler)
            : m_handler(handler)
        {
        }

        void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override
        {
            const auto answer = m_handler(callOf(request));
            if (answer.delivery == Delivery::Whole || answer.delivery == Delivery::CutShort)
                send(answer, response);
            if (answer.delivery == Delivery::Drop || answer.delivery == Delivery::CutShort)
                shutDown(request);
        }

    private:
        const Handler& m_handler;
    };

    class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
    public:
        explicit HandlerFactory(Handler handler)
            : m_handler(std::move(handler))
        {
        }

        Poco::Net::HTTPRequestHandler* createRequestHandler(const HTTPServerRequest&) override
        {
            return new RequestHandler(m_handler);
        }

    private:
        Handler m_handler;
    };

} // namespace

std::string Call::header(const std::string& lowerCaseName) const
{
    auto found = headers.find(lowerCaseName);
    return found == headers.end() ? std::string() : found->second;
}

std::string Call::parameter(const std::string& name) const
{
    auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

std::uint64_t Call::number(const std::string& name) const
{
    Poco::UInt64 value = 0;
    Poco::NumberParser::tryParseUnsigned64(parameter(name), value);
    return value;
}

HttpService::HttpService(std::uint16_t port, Handler handler, int threads)
    : m_threads(2, threads, 60, stackBytes)
{
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", port), listenBacklog);
    m_port = socket.address().port();
    auto params = Poco::AutoPtr(new Poco::Net::HTTPServerParams);
    params->setMaxThreads(threads);
    params->setMaxQueued(listenBacklog);
    params->setMaxKeepAliveRequests(0);
    params->setKeepAliveTimeout(keepAliveTimeout);
    m_server = std::make_unique<Poco::Net::HTTPServer>(
        new HandlerFactory(std::move(handler)), m_threads, socket, params);
    m_server->start();
}

HttpService::~HttpService()
{
    close();
}

void HttpService::close()
{
    if (!m_server)
        return;
    m_server->stopAll(true);
    m_threads.joinAll();
    m_server.reset();
}

std::string HttpService::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

} // namespace jujubereach::standins
