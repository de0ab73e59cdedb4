// One connection of a server, and the state that the connections of a server share.
#pragma once

#include "chunk-decoder.h"
#include "jujubereach/net/http-server.h"
#include "message-codec.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>

namespace jujubereach::net {

class ServerConnection;

struct HttpServer::Shared : std::enable_shared_from_this<HttpServer::Shared> {
    static constexpr std::size_t readBytes = 32'768;

    Shared(boost::asio::io_context& usedLoop, RequestHandler usedHandler, const ListenerBounds& bounds,
        LimitReached usedLimitReached);

    void add(boost::asio::ip::tcp::socket socket);
    void closeAll();
    /// Closes one connection for a descriptor. Returns false if all are being decided.
    bool closeOne();
    /// Closes connections whose time is over at their deadlines; called for each new deadline.
    void closeAt(TimePoint deadline);
    ConnectionTimeouts timeouts() const;
    void countClose(CloseCause cause);
    void countRefusal(RefusalCause cause);

    boost::asio::io_context& loop;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::ip::tcp::endpoint peer; ///< Of the connection being accepted.
    boost::asio::steady_timer acceptTimer;
    boost::asio::steady_timer closeTimer;
    std::optional<TimePoint> closesAt; ///< When `closeTimer` expires.
    const RequestHandler handler;
    const LimitReached limitReached;
    const int receiveBufferBytes;
    ServerLimits limits;
    bool draining = false;
    bool accepting = true;
    MemoryShare memory;
    ConnectionTable table;
    std::set<std::shared_ptr<ServerConnection>> connections; ///< The entries of `table`.
    ServerFigures counters; ///< Only `closed` and `refused`.
    std::array<char, readBytes> buffer {}; ///< Shared, since no connection keeps bytes in it.

private:
    void closeExpired();
};

class ServerConnection : public ConnectionEntry, public std::enable_shared_from_this<ServerConnection> {
public:
    ServerConnection(std::shared_ptr<HttpServer::Shared> shared, boost::asio::ip::tcp::socket socket);

    /// The most that a connection holds while it handles one request, in bytes.
    static std::size_t largestRequest(std::size_t maxBodyBytes);

    void start(ClientId client);
    void close(CloseCause cause);

private:
    void awaitBytes();
    void receive();
    void beginRequest(TimePoint now);
    void takeHead(std::size_t added);
    bool checkHeadSize(std::size_t added);
    bool beginBody();
    void takeBody(std::string_view bytes, std::size_t usedOfInput);
    bool growBody(std::size_t added);
    bool appendBody(std::string_view bytes, std::size_t& used, bool& complete);
    void handle();

    void refuse(int status, RefusalCause cause, const std::string& text);
    void refuseForMemory();
    void write(const HttpResponse& response);
    void send();
    void awaitSpace(std::size_t sent);
    void onWritten();
    void linger();
    void discard(std::size_t size);
    void next();

    bool hold(std::size_t bytes);
    ConnectionEntry* victimFor(Reservation failed);
    void mustHold(std::size_t bytes);
    void releaseInput();
    /// Bytes held by the connection and the head of its request, without the body and `m_in`.
    std::size_t requestBytes() const;

    const std::shared_ptr<HttpServer::Shared> m_shared;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_in; ///< Received and not consumed: a part of a head, or pipelined requests.
    std::string m_out;
    std::size_t m_sent = 0; ///< Bytes of `m_out` that the kernel has taken.
    std::size_t m_charged = 0; ///< Bytes charged to the listener's share.
    std::size_t m_headLines = 0; ///< Lines of the head in `m_in`.
    std::size_t m_discarded = 0; ///< Bytes discarded while lingering.
    detail::Framing m_framing; ///< `headBytes` is 0 until the head is complete.
    detail::ChunkDecoder m_decoder;
    HttpRequest m_request;
    bool m_mayHaveMore = false; ///< The last read filled the buffer.
    bool m_large = false; ///< The body is above `MemoryShare::largeBody`.
    bool m_handling = false; ///< The handler has not responded yet.
    bool m_closeAfter = false;
    bool m_refused = false;
    bool m_closed = false;
};

} // namespace jujubereach::net
