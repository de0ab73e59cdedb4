// Serves callers and operators over HTTP: one thread per call in progress, bounded bodies and times.
#pragma once

#include "api.h"
#include "settings.h"

#include <functional>
#include <memory>

namespace jujubereach::daemon {

struct HttpLimits {
    unsigned threads = 256;
    std::size_t maxBodyBytes = 2'000'000;
    Duration readTimeout { 5000 }; ///< Of the whole head or body of a call.
    Duration answerTimeout { 660'000 };
};

/// Takes a call on a traffic thread; must lead to one answer, from any thread.
using HttpHandler = std::function<void(ApiRequest, Answer)>;

class HttpServer {
public:
    static Result<std::unique_ptr<HttpServer>> open(
        const std::string& address, HttpLimits limits, HttpHandler handler);
    ~HttpServer(); ///< Ends connections without a call in progress and waits for the others.

    /// Takes no new connection and answers the calls in progress.
    void stopIntake();

private:
    struct Impl;
    explicit HttpServer(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace jujubereach::daemon
