#include "jujubereach/net/http-client.h"

#include "endpoint.h"
#include "message-codec.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <array>

namespace jujubereach::net {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    constexpr std::size_t readBytes = 16'384;
    constexpr std::size_t defaultMaxIdle = 512; // If the limit on open files is not known.
    constexpr unsigned peerTimeoutMs = 4000; // Longer than the longest long poll and its response time.

} // namespace

// A connection that is either idle in the pool or carries one call.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    ClientConnection(HttpClient& client, std::string endpoint)
        : m_client(client)
        , m_clientAlive(client.m_alive)
        , m_endpoint(std::move(endpoint))
        , m_socket(client.m_loop)
        , m_timer(client.m_loop)
    {
    }

    const std::string& endpoint() const { return m_endpoint; }

    /// Returns false if the process has no descriptor left.
    bool open(const tcp::endpoint& peer)
    {
        boost::system::error_code failed;
        m_socket.open(peer.protocol(), failed);
        return failed != asio::error::no_descriptors;
    }

    void connectAndCall(const tcp::endpoint& peer, std::string bytes, Duration timeout, CallDone done)
    {
        begin(std::move(bytes), timeout, std::move(done));
        m_socket.async_connect(peer, [self = shared_from_this()](const boost::system::error_code& failed) {
            if (!self->m_done)
                return;
            // After a pause of the process the deadline may have passed; the request must not be sent then.
            if (failed || bootClockNow() >= self->m_deadline)
                return self->end(DeliveryStatus::NotSent);
            detail::setPeerOptions(self->m_socket, peerTimeoutMs);
            self->write();
        });
    }

    void callOnIdle(std::string bytes, Duration timeout, CallDone done)
    {
        m_watchingIdle = false;
        boost::system::error_code ignored;
        m_socket.cancel(ignored); // Cancels the wait of watchIdle().
        begin(std::move(bytes), timeout, std::move(done));
        write();
    }

    // Detects that the peer closes the idle connection.
    void watchIdle()
    {
        m_watchingIdle = true;
        m_socket.async_wait(
            tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code& failed) {
                if (!failed && self->m_watchingIdle) {
                    self->close();
                    self->m_closedByPeer = true;
                }
            });
    }

    bool closedByPeer() const { return m_closedByPeer; }
    std::uint64_t idleNumber() const { return m_idleNumber; }
    void setIdleNumber(std::uint64_t number) { m_idleNumber = number; }

    void close()
    {
        m_watchingIdle = false;
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_timer.cancel();
    }

private:
    void begin(std::string bytes, Duration timeout, CallDone done)
    {
        m_out = std::move(bytes);
        m_in.clear();
        m_framing = {};
        m_sent = false;
        m_done = std::move(done);
        m_deadline = bootClockNow() + timeout;
        m_timer.expires_after(timeout);
        // When the loop is late, the expired timer of an earlier, answered call may still be queued.
        m_timer.async_wait(
            [self = shared_from_this(), call = ++m_callCount](const boost::system::error_code& failed) {
                if (failed || !self->m_done || call != self->m_callCount)
                    return;
                if (*self->m_clientAlive)
                    self->m_client.closeIdle(self->m_endpoint);
                self->end(self->m_sent ? DeliveryStatus::Unknown : DeliveryStatus::NotSent);
            });
    }

    void write()
    {
        m_sent = true;
        asio::async_write(m_socket, asio::buffer(m_out),
            [self = shared_from_this()](const boost::system::error_code& failed, std::size_t) {
                if (!self->m_done)
                    return;
                if (failed)
                    return self->end(DeliveryStatus::Unknown);
                self->read();
            });
    }

    void read()
    {
        m_socket.async_read_some(asio::buffer(m_chunk),
            [self = shared_from_this()](const boost::system::error_code& failed, std::size_t size) {
                if (!self->m_done)
                    return;
                if (failed)
                    return self->end(DeliveryStatus::Unknown);
                self->m_in.append(self->m_chunk.data(), size);
                self->parse(size);
            });
    }

    void parse(std::size_t added)
    {
        if (m_framing.headBytes == 0) {
            m_framing.headBytes = detail::headSize(m_in, m_in.size() - added);
            if (m_framing.headBytes == 0)
                return read();
            auto head = detail::parseResponseHead(m_in, m_framing);
            if (!head || m_framing.bodyBytes > m_client.m_limits.maxResponseBytes)
                return end(DeliveryStatus::Unknown);
            m_response = std::move(*head);
        }
        if (m_framing.chunked) {
            const auto used = detail::decodeChunkedBody(m_in, m_framing.headBytes, m_response.body);
            if (!used || m_in.size() > m_client.m_limits.maxResponseBytes)
                return end(DeliveryStatus::Unknown);
            return *used == 0 ? read() : answered();
        }
        if (m_in.size() < m_framing.headBytes + m_framing.bodyBytes)
            return read();
        m_response.body = m_in.substr(m_framing.headBytes, m_framing.bodyBytes);
        answered();
    }

    void answered()
    {
        m_timer.cancel();
        auto done = std::exchange(m_done, nullptr);
        auto response = std::move(m_response);
        m_response = {};
        m_in.clear();
        m_in.shrink_to_fit();
        const auto connection = response.header("Connection");
        if (*m_clientAlive && connection != "close")
            m_client.returnToPool(shared_from_this());
        else
            close();
        done({ DeliveryStatus::Answered, std::move(response) });
    }

    void end(DeliveryStatus fate)
    {
        auto done = std::exchange(m_done, nullptr);
        close();
        done({ fate, {} });
    }

    HttpClient& m_client;
    std::shared_ptr<bool> m_clientAlive;
    const std::string m_endpoint;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::array<char, readBytes> m_chunk {};
    std::string m_out;
    std::string m_in;
    detail::Framing m_framing;
    HttpResponse m_response;
    CallDone m_done; ///< Set while a call is in progress.
    TimePoint m_deadline;
    std::uint64_t m_callCount = 0; ///< Calls on this connection so far, including the current one.
    bool m_sent = false; ///< Bytes of the request may have been sent.
    bool m_watchingIdle = false;
    bool m_closedByPeer = false;
    std::uint64_t m_idleNumber = 0; ///< Key in the pool.
};

HttpClient::HttpClient(asio::io_context& loop, ClientLimits limits)
    : m_loop(loop)
    , m_limits(limits)
    , m_alive(std::make_shared<bool>(true))
{
    if (m_limits.maxIdle > 0)
        return;
    rlimit files {};
    m_limits.maxIdle = getrlimit(RLIMIT_NOFILE, &files) == 0 ? std::max<std::size_t>(1, files.rlim_cur / 2)
                                                             : defaultMaxIdle;
}

HttpClient::~HttpClient()
{
    *m_alive = false;
    for (auto& [endpoint, connections] : m_idle) {
        for (auto& connection : connections)
            connection->close();
    }
}

void HttpClient::call(
    const std::string& endpoint, const HttpRequest& request, Duration timeout, CallDone done)
{
    const auto peer = detail::parsePeer(endpoint);
    if (!peer || !detail::isEncodable(request)) {
        asio::post(m_loop, [done = std::move(done)] { done({ DeliveryStatus::NotSent, {} }); });
        return;
    }
    auto bytes = detail::encode(request, endpoint);
    if (const auto idle = takeIdle(endpoint))
        return idle->callOnIdle(std::move(bytes), timeout, std::move(done));
    ++m_opened;
    auto connection = std::make_shared<ClientConnection>(*this, endpoint);
    while (!connection->open(*peer) && closeOldestIdle()) { }
    connection->connectAndCall(*peer, std::move(bytes), timeout, std::move(done));
}

// Returns null if there is none.
HttpClient::ConnectionPtr HttpClient::takeIdle(const std::string& endpoint)
{
    const auto found = m_idle.find(endpoint);
    while (found != m_idle.end() && !found->second.empty()) {
        auto connection = std::move(found->second.back());
        found->second.pop_back();
        m_idleByAge.erase(connection->idleNumber());
        if (!connection->closedByPeer())
            return connection;
    }
    return nullptr;
}

void HttpClient::closeIdle(const std::string& endpoint)
{
    const auto found = m_idle.find(endpoint);
    if (found == m_idle.end())
        return;
    for (auto& connection : found->second) {
        m_idleByAge.erase(connection->idleNumber());
        connection->close();
    }
    m_idle.erase(found);
}

// Returns false if there is none.
bool HttpClient::closeOldestIdle()
{
    if (m_idleByAge.empty())
        return false;
    const auto connection = m_idleByAge.begin()->second;
    m_idleByAge.erase(m_idleByAge.begin());
    std::erase(m_idle[connection->endpoint()], connection);
    connection->close();
    return true;
}

void HttpClient::returnToPool(const ConnectionPtr& connection)
{
    auto& idle = m_idle[connection->endpoint()];
    if (idle.size() >= m_limits.maxIdlePerEndpoint) {
        connection->close();
        return;
    }
    connection->watchIdle();
    idle.push_back(connection);
    connection->setIdleNumber(++m_returned);
    m_idleByAge.emplace(m_returned, connection);
    while (m_idleByAge.size() > m_limits.maxIdle)
        closeOldestIdle();
}

} // namespace jujubereach::net
