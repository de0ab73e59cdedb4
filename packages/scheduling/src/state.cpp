#include "state.h"

#include <algorithm>

namespace jujubereach::scheduling {

namespace {
    constexpr Duration commandDelay { 500 }; ///< Allowance for delivering a command to a worker.
    constexpr Duration minRemaining { 1000 };
    constexpr Duration minOverrunRemaining { 30'000 };
} // namespace

State::State(const Policy& settings, std::uint32_t accelerators, std::uint32_t perWorker)
    : policy(settings)
    , total(accelerators)
    , occupancy(accelerators, perWorker)
    , workerUp(accelerators / perWorker, false)
    , workerReported(accelerators / perWorker, false)
    , health(accelerators / perWorker, settings)
{
}

bool State::urgent(const Job& job) const
{
    auto found = classes.find(job.spec.workClass);
    return found != classes.end() && found->second.config.urgent;
}

void State::enqueue(Job* job, TimePoint now)
{
    job->queuedSince = now;
    job->predicted = predictedRemaining(job->spec);
    job->revocable = revocable(job->spec, limits);
    lanes.add(job);
    ++workspaces[job->spec.workspace].queued;
    if (job->spec.shape)
        queuedShapeJobs.emplace(job->sequence, job);
}

void State::dequeue(Job* job, TimePoint now)
{
    if (!job->queued)
        return;
    job->waitedBefore = job->waited(now);
    lanes.remove(job);
    --workspaces[job->spec.workspace].queued;
    queuedShapeJobs.erase(job->sequence);
}

void State::addUsage(const Gang& gang)
{
    classes[gang.job->spec.workClass].used += gang.run.count;
    workspaces[gang.job->spec.workspace].used += gang.run.count;
    if (!gang.shapeSlot && !gang.job->revocable)
        nonRevocableUsed += gang.run.count;
}

void State::subtractUsage(const Gang& gang)
{
    classes[gang.job->spec.workClass].used -= gang.run.count;
    workspaces[gang.job->spec.workspace].used -= gang.run.count;
    if (!gang.shapeSlot && !gang.job->revocable)
        nonRevocableUsed -= gang.run.count;
}

Duration State::predictedRemaining(const JobSpec& spec) const
{
    auto whole = policy.learnRunTimes
        ? runTimePredictor.predict(spec.workspace, spec.kind, spec.declaredRunTime)
        : spec.declaredRunTime;
    return std::max(whole - spec.progress, minRemaining);
}

TimePoint State::predictedEnd(const Gang& gang, TimePoint now) const
{
    auto since = gang.runningSince.value_or(gang.started);
    auto end = since + gang.job->predicted;
    if (end > now)
        return end;
    return now + std::max<Duration>(minOverrunRemaining, (now - since) / 2);
}

void State::setUsable(std::uint32_t worker)
{
    auto run = occupancy.runOf(worker);
    occupancy.setUsable(run, workerUp[worker] && !health.quarantined(worker) && run.end() <= total);
}

void State::resize(std::uint32_t accelerators)
{
    if (accelerators == total)
        return;
    total = accelerators;
    occupancy.grow(accelerators);
    auto workers = occupancy.size() / occupancy.perWorker();
    workerUp.resize(workers, false);
    workerReported.resize(workers, false);
    health.resize(workers);
    for (std::uint32_t worker = 0; worker < workers; ++worker)
        setUsable(worker);
}

void State::updatePredictions(const WorkspaceId& workspace, const std::string& kind)
{
    std::vector<Job*> found;
    for (const auto& [key, lane] : lanes.all()) {
        if (key.workspace != workspace)
            continue;
        for (const auto& [sequence, job] : lane.jobs()) {
            if (job->spec.kind == kind)
                found.push_back(job);
        }
    }
    for (auto* job : found) {
        lanes.remove(job);
        job->predicted = predictedRemaining(job->spec);
        lanes.add(job);
    }
}

bool checkpointsInTime(const JobSpec& spec, const manifest::Limits& limits)
{
    return spec.checkpointable && spec.checkpointTime + commandDelay <= limits.reclaimBound;
}

bool revocable(const JobSpec& spec, const manifest::Limits& limits)
{
    return spec.restartable || checkpointsInTime(spec, limits);
}

bool preemptible(const Gang& gang)
{
    return gang.job->revocable && !gang.shapeSlot && !gang.probe;
}

} // namespace jujubereach::scheduling
