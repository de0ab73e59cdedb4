#include "http-client.h"

#include "http-connection.h"

#include <algorithm>

namespace jujubereach::platform {

std::string HttpReply::header(const std::string& lowerCaseName) const
{
    auto found = headers.find(lowerCaseName);
    return found == headers.end() ? std::string() : found->second;
}

HttpClient::HttpClient(HttpClientOptions options)
    : m_options(std::move(options))
{
}

HttpClient::~HttpClient() = default;

HttpReply HttpClient::call(const std::string& address, const HttpCall& call)
{
    const auto deadline = std::chrono::steady_clock::now() + call.timeout;
    bool maybeSent = false;
    if (auto pooled = takeIdle(address)) {
        auto reply = callOnPooled(*pooled, call, deadline);
        if (reply.outcome == HttpOutcome::Answered) {
            returnToPool(address, std::move(pooled));
            return reply;
        }
        // The cause of the failure most likely affects the other connections to this address too.
        dropIdle(address);
        maybeSent = reply.outcome == HttpOutcome::Unknown;
        if (maybeSent && !call.idempotent)
            return reply;
    }
    auto reply = callOnNew(address, call, deadline);
    if (maybeSent && reply.outcome == HttpOutcome::NotSent)
        reply.outcome = HttpOutcome::Unknown;
    reply.repeated = maybeSent;
    return reply;
}

HttpReply HttpClient::callOnPooled(HttpConnection& connection, const HttpCall& call, SteadyTime deadline)
{
    if (call.idempotent && call.reuseTimeout > Duration::zero())
        deadline = std::min(deadline, std::chrono::steady_clock::now() + call.reuseTimeout);
    return connection.exchange(call, m_options, deadline);
}

HttpReply HttpClient::callOnNew(const std::string& address, const HttpCall& call, SteadyTime deadline)
{
    auto left = std::chrono::duration_cast<Duration>(deadline - std::chrono::steady_clock::now());
    auto connection = HttpConnection::open(address, std::min(left, m_options.connectTimeout));
    if (!connection)
        return { HttpOutcome::NotSent, 0, {}, {}, false };
    auto reply = connection->exchange(call, m_options, deadline);
    if (reply.outcome == HttpOutcome::Answered)
        returnToPool(address, std::move(connection));
    return reply;
}

std::unique_ptr<HttpConnection> HttpClient::takeIdle(const std::string& address)
{
    const auto oldest = std::chrono::steady_clock::now() - m_options.idleTimeout;
    const std::scoped_lock lock(m_mutex);
    auto found = m_idle.find(address);
    if (found == m_idle.end())
        return nullptr;
    std::unique_ptr<HttpConnection> taken;
    auto& idle = found->second;
    while (!taken && !idle.empty()) {
        auto candidate = std::move(idle.back());
        idle.pop_back();
        if (candidate->lastUsed() >= oldest && !candidate->isStale())
            taken = std::move(candidate);
    }
    if (idle.empty())
        m_idle.erase(found);
    return taken;
}

void HttpClient::returnToPool(const std::string& address, std::unique_ptr<HttpConnection> connection)
{
    if (!connection->isReusable())
        return;
    const std::scoped_lock lock(m_mutex);
    auto& idle = m_idle[address];
    idle.push_back(std::move(connection));
    if (idle.size() > m_options.maxIdlePerAddress)
        idle.erase(idle.begin());
}

void HttpClient::dropIdle(const std::string& address)
{
    const std::scoped_lock lock(m_mutex);
    m_idle.erase(address);
}

} // namespace jujubereach::platform
