// Rendezvous hashing of domains over hosts, and the majority that excludes two owners.
#include "jujubereach/membership/ownership.h"

#include "jujubereach/base/random.h"

#include <algorithm>

namespace jujubereach::membership {

namespace {

    std::string domainKey(const ZoneId& zone, const DomainId& domain)
    {
        return "domain/" + zone.str() + "/" + domain.str();
    }

} // namespace

std::vector<HostId> rankHosts(std::vector<HostId> hosts, std::string_view key)
{
    auto seed = stableHash(key);
    std::vector<std::pair<std::uint64_t, HostId>> scored;
    scored.reserve(hosts.size());
    for (auto& host : hosts) {
        auto score = stableHash(host.str(), seed);
        scored.emplace_back(score, std::move(host));
    }
    // Equal scores are settled by id, so that every host gets the same order.
    std::sort(scored.begin(), scored.end(), std::greater<>());
    for (std::size_t i = 0; i < hosts.size(); ++i)
        hosts[i] = std::move(scored[i].second);
    return hosts;
}

std::vector<HostId> rankOwners(const std::vector<HostId>& live, const ZoneId& zone, const DomainId& domain)
{
    return rankHosts(live, domainKey(zone, domain));
}

std::optional<HostId> preferredOwner(
    const std::vector<HostId>& live, const ZoneId& zone, const DomainId& domain)
{
    if (live.empty())
        return std::nullopt;
    return rankOwners(live, zone, domain).front();
}

bool shouldOwn(
    const std::vector<HostId>& live, const ZoneId& zone, const DomainId& domain, const HostId& self)
{
    return preferredOwner(live, zone, domain) == self;
}

bool isMajority(const std::vector<bool>& granted)
{
    if (granted.empty())
        return false;
    std::size_t firstWeight = granted.size() % 2 == 0 ? 2 : 1;
    auto total = granted.size() - 1 + firstWeight;
    std::size_t held = granted[0] ? firstWeight : 0;
    for (std::size_t i = 1; i < granted.size(); ++i)
        held += granted[i] ? 1 : 0;
    return 2 * held > total;
}

} // namespace jujubereach::membership
