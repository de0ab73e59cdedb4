// A non-blocking HTTP/1.1 server on one event loop.
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

/// Sends the response to one request. Call it once, from the loop, during the handler or later.
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

    /// From now on closes each connection after its next response, which carries "Connection: close".
    void drain();

    /// Accepts no further connections; requests on open ones are still handled.
    void stopAccepting();

    /// Number of requests that were received, completely or in part, and not yet answered.
    std::size_t inProgress() const;

private:
    friend class ServerConnection;
    struct Shared;

    void accept();

    std::shared_ptr<Shared> m_shared; ///< Shared with connections, which may outlive this object.
};

} // namespace jujubereach::net
