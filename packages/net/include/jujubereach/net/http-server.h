// An HTTP/1.1 server on one event loop; never blocks.
#pragma once

#include "jujubereach/base/error.h"
#include "jujubereach/base/time.h"
#include "jujubereach/net/http.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace jujubereach::net {

struct ServerLimits {
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 262'144;
    Duration headerTimeout { 3000 }; ///< From the first byte of a request to its last.
    Duration idleTimeout { 15'000 };
};

/// Sends the answer of one request; may be called later, once, from the loop.
using Respond = std::function<void(HttpResponse)>;
using RequestHandler = std::function<void(const HttpRequest&, Respond)>;

/// Used from the thread of its loop only. Requests on one connection are handled one after the other.
class HttpServer {
public:
    HttpServer(boost::asio::io_context& loop, RequestHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Listens on `endpoint`, "ip:port".
    Result<bool> listen(const std::string& endpoint);

    /// Applies to requests that arrive from now on.
    void setLimits(const ServerLimits& limits);

    /// Answers what has arrived or arrives on open connections, each with "Connection: close".
    void drain();

    /// Requests that were read, whole or in part, and not answered.
    std::size_t inProgress() const;

private:
    friend class ServerConnection;
    struct Shared;

    void accept();

    std::shared_ptr<Shared> m_shared; ///< Outlives this object in connections.
};

} // namespace jujubereach::net
