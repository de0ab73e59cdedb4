// Room that is kept for urgent work, so that it starts at once. Answers a fleet that is full of bulk work
// while urgent gangs come: each would wait for stops, and what was started a moment before would be thrown
// away.
#pragma once

#include "jujubereach/fleet/placement.h"

namespace jujubereach::fleet {

class UrgentReserve {
public:
    /// Takes note of the share of a service's room that urgent work has or waits for.
    void recordDemand(TimePoint now, double share);
    /// The share to keep: what urgent work has had of late, and a margin for its swings.
    double share() const;

private:
    TimePoint m_recordedAt;
    double m_mean = 0;
    double m_variance = 0;
};

/// The share that some room is of a service's usable room, in whichever kind it is largest.
double shareOf(const Resources& resources, const ServiceId& service, const std::vector<WorkerView>& views);

/// Marks the first racks of a service, in their order, that hold about such a share of its room.
void reserveRacks(const ServiceId& service, double share, std::vector<WorkerView>& views);

} // namespace jujubereach::fleet
