// HTTP calls over pooled connections. The outcome distinguishes "provably not sent" from "may have taken
// effect".
#pragma once

#include "jujubereach/base/time.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace jujubereach::platform {

struct HttpCall {
    std::string method;
    std::string path; ///< With its query, already escaped.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string contentType = "application/json";
    Duration timeout { 0 }; ///< Bounds the whole call, connection included.
    /// May be retried after a lost reply; other calls are retried only when provably not sent.
    bool idempotent = false;
    /// Timeout of the attempt on a pooled connection, which may be dead without a close; 0 means `timeout`.
    /// Used only for idempotent calls, since only these may be retried.
    Duration reuseTimeout { 0 };
};

enum class HttpOutcome {
    Answered, ///< Complete reply.
    NotSent, ///< No byte of the request left this process.
    Unknown, ///< Sent at least in part; no complete reply.
};

struct HttpReply {
    HttpOutcome outcome = HttpOutcome::Unknown;
    int status = 0;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    bool repeated = false; ///< An earlier copy of the call may have taken effect.

    std::string header(const std::string& lowerCaseName) const;
};

struct HttpClientOptions {
    Duration connectTimeout { 500 };
    Duration idleTimeout { 5000 }; ///< A connection idle for longer is not used again.
    std::size_t maxIdlePerAddress = 16;
    std::size_t maxReplyBytes = 64U << 20; ///< A longer reply counts as incomplete.
    std::string caller; ///< Sent as X-Caller-Host.
};

class HttpConnection;

/// Thread-safe; each connection is used by one call at a time.
class HttpClient {
public:
    explicit HttpClient(HttpClientOptions options);
    ~HttpClient();

    HttpReply call(const std::string& address, const HttpCall& call);

private:
    using SteadyTime = std::chrono::steady_clock::time_point;

    std::unique_ptr<HttpConnection> takeIdle(const std::string& address);
    void returnToPool(const std::string& address, std::unique_ptr<HttpConnection> connection);
    void dropIdle(const std::string& address);
    HttpReply callOnPooled(HttpConnection& connection, const HttpCall& call, SteadyTime deadline);
    HttpReply callOnNew(const std::string& address, const HttpCall& call, SteadyTime deadline);

    const HttpClientOptions m_options;
    std::mutex m_mutex;
    /// Guarded by m_mutex. Idle connections by address, most recently used last; lists are never empty.
    std::map<std::string, std::vector<std::unique_ptr<HttpConnection>>> m_idle;
};

} // namespace jujubereach::platform
