// Tasks that may crash the workers on which they run.
//
// A crash shows only that one of the tasks on the worker may have caused it. A task under which workers crash
// repeatedly, or right after its start, starts again only on a worker that runs nothing else. The third crash
// gives the job up if one of the workers ran nothing else. A run that outlives
// its probation clears the task.
#include "pass.h"

#include <algorithm>

namespace jujubereach::fleet {

namespace {

    constexpr int crashesToGiveUp = 3; // If at least one of the workers ran nothing else.
    constexpr int confirmedCrashesToGiveUp = 2; // Of these.
    // A task that crashes its workers before they confirm a start would otherwise never be given up.
    constexpr int unconfirmedCrashesToGiveUp = 5;
    constexpr int crashesToIsolate = 2;
    constexpr Duration promptCrash { 1000 }; // After a start, the started task is the likely cause.
    constexpr Duration minProbation { 2000 };
    constexpr int probationFactor = 2; // Of the longest time from a start to a crash.
    constexpr int maxIsolatedPerStep = 2; // The first proven crash of a step gives up all of it.
    constexpr std::size_t maxIsolatedShare = 4; // One in so many workers.
    constexpr Duration maxReturnAfterLapse { 5000 }; // Crashed workers are back after some seconds.
    // Suspects avoid workers that have crashed so recently: they may be the cause.
    constexpr Duration crashSiteMemory { 30'000 };

} // namespace

// Whether all of several runs belong to one gang.
bool Owner::Impl::isOneGang(const std::vector<ActiveRun>& runs)
{
    if (runs.empty())
        return false;
    const auto& first = runs[0].task;
    const auto* job = findJob(first.job);
    const auto* step = job ? job->specOf(first) : nullptr;
    return step && step->gang && std::all_of(runs.begin(), runs.end(), [&](const ActiveRun& run) {
        return run.task.job == first.job && run.task.occurrence == first.occurrence
            && run.task.step == first.step;
    });
}

// The process of the worker has ended without notice: it has restarted, or another one answers at its
// address.
void Owner::Impl::recordCrash(Worker& worker, std::int64_t newIncarnation)
{
    forgetStartsBeforeRestart(worker, newIncarnation);
    // After a longer silence the leases have most likely expired before the worker ended.
    std::vector<ActiveRun> suspects = std::exchange(worker.expiredRuns, {});
    if (now() - worker.lapsedAt > maxReturnAfterLapse)
        suspects.clear();
    for (const auto& [task, run] : worker.runs) {
        if (!run.carriedOver)
            suspects.push_back(run);
    }
    const auto pending = !worker.restart.undecided.empty();
    for (auto& run : std::exchange(worker.restart.undecided, {})) {
        if (newIncarnation == 0 || worker.isUndecided(run))
            suspects.push_back(std::move(run));
    }
    const auto present = suspects.size();
    const auto sameGang = isOneGang(suspects);
    // A start that was refused, or has no answer yet, was sent to a worker that had ended already.
    std::erase_if(suspects, [](const ActiveRun& run) { return !run.reported && !run.startUnanswered; });
    const auto crashedAt = worker.missedPolls > 0 ? worker.silentSince : now();
    if (worker.report.draining)
        return;
    if (newIncarnation != 0) {
        const auto undecided = std::partition(
            suspects.begin(), suspects.end(), [&](const ActiveRun& run) { return !worker.isUndecided(run); });
        worker.restart.undecided.assign(undecided, suspects.end());
        suspects.erase(undecided, suspects.end());
        worker.restart.crashedAt = crashedAt;
        worker.restart.othersEnded = (pending && worker.restart.othersEnded) || !suspects.empty();
    }
    if (!suspects.empty())
        countCrash(worker, suspects, crashedAt, present == 1 || sameGang);
}

// The new incarnation does not execute these runs, so that the restart has ended them.
void Owner::Impl::recordCrashUnderAbsentRuns(Worker& worker, const std::vector<TaskId>& absent)
{
    auto& undecided = worker.restart.undecided;
    std::erase_if(undecided, [&](const ActiveRun& run) { return !worker.isUndecided(run); });
    const auto ended = std::partition(undecided.begin(), undecided.end(), [&](const ActiveRun& run) {
        return std::find(absent.begin(), absent.end(), run.task) == absent.end();
    });
    const std::vector<ActiveRun> suspects(ended, undecided.end());
    undecided.erase(ended, undecided.end());
    const auto alone = !worker.restart.othersEnded && (suspects.size() == 1 || isOneGang(suspects));
    if (!suspects.empty())
        countCrash(worker, suspects, worker.restart.crashedAt, alone);
}

void Owner::Impl::countCrash(
    Worker& worker, const std::vector<ActiveRun>& suspects, TimePoint crashedAt, bool alone)
{
    std::erase_if(m_crashSites, [this](const auto& site) { return now() - site.second > crashSiteMemory; });
    m_crashSites[worker.report.address] = now();
    count("jujubereach_worker_crashes_total");
    m_hooks.log("worker-crashed",
        { { "worker", worker.id().str() }, { "address", worker.report.address }, { "runs", suspects.size() },
            { "alone", alone }, { "silentMs", (now() - crashedAt).count() } });
    std::set<JobId> givenUp;
    for (const auto& run : suspects) {
        if (recordCrashOf(run, crashedAt, alone))
            givenUp.insert(run.task.job);
    }
    for (const auto& id : givenUp)
        finish(*findJob(id), JobState::Failed, "a task has crashed its workers");
}

// Returns whether the job is to be given up.
bool Owner::Impl::recordCrashOf(const ActiveRun& run, TimePoint crashedAt, bool alone)
{
    auto* job = findJob(run.task.job);
    auto* step = job && !isFinal(job->state) ? job->findStep(run.task) : nullptr;
    if (!step)
        return false;
    auto& task = step->tasks[static_cast<std::size_t>(run.task.index)];
    if (task.done)
        return false;
    auto ranFor = std::max(Duration(0), crashedAt - run.runningSince);
    if (run.adopted)
        ranFor = std::max(ranFor, promptCrash + Duration(1));
    auto& history = task.crashes;
    history.alone += alone;
    history.confirmed += run.reported;
    history.longestRun = std::max(history.longestRun, ranFor);
    countCrash(*job, task);
    m_hooks.log("crash-suspect",
        { { "task", toString(run.task) }, { "run", run.run.value }, { "ranMs", ranFor.count() },
            { "crashes", history.crashes }, { "confirmed", history.confirmed }, { "alone", history.alone } });
    return shouldGiveUp(history);
}

bool Owner::Impl::shouldGiveUp(const CrashHistory& history)
{
    return history.alone > 0
        && ((history.crashes >= crashesToGiveUp && history.confirmed >= confirmedCrashesToGiveUp)
            || history.crashes >= unconfirmedCrashesToGiveUp);
}

void Owner::Impl::countCrash(Job& job, Task& task)
{
    ++task.crashes.crashes;
    task.crashes.lastRun = task.lastRun;
    task.startUnresolved = false;
    markChanged(job);
    task.crashVersion = job.changes;
    job.awaitsCrashSave = true;
}

void Owner::Impl::beginProbation(const Task& task, ActiveRun& run, bool isolated) const
{
    run.isolated = isolated;
    run.probationEnds = now() + std::max(minProbation, task.crashes.longestRun * probationFactor);
}

void Owner::Impl::clearCrashesAfterProbation(const ActiveRun& run)
{
    if (run.probationEnds == TimePoint {} || now() < run.probationEnds || run.orphaned)
        return;
    auto* job = findJob(run.task.job);
    auto* step = job ? job->findStep(run.task) : nullptr;
    if (!step)
        return;
    auto& task = step->tasks[static_cast<std::size_t>(run.task.index)];
    if (task.crashes == CrashHistory {})
        return;
    task.crashes = {};
    markChanged(*job);
}

bool Owner::Impl::mustIsolate(const Task& task)
{
    return task.crashes.crashes >= crashesToIsolate;
}

bool Owner::Impl::shouldIsolate(const Task& task)
{
    return mustIsolate(task) || (task.crashes.crashes > 0 && task.crashes.longestRun <= promptCrash);
}

// A gang is isolated as a whole; of other steps only the tasks that need it.
std::vector<Owner::Impl::ReadyStep> Owner::Impl::splitIsolated(ReadyStep ready)
{
    const auto& step = ready.step();
    std::vector<ReadyStep> parts;
    const auto split = [&](bool (*isSuspect)(const Task&), bool mayShare) {
        const auto suspect
            = [&](int index) { return isSuspect(step.tasks[static_cast<std::size_t>(index)]); };
        if (std::none_of(ready.tasks.begin(), ready.tasks.end(), suspect))
            return;
        auto part = ready;
        part.isolated = true;
        part.mayShare = mayShare;
        if (step.spec->gang)
            ready.tasks.clear();
        std::erase_if(part.tasks, [&](int index) { return !step.spec->gang && !suspect(index); });
        std::erase_if(ready.tasks, suspect);
        parts.push_back(std::move(part));
    };
    split(mustIsolate, false);
    split(shouldIsolate, true);
    if (!ready.tasks.empty())
        parts.push_back(std::move(ready));
    return parts;
}

void Owner::Impl::limitIsolated(const ReadyStep& ready, PlaceRequest& request, const Pass& pass) const
{
    const auto share = pass.fleet.size() / maxIsolatedShare;
    const auto most = ready.mayShare ? share : std::max<std::size_t>(1, share);
    const auto free = static_cast<int>(most - std::min(most, pass.isolatedViews));
    if (request.spec->gang) {
        request.count = free > 0 ? request.count : 0;
        return;
    }
    const auto& tasks = ready.step().tasks;
    const auto running = static_cast<int>(std::count_if(tasks.begin(), tasks.end(),
        [](const Task& task) { return !task.worker.empty() && shouldIsolate(task); }));
    request.count = std::clamp(std::min(free, maxIsolatedPerStep - running), 0, request.count);
}

std::set<WorkerId> Owner::Impl::workersAtCrashSites() const
{
    std::set<WorkerId> out;
    for (const auto* worker : m_usable) {
        const auto site = m_crashSites.find(worker->report.address);
        if (site != m_crashSites.end() && now() - site->second <= crashSiteMemory)
            out.insert(worker->id());
    }
    return out;
}

} // namespace jujubereach::fleet
