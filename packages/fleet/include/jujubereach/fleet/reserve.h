// Capacity reserved for urgent work, so that it starts without preemption. In a fleet full of bulk work,
// each urgent gang would otherwise wait for tasks to stop, and recently started work would be lost.
#pragma once

#include "jujubereach/fleet/placement.h"

namespace jujubereach::fleet {

class UrgentReserve {
public:
    /// Records the share of a service's capacity that urgent work uses or waits for.
    void recordDemand(TimePoint now, double share);
    /// The share to reserve: the moving average of the demand plus a margin for its deviation.
    double share() const;

private:
    TimePoint m_recordedAt;
    double m_mean = 0;
    double m_variance = 0;
};

/// The largest share of a service's processors, memory or accelerators that `resources` take.
double shareOf(const Resources& resources, const ServiceId& service, const std::vector<WorkerView>& views);

/// Marks the first racks of a service, up to about the given share of its capacity, except for slow workers.
void reserveRacks(const ServiceId& service, double share, std::vector<WorkerView>& views);

} // namespace jujubereach::fleet
