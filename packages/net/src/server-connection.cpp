#include "server-connection.h"

#include "endpoint.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <sys/socket.h>

namespace jujubereach::net {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    constexpr unsigned peerTimeoutMs = 10'000; // For unacknowledged data; then the peer counts as dead.
    constexpr auto connectionBytes = MemoryShare::connectionBytes;
    constexpr auto keptBytes = MemoryShare::keptBytes;
    constexpr std::size_t minBodyBytes = 4096; // First buffer of a body of unknown size.
    constexpr std::size_t headFactor
        = 2; // Of the texts of a decoded head; a short text is part of its field.
    // While a request is decided: its body, which may still be forwarded, the decoded job, and the write to
    // the store.
    constexpr std::size_t decidedBodies = 3;
    constexpr std::size_t decidedBytes = 4096;
    constexpr int maxVictims = 16; // Bounds the cost of one reservation.
    constexpr std::size_t discardBytes = 65'536; // Beyond the largest body.
    constexpr auto retryAfterSeconds = "1";

    // Assigning an empty string would keep the buffer.
    template <typename T> void release(T& value)
    {
        T empty;
        std::swap(value, empty);
    }

    HttpResponse textResponse(int status, const std::string& text)
    {
        return { status, { { "Content-Type", "text/plain" } }, text + "\n" };
    }

} // namespace

ServerConnection::ServerConnection(std::shared_ptr<HttpServer::Shared> shared, tcp::socket socket)
    : m_shared(std::move(shared))
    , m_socket(std::move(socket))
{
    detail::setPeerOptions(m_socket, peerTimeoutMs);
}

std::size_t ServerConnection::largestRequest(std::size_t maxBodyBytes)
{
    constexpr std::size_t headAndBuffers = 131'072;
    return decidedBodies * maxBodyBytes + headAndBuffers;
}

void ServerConnection::start(ClientId id)
{
    client = &m_shared->memory.join(id);
    const auto now = bootClockNow();
    m_shared->table.add(*this, now);
    m_shared->closeAt(now + m_shared->limits.idleTimeout);
    mustHold(connectionBytes);
    awaitBytes();
}

void ServerConnection::close(CloseCause cause)
{
    if (m_closed)
        return;
    m_closed = true;
    m_shared->table.remove(*this);
    m_shared->memory.release(*client, m_charged);
    m_shared->memory.leave(*client);
    client = nullptr;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_shared->countClose(cause);
    m_shared->connections.erase(shared_from_this());
}

// Waits for readiness rather than for bytes, so that waiting connections need no buffer.
void ServerConnection::awaitBytes()
{
    if (std::exchange(m_mayHaveMore, false)) {
        return asio::post(m_shared->loop, [self = shared_from_this()] {
            if (!self->m_closed)
                self->receive();
        });
    }
    m_socket.async_wait(
        tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code& failed) {
            if (self->m_closed)
                return;
            failed ? self->close(CloseCause::Client) : self->receive();
        });
}

void ServerConnection::receive()
{
    auto& buffer = m_shared->buffer;
    const auto size = ::recv(m_socket.native_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size < 0 && (errno == EAGAIN || errno == EINTR))
        return awaitBytes();
    if (size <= 0)
        return close(CloseCause::Client);
    m_mayHaveMore = static_cast<std::size_t>(size) == buffer.size();
    const std::string_view bytes(buffer.data(), static_cast<std::size_t>(size));
    if (state == ConnectionState::Lingering)
        return discard(bytes.size());
    const auto now = bootClockNow();
    if (state != ConnectionState::Reading)
        beginRequest(now);
    m_shared->table.progress(*this, bytes.size(), now);
    if (m_framing.headBytes > 0)
        return takeBody(bytes, 0);
    m_in.append(bytes);
    takeHead(bytes.size());
}

void ServerConnection::takeHead(std::size_t added)
{
    if (!checkHeadSize(added))
        return;
    if (m_framing.headBytes == 0)
        return hold(connectionBytes + m_in.capacity() + m_out.capacity()) ? awaitBytes() : refuseForMemory();
    if (!hold(requestBytes() + m_in.capacity()))
        return refuseForMemory();
    auto head = detail::parseRequestHead(m_in, m_framing);
    if (!head)
        return refuse(400, RefusalCause::Malformed, "the head of the request is malformed");
    m_request = std::move(*head);
    if (beginBody())
        takeBody(std::string_view(m_in).substr(m_framing.headBytes), m_framing.headBytes);
}

// Returns false after a refusal.
bool ServerConnection::checkHeadSize(std::size_t added)
{
    const auto& limits = m_shared->limits;
    const auto from = m_in.size() - added;
    m_framing.headBytes = detail::headSize(m_in, from);
    const auto end = m_framing.headBytes > 0 ? m_framing.headBytes : m_in.size();
    if (end > limits.maxHeaderBytes) {
        refuse(431, RefusalCause::HeaderBytes,
            "the head exceeds " + std::to_string(limits.maxHeaderBytes) + " bytes");
        return false;
    }
    m_headLines
        += static_cast<std::size_t>(std::count(m_in.data() + std::min(from, end), m_in.data() + end, '\n'));
    constexpr std::size_t otherLines = 2; // The request line and the empty line.
    if (m_headLines <= limits.maxHeaderFields + otherLines)
        return true;
    refuse(431, RefusalCause::HeaderFields,
        "the head has more than " + std::to_string(limits.maxHeaderFields) + " fields");
    return false;
}

// Reserves the memory of the body before it is read. Returns false after a refusal.
bool ServerConnection::beginBody()
{
    const auto most = m_shared->limits.maxBodyBytes;
    if (m_framing.bodyBytes > most || (m_framing.chunked && most == 0)) {
        refuse(413, RefusalCause::BodyBytes, "the body exceeds " + std::to_string(most) + " bytes");
        return false;
    }
    m_large = m_framing.bodyBytes > MemoryShare::largeBody;
    m_decoder = detail::ChunkDecoder(most);
    if (!hold(requestBytes() + m_framing.bodyBytes)) {
        refuseForMemory();
        return false;
    }
    m_request.body.reserve(m_framing.bodyBytes);
    return true;
}

// Bytes that belong to a later request stay in, or go to, `m_in`, of which the first `usedOfInput` bytes are
// consumed already. `bytes` are the rest of `m_in` if there are such, else newly received.
void ServerConnection::takeBody(std::string_view bytes, std::size_t usedOfInput)
{
    std::size_t used = 0;
    auto complete = false;
    if (!appendBody(bytes, used, complete))
        return;
    if (usedOfInput > 0)
        m_in.erase(0, usedOfInput + used);
    else
        m_in.assign(bytes.substr(used));
    if (m_in.empty() && m_in.capacity() > keptBytes)
        release(m_in);
    complete ? handle() : awaitBytes();
}

// Returns false after a refusal.
bool ServerConnection::appendBody(std::string_view bytes, std::size_t& used, bool& complete)
{
    using Status = detail::ChunkDecoder::Status;
    auto& body = m_request.body;
    if (!m_framing.chunked) {
        used = std::min(bytes.size(), m_framing.bodyBytes - body.size());
        body.append(bytes, 0, used);
        complete = body.size() == m_framing.bodyBytes;
        return true;
    }
    if (!growBody(bytes.size()))
        return false;
    const auto status = m_decoder.decode(bytes, body, used);
    complete = status == Status::Complete;
    if (status == Status::Malformed)
        refuse(400, RefusalCause::Malformed, "the chunked body is malformed");
    if (status == Status::TooLarge) {
        refuse(413, RefusalCause::ChunkBytes,
            "the chunked body, or the framing of its chunks, exceeds "
                + std::to_string(m_shared->limits.maxBodyBytes) + " bytes");
    }
    return status == Status::Incomplete || complete;
}

// Returns false after a refusal.
bool ServerConnection::growBody(std::size_t added)
{
    auto& body = m_request.body;
    const auto most = m_shared->limits.maxBodyBytes;
    const auto needed = std::min(body.size() + added, most);
    if (needed <= body.capacity())
        return true;
    const auto capacity = std::max(needed, std::min(most, std::max(2 * body.capacity(), minBodyBytes)));
    m_large = capacity > MemoryShare::largeBody;
    if (!hold(requestBytes() + capacity)) {
        refuseForMemory();
        return false;
    }
    body.reserve(capacity);
    return true;
}

void ServerConnection::handle()
{
    if (!hold(requestBytes() + m_in.capacity() + decidedBodies * m_request.body.capacity() + decidedBytes))
        return refuseForMemory();
    m_mayHaveMore = false;
    m_shared->table.enter(*this, ConnectionState::Deciding, progressAt); // The time is of no use there.
    m_closeAfter = m_request.header("Connection") == "close";
    m_handling = true;
    try {
        m_shared->handler(
            std::exchange(m_request, {}), [self = shared_from_this()](const HttpResponse& response) {
                if (std::exchange(self->m_handling, false))
                    self->write(response);
            });
    } catch (...) {
        if (std::exchange(m_handling, false))
            write({ 500, {}, {} });
        throw; // runLoop() reports it.
    }
}

void ServerConnection::refuse(int status, RefusalCause cause, const std::string& text)
{
    m_shared->countRefusal(cause);
    m_closeAfter = true;
    m_refused = true;
    releaseInput();
    write(textResponse(status, text));
}

// The request has not been handed to the handler, so it has not run.
void ServerConnection::refuseForMemory()
{
    m_shared->countRefusal(RefusalCause::Memory);
    m_closeAfter = true;
    m_refused = true;
    releaseInput();
    auto response = textResponse(503, "the server has no memory for this request; it has not run");
    response.headers.emplace_back("Retry-After", retryAfterSeconds);
    write(response);
}

void ServerConnection::write(const HttpResponse& response)
{
    if (m_closed)
        return;
    m_closeAfter = m_closeAfter || m_shared->draining;
    m_out = detail::encode(response, m_closeAfter);
    m_sent = 0;
    send();
}

// A connection is in state Writing only if the kernel does not take the whole response at once.
void ServerConnection::send()
{
    std::size_t sent = 0;
    while (m_sent < m_out.size()) {
        const auto size = ::send(m_socket.native_handle(), m_out.data() + m_sent, m_out.size() - m_sent,
            MSG_DONTWAIT | MSG_NOSIGNAL);
        if (size < 0 && errno == EAGAIN)
            return awaitSpace(sent);
        if (size < 0 && errno != EINTR)
            return close(CloseCause::Client);
        sent += size > 0 ? static_cast<std::size_t>(size) : 0;
        m_sent += size > 0 ? static_cast<std::size_t>(size) : 0;
    }
    onWritten();
}

void ServerConnection::awaitSpace(std::size_t sent)
{
    const auto now = bootClockNow();
    if (state != ConnectionState::Writing)
        m_shared->table.enter(*this, ConnectionState::Writing, now);
    else
        m_shared->table.progress(*this, sent, now);
    mustHold(connectionBytes + m_in.capacity() + m_out.capacity());
    if (m_closed)
        return;
    m_shared->closeAt(progressAt + m_shared->limits.responseTimeout);
    m_socket.async_wait(
        tcp::socket::wait_write, [self = shared_from_this()](const boost::system::error_code& failed) {
            if (self->m_closed)
                return;
            failed ? self->close(CloseCause::Client) : self->send();
        });
}

void ServerConnection::onWritten()
{
    if (!m_closeAfter)
        return next();
    boost::system::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_refused ? linger() : close(CloseCause::Answered);
}

// A close while bytes are unread would reset the connection, and the client could lose the answer.
void ServerConnection::linger()
{
    const auto now = bootClockNow();
    m_shared->table.enter(*this, ConnectionState::Lingering, now);
    release(m_out);
    mustHold(connectionBytes);
    m_shared->closeAt(now + m_shared->timeouts().linger);
    awaitBytes();
}

void ServerConnection::discard(std::size_t size)
{
    m_discarded += size;
    if (m_discarded > m_shared->limits.maxBodyBytes + discardBytes)
        return close(CloseCause::Answered);
    awaitBytes();
}

void ServerConnection::next()
{
    m_framing = {};
    m_headLines = 0;
    m_large = false;
    if (m_out.capacity() > keptBytes)
        release(m_out);
    mustHold(connectionBytes + m_in.capacity() + m_out.capacity());
    if (m_closed)
        return;
    const auto now = bootClockNow();
    if (m_in.empty()) {
        m_shared->table.enter(*this, ConnectionState::Idle, now);
        m_shared->closeAt(now + m_shared->limits.idleTimeout);
        return awaitBytes();
    }
    m_shared->table.enter(*this, ConnectionState::Pipelined, now);
    // Other connections are served between the pipelined requests of one.
    asio::post(m_shared->loop, [self = shared_from_this()] {
        if (self->m_closed)
            return;
        self->beginRequest(bootClockNow());
        self->takeHead(self->m_in.size());
    });
}

void ServerConnection::beginRequest(TimePoint now)
{
    m_shared->table.enter(*this, ConnectionState::Reading, now);
    m_shared->closeAt(now + m_shared->limits.headerTimeout);
}

// Returns false if the memory is not available, also by closing connections that make no progress.
bool ServerConnection::hold(std::size_t bytes)
{
    if (bytes <= m_charged) {
        mustHold(bytes);
        return true;
    }
    for (auto left = maxVictims;; --left) {
        const auto reserved = m_shared->memory.reserve(*client, bytes - m_charged, m_large);
        if (reserved == Reservation::Granted)
            break;
        auto* victim = left > 0 ? victimFor(reserved) : nullptr;
        if (!victim || victim == this)
            return false;
        static_cast<ServerConnection*>(victim)->close(CloseCause::MemoryBound);
    }
    m_charged = bytes;
    return true;
}

// A client over its part must not close the connections of others.
ConnectionEntry* ServerConnection::victimFor(Reservation failed)
{
    auto& table = m_shared->table;
    const auto now = bootClockNow();
    return failed == Reservation::ShareFull ? table.victimForMemory(now)
                                            : table.victimForMemory(now, *client);
}

// For bytes that exist already. Closes unread responses if they exceed the share, possibly this one.
void ServerConnection::mustHold(std::size_t bytes)
{
    auto& memory = m_shared->memory;
    if (bytes <= m_charged) {
        memory.release(*client, m_charged - bytes);
        m_charged = bytes;
        return;
    }
    memory.charge(*client, bytes - m_charged);
    m_charged = bytes;
    while (memory.isExceeded() && !m_closed) {
        auto* writer = m_shared->table.oldestWriter();
        if (!writer)
            return;
        static_cast<ServerConnection*>(writer)->close(CloseCause::MemoryBound);
    }
}

void ServerConnection::releaseInput()
{
    release(m_in);
    release(m_request);
    m_framing = {};
    mustHold(connectionBytes);
}

std::size_t ServerConnection::requestBytes() const
{
    return connectionBytes + m_out.capacity() + headFactor * m_framing.headBytes
        + m_headLines * sizeof(Headers::value_type);
}

} // namespace jujubereach::net
