// Starts and preempts gangs, and clears runs for jobs by claims.
#pragma once

#include "state.h"

namespace jujubereach::scheduling {

/// Starts the job on a free run; the job must not stand in the queue.
Gang* startGang(State& state, Job* job, const Run& run, ShapeSlot* shapeSlot, TimePoint now);

/// Asks the gang to give its accelerators back: by a checkpoint where it is able to, else by a stop.
void preempt(State& state, Gang& gang, const JobId& beneficiary, TimePoint now);
/// Stops the gang at once.
void stop(State& state, Gang& gang, const JobId& beneficiary);
/// Stops gangs whose checkpoint has taken longer than the reclaim bound.
void stopOverdue(State& state, TimePoint now);

/// Takes the job from the queue, holds the run and preempts every gang in it.
void makeClaim(State& state, Job* job, const Run& run, ShapeSlot* shapeSlot, TimePoint now);
/// Gives the run up; the job stands in the queue again unless it was cancelled.
void dropClaim(State& state, Claim* claim, TimePoint now);
/// Gives up every claim that overlaps the run.
void dropClaimsIn(State& state, const Run& run, TimePoint now);
/// Starts the jobs whose runs are clear; drops claims on workers that went down.
void startClaims(State& state, TimePoint now);

} // namespace jujubereach::scheduling
