// One HTTP call of a caller, an operator or the observer.
#pragma once

#include "jujubereach/base/time.h"
#include "jujubereach/platform/json.h"

#include <string>
#include <utility>
#include <vector>

namespace jujubereach::scenarios {

struct HttpCall {
    std::string address;
    std::string method = "GET";
    std::string path;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    Duration timeout { 5000 };
};

struct HttpResult {
    bool connected = false; ///< False: nothing was sent.
    bool answered = false; ///< A whole answer came.
    int status = 0;
    std::string body;

    bool isOk() const { return answered && status >= 200 && status < 300; }
    /// The body as an object; an empty one when it is not JSON.
    platform::JsonObject::Ptr json() const;
};

/// Blocking; a connection of its own for each call.
HttpResult callHttp(const HttpCall& call);

std::string escapeQuery(const std::string& text);

} // namespace jujubereach::scenarios
