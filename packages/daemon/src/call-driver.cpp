#include "call-driver.h"

#include <algorithm>

namespace jujubereach::daemon {

namespace {

    // When the budget has no call left, the next look is after this.
    constexpr Duration budgetRetry { 20 };
    constexpr Duration longestSleep { 1000 };
    // A due time beyond this means that nothing is wanted.
    constexpr Duration farFuture { 3'600'000 };

} // namespace

std::shared_ptr<CallDriver> CallDriver::create(Context& ctx, CallSource source)
{
    return std::shared_ptr<CallDriver>(new CallDriver(ctx, std::move(source)));
}

CallDriver::CallDriver(Context& ctx, CallSource source)
    : m_ctx(ctx)
    , m_source(std::move(source))
{
}

void CallDriver::advance()
{
    if (m_calling)
        return;
    auto call = m_source.next(m_ctx.clock(), m_ctx.budget);
    m_calling = call.has_value();
    // Records that are refused as a whole complete without a call.
    progress();
    if (!call)
        return wakeLater();
    const bool isRead = call->kind == journal::CallKind::Read;
    m_ctx.metrics.add("jujubereach_platform_calls_total", { { "kind", isRead ? "read" : "write" } });
    auto carry = [kv = m_ctx.platform.kv, call = std::move(*call)] { return journal::executeCall(kv, call); };
    callThen(m_ctx.platformIo, m_ctx.loop, carry, [weak = weak_from_this()](const platform::KvReply& reply) {
        if (auto self = weak.lock())
            self->onReply(reply);
    });
}

void CallDriver::progress()
{
    if (m_source.onProgress)
        m_source.onProgress();
}

void CallDriver::onReply(const platform::KvReply& reply)
{
    m_calling = false;
    m_ctx.noteService(reply.status);
    m_source.onReply(reply, m_ctx.clock());
    progress();
    advance();
}

void CallDriver::wakeLater()
{
    const auto now = m_ctx.clock();
    const auto due = m_source.nextDue();
    if (m_timerSet || due - now > farFuture)
        return;
    m_timerSet = true;
    const auto delay = std::clamp<Duration>(due - now, budgetRetry, longestSleep);
    m_ctx.loop.postAfter(delay, [weak = weak_from_this()] {
        auto self = weak.lock();
        if (!self)
            return;
        self->m_timerSet = false;
        self->advance();
    });
}

} // namespace jujubereach::daemon
