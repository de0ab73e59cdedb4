// What it costs to stop runs for an urgent step, and whether to wait for runs that end by themselves instead.
// Works on plain data.
#pragma once

#include "jujubereach/fleet/placement.h"

namespace jujubereach::fleet {

/// State of a run that determines what a stop loses.
struct VictimRun {
    Duration elapsed { 0 }; ///< Since the run was ordered.
    bool startKnown = true; ///< Whether `elapsed` counts from the start of the run.
    bool checkpointing = false;
    bool gang = false; ///< Members that wait for each other fall back to their last common checkpoint.
    Duration checkpointInterval { 0 };
    Duration restoreTime { 0 };
};

/// Run time that a stop loses on each task of the victim.
Duration lostTime(const VictimRun& run);

/// Time until the next checkpoint of a run that was started `elapsed` ago.
Duration timeToCheckpoint(Duration elapsed, Duration interval);

/// Expected end of a run, corrected if the run has already exceeded `expected`.
TimePoint correctedEnd(TimePoint expected, Duration runTime, TimePoint now);

/// Time from the decision to stop a run until its capacity is known to be free.
Duration timeOfStop(Duration stopTimeout);

/// Needs and bounds of an urgent step that cannot be placed.
struct UrgentNeed {
    TimePoint now;
    Duration stopTime { 0 }; ///< By `timeOfStop`.
    Duration runTime { 0 }; ///< Expected from the start of the step to the completion of the job.
    TimePoint inTimeBy = TimePoint::max(); ///< A later completion is late.
    TimePoint usefulBy = TimePoint::max(); ///< A later completion is of almost no use.
    bool guaranteed = false;
    TimePoint awaitsSince; ///< When the step first waited for ends; unset if it has not.
    double utility = 0; ///< Utility of the job if it is in time, in the unit of `PreemptionCandidate::rank`.
};

enum class PreemptionOutcome {
    Stop,
    Wait, ///< Runs that end by themselves free the capacity soon enough.
    GiveUp, ///< No preemption is possible, or it would cost more than it gains.
};

struct PreemptionDecision {
    PreemptionOutcome outcome = PreemptionOutcome::GiveUp;
    const char* why = "";
    TimePoint until; ///< Of `Wait`: when the capacity is expected to be free.
    /// Of `Stop`: what to stop. Of `Wait`: the capacity to hold for the step; empty if it is free only later
    /// than after a stop.
    Preemption found;
};

/// Latest expected end of runs for which the step may wait instead of stopping any; unset if it may not wait.
TimePoint awaitLimit(const UrgentNeed& need);

/// Decides for a step that does not fit now. `request.awaitUntil` is set by this function.
PreemptionDecision decidePreemption(
    PlaceRequest request, const std::vector<WorkerView>& views, const UrgentNeed& need);

const char* nameOf(PreemptionOutcome outcome);

} // namespace jujubereach::fleet
