#include "state.h"

#include <algorithm>

namespace jujubereach::scheduling {

namespace {
    constexpr Duration commandDelay { 500 }; ///< Until a worker has a command.
    constexpr Duration shortestLeft { 1000 };
    constexpr Duration overrunStep { 30'000 };
} // namespace

State::State(const Policy& settings, std::uint32_t accelerators, std::uint32_t perWorker)
    : policy(settings)
    , total(accelerators)
    , line(accelerators, perWorker)
    , workerUp(accelerators / perWorker, false)
    , workerSeen(accelerators / perWorker, false)
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
    job->predicted = predictedLeft(job->spec);
    job->lendable = lendable(job->spec, limits);
    lanes.add(job);
    ++workspaces[job->spec.workspace].queued;
    if (job->spec.shape)
        shapeCalls.emplace(job->sequence, job);
}

void State::dequeue(Job* job, TimePoint now)
{
    if (!job->queued)
        return;
    job->waitedBefore = job->waited(now);
    lanes.remove(job);
    --workspaces[job->spec.workspace].queued;
    shapeCalls.erase(job->sequence);
}

void State::addUse(const Gang& gang)
{
    classes[gang.job->spec.workClass].used += gang.run.count;
    workspaces[gang.job->spec.workspace].used += gang.run.count;
    if (!gang.cell && !gang.job->lendable)
        fixedUsed += gang.run.count;
}

void State::dropUse(const Gang& gang)
{
    classes[gang.job->spec.workClass].used -= gang.run.count;
    workspaces[gang.job->spec.workspace].used -= gang.run.count;
    if (!gang.cell && !gang.job->lendable)
        fixedUsed -= gang.run.count;
}

Duration State::predictedLeft(const JobSpec& spec) const
{
    auto whole = policy.learnRunTimes ? runTimes.predict(spec.workspace, spec.kind, spec.declaredRunTime)
                                      : spec.declaredRunTime;
    return std::max(whole - spec.progress, shortestLeft);
}

TimePoint State::predictedEnd(const Gang& gang, TimePoint now) const
{
    auto since = gang.runningSince.value_or(gang.started);
    auto end = since + gang.job->predicted;
    if (end > now)
        return end;
    return now + std::max<Duration>(overrunStep, (now - since) / 2);
}

void State::setUsable(std::uint32_t worker)
{
    auto run = line.runOf(worker);
    line.setUsable(run, workerUp[worker] && !health.aside(worker) && run.end() <= total);
}

void State::resize(std::uint32_t accelerators)
{
    if (accelerators == total)
        return;
    total = accelerators;
    line.grow(accelerators);
    auto workers = line.size() / line.perWorker();
    workerUp.resize(workers, false);
    workerSeen.resize(workers, false);
    health.resize(workers);
    for (std::uint32_t worker = 0; worker < workers; ++worker)
        setUsable(worker);
}

void State::predictAgain(const WorkspaceId& workspace, const std::string& kind)
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
        job->predicted = predictedLeft(job->spec);
        lanes.add(job);
    }
}

bool savesInTime(const JobSpec& spec, const manifest::Limits& limits)
{
    return spec.checkpointable && spec.checkpointTime + commandDelay <= limits.reclaimBound;
}

bool lendable(const JobSpec& spec, const manifest::Limits& limits)
{
    return spec.restartable || savesInTime(spec, limits);
}

bool preemptible(const Gang& gang)
{
    return gang.job->lendable && !gang.cell && !gang.probe;
}

} // namespace jujubereach::scheduling
