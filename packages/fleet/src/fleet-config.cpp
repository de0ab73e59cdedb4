#include "jujubereach/fleet/fleet-config.h"

namespace jujubereach::fleet {

const Route* FleetConfig::findRoute(const std::string& hostName, const std::string& path) const
{
    const Route* best = nullptr;
    for (const auto& [id, route] : routes) {
        if (route.hostName != hostName || !path.starts_with(route.prefix))
            continue;
        if (!best || route.prefix.size() > best->prefix.size())
            best = &route;
    }
    return best;
}

} // namespace jujubereach::fleet
