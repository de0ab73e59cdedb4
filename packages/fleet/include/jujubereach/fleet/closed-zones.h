// Availability zones that operators have closed: no task starts there until they open the zone again.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"

#include <set>

namespace jujubereach::fleet {

/// The closed zones, and how recent that knowledge is. Tasks that already run in a closed zone may finish.
class ClosedZones {
public:
    /// Replaces the set. Returns whether it changed.
    bool replace(std::set<ZoneId> zones);
    /// Reports that the set was complete at `at` or later.
    void confirm(TimePoint at);

    bool isClosed(const ZoneId& zone) const { return m_zones.contains(zone); }
    /// Whether a zone that was closed `bound` ago or earlier is certainly known. Always true without a bound.
    bool isFresh(TimePoint now, Duration bound) const;
    const std::set<ZoneId>& zones() const { return m_zones; }

private:
    std::set<ZoneId> m_zones;
    TimePoint m_confirmedAt;
};

} // namespace jujubereach::fleet
