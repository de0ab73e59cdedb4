// A non-blocking HTTP/1.1 client with pooled connections on one event loop.
#pragma once

#include "jujubereach/base/time.h"
#include "jujubereach/net/http.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>

namespace jujubereach::net {

struct ClientLimits {
    std::size_t maxIdlePerEndpoint = 4;
    std::size_t maxIdle = 0; ///< Over all endpoints; 0 for half of the files that the process may open.
    std::size_t maxResponseBytes = 64U << 20U; ///< Pages of the store are by far the largest responses.
};

/// Used from the thread of its loop only. Each connection carries one call at a time. A call that times out
/// closes its connection and the idle ones to the same endpoint, which may be dead too.
class HttpClient {
public:
    explicit HttpClient(boost::asio::io_context& loop, ClientLimits limits = {});
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends to `endpoint`, "ip:port"; `done` runs exactly once, from the loop, after this function
    /// has returned. A malformed endpoint gives NotSent.
    void call(const std::string& endpoint, const HttpRequest& request, Duration timeout, CallDone done);

    /// Closes the idle connections to an endpoint.
    void closeIdle(const std::string& endpoint);

    std::uint64_t connectionsOpened() const { return m_opened; }

private:
    friend class ClientConnection;
    using ConnectionPtr = std::shared_ptr<class ClientConnection>;

    void returnToPool(const ConnectionPtr& connection);
    ConnectionPtr takeIdle(const std::string& endpoint);
    bool closeOldestIdle();

    boost::asio::io_context& m_loop;
    ClientLimits m_limits;
    std::map<std::string, std::vector<ConnectionPtr>> m_idle;
    std::map<std::uint64_t, ConnectionPtr> m_idleByAge; ///< The same connections, oldest first.
    std::uint64_t m_returned = 0;
    std::uint64_t m_opened = 0;
    std::shared_ptr<bool> m_alive; ///< False after destruction; shared with the connections.
};

} // namespace jujubereach::net
