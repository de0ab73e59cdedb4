#include "committer-driver.h"

#include <algorithm>

namespace jujubereach::daemon {

namespace {

    // When the budget has no call left, the next look is after this.
    constexpr Duration budgetRetry { 20 };
    constexpr Duration longestSleep { 1000 };

} // namespace

std::shared_ptr<CommitterDriver> CommitterDriver::create(
    Context& ctx, journal::CommitterConfig config, journal::Apply apply, DriverHooks hooks)
{
    return std::shared_ptr<CommitterDriver>(
        new CommitterDriver(ctx, std::move(config), std::move(apply), std::move(hooks)));
}

CommitterDriver::CommitterDriver(
    Context& ctx, journal::CommitterConfig config, journal::Apply apply, DriverHooks hooks)
    : m_ctx(ctx)
    , m_hooks(std::move(hooks))
    , m_committer(std::move(config), std::move(apply))
{
}

bool CommitterDriver::add(journal::Record record)
{
    if (!m_committer.add(std::move(record), m_ctx.clock()))
        return false;
    advance();
    return true;
}

void CommitterDriver::requestRead()
{
    m_committer.requestRead();
    advance();
}

void CommitterDriver::advance()
{
    if (m_calling)
        return;
    auto call = m_committer.next(m_ctx.clock(), m_ctx.budget);
    m_calling = call.has_value();
    complete();
    if (!call)
        return wakeLater();
    const bool isRead = call->kind == journal::CallKind::Read;
    m_ctx.metrics.add("jujubereach_platform_calls_total", { { "kind", isRead ? "read" : "write" } });
    auto carry = [kv = m_ctx.platform.kv, call = std::move(*call)] { return journal::carryOut(kv, call); };
    callThen(m_ctx.platformIo, m_ctx.loop, carry, [weak = weak_from_this()](const platform::KvReply& reply) {
        if (auto self = weak.lock())
            self->onReply(reply);
    });
}

void CommitterDriver::onReply(const platform::KvReply& reply)
{
    m_calling = false;
    m_committer.onReply(reply, m_ctx.clock());
    complete();
    if (m_hooks.onReply)
        m_hooks.onReply();
    advance();
}

// Records that are refused as a whole complete without a call.
void CommitterDriver::complete()
{
    for (const auto& completion : m_committer.takeCompletions())
        m_hooks.onCompletion(completion);
}

void CommitterDriver::wakeLater()
{
    const auto now = m_ctx.clock();
    const auto due = m_committer.nextDue();
    if (m_timerSet || due - now > longestSleep * 60)
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
