#include "jujubereach/net/http-server.h"

#include "endpoint.h"
#include "message-codec.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <set>

namespace jujubereach::net {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    constexpr std::size_t readBytes = 8192;
    constexpr unsigned peerTimeoutMs = 10'000; // For unacknowledged data; then the peer counts as dead.
    constexpr int listenBacklog = 1024;
    constexpr Duration acceptPause { 50 }; // After a failed accept, such as for lack of descriptors.

} // namespace

class ServerConnection;

struct HttpServer::Shared {
    explicit Shared(asio::io_context& usedLoop)
        : loop(usedLoop)
        , acceptor(usedLoop)
        , acceptTimer(usedLoop)
    {
    }

    asio::io_context& loop;
    tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    RequestHandler handler;
    ServerLimits limits;
    bool draining = false;
    bool accepting = true;
    std::size_t inProgress = 0;
    std::set<std::shared_ptr<ServerConnection>> connections;
};

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    ServerConnection(std::shared_ptr<HttpServer::Shared> shared, tcp::socket socket)
        : m_shared(std::move(shared))
        , m_socket(std::move(socket))
        , m_timer(m_shared->loop)
    {
        detail::setPeerOptions(m_socket, peerTimeoutMs);
    }

    void start()
    {
        startTimeout(m_shared->limits.idleTimeout);
        read();
    }

    void close()
    {
        if (m_closed)
            return;
        m_closed = true;
        setBusy(false);
        m_timer.cancel();
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_shared->connections.erase(shared_from_this());
    }

    bool busy() const { return m_busy; }

private:
    void setBusy(bool busy)
    {
        if (busy == m_busy)
            return;
        m_busy = busy;
        m_shared->inProgress += busy ? 1 : -1;
    }

    void startTimeout(Duration bound)
    {
        m_timer.expires_after(bound);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& failed) {
            if (!failed && !self->m_handling)
                self->close();
        });
    }

    void read()
    {
        m_socket.async_read_some(asio::buffer(m_chunk),
            [self = shared_from_this()](const boost::system::error_code& failed, std::size_t size) {
                if (self->m_closed)
                    return;
                if (failed)
                    return self->close();
                if (!self->m_busy) {
                    self->setBusy(true);
                    self->startTimeout(self->m_shared->limits.headerTimeout);
                }
                self->m_in.append(self->m_chunk.data(), size);
                self->parse(size);
            });
    }

    void parse(std::size_t added)
    {
        const auto& limits = m_shared->limits;
        if (m_framing.headBytes == 0) {
            m_framing.headBytes = detail::headSize(m_in, m_in.size() - added);
            if (m_framing.headBytes == 0)
                return m_in.size() > limits.maxHeaderBytes ? refuse(431) : read();
            if (m_framing.headBytes > limits.maxHeaderBytes)
                return refuse(431);
            auto head = detail::parseRequestHead(m_in, m_framing);
            if (!head)
                return refuse(400);
            m_request = std::move(*head);
        }
        if (m_framing.chunked) {
            const auto used = detail::decodeChunkedBody(m_in, m_framing.headBytes, m_request.body);
            if (!used)
                return refuse(400);
            if (m_in.size() > m_framing.headBytes + limits.maxBodyBytes)
                return refuse(413);
            return *used == 0 ? read() : handle(*used);
        }
        if (m_framing.bodyBytes > limits.maxBodyBytes)
            return refuse(413);
        const auto requestBytes = m_framing.headBytes + m_framing.bodyBytes;
        if (m_in.size() < requestBytes)
            return read();
        m_request.body = m_in.substr(m_framing.headBytes, m_framing.bodyBytes);
        handle(requestBytes);
    }

    void refuse(int status)
    {
        m_closeAfter = true;
        write({ status, {}, {} });
    }

    void handle(std::size_t used)
    {
        m_timer.cancel();
        m_in.erase(0, used);
        m_framing = {};
        m_closeAfter = m_request.header("Connection") == "close";
        m_handling = true;
        auto request = std::move(m_request);
        m_request = {};
        try {
            m_shared->handler(request, [self = shared_from_this()](const HttpResponse& response) {
                if (self->m_handling)
                    self->write(response);
            });
        } catch (...) {
            if (m_handling)
                write({ 500, {}, {} });
            throw; // runLoop() reports it.
        }
    }

    void write(const HttpResponse& response)
    {
        m_handling = false;
        if (m_closed)
            return;
        const auto close = m_closeAfter || m_shared->draining;
        m_out = detail::encode(response, close);
        asio::async_write(m_socket, asio::buffer(m_out),
            [self = shared_from_this(), close](const boost::system::error_code& failed, std::size_t) {
                if (self->m_closed)
                    return;
                if (failed || close) {
                    boost::system::error_code ignored;
                    self->m_socket.shutdown(tcp::socket::shutdown_send, ignored);
                    return self->close();
                }
                self->next();
            });
    }

    void next()
    {
        m_out.clear();
        setBusy(!m_in.empty());
        startTimeout(m_busy ? m_shared->limits.headerTimeout : m_shared->limits.idleTimeout);
        m_busy ? parse(m_in.size()) : read();
    }

    const std::shared_ptr<HttpServer::Shared> m_shared;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::array<char, readBytes> m_chunk {};
    std::string m_in;
    std::string m_out;
    detail::Framing m_framing;
    HttpRequest m_request;
    bool m_busy = false; ///< A request was received at least in part, and its response is not yet written.
    bool m_handling = false; ///< The handler has not responded yet.
    bool m_closeAfter = false;
    bool m_closed = false;
};

HttpServer::HttpServer(asio::io_context& loop, RequestHandler handler)
    : m_shared(std::make_shared<Shared>(loop))
{
    m_shared->handler = std::move(handler);
}

HttpServer::~HttpServer()
{
    stopAccepting();
    const auto connections = m_shared->connections;
    for (const auto& connection : connections)
        connection->close();
}

Result<bool> HttpServer::listen(const std::string& endpoint)
{
    const auto local = detail::parseEndpoint(endpoint);
    if (!local)
        return fail({ ErrorCode::InvalidInput, "an address is written as ip:port", "listen", endpoint });
    auto& acceptor = m_shared->acceptor;
    boost::system::error_code failed;
    acceptor.open(local->protocol(), failed);
    if (!failed)
        acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
    if (!failed)
        acceptor.bind(*local, failed);
    if (!failed)
        acceptor.listen(listenBacklog, failed);
    if (failed)
        return fail({ ErrorCode::Unavailable, failed.message(), "listen", endpoint });
    accept();
    return true;
}

void HttpServer::setLimits(const ServerLimits& limits)
{
    m_shared->limits = limits;
}

void HttpServer::drain()
{
    m_shared->draining = true;
}

void HttpServer::stopAccepting()
{
    m_shared->accepting = false;
    boost::system::error_code ignored;
    m_shared->acceptor.close(ignored);
    m_shared->acceptTimer.cancel();
}

std::size_t HttpServer::inProgress() const
{
    return m_shared->inProgress;
}

void HttpServer::accept()
{
    m_shared->acceptor.async_accept(
        [this, shared = m_shared](const boost::system::error_code& failed, tcp::socket socket) {
            if (!shared->accepting)
                return;
            if (!failed) {
                auto connection = std::make_shared<ServerConnection>(shared, std::move(socket));
                shared->connections.insert(connection);
                connection->start();
                return accept();
            }
            shared->acceptTimer.expires_after(acceptPause);
            shared->acceptTimer.async_wait([this, shared](const boost::system::error_code& cancelled) {
                if (!cancelled && shared->accepting)
                    accept();
            });
        });
}

} // namespace jujubereach::net
