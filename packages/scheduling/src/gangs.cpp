#include "gangs.h"

#include <algorithm>
#include <string>

namespace jujubereach::scheduling {

Gang* startGang(State& state, Job* job, const Run& run, Cell* cell, TimePoint now)
{
    auto attempt = ++job->spec.attempt;
    auto gang = std::make_unique<Gang>();
    gang->id = GangId(job->spec.id.str() + "/" + std::to_string(attempt));
    gang->job = job;
    gang->run = run;
    gang->started = now;
    gang->cell = cell;
    job->gang = gang.get();
    job->started = true;
    if (cell)
        cell->holder = gang.get();
    if (state.policy.occupyRuns)
        state.line.occupy(run, gang.get());
    state.addUse(*gang);
    state.out.emplace_back(StartGang { gang->id, job->spec, run });
    auto* started = gang.get();
    state.gangs.emplace(started->id, std::move(gang));
    return started;
}

void stop(State& state, Gang& gang, const JobId& beneficiary)
{
    if (gang.state != GangState::Stopping)
        state.dropUse(gang);
    gang.state = GangState::Stopping;
    gang.stopDeadline.reset();
    gang.beneficiary = beneficiary;
    state.out.emplace_back(PreemptGang { gang.id, false, beneficiary });
}

void preempt(State& state, Gang& gang, const JobId& beneficiary, TimePoint now)
{
    if (gang.state == GangState::Stopping)
        return;
    bool canSave = savesInTime(gang.job->spec, state.limits);
    bool nothingToSave = gang.state == GangState::Starting && gang.job->spec.restartable;
    if (!canSave || nothingToSave) {
        stop(state, gang, beneficiary);
        return;
    }
    state.dropUse(gang);
    gang.state = GangState::Stopping;
    gang.checkpointing = true;
    gang.stopDeadline = now + state.limits.reclaimBound;
    gang.beneficiary = beneficiary;
    state.deadlines.emplace(*gang.stopDeadline, gang.id);
    state.out.emplace_back(PreemptGang { gang.id, true, beneficiary });
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

void makeClaim(State& state, Job* job, const Run& run, Cell* cell, TimePoint now)
{
    state.dequeue(job, now);
    for (auto at = run.first; at < run.end();) {
        auto* gang = state.line.gangAt(at);
        if (gang)
            preempt(state, *gang, job->spec.id, now);
        at = gang ? gang->run.end() : at + 1;
    }
    state.claims.push_back({ job, run, cell, now });
    job->claim = &state.claims.back();
    if (cell)
        cell->claim = job->claim;
    state.line.hold(run);
}

void dropClaim(State& state, Claim* claim, TimePoint now)
{
    auto* job = claim->job;
    state.line.release(claim->run);
    job->claim = nullptr;
    if (claim->cell)
        claim->cell->claim = nullptr;
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
            if (!state.line.usable(at))
                return Clearing::Lost;
            if (state.line.gangAt(at))
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
        auto [job, run, cell, since] = claim;
        dropClaim(state, &claim, now);
        if (progress == Clearing::Lost)
            continue;
        state.dequeue(job, now);
        startGang(state, job, run, cell, now);
    }
}

} // namespace jujubereach::scheduling
