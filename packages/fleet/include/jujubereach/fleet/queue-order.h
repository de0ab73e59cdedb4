// The order in which waiting steps get room: by what their callers gain for each unit of room.
#pragma once

#include "jujubereach/fleet/job-spec.h"

namespace jujubereach::fleet {

enum class QueueOrder {
    ByUtility, ///< What callers gain for each unit of room, soon; urgent work has room kept and may displace.
    ByArrival, ///< First come, first served: the baseline. Only guaranteed work goes ahead.
};

struct WaitingStep {
    int priority = 0;
    bool guaranteed = false; ///< Within the room that its workspace can always claim.
    Duration age { 0 }; ///< Since the job was accepted, or its occurrence due.
    Duration remaining { 0 }; ///< Expected time until the job is done, once it starts.
    Duration idealDuration { 0 }; ///< Expected time of the whole job on free workers.
    double stretch = 1;
    Duration objective { 0 };
    double work = 0; ///< Of the whole job, in core-seconds.
    double meanWork = 0; ///< Of the jobs of its queue.
    double remainingWork = 0;
};

/// Returns a larger number for a step to be placed earlier. Guaranteed steps come before all others.
double rankOf(const WaitingStep& step, QueueOrder order = QueueOrder::ByUtility);

/// Accelerators count as so many cores, as the platform prices them.
constexpr double coresPerAccelerator = 8;
double coresOf(const Resources& resources);

} // namespace jujubereach::fleet
