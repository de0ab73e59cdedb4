// One connection to an HTTP server, used by one call at a time.
#pragma once

#include "deadline-socket.h"
#include "http-client.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>

namespace jujubereach::platform {

class HttpConnection {
public:
    using SteadyTime = std::chrono::steady_clock::time_point;

    /// Returns null when the connection is not established within `timeout`.
    static std::unique_ptr<HttpConnection> open(const std::string& address, Duration timeout);

    /// Whether the peer has closed the connection or sent unexpected bytes.
    bool isStale();
    /// Whether another call may follow on this connection.
    bool isReusable() const { return m_reusable; }
    SteadyTime lastUsed() const { return m_lastUsed; }

    HttpReply exchange(const HttpCall& call, const HttpClientOptions& options, SteadyTime deadline);

private:
    HttpConnection(const Poco::Net::StreamSocket& socket, DeadlineSocketImpl& impl, std::string address);

    void send(const HttpCall& call, const std::string& caller);
    /// Reads a complete reply; returns false when it is truncated or longer than `maxBytes`.
    bool receive(HttpReply& reply, std::size_t maxBytes);
    bool readBody(
        std::istream& in, const Poco::Net::HTTPResponse& response, HttpReply& reply, std::size_t maxBytes);

    Poco::Net::StreamSocket m_socket;
    DeadlineSocketImpl& m_impl; ///< Owned by m_socket.
    std::string m_address;
    Poco::Net::HTTPClientSession m_session;
    bool m_reusable = false;
    SteadyTime m_lastUsed {};
};

} // namespace jujubereach::platform
