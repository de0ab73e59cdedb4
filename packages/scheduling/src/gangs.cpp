#include "gangs.h"

#include <algorithm>
#include <string>

namespace jujubereach::scheduling {

Gang* startGang(State& state, Job* job, const Run& run, ShapeSlot* shapeSlot, TimePoint now)
{
    auto attempt = ++job->spec.attempt;
    auto gang = std::make_unique<Gang>();
    gang->id = GangId(job->spec.id.str() + "/" + std::to_string(attempt));
    gang->job = job;
    gang->run = run;
    gang->started = now;
    gang->shapeSlot = shapeSlot;
    job->gang = gang.get();
    job->started = true;
    if (shapeSlot)
        shapeSlot->holder = gang.get();
    if (state.policy.occupyRuns)
        state.occupancy.occupy(run, gang.get());
    state.addUsage(*gang);
    state.pendingDecisions.emplace_back(StartGang { gang->id, job->spec, run });
    auto* started = gang.get();
    state.gangs.emplace(started->id, std::move(gang));
    return started;
}

void stop(State& state, Gang& gang, const JobId& beneficiary)
{
    if (gang.state != GangState::Stopping)
        state.subtractUsage(gang);
    gang.state = GangState::Stopping;
    gang.stopDeadline.reset();
    gang.beneficiary = beneficiary;
    state.pendingDecisions.emplace_back(PreemptGang { gang.id, false, beneficiary });
}

void preempt(State& state, Gang& gang, const JobId& beneficiary, TimePoint now)
{
    if (gang.state == GangState::Stopping)
        return;
    bool canSave = checkpointsInTime(gang.job->spec, state.limits);
    bool nothingToSave = gang.state == GangState::Starting && gang.job->spec.restartable;
    if (!canSave || nothingToSave) {
        stop(state, gang, beneficiary);
        return;
    }
    state.subtractUsage(gang);
    gang.state = GangState::Stopping;
    gang.checkpointing = true;
    gang.stopDeadline = now + state.limits.reclaimBound;
    gang.beneficiary = beneficiary;
    state.deadlines.emplace(*gang.stopDeadline, gang.id);
    state.pendingDecisions.emplace_back(PreemptGang { gang.id, true, beneficiary });
}

void stopOverdue(State& state, TimePoint now)
{
    while (!state.deadlines.empty() && state.deadlines.begin()->first <= now) {
        auto found = state.gangs.find(state.deadlines.begin()->second);
        state.deadlines.erase(state.deadlines.begin());
        if (found != state.gangs.end() && found->second->stopDeadline)
            stop(state, *found->second, found->second->beneficiary);
    }
}

void makeClaim(State& state, Job* job, const Run& run, ShapeSlot* shapeSlot, TimePoint now)
{
    state.dequeue(job, now);
    for (auto at = run.first; at < run.end();) {
        auto* gang = state.occupancy.gangAt(at);
        if (gang)
            preempt(state, *gang, job->spec.id, now);
        at = gang ? gang->run.end() : at + 1;
    }
    state.claims.push_back({ job, run, shapeSlot, now });
    job->claim = &state.claims.back();
    if (shapeSlot)
        shapeSlot->claim = job->claim;
    state.occupancy.hold(run);
}

void dropClaim(State& state, Claim* claim, TimePoint now)
{
    auto* job = claim->job;
    state.occupancy.release(claim->run);
    job->claim = nullptr;
    if (claim->shapeSlot)
        claim->shapeSlot->claim = nullptr;
    std::erase_if(state.claims, [claim](const Claim& each) { return &each == claim; });
    if (!job->cancelled)
        state.enqueue(job, now);
}

void dropClaimsIn(State& state, const Run& run, TimePoint now)
{
    for (auto it = state.claims.begin(); it != state.claims.end();) {
        auto& claim = *it++;
        if (claim.run.overlaps(run))
            dropClaim(state, &claim, now);
    }
}

namespace {

    enum class Clearing { Ready, Waiting, Lost };

    Clearing progressOf(const State& state, const Claim& claim)
    {
        auto result = Clearing::Ready;
        for (auto at = claim.run.first; at < claim.run.end(); ++at) {
            if (!state.occupancy.usable(at))
                return Clearing::Lost;
            if (state.occupancy.gangAt(at))
                result = Clearing::Waiting;
        }
        return result;
    }

} // namespace

void startClaims(State& state, TimePoint now)
{
    for (auto it = state.claims.begin(); it != state.claims.end();) {
        auto& claim = *it++;
        auto progress = progressOf(state, claim);
        if (progress == Clearing::Waiting)
            continue;
        auto [job, run, shapeSlot, since] = claim;
        dropClaim(state, &claim, now);
        if (progress == Clearing::Lost)
            continue;
        state.dequeue(job, now);
        startGang(state, job, run, shapeSlot, now);
    }
}

} // namespace jujubereach::scheduling
