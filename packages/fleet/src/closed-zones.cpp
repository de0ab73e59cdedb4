#include "jujubereach/fleet/closed-zones.h"

#include <algorithm>

namespace jujubereach::fleet {

bool ClosedZones::replace(std::set<ZoneId> zones)
{
    if (zones == m_zones)
        return false;
    m_zones = std::move(zones);
    return true;
}

void ClosedZones::confirm(TimePoint at)
{
    m_confirmedAt = std::max(m_confirmedAt, at);
}

bool ClosedZones::isFresh(TimePoint now, Duration bound) const
{
    return bound.count() == 0 || now - m_confirmedAt < bound;
}

} // namespace jujubereach::fleet
