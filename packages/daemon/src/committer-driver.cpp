#include "committer-driver.h"

namespace jujubereach::daemon {

CommitterDriver::CommitterDriver(Context& ctx, journal::CommitterConfig config, journal::ApplyRecords apply,
    std::function<void(const journal::Completion&)> onCompletion)
    : m_ctx(ctx)
    , m_onCompletion(std::move(onCompletion))
    , m_committer(std::move(config), std::move(apply))
{
    CallSource source;
    source.next
        = [this](TimePoint now, journal::CallBudget& budget) { return m_committer.nextCall(now, budget); };
    source.onReply
        = [this](const platform::KvReply& reply, TimePoint now) { m_committer.onReply(reply, now); };
    source.nextDue = [this] { return m_committer.nextDue(); };
    source.onProgress = [this] { complete(); };
    m_driver = CallDriver::create(ctx, std::move(source));
}

bool CommitterDriver::add(journal::Record record)
{
    if (!m_committer.add(std::move(record), m_ctx.clock()))
        return false;
    m_driver->advance();
    return true;
}

void CommitterDriver::requestRead()
{
    m_committer.requestRead();
    m_driver->advance();
}

void CommitterDriver::complete()
{
    for (const auto& completion : m_committer.takeCompletions())
        m_onCompletion(completion);
}

} // namespace jujubereach::daemon
