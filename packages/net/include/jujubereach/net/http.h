// HTTP/1.1 messages as values, and the outcome of a call.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace jujubereach::net {

/// Header names compare without case.
using Headers = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
    std::string method;
    std::string target; ///< Path and query.
    Headers headers;
    std::string body;

    /// Returns the first value of a header, empty when there is none.
    const std::string& header(const std::string& name) const;
};

struct HttpResponse {
    int status = 0;
    Headers headers;
    std::string body;

    const std::string& header(const std::string& name) const;
};

/// Whether the request of a finished call reached its peer.
enum class DeliveryStatus {
    Answered,
    NotSent, ///< No byte of the request left this process, so it had no effect.
    Unknown, ///< The request may have taken effect, or may still do so.
};

struct CallResult {
    DeliveryStatus delivery = DeliveryStatus::Unknown;
    HttpResponse response;
};

using CallDone = std::function<void(CallResult)>;

} // namespace jujubereach::net
