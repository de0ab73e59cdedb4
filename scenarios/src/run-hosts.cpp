// How a run finds its hosts, cuts them off and switches their mechanisms off.
#include "check.h"
#include "run.h"

#include <Poco/JSON/Array.h>

#include <algorithm>

namespace jujubereach::scenarios {

namespace {

    using platform::JsonObject;

    Poco::JSON::Array::Ptr arrayOf(const std::set<std::string>& texts)
    {
        Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
        for (const auto& text : texts)
            array->add(text);
        return array;
    }

    std::string platformCut(const std::set<std::string>& kvCallers, const std::set<std::string>& hostCallers)
    {
        JsonObject::Ptr kv = new JsonObject;
        kv->set("cutCallers", arrayOf(kvCallers));
        JsonObject::Ptr hosts = new JsonObject;
        hosts->set("cutCallers", arrayOf(hostCallers));
        JsonObject object;
        object.set("kv", kv);
        object.set("hosts", hosts);
        return platform::toText(object);
    }

    Result<void> testHook(const std::string& address, const std::string& hook, const std::string& body)
    {
        HttpCall call;
        call.address = address;
        call.method = "POST";
        call.path = "/v1/test/" + hook;
        call.body = body;
        if (!callHttp(call).isOk())
            return fail({ ErrorCode::Unavailable, "a host does not take a test hook", hook, body });
        return {};
    }

    std::string zonePart(const std::string& spec, const std::string& prefix)
    {
        return spec.starts_with(prefix) ? spec.substr(prefix.size()) : std::string();
    }

} // namespace

Result<Target> Run::host(const std::string& spec)
{
    const auto targetOf = [&](const HostId& id) -> Result<Target> {
        const auto* member = m_fleet.find(id.str());
        if (!member || member->kind != MemberKind::Host)
            return fail({ ErrorCode::NotFound, "no such entry host", "host", id.str() });
        return Target { id, member->address };
    };
    {
        const std::scoped_lock lock(m_mutex);
        if (auto alias = m_aliases.find(spec); alias != m_aliases.end())
            return targetOf(alias->second);
    }
    if (const auto zone = zonePart(spec, "owner-of:"); !zone.empty()) {
        BOOST_LEAF_AUTO(owner, ownerOf(ZoneId(zone)));
        return targetOf(owner);
    }
    const auto other = zonePart(spec, "other-of:");
    const auto zone = other.empty() ? zonePart(spec, "any-of:") : other;
    if (spec != "any" && zone.empty())
        return targetOf(HostId(spec));
    auto live = m_fleet.liveHosts(ZoneId(zone));
    if (!other.empty()) {
        BOOST_LEAF_AUTO(owner, ownerOf(ZoneId(zone)));
        std::erase(live, owner);
    }
    if (live.empty())
        return fail({ ErrorCode::NotFound, "no live host fits", "host", spec });
    return targetOf(live.front());
}

void Run::nameHost(const std::string& alias, const HostId& host)
{
    const std::scoped_lock lock(m_mutex);
    m_aliases[alias] = host;
}

// The host that the workers granted most of the zone's leases, as they recorded it.
Result<HostId> Run::ownerOf(const ZoneId& zone)
{
    const auto* workers = m_fleet.find("workers-" + zone.str());
    if (!workers)
        return fail({ ErrorCode::NotFound, "the zone has no workers", "host", zone.str() });
    std::map<WorkerId, std::string> holders;
    BOOST_LEAF_AUTO(evidence, records());
    for (const auto& event : evidence.workers) {
        if (event.kind == "lease")
            holders[event.worker] = event.holder;
        if (event.kind == "lapse" || event.kind == "release")
            holders.erase(event.worker);
    }
    std::map<std::string, std::size_t> counts;
    for (const auto& [worker, holder] : holders) {
        const auto* spec = m_scenario.topology.zoneOf(worker);
        if (spec && spec->id == zone)
            ++counts[holder.substr(0, holder.find('#'))];
    }
    if (counts.empty())
        return fail(
            { ErrorCode::NotFound, "no host holds leases of the zone's workers", "host", zone.str() });
    return HostId(std::max_element(counts.begin(), counts.end(), [](const auto& a, const auto& b) {
        return a.second < b.second;
    })->first);
}

Result<void> Run::cut(const std::set<HostId>& hosts, const std::set<std::string>& otherCallers,
    bool fromPlatform, bool fromPeers)
{
    std::set<std::string> names;
    for (const auto& host : hosts)
        names.insert(host.str());
    auto listed = names;
    listed.insert(otherCallers.begin(), otherCallers.end());
    const std::set<std::string> none;
    JUJUBEREACH_CHECK(
        m_fleet.control("platform", fromPlatform ? platformCut(names, listed) : platformCut(none, none)));
    for (const auto& host : m_fleet.liveHosts({})) {
        const bool isInside = hosts.contains(host);
        std::set<std::string> peers;
        for (const auto& other : m_fleet.hosts()) {
            if (fromPeers && hosts.contains(other) != isInside)
                peers.insert(other.str());
        }
        JsonObject body;
        body.set("peers", arrayOf(peers));
        JUJUBEREACH_CHECK(testHook(m_fleet.find(host.str())->address, "cut", platform::toText(body)));
    }
    for (const auto& host : m_fleet.hosts()) {
        if (hosts.contains(host))
            disturb(host);
        else if (hosts.empty())
            undisturb(host);
    }
    return {};
}

Result<void> Run::breakMechanism(const std::vector<HostId>& hosts)
{
    if (!m_scenario.isCounterCheck())
        return {};
    JsonObject body;
    body.set("mechanism", m_scenario.brokenMechanism);
    for (const auto& host : hosts)
        JUJUBEREACH_CHECK(testHook(m_fleet.find(host.str())->address, "break", platform::toText(body)));
    return {};
}

} // namespace jujubereach::scenarios
