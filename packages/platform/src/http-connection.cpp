#include "http-connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/String.h>

#include <array>
#include <exception>
#include <istream>
#include <ostream>

namespace jujubereach::platform {

namespace {

    // HttpClient expires idle connections. Poco's keep-alive timeout would make the session reconnect by
    // itself, which HttpClient could not observe.
    const Poco::Timespan keepAliveDisabledTimeout(24 * Poco::Timespan::HOURS);

    void copyHeaders(const Poco::Net::HTTPResponse& response, HttpReply& reply)
    {
        reply.status = response.getStatus();
        for (const auto& [name, value] : response)
            reply.headers[Poco::toLower(name)] = value;
    }

} // namespace

std::unique_ptr<HttpConnection> HttpConnection::open(const std::string& address, Duration timeout)
{
    if (timeout <= Duration::zero())
        return nullptr;
    try {
        auto* impl = new DeadlineSocketImpl;
        Poco::Net::StreamSocket socket(impl);
        socket.connect(Poco::Net::SocketAddress(address),
            Poco::Timespan(timeout.count() * Poco::Timespan::MILLISECONDS));
        socket.setNoDelay(true);
        return std::unique_ptr<HttpConnection>(new HttpConnection(socket, *impl, address));
    } catch (const Poco::Exception&) {
        return nullptr;
    }
}

HttpConnection::HttpConnection(
    const Poco::Net::StreamSocket& socket, DeadlineSocketImpl& impl, std::string address)
    : m_socket(socket)
    , m_impl(impl)
    , m_address(std::move(address))
    , m_session(m_socket)
{
    m_session.setKeepAlive(true);
    m_session.setKeepAliveTimeout(keepAliveDisabledTimeout);
}

bool HttpConnection::isStale()
{
    try {
        return m_socket.poll(
            Poco::Timespan(0), Poco::Net::Socket::SELECT_READ | Poco::Net::Socket::SELECT_ERROR);
    } catch (const Poco::Exception&) {
        return true;
    }
}

HttpReply HttpConnection::exchange(
    const HttpCall& call, const HttpClientOptions& options, SteadyTime deadline)
{
    HttpReply reply;
    m_reusable = false;
    const auto sentBefore = m_impl.bytesSent();
    m_impl.setDeadline(deadline);
    try {
        send(call, options.caller);
        if (receive(reply, options.maxReplyBytes))
            reply.outcome = HttpOutcome::Answered;
    } catch (const std::exception&) {
        // Poco throws for socket failures and malformed replies alike; the byte count below distinguishes
        // requests that were not sent.
    }
    if (reply.outcome != HttpOutcome::Answered)
        reply.outcome = m_impl.bytesSent() == sentBefore ? HttpOutcome::NotSent : HttpOutcome::Unknown;
    m_lastUsed = std::chrono::steady_clock::now();
    return reply;
}

void HttpConnection::send(const HttpCall& call, const std::string& caller)
{
    Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(m_address);
    request.setKeepAlive(true);
    request.set("X-Caller-Host", caller);
    for (const auto& [name, value] : call.headers)
        request.set(name, value);
    if (!call.body.empty() || call.method != Poco::Net::HTTPRequest::HTTP_GET) {
        request.setContentType(call.contentType);
        request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
    }
    auto& out = m_session.sendRequest(request);
    out.write(call.body.data(), static_cast<std::streamsize>(call.body.size()));
    out.flush();
    if (!out)
        throw Poco::IOException("request not sent whole");
}

bool HttpConnection::receive(HttpReply& reply, std::size_t maxBytes)
{
    Poco::Net::HTTPResponse response;
    auto& in = m_session.receiveResponse(response);
    copyHeaders(response, reply);
    if (!readBody(in, response, reply, maxBytes))
        return false;
    m_reusable = response.getKeepAlive();
    return true;
}

bool HttpConnection::readBody(
    std::istream& in, const Poco::Net::HTTPResponse& response, HttpReply& reply, std::size_t maxBytes)
{
    // A body that is delimited by the end of the connection cannot be distinguished from a truncated one.
    if (!response.hasContentLength() && !response.getChunkedTransferEncoding())
        return response.getStatus() == Poco::Net::HTTPResponse::HTTP_NO_CONTENT;
    std::array<char, 16384> buffer {};
    while (in.good()) {
        in.read(buffer.data(), buffer.size());
        reply.body.append(buffer.data(), static_cast<std::size_t>(in.gcount()));
        if (reply.body.size() > maxBytes)
            return false;
    }
    if (m_session.networkException())
        return false;
    return !response.hasContentLength()
        || reply.body.size() == static_cast<std::size_t>(response.getContentLength64());
}

} // namespace jujubereach::platform
