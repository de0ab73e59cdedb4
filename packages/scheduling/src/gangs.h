// Starts and preempts gangs, and clears runs for jobs by claims.
#pragma once

#include "state.h"

namespace jujubereach::scheduling {

/// Starts the job on a free run; the job must not be queued.
Gang* startGang(State& state, Job* job, const Run& run, ShapeSlot* shapeSlot, TimePoint now);

/// Preempts the gang, with a checkpoint if one fits within the reclaim bound, otherwise by stopping it. A
/// restartable gang that is still starting is stopped, as it has no progress to save.
void preempt(State& state, Gang& gang, const JobId& beneficiary, TimePoint now);
/// Stops the gang without a checkpoint.
void stop(State& state, Gang& gang, const JobId& beneficiary);
/// Stops gangs whose checkpoint has taken longer than the reclaim bound.
void stopOverdue(State& state, TimePoint now);

/// Removes the job from the queue, holds the run and preempts every gang in it.
void makeClaim(State& state, Job* job, const Run& run, ShapeSlot* shapeSlot, TimePoint now);
/// Drops the claim; the job returns to the queue unless it was cancelled.
void dropClaim(State& state, Claim* claim, TimePoint now);
/// Drops every claim that overlaps the run.
void dropClaimsIn(State& state, const Run& run, TimePoint now);
/// Starts the jobs whose claimed runs are clear; drops claims on workers that are no longer usable.
void startClaims(State& state, TimePoint now);

} // namespace jujubereach::scheduling
