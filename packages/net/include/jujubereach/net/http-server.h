// A non-blocking HTTP/1.1 server on one event loop. Bounds the connections and the memory that its clients
// hold.
#pragma once

#include "jujubereach/base/error.h"
#include "jujubereach/base/time.h"
#include "jujubereach/net/connection-table.h"
#include "jujubereach/net/http.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace jujubereach::net {

struct ServerLimits {
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 262'144; ///< 0 if the server accepts no bodies.
    Duration headerTimeout { 3000 }; ///< From the first byte of a request to its last.
    Duration idleTimeout { 15'000 };
    std::size_t maxHeaderFields = 256;
    Duration responseTimeout { 10'000 }; ///< For each 16 KiB of a response that the client takes.
};

/// Sends the response to one request. Call it once, from the loop, during the handler or later.
using Respond = std::function<void(HttpResponse)>;
using RequestHandler = std::function<void(HttpRequest&&, Respond)>;

enum class CloseCause {
    Client, ///< Closed by the client, or the connection failed.
    Answered, ///< After a response that ends the connection.
    IdleTimeout,
    RequestTimeout,
    ResponseTimeout,
    ConnectionBound, ///< Closed or not accepted because the listener has too many connections.
    MemoryBound, ///< Closed because others need the memory that it holds.
    Shutdown,
};
constexpr std::size_t closeCauses = 8;
const char* nameOf(CloseCause cause);

enum class RefusalCause { HeaderBytes, HeaderFields, BodyBytes, ChunkBytes, Malformed, Memory };
constexpr std::size_t refusalCauses = 6;
const char* nameOf(RefusalCause cause);

struct ServerFigures {
    std::size_t heldBytes = 0;
    std::array<std::size_t, connectionStates> connections {};
    std::array<std::uint64_t, closeCauses> closed {}; ///< Since the start, as are the refusals.
    std::array<std::uint64_t, refusalCauses> refused {};
};

/// Reports each refusal and each connection that was closed because of a limit. Must not call the server.
using LimitReached = std::function<void(const char* cause)>;

/// Used from the thread of its loop only. Requests on one connection are handled one after the other.
class HttpServer {
public:
    HttpServer(boost::asio::io_context& loop, RequestHandler handler,
        ListenerBounds bounds = { SIZE_MAX, SIZE_MAX }, LimitReached limitReached = {});
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

    ServerFigures figures() const;

    struct Shared;

private:
    void accept();

    std::shared_ptr<Shared> m_shared; ///< Shared with connections, which may outlive this object.
};

} // namespace jujubereach::net
