#include "jujubereach/net/http-server.h"

#include "endpoint.h"
#include "server-connection.h"

#include <algorithm>
#include <poll.h>

namespace jujubereach::net {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    constexpr int listenBacklog = 1024;
    constexpr Duration acceptPause { 50 }; // After a failed accept, such as for lack of descriptors.
    constexpr int sendBufferBytes = 16'384; // In the kernel, per connection.

    ClientId clientIdOf(const asio::ip::address& address)
    {
        if (address.is_v4())
            return { address.to_v4().to_uint() };
        if (address.to_v6().is_v4_mapped())
            return { asio::ip::make_address_v4(asio::ip::v4_mapped, address.to_v6()).to_uint() };
        const auto bytes = address.to_v6().to_bytes();
        std::uint64_t network = 0;
        for (std::size_t i = 0; i < sizeof network; ++i)
            network = network << 8U | bytes[i];
        return { network };
    }

    bool hasWaiting(tcp::acceptor& acceptor)
    {
        pollfd waiting { acceptor.native_handle(), POLLIN, 0 };
        return ::poll(&waiting, 1, 0) == 1;
    }

    bool isLimit(CloseCause cause)
    {
        return cause == CloseCause::RequestTimeout || cause == CloseCause::ResponseTimeout
            || cause == CloseCause::ConnectionBound || cause == CloseCause::MemoryBound;
    }

    CloseCause timeoutOf(ConnectionState state)
    {
        if (state == ConnectionState::Reading)
            return CloseCause::RequestTimeout;
        if (state == ConnectionState::Writing)
            return CloseCause::ResponseTimeout;
        return state == ConnectionState::Lingering ? CloseCause::Answered : CloseCause::IdleTimeout;
    }

} // namespace

const char* nameOf(CloseCause cause)
{
    static constexpr std::array<const char*, closeCauses> names { "client", "answered", "idle-timeout",
        "request-timeout", "response-timeout", "connection-bound", "memory-bound", "shutdown" };
    return names[static_cast<std::size_t>(cause)];
}

const char* nameOf(RefusalCause cause)
{
    static constexpr std::array<const char*, refusalCauses> names { "header-bytes", "header-fields",
        "body-bytes", "chunk-bytes", "malformed", "memory" };
    return names[static_cast<std::size_t>(cause)];
}

HttpServer::Shared::Shared(asio::io_context& usedLoop, RequestHandler usedHandler,
    const ListenerBounds& bounds, LimitReached usedLimitReached)
    : loop(usedLoop)
    , acceptor(usedLoop)
    , acceptTimer(usedLoop)
    , closeTimer(usedLoop)
    , handler(std::move(usedHandler))
    , limitReached(std::move(usedLimitReached))
    , receiveBufferBytes(bounds.receiveBufferBytes)
    , memory(bounds.memoryBytes)
    , table(bounds.maxConnections)
{
}

void HttpServer::Shared::add(tcp::socket socket)
{
    if (table.isFull() && !closeOne())
        return countClose(CloseCause::ConnectionBound);
    auto connection = std::make_shared<ServerConnection>(shared_from_this(), std::move(socket));
    connections.insert(connection);
    connection->start(clientIdOf(peer.address()));
}

bool HttpServer::Shared::closeOne()
{
    auto* victim = table.victimForConnection(bootClockNow(), memory.clients());
    if (!victim)
        return false;
    static_cast<ServerConnection*>(victim)->close(CloseCause::ConnectionBound);
    return true;
}

void HttpServer::Shared::closeAll()
{
    closeTimer.cancel();
    const auto all = connections;
    for (const auto& connection : all)
        connection->close(CloseCause::Shutdown);
}

ConnectionTimeouts HttpServer::Shared::timeouts() const
{
    ConnectionTimeouts out;
    out.request = limits.headerTimeout;
    out.idle = limits.idleTimeout;
    out.response = limits.responseTimeout;
    return out;
}

// One timer for all connections: it is set again only for a deadline before its own, not for each request.
void HttpServer::Shared::closeAt(TimePoint deadline)
{
    if (closesAt && *closesAt <= deadline)
        return;
    closesAt = deadline;
    closeTimer.expires_after(std::max(Duration(1), deadline - bootClockNow()));
    closeTimer.async_wait([shared = shared_from_this()](const boost::system::error_code& failed) {
        if (!failed)
            shared->closeExpired();
    });
}

void HttpServer::Shared::closeExpired()
{
    closesAt.reset();
    const auto now = bootClockNow();
    while (auto* entry = table.expired(now, timeouts()))
        static_cast<ServerConnection*>(entry)->close(timeoutOf(entry->state));
    if (const auto deadline = table.earliestDeadline(timeouts()))
        closeAt(*deadline);
}

void HttpServer::Shared::countClose(CloseCause cause)
{
    ++counters.closed[static_cast<std::size_t>(cause)];
    if (limitReached && isLimit(cause))
        limitReached(nameOf(cause));
}

void HttpServer::Shared::countRefusal(RefusalCause cause)
{
    ++counters.refused[static_cast<std::size_t>(cause)];
    if (limitReached && cause != RefusalCause::Malformed)
        limitReached(nameOf(cause));
}

HttpServer::HttpServer(
    asio::io_context& loop, RequestHandler handler, ListenerBounds bounds, LimitReached limitReached)
    : m_shared(std::make_shared<Shared>(loop, std::move(handler), bounds, std::move(limitReached)))
{
}

HttpServer::~HttpServer()
{
    stopAccepting();
    m_shared->closeAll();
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
        acceptor.set_option(asio::socket_base::receive_buffer_size(m_shared->receiveBufferBytes), failed);
    if (!failed)
        acceptor.set_option(asio::socket_base::send_buffer_size(sendBufferBytes), failed);
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
    m_shared->memory.admit(ServerConnection::largestRequest(limits.maxBodyBytes));
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
    const auto& table = m_shared->table;
    return table.count(ConnectionState::Reading) + table.count(ConnectionState::Pipelined)
        + table.count(ConnectionState::Deciding) + table.count(ConnectionState::Writing);
}

ServerFigures HttpServer::figures() const
{
    auto out = m_shared->counters;
    out.heldBytes = m_shared->memory.held();
    for (std::size_t i = 0; i < connectionStates; ++i)
        out.connections[i] = m_shared->table.count(static_cast<ConnectionState>(i));
    return out;
}

void HttpServer::accept()
{
    m_shared->acceptor.async_accept(m_shared->peer,
        [this, shared = m_shared](const boost::system::error_code& failed, tcp::socket socket) {
            if (!shared->accepting)
                return;
            if (!failed) {
                shared->add(std::move(socket));
                return accept();
            }
            // The kernel reports a lack of descriptors also while no connection waits.
            if (failed == asio::error::no_descriptors && hasWaiting(shared->acceptor) && shared->closeOne())
                return accept();
            shared->acceptTimer.expires_after(acceptPause);
            shared->acceptTimer.async_wait([this, shared](const boost::system::error_code& cancelled) {
                if (!cancelled && shared->accepting)
                    accept();
            });
        });
}

} // namespace jujubereach::net
