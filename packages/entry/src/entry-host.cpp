#include "host-impl.h"

#include "open-call.h"
#include "peers.h"

#include <boost/json.hpp>

namespace jujubereach::entry {

namespace {

    // A watch may miss changes for 1 s before the store drops its history, and requests take time.
    constexpr Duration revokeSlack { 1500 };

    constexpr Duration announceJitter { 500 }; // Spreads the store calls of hosts that start together.

    // Seeded by host name, so that hosts that observe the same event draw different delays.
    std::mt19937_64 seededRandom(const std::string& name)
    {
        std::seed_seq seed(name.begin(), name.end());
        return std::mt19937_64(seed);
    }

} // namespace

const char* nameOf(CallKind kind)
{
    constexpr const char* names[] = { "submit", "query", "cancel" };
    return names[static_cast<int>(kind)];
}

const char* nameOf(CallOutcome outcome)
{
    constexpr const char* names[] = { "accepted", "state", "cancelled", "count", "no-such-route",
        "no-such-job", "unknown-key", "malformed", "not-accepted", "unavailable", "undecided" };
    return names[static_cast<int>(outcome)];
}

EntryHost::Impl::Impl(HostSettings settings, HostHooks hooks)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_self(std::make_shared<Impl*>(this))
    , m_random(seededRandom(m_settings.name))
    , m_ownerPrefix(m_settings.name + ' ' + m_settings.forwardAddress + ' ')
    , m_ownerValue(m_ownerPrefix + std::to_string(m_hooks.wall().milliseconds) + holdsUpdatesMark)
{
}

EntryHost::Impl::~Impl()
{
    *m_self = nullptr;
    for (auto& follower : { m_controlWatcher, m_jobs, m_workers }) {
        if (follower)
            follower->stop();
    }
    if (m_peers)
        m_peers->stop();
}

void EntryHost::Impl::start()
{
    PrefixWatcher::Hooks hooks;
    hooks.written = [this](const StoreItem& item) {
        if (item.key == m_hooks.layout.configKey)
            configWritten(item);
        else if (item.key == fleet::keys::owner)
            ownerWritten(item);
        else if (const auto zone = m_hooks.closedZoneOfKey(item.key); !zone.empty()) {
            auto zones = m_closedZones;
            zones.insert(zone);
            setClosedZones(std::move(zones));
        }
    };
    hooks.removed = [this](const std::string& key) {
        if (key == fleet::keys::owner)
            ownerRemoved();
        auto zones = m_closedZones;
        if (zones.erase(m_hooks.closedZoneOfKey(key)) > 0)
            setClosedZones(std::move(zones));
    };
    hooks.listed = [this](const std::vector<StoreItem>& items) {
        const StoreItem* owner = nullptr;
        std::set<ZoneId> zones;
        for (const auto& item : items) {
            if (item.key == m_hooks.layout.configKey)
                configWritten(item);
            else if (item.key == fleet::keys::owner)
                owner = &item;
            else if (const auto zone = m_hooks.closedZoneOfKey(item.key); !zone.empty())
                zones.insert(zone);
        }
        setClosedZones(std::move(zones));
        owner ? ownerWritten(*owner) : ownerRemoved();
    };
    hooks.confirmed = [this](TimePoint sentAt, Revision) {
        m_watchConfirmedAt = std::max(m_watchConfirmedAt, sentAt);
        m_configConfirmedAt = std::max(m_configConfirmedAt, sentAt);
        if (m_owner)
            m_owner->confirmClosedZones(m_watchConfirmedAt);
    };
    m_controlWatcher
        = std::make_shared<PrefixWatcher>(m_hooks, m_hooks.layout.watchPrefix, Duration(0), std::move(hooks));
    m_controlWatcher->start();
    if (m_settings.forwardAddress.empty())
        return;
    std::uniform_int_distribution<std::int64_t> jitter(0, announceJitter.count());
    m_peers = std::make_shared<Peers>(m_hooks, m_settings);
    m_peers->start(Duration(jitter(m_random)));
}

void EntryHost::Impl::configWritten(const StoreItem& item)
{
    if (m_config && item.revision.value <= m_configRevision.value)
        return; // Answers may arrive out of order.
    auto config = m_hooks.decodeConfig(item.value);
    if (!config) {
        m_hooks.log("config-unreadable", { { "revision", item.revision.value } });
        return;
    }
    // The version in force never decreases, but conditional writes need the store's current revision.
    m_configRevision = item.revision;
    if (m_config && config->version < m_config->version) {
        m_hooks.log("config-older",
            { { "version", config->version }, { "revision", item.revision.value },
                { "inForce", m_config->version } });
        return;
    }
    m_hooks.log("config",
        { { "version", config->version }, { "revision", item.revision.value },
            { "before", m_config ? m_config->version : 0 }, { "routes", config->routes.size() },
            { "keys", config->keys.size() } });
    m_config = std::move(config);
    m_hooks.configChanged(*m_config);
    if (m_owner)
        m_owner->setConfig(m_config);
    if (m_knownOwner.value == 0)
        claim();
}

// The presence of the key counts, whatever its value says.
void EntryHost::Impl::setClosedZones(std::set<ZoneId> zones)
{
    if (zones == m_closedZones)
        return;
    boost::json::array names;
    for (const auto& zone : zones)
        names.push_back({ { "zone", zone.str() }, { "known", m_settings.zones.contains(zone) } });
    m_hooks.log("closed-zones", { { "zones", std::move(names) } });
    m_closedZones = std::move(zones);
    if (m_owner)
        m_owner->setClosedZones(m_closedZones);
}

bool EntryHost::Impl::isFresh(TimePoint confirmedAt) const
{
    return now() - confirmedAt < m_settings.revokeBound - revokeSlack;
}

EntryHost::EntryHost(HostSettings settings, HostHooks hooks)
    : m_impl(std::make_unique<Impl>(std::move(settings), std::move(hooks)))
{
}

EntryHost::~EntryHost() = default;

void EntryHost::start()
{
    m_impl->start();
}

void EntryHost::handle(CallerRequest request, CallerDone done)
{
    m_impl->handle(std::move(request), std::move(done));
}

void EntryHost::applySettings(const HostSettings& settings)
{
    auto& current = m_impl->m_settings;
    current.owner = settings.owner;
    current.revokeBound = settings.revokeBound;
    current.stopBound = settings.stopBound;
    if (m_impl->m_owner)
        m_impl->m_owner->setSettings(current.owner);
}

bool EntryHost::isReady() const
{
    return !m_impl->m_draining && m_impl->configIsFresh();
}

void EntryHost::drain(TimePoint answersBy)
{
    if (std::exchange(m_impl->m_draining, true))
        return;
    m_impl->m_answersBy = answersBy;
    for (const auto& call : m_impl->m_openCalls)
        call->expiresAt = std::min(call->expiresAt, answersBy);
    resign("planned stop");
}

void EntryHost::answerOpenCalls()
{
    m_impl->answerOpenCalls();
}

void EntryHost::resign(const char* why)
{
    const auto lease = m_impl->m_lease;
    const auto owned = m_impl->m_owner != nullptr;
    m_impl->stepDown(why);
    if (owned)
        m_impl->m_hooks.store.endLease(
            lease, Duration(1000), [](const StoreAnswer&) { /* If this fails, the lease expires. */ });
}

bool EntryHost::ownsFleet() const
{
    return m_impl->m_owner != nullptr;
}

fleet::OwnerFigures EntryHost::ownerFigures() const
{
    return m_impl->m_owner ? m_impl->m_owner->figures() : fleet::OwnerFigures {};
}

std::uint64_t EntryHost::configVersion() const
{
    return m_impl->m_config ? m_impl->m_config->version : 0;
}

Duration EntryHost::configAge() const
{
    return m_impl->now() - m_impl->m_configConfirmedAt;
}

} // namespace jujubereach::entry
