// The order in which waiting steps are placed: by utility for their callers per unit of remaining work.
#pragma once

#include "jujubereach/fleet/job-spec.h"

namespace jujubereach::fleet {

enum class QueueOrder {
    ByUtility, ///< By utility per core-second; reserves capacity for urgent steps and lets them preempt.
    ByArrival, ///< First come, first served, after guaranteed steps; the baseline for comparison.
};

struct WaitingStep {
    int priority = 0;
    bool guaranteed = false; ///< Within the guaranteed accelerators of its workspace.
    Duration age { 0 }; ///< Time since the job arrived.
    Duration remaining { 0 }; ///< Expected time from start to completion of the job.
    Duration idealDuration { 0 }; ///< Expected run time of the whole job without waiting.
    double stretch = 1;
    Duration objective { 0 };
    double work = 0; ///< Work of the whole job, in core-seconds.
    double meanWork = 0; ///< Mean work of the jobs of its queue, in core-seconds.
    double remainingWork = 0; ///< Of the occurrence, in core-seconds.
};

constexpr double lateShare = 0.35; ///< Utility left to a late result: 0.2 to 0.5 in the sheets.
/// Positive, so that a job that is too late to be of use still runs, after everything else.
constexpr double tooLateShare = 0.01;
/// Multiple of the time in which a job should complete after which a result has almost no utility.
constexpr double lateBound = 3;

/// Share of its utility that a job has if it completes `finish` after its arrival; both in ms.
double timeliness(double finish, double bound);
/// Time after its arrival by which a job should complete, in ms.
double completionBound(double stretch, Duration idealDuration, Duration objective);

/// Returns the rank of a step; higher ranks are placed first. Guaranteed steps precede all others.
double rankOf(const WaitingStep& step, QueueOrder order = QueueOrder::ByUtility);

/// Price of an accelerator on the platform, in cores.
constexpr double coresPerAccelerator = 8;
double coresOf(const Resources& resources);

} // namespace jujubereach::fleet
