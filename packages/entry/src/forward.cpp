// Forwards calls that this host cannot decide because the store does not answer or its configuration is too
// old. Another host may be able to reach the store.
#include "host-impl.h"

#include "open-call.h"
#include "peers.h"

#include <algorithm>

namespace jujubereach::entry {

namespace {

    constexpr std::size_t maxForwards = 3; // One host at each distance: same zone, same region, elsewhere.
    constexpr Duration forwardTimeout { 800 }; // Per attempt: a slow store plus the latency between regions.
    constexpr Duration minTimeLeft { 100 }; // An attempt with less time left would not be answered in time.
    constexpr Duration forwardBackoff { 300 }; // After all attempts failed: no host reaches the store.
    constexpr Duration confirmTimeout { 300 };
    constexpr Duration confirmBackoff { 300 }; // After an unanswered read; calls wait for none meanwhile.

    // False if another host may still be able to decide the call.
    bool isDecided(const CallerAnswer& answer)
    {
        return answer.outcome != CallOutcome::Unavailable && answer.outcome != CallOutcome::NotAccepted
            && answer.outcome != CallOutcome::Undecided;
    }

} // namespace

void EntryHost::Impl::forward(const std::shared_ptr<OpenCall>& call, std::function<void()> fallback)
{
    if (call->isAnswered())
        return;
    if (!call->request.forward || !m_peers || now() < m_nextForwardAt)
        return fallback();
    tryPeers(call, m_peers->candidates(maxForwards), 0, std::move(fallback));
}

void EntryHost::Impl::tryPeers(const std::shared_ptr<OpenCall>& call, std::vector<std::string> addresses,
    std::size_t next, std::function<void()> fallback)
{
    if (call->isAnswered())
        return;
    const auto left = call->expiresAt - now();
    if (next >= addresses.size() || left < minTimeLeft) {
        m_nextForwardAt = now() + forwardBackoff;
        return fallback();
    }
    const auto address = addresses[next];
    call->writing = call->request.kind != CallKind::Query;
    call->request.forward(address, m_config ? m_config->version : 0, std::min(forwardTimeout, left),
        [this, self = m_self, call, addresses = std::move(addresses), next, address,
            fallback = std::move(fallback)](const ForwardResult& result) {
            call->writing = false;
            if (!*self)
                return;
            if (result.answer && isDecided(*result.answer)) {
                m_peers->recordSuccess(address);
                return finish(call, *result.answer, "decided by another host");
            }
            m_peers->recordFailure(address);
            const auto mayHaveRun
                = result.sent && (!result.answer || result.answer->outcome == CallOutcome::Undecided);
            if (mayHaveRun && call->request.kind != CallKind::Query)
                call->wroteWithoutAnswer(OpenCall::anyRevision);
            tryPeers(call, addresses, next + 1, fallback);
        });
}

// Concurrent calls share one read.
void EntryHost::Impl::confirmConfig(std::function<void()> then)
{
    if (now() < m_nextConfirmAt)
        return then();
    m_awaitingConfig.push_back(std::move(then));
    if (m_awaitingConfig.size() > 1)
        return;
    const auto sentAt = now();
    m_hooks.store.read(
        m_hooks.layout.configKey, confirmTimeout, [this, self = m_self, sentAt](const StoreAnswer& answer) {
            if (!*self)
                return;
            if (answer.fate == StoreFate::Done && !answer.items.empty()) {
                configWritten(answer.items[0]);
                m_configConfirmedAt = std::max(m_configConfirmedAt, sentAt);
            } else
                m_nextConfirmAt = now() + confirmBackoff;
            for (const auto& waiting : std::exchange(m_awaitingConfig, {}))
                waiting();
        });
}

} // namespace jujubereach::entry
