#include "http-server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <glog/logging.h>

#include <charconv>
#include <future>

namespace jujubereach::daemon {

namespace {

    namespace net = Poco::Net;

    constexpr Duration goneCheckInterval { 250 };
    constexpr int threadStackBytes = 256 * 1024;
    constexpr int maxQueuedConnections = 1024;

    struct ServerState {
        HttpLimits limits;
        HttpHandler handler;
        std::atomic<bool> stopping { false };
    };

    Method methodOf(const std::string& name)
    {
        if (name == "GET")
            return Method::Get;
        if (name == "PUT")
            return Method::Put;
        if (name == "POST")
            return Method::Post;
        return name == "DELETE" ? Method::Delete : Method::Other;
    }

    Poco::Timespan timespanOf(Duration duration)
    {
        return Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
    }

    // Reads the body within its bounds of size and time.
    Result<std::string> readBody(net::HTTPServerRequest& request, const HttpLimits& limits)
    {
        const auto length = request.getContentLength64();
        if (length > static_cast<Poco::Int64>(limits.maxBodyBytes))
            return fail({ ErrorCode::InvalidInput, "the body is larger than the bound", "body", {} });
        const auto clock = steadyClock();
        const auto until = clock() + limits.readTimeout;
        std::string body;
        char buf[16'384];
        auto& in = request.stream();
        while (in.read(buf, sizeof buf), in.gcount() > 0) {
            body.append(buf, static_cast<std::size_t>(in.gcount()));
            if (body.size() > limits.maxBodyBytes)
                return fail({ ErrorCode::InvalidInput, "the body is larger than the bound", "body", {} });
            if (clock() > until)
                return fail({ ErrorCode::InvalidInput, "the body came too slowly", "body", {} });
        }
        if (length >= 0 && body.size() != static_cast<std::size_t>(length))
            return fail({ ErrorCode::InvalidInput, "the body is incomplete", "body", {} });
        return body;
    }

    Result<ApiRequest> readRequest(net::HTTPServerRequest& request, const HttpLimits& limits)
    {
        ApiRequest api;
        api.method = methodOf(request.getMethod());
        api.callerGone = std::make_shared<std::atomic<bool>>(false);
        try {
            const Poco::URI uri(request.getURI());
            uri.getPathSegments(api.path);
            for (const auto& [name, value] : uri.getQueryParameters())
                api.query[name] = value;
        } catch (const Poco::Exception&) {
            return fail({ ErrorCode::InvalidInput, "the address of the call is malformed", "path", {} });
        }
        api.operationId = request.get("X-Operation-Id", "");
        api.operatorName = request.get("X-Operator", "");
        api.rebase = request.get("X-Rebase", "") == "true";
        if (const auto base = request.get("X-Base-Revision", ""); !base.empty()) {
            std::uint64_t number = 0;
            if (std::from_chars(base.data(), base.data() + base.size(), number).ptr
                != base.data() + base.size())
                return fail(
                    { ErrorCode::InvalidInput, "X-Base-Revision is not a number", "X-Base-Revision", base });
            api.baseRevision = number;
        }
        if (api.method == Method::Put || api.method == Method::Post) {
            BOOST_LEAF_ASSIGN(api.body, readBody(request, limits));
        }
        return api;
    }

    void send(net::HTTPServerResponse& response, const ApiAnswer& answer, bool keepAlive)
    {
        response.setStatusAndReason(static_cast<net::HTTPResponse::HTTPStatus>(answer.status));
        response.setContentType(answer.contentType);
        response.setKeepAlive(keepAlive);
        if (answer.retryAfter) {
            const auto seconds = (answer.retryAfter->count() + 999) / 1000;
            response.set("Retry-After", std::to_string(seconds));
        }
        response.sendBuffer(answer.body.data(), answer.body.size());
    }

    bool hasClosed(net::HTTPServerRequest& request)
    {
        try {
            auto& socket = dynamic_cast<net::HTTPServerRequestImpl&>(request).socket();
            return socket.poll(0, net::Socket::SELECT_READ) && socket.available() == 0;
        } catch (const std::exception&) {
            return true;
        }
    }

    class CallHandler : public net::HTTPRequestHandler {
    public:
        explicit CallHandler(ServerState& state)
            : m_state(state)
        {
        }

        void handleRequest(net::HTTPServerRequest& request, net::HTTPServerResponse& response) override
        {
            try {
                handle(request, response);
            } catch (const Poco::Exception& e) {
                VLOG(1) << "http: call ended: " << e.displayText();
            }
        }

    private:
        void handle(net::HTTPServerRequest& request, net::HTTPServerResponse& response)
        {
            auto api = outcomeOf([&] { return readRequest(request, m_state.limits); });
            if (!api)
                return send(response, errorAnswer(api.error), false);
            auto gone = api.value->callerGone;
            auto promise = std::make_shared<std::promise<ApiAnswer>>();
            auto future = promise->get_future();
            m_state.handler(std::move(*api.value),
                [promise](ApiAnswer answer) { promise->set_value(std::move(answer)); });
            send(response, await(future, request, *gone), !m_state.stopping);
        }

        ApiAnswer await(
            std::future<ApiAnswer>& future, net::HTTPServerRequest& request, std::atomic<bool>& gone)
        {
            const auto clock = steadyClock();
            const auto until = clock() + m_state.limits.answerTimeout;
            while (clock() < until) {
                if (future.wait_for(goneCheckInterval) == std::future_status::ready)
                    return future.get();
                if (!gone && hasClosed(request))
                    gone = true;
            }
            return errorAnswer(
                ApiError { 504, "no_answer", "no answer within the bound", {}, Ran::Unknown, {}, {} });
        }

        ServerState& m_state;
    };

    class HandlerFactory : public net::HTTPRequestHandlerFactory {
    public:
        explicit HandlerFactory(ServerState& state)
            : m_state(state)
        {
        }

        net::HTTPRequestHandler* createRequestHandler(const net::HTTPServerRequest&) override
        {
            return new CallHandler(m_state);
        }

    private:
        ServerState& m_state;
    };

    net::HTTPServerParams::Ptr paramsOf(const HttpLimits& limits)
    {
        net::HTTPServerParams::Ptr params = new net::HTTPServerParams;
        params->setMaxThreads(static_cast<int>(limits.threads));
        params->setMaxQueued(maxQueuedConnections);
        params->setTimeout(timespanOf(limits.readTimeout));
        params->setKeepAlive(true);
        params->setKeepAliveTimeout(timespanOf(Duration(2000)));
        return params;
    }

} // namespace

struct HttpServer::Impl {
    Impl(HttpLimits limits, HttpHandler handler)
        : state { limits, std::move(handler) }
        , pool(2, static_cast<int>(limits.threads), 60, threadStackBytes)
    {
    }

    ServerState state;
    Poco::ThreadPool pool;
    std::unique_ptr<net::HTTPServer> server;
};

HttpServer::HttpServer(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

HttpServer::~HttpServer()
{
    stopIntake();
    m_impl->server->stopAll(false);
    m_impl->pool.joinAll();
}

Result<std::unique_ptr<HttpServer>> HttpServer::open(
    const std::string& address, HttpLimits limits, HttpHandler handler)
{
    auto impl = std::make_unique<Impl>(limits, std::move(handler));
    try {
        net::ServerSocket socket;
        socket.bind(net::SocketAddress(address), true);
        socket.listen(256);
        impl->server = std::make_unique<net::HTTPServer>(
            new HandlerFactory(impl->state), impl->pool, socket, paramsOf(limits));
        impl->server->start();
    } catch (const Poco::Exception& e) {
        return fail(
            { ErrorCode::InvalidInput, "cannot listen: " + e.displayText(), "http address", address });
    }
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

void HttpServer::stopIntake()
{
    if (!m_impl->state.stopping.exchange(true))
        m_impl->server->stop();
}

} // namespace jujubereach::daemon
