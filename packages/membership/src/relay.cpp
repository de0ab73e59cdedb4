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
    auto delegates = order.size();
    order.insert(order.end(), rest.begin(), rest.end());
    auto place = static_cast<std::size_t>(std::find(order.begin(), order.end(), self) - order.begin());
    // A delegate also reads from the service, so it passes on to one host only, the root of a tree.
    bool isDelegate = place < delegates;
    auto first = isDelegate ? place + delegates : 2 * delegates + relayFanout * (place - delegates);
    auto last = first + (isDelegate ? 1 : relayFanout);
    std::vector<HostId> targets;
    if (place == order.size())
        return targets;
    for (auto i = first; i < std::min(last, order.size()); ++i)
        targets.push_back(order[i]);
    return targets;
}

} // namespace jujubereach::membership
