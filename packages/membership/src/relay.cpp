// Trees of hosts along which a manifest is passed on.
#include "jujubereach/membership/relay.h"

#include "jujubereach/membership/delegates.h"
#include "jujubereach/membership/ownership.h"

#include <algorithm>

namespace jujubereach::membership {

std::vector<HostId> relayTargets(
    const std::vector<HostId>& live, const ZoneId& zone, const HostId& self, std::uint64_t counter)
{
    auto order = chooseDelegates(live, zone);
    auto rest = live;
    for (const auto& delegate : order)
        std::erase(rest, delegate);
    rest = rankHosts(std::move(rest), "relay/" + std::to_string(counter));
    auto roots = order.size();
    order.insert(order.end(), rest.begin(), rest.end());
    auto place = std::find(order.begin(), order.end(), self);
    std::vector<HostId> targets;
    if (place == order.end())
        return targets;
    auto first = roots + relayFanout * static_cast<std::size_t>(place - order.begin());
    for (std::size_t i = first; i < std::min(first + relayFanout, order.size()); ++i)
        targets.push_back(order[i]);
    return targets;
}

} // namespace jujubereach::membership
