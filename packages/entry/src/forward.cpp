// Calls that this host cannot decide, because the store does not answer it or the configuration that it knows
// is too old: another host may reach the store.
#include "host-impl.h"

#include "open-call.h"
#include "peers.h"

#include <algorithm>

namespace jujubereach::entry {

namespace {

    constexpr std::size_t maxForwards = 3; // One host in each distance: zone, region, elsewhere.
    constexpr Duration forwardTimeout { 800 }; // Of one try: a slow store and a way between regions.
    constexpr Duration minTimeLeft { 100 }; // A try with less time left has no answer.
    constexpr Duration forwardBackoff { 300 }; // After tries in vain: the store fails for all hosts.
    constexpr Duration confirmTimeout { 300 };
    constexpr Duration confirmBackoff { 300 }; // After a read without an answer, which calls do not wait for.

    // Whether another host may know better.
    bool isDecided(const CallerAnswer& answer)
    {
        return answer.outcome != CallOutcome::Unavailable && answer.outcome != CallOutcome::NotAccepted
            && answer.outcome != CallOutcome::Undecided;
    }

} // namespace

void EntryHost::Impl::forward(const std::shared_ptr<OpenCall>& call, std::function<void()> fallback)
{
    if (!call->request.forward || !m_peers || now() < m_nextForwardAt)
        return fallback();
    tryPeers(call, m_peers->candidates(maxForwards), 0, std::move(fallback));
}

void EntryHost::Impl::tryPeers(const std::shared_ptr<OpenCall>& call, std::vector<std::string> addresses,
    std::size_t next, std::function<void()> fallback)
{
    const auto left = call->expiresAt - now();
    if (next >= addresses.size() || left < minTimeLeft) {
        m_nextForwardAt = now() + forwardBackoff;
        return fallback();
    }
    const auto address = addresses[next];
    call->request.forward(address, m_config ? m_config->version : 0, std::min(forwardTimeout, left),
        [this, self = m_self, call, addresses = std::move(addresses), next, address,
            fallback = std::move(fallback)](const ForwardResult& result) {
            if (!*self)
                return;
            if (result.answer && isDecided(*result.answer)) {
                m_peers->recordSuccess(address);
                return finish(call, *result.answer, "decided by another host");
            }
            m_peers->recordFailure(address);
            const auto mayHaveRun
                = result.sent && (!result.answer || result.answer->outcome == CallOutcome::Undecided);
            call->outcomeUnknown
                = call->outcomeUnknown || (mayHaveRun && call->request.kind != CallKind::Query);
            tryPeers(call, addresses, next + 1, fallback);
        });
}

// Calls that wait at the same time share one read.
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
