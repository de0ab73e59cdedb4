// Updates from the store, such as new jobs and worker entries.
//
// A successor assumes that its predecessor does not know what the store has accepted since the takeover. So
// an owner applies an update only if it was received while its own lease certainly lasted. Until a renewal
// shows that, the update is held.
#include "owner-impl.h"

namespace jujubereach::fleet {

namespace {

    // Bounds memory. The next owner reads the store again.
    constexpr std::size_t maxHeldUpdates = 10'000;

} // namespace

Duration exclusivityPeriod(const OwnerSettings& settings)
{
    return Duration(
        static_cast<std::int64_t>(static_cast<double>(settings.ownerLease.count()) / (1 + clockDrift)));
}

void Owner::Impl::receiveUpdate(std::function<void()> apply)
{
    if (m_superseded)
        return;
    if (m_heldUpdates.empty() && isExclusive(now()))
        return apply();
    if (m_heldUpdates.empty())
        m_hooks.log("updates-held", { { "confirmedMsAgo", (now() - m_confirmedAt).count() } });
    if (m_heldUpdates.size() >= maxHeldUpdates)
        return giveUpOwnership("too many unconfirmed updates");
    m_heldUpdates.push_back({ now(), std::move(apply) });
}

void Owner::Impl::confirmOwnership(TimePoint sentAt)
{
    m_confirmedAt = std::max(m_confirmedAt, sentAt);
    if (m_heldUpdates.empty())
        return;
    const auto heldSince = m_heldUpdates.front().receivedAt;
    std::size_t applied = 0;
    while (!m_superseded && !m_heldUpdates.empty() && isExclusive(m_heldUpdates.front().receivedAt)) {
        const auto apply = std::move(m_heldUpdates.front().apply);
        m_heldUpdates.pop_front();
        apply();
        ++applied;
    }
    m_hooks.log("updates-applied",
        { { "updates", applied }, { "held", m_heldUpdates.size() },
            { "heldForMs", (now() - heldSince).count() }, { "superseded", m_superseded } });
}

} // namespace jujubereach::fleet
