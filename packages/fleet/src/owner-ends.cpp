// Transitions of runs (running, ended, lost) and their effect on jobs.
#include "owner-impl.h"

#include "jujubereach/fleet/queue-order.h"

#include <algorithm>

namespace jujubereach::fleet {

namespace {

    /// A run whose percentage has not changed for this time is stalled. Exceeds the time that gang members
    /// wait for each other and the time that a restored task takes to make progress.
    constexpr Duration stallBound { 3500 };

    // Time for the store entry to be removed or to name the new incarnation.
    constexpr Duration replacedWorkerDelay { 1000 };

    double coreSeconds(const Resources& resources, Duration time)
    {
        return coresOf(resources) * static_cast<double>(time.count()) / 1000;
    }

    // Breakdown of a job's time, as far as this owner has observed it.
    boost::json::object timelineOf(const Job& job)
    {
        boost::json::object out { { "starts", job.starts }, { "recovered", job.recovered } };
        if (job.starts == 0)
            return out;
        out["queuedMs"] = (job.firstStart - job.arrived).count();
        out["startsMs"] = (job.lastStart - job.firstStart).count();
        out["lastRunMs"] = (job.ended - job.lastStart).count();
        return out;
    }

} // namespace

void Owner::Impl::adopt(Worker& worker, const RunningTask& running, TimePoint sentAt)
{
    auto* job = findJob(running.task.job);
    auto* step = job ? job->findStep(running.task) : nullptr;
    const auto known = worker.runs.find(running.task);
    if (known != worker.runs.end() && known->second.run == running.run) {
        updateRun(worker, known->second, step, running);
        return;
    }
    if (known != worker.runs.end() && known->second.run > running.run)
        return; // The newer run was ordered after the poll was sent.
    ActiveRun run;
    run.task = running.task;
    run.run = running.run;
    run.phase = RunPhase::Running;
    run.adopted = run.reported = true;
    run.incarnation = worker.incarnation;
    run.confirmed = true;
    run.confirmedAt = sentAt;
    run.runningSince = now();
    run.orderedAt = now();
    run.progressAt = now();
    run.percent = run.basePercent = running.percent;
    run.baseAt = now();
    if (known != worker.runs.end())
        release(worker, running.task);
    setRequirements(job, worker, run);
    if (run.bestEffort)
        run.pace = RunPace::unknown(); // The previous owner may have lowered it.
    if (job)
        job->begun = true;
    auto* task = step ? &step->tasks[static_cast<std::size_t>(running.task.index)] : nullptr;
    const auto wanted = task && !task->done && task->worker.empty() && !isFinal(job->state)
        && running.run >= step->shared(running.task.index).lastRun;
    run.orphaned = !wanted;
    if (wanted && step->tasks[static_cast<std::size_t>(running.task.index)].crashes.crashes > 0)
        beginProbation(step->tasks[static_cast<std::size_t>(running.task.index)], run,
            mustIsolate(step->tasks[static_cast<std::size_t>(running.task.index)]));
    addRun(worker, run);
    m_hooks.log("adopt",
        { { "task", toString(running.task) }, { "run", running.run.value }, { "worker", worker.id().str() },
            { "wanted", wanted }, { "percent", running.percent } });
    wanted ? assign(worker, *job, *step, running) : stop(worker, running.task, "nobody waits for it");
}

// Makes an adopted run the current run of its task.
void Owner::Impl::assign(Worker& worker, Job& job, Step& step, const RunningTask& running)
{
    auto& task = step.tasks[static_cast<std::size_t>(running.task.index)];
    task.worker = worker.id();
    task.startUnresolved = false;
    auto& lastRun = step.shared(running.task.index).lastRun;
    const auto stored = task.start && task.start->worker == worker.id();
    const auto answered = stored && task.start->answered;
    if (stored && !answered && lastRun == running.run && now() < lastEarlierOrder() + maxOrderDelay) {
        worker.runs.at(running.task).startUnanswered = true; // An earlier attempt may still be executed.
        worker.unansweredStarts[running.task] = { running.run, lastEarlierOrder() };
    }
    const TaskStart start { worker.id(), worker.isDraining() ? 0 : worker.incarnation, answered, true };
    if (task.start != start || lastRun != running.run)
        markChanged(job); // A start that the previous owner has not stored.
    task.start = start;
    lastRun = running.run;
    ++step.active;
    ++step.onWorker[worker.id()];
    if (!running.checkpoint.empty())
        step.shared(running.task.index).checkpoint = running.checkpoint;
    if (job.state == JobState::Queued) {
        job.state = JobState::Running;
        markChanged(job);
    }
}

// Sets resources, priority and class of a run from the specification of its step.
void Owner::Impl::setRequirements(const Job* job, const Worker& worker, ActiveRun& run)
{
    if (const auto* spec = job ? job->specOf(run.task) : nullptr) {
        setClass(*job, *spec, run);
        // Unknown job: assume that it uses the whole worker.
    } else
        run.resources = worker.report.capacity;
}

void Owner::Impl::markStarted(ActiveRun& run, bool startTimeKnown)
{
    run.startTimeKnown = startTimeKnown;
    run.phase = RunPhase::Running;
    run.reported = true;
    markAnswered(run);
    if (auto* job = findJob(run.task.job))
        job->begun = true;
    run.carriedOver = false;
    run.confirmed = true;
    run.confirmedAt = now();
    run.runningSince = now();
    run.progressAt = now();
    if (run.checkpoint.empty()) {
        run.basePercent = 0;
        run.baseAt = now();
    }
    ++m_figures.starts;
}

// Updates a known run that a poll reports as running.
void Owner::Impl::updateRun(Worker& worker, ActiveRun& run, Step* step, const RunningTask& seen)
{
    settleSingleStart(worker, run);
    if (run.phase == RunPhase::Ordered) {
        markStarted(run);
        run.callInFlight = false;
    }
    run.reported = true;
    const auto incarnation = std::exchange(run.incarnation, worker.incarnation);
    if (incarnation != worker.incarnation && !worker.isDraining())
        setIncarnation(run, worker, worker.incarnation);
    if (incarnation != worker.incarnation && (incarnation != 0 || run.pace.wasSet()))
        run.pace = RunPace::unknown(); // A call may have set the pace in either incarnation.
    run.carriedOver = false;
    if (step && !seen.checkpoint.empty())
        step->shared(seen.task.index).checkpoint = seen.checkpoint;
    clearCrashesAfterProbation(run);
    confirmStart(run);
    if (run.phase == RunPhase::Running && step)
        checkProgress(worker, run, seen);
}

// Notes that no progress is to be expected of a run that is held.
bool Owner::Impl::mayStall(ActiveRun& run) const
{
    if (!mayPace() || !run.bestEffort || !run.pace.mayBeHeld())
        return true;
    run.progressAt = now();
    return false;
}

void Owner::Impl::checkProgress(Worker& worker, ActiveRun& run, const RunningTask& seen)
{
    auto* job = findJob(run.task.job);
    auto* step = job ? job->findStep(run.task) : nullptr;
    if (step)
        measureRate(worker, run, *step, seen.percent);
    if (run.basePercent < 0) {
        run.basePercent = seen.percent;
        run.baseAt = now();
    }
    if (seen.percent != run.percent) {
        run.percent = seen.percent;
        run.progressAt = now();
        return;
    }
    if (!step || step->spec->longRunning || seen.percent >= 100)
        return;
    // A single per cent of a very long task may take longer than `stallBound`.
    const auto bound = std::max(stallBound, step->spec->estimate / 10);
    if (!mayStall(run) || now() - std::max(run.progressAt, run.pace.settledAt) < pacedTime(run, bound))
        return;
    if (step->spec->gang && step->active < step->spec->count)
        return; // The member is waiting for the rest of its gang.
    worker.health.taskStalled(now());
    discardRate(run);
    m_hooks.log("stalled",
        { { "task", toString(run.task) }, { "worker", worker.id().str() }, { "percent", seen.percent } });
    stop(worker, run.task, "it stands still");
}

void Owner::Impl::recordEnd(Worker& worker, const EndedTask& end)
{
    if (end.number <= worker.acknowledged || worker.ends.contains(end.number))
        return;
    ++m_figures.endsByKind[static_cast<int>(end.kind)];
    auto* job = findJob(end.task.job);
    auto* step = job ? job->findStep(end.task) : nullptr;
    auto* task = step ? &step->tasks[static_cast<std::size_t>(end.task.index)] : nullptr;
    const auto found = worker.runs.find(end.task);
    const auto current = found != worker.runs.end() && found->second.run == end.run;
    const auto ranFor = current ? now() - found->second.runningSince : Duration(0);
    const auto thrownAway = current && end.kind != EndKind::Done && end.checkpoint.empty()
        ? coreSeconds(found->second.neededResources(), ranFor)
        : 0;
    if (end.kind != EndKind::Failed) // Failures are the fault of the task.
        m_figures.thrownAway += thrownAway;
    countEnd(end, job, thrownAway);
    const auto cores = current ? coreSeconds(found->second.neededResources(), Duration(1000)) : 0;
    const auto stopping = current && found->second.phase == RunPhase::Stopping;
    const auto speed = current && step ? speedOfRun(worker, *step, found->second) : 1;
    if (current && step && !stopping && end.kind == EndKind::Done)
        measureEnd(worker, found->second, *step);
    if (current) {
        settleSingleStart(worker, found->second);
        release(worker, end.task);
    } else if (job)
        awaitRepeatedStart(worker, *job, end);
    if (job)
        job->begun = true;
    if (task && !end.checkpoint.empty() && end.run >= step->shared(end.task.index).lastRun)
        step->shared(end.task.index).checkpoint = end.checkpoint;
    if (task && end.run > step->shared(end.task.index).lastRun)
        step->shared(end.task.index).lastRun = end.run;
    if (task && end.run == step->shared(end.task.index).lastRun)
        forgetStart(end.task, worker);
    // The success of a run that was given up as lost is ignored if another run has replaced it. Its failure
    // still counts.
    const auto replaced = task && !current && !task->worker.empty() && end.kind != EndKind::Failed;
    m_hooks.log("end",
        { { "task", toString(end.task) }, { "run", end.run.value }, { "worker", worker.id().str() },
            { "kind", nameOf(end.kind) }, { "ranMs", ranFor.count() }, { "cores", cores },
            { "counted", task && !replaced }, { "saved", !end.checkpoint.empty() },
            { "incarnation", worker.incarnation },
            { "startMayComeForMs", startMayComeFor(worker, end.task).count() },
            { "withheld", job && job->mayStartLate(end.task, now()) } });
    if (task && !replaced && !isFinal(job->state) && !task->done) {
        if (end.kind == EndKind::Done) {
            worker.health.taskDone();
            if (current && !stopping && step->shared(end.task.index).checkpoint.empty()
                && step->spec->estimate.count() > 0) {
                auto& history = m_history[job->record.route];
                const auto factor = speed * static_cast<double>(ranFor.count())
                    / static_cast<double>(step->spec->estimate.count());
                ++history.timed;
                history.timeFactor += (factor - history.timeFactor) / std::min(history.timed + 1, 30);
            }
            taskDone(*job, *step, end.task);
        } else if (end.kind == EndKind::Failed)
            taskFailed(*job, *step, end.task, end.run, worker);
    }
    // Even an end without effect must wait for the save: it may repeat an unsaved change of another end, as
    // the ends of gang members do.
    worker.ends[end.number] = { end.task, job ? job->changes : 0 };
    schedulePass();
}

void Owner::Impl::release(Worker& worker, const TaskId& id)
{
    removeRun(worker, id);
    auto* job = findJob(id.job);
    auto* step = job ? job->findStep(id) : nullptr;
    if (!step)
        return;
    auto& task = step->tasks[static_cast<std::size_t>(id.index)];
    if (task.worker != worker.id())
        return;
    task.worker = {};
    --step->active;
    if (--step->onWorker[worker.id()] <= 0)
        step->onWorker.erase(worker.id());
    const auto late = worker.unansweredStarts.find(id);
    if (m_settings.switches.trackUnansweredStarts && late != worker.unansweredStarts.end())
        awaitLateStart(id, worker.id(), late->second.sentAt + maxOrderDelay);
    schedulePass();
}

void Owner::Impl::loseRun(Worker& worker, const TaskId& id, const char* why)
{
    const auto found = worker.runs.find(id);
    if (found == worker.runs.end())
        return;
    m_hooks.log("run-lost",
        { { "task", toString(id) }, { "run", found->second.run.value }, { "worker", worker.id().str() },
            { "why", why } });
    release(worker, id);
    // The remaining members of a gang cannot continue without it.
    auto* job = findJob(id.job);
    auto* step = job ? job->findStep(id) : nullptr;
    if (!step || !step->spec->gang || step->finished())
        return;
    stopWhole(id, "a member of its gang is lost");
}

// A new incarnation does not know the stops sent to the previous one, so runs that may still start there are
// tracked again. A stop of a run also covers earlier runs of the task.
void Owner::Impl::restoreUnansweredStarts(Worker& worker)
{
    for (const auto& [task, late] : worker.unansweredStarts) {
        if (now() - late.sentAt > maxOrderDelay)
            continue;
        const auto known = worker.runs.find(task);
        if (known != worker.runs.end()) {
            known->second.startUnanswered = true;
            continue;
        }
        ActiveRun run;
        run.task = task;
        run.run = late.run;
        run.phase = RunPhase::Running;
        run.orphaned = true;
        run.carriedOver = true;
        run.startUnanswered = true;
        run.orderedAt = run.startSentAt = late.sentAt;
        setRequirements(findJob(task.job), worker, run);
        addRun(worker, std::move(run));
    }
}

// If the worker may return, it or a later incarnation may still execute unanswered starts. Their tasks are
// not restarted until a stop is confirmed or `maxOrderDelay` has passed. Undecided runs go on: the next list
// shows them, or it does not and they are lost.
void Owner::Impl::loseRuns(Worker& worker, const char* why, bool mayReturn)
{
    dropPlans(worker);
    const auto trackStarts = mayReturn && m_settings.switches.trackUnansweredStarts;
    if (trackStarts)
        restoreUnansweredStarts(worker);
    std::vector<TaskId> gone;
    for (auto& [task, run] : worker.runs) {
        const auto mayCome = run.startUnanswered || (run.phase == RunPhase::Ordered && run.callInFlight);
        run.carriedOver = true;
        run.reported = false;
        run.pace = RunPace::unknown(); // The answer to a call in flight is ignored from now on.
        if (trackStarts && run.isUndecided())
            continue;
        run.incarnation = 0;
        run.startAnsweredAt = {};
        if (!trackStarts || !mayCome)
            gone.push_back(task);
        else if (run.startUnanswered) {
            run.phase = RunPhase::Running; // Repeats a stop that the previous incarnation may have received.
            stop(worker, task, "its start may come late");
        }
    }
    for (const auto& task : gone)
        loseRun(worker, task, why);
    worker.ends.clear();
    worker.acknowledged = worker.acknowledgementAnswered = 0;
    worker.lastDeadline = {};
    worker.clock = {};
    worker.pollInFlight = false; // A poll in flight addresses the previous incarnation.
    ++worker.pollCount;
    worker.nextPoll = mayReturn ? now() : now() + replacedWorkerDelay;
}

void Owner::Impl::taskDone(Job& job, Step& step, const TaskId& id)
{
    if (step.spec->longRunning)
        return;
    if (step.spec->gang) {
        for (auto& task : step.tasks)
            task.done = true;
        step.done = step.spec->count;
    } else {
        step.tasks[static_cast<std::size_t>(id.index)].done = true;
        ++step.done;
    }
    markChanged(job);
    if (step.finished())
        retireFinishedOccurrences(job);
}

void Owner::Impl::taskFailed(Job& job, Step& step, const TaskId& id, Run run, Worker& worker)
{
    auto& task = step.shared(id.index);
    worker.health.taskFailed(now());
    step.tasks[static_cast<std::size_t>(id.index)].failedOn.insert(worker.id());
    if (!task.failedRuns.insert(run).second)
        return;
    markChanged(job);
    if (!step.spec->longRunning && static_cast<int>(task.failedRuns.size()) >= termsOf(job).maxAttempts)
        finish(job, JobState::Failed, "a task has failed as often as its queue allows");
}

void Owner::Impl::retireFinishedOccurrences(Job& job)
{
    while (!job.occurrences.empty() && job.occurrences.begin()->second.finished())
        job.occurrences.erase(job.occurrences.begin());
    if (job.occurrences.empty() && job.nextOccurrence >= job.occurrenceCount())
        finish(job, JobState::Completed, "all tasks are done");
}

void Owner::Impl::finish(Job& job, JobState state, const char* why)
{
    job.state = state;
    job.ended = now();
    markChanged(job);
    m_open.erase(job.id());
    m_hooks.log("job-end",
        { { "id", job.id().str() }, { "route", job.record.route.str() }, { "state", nameOf(state) },
            { "why", why }, { "afterMs", (now() - job.arrived).count() }, { "account", timelineOf(job) } });
    countFinish(job);
    dropPlans(job);
    if (state != JobState::Completed)
        stopTasks(job, why);
    job.occurrences.clear();
}

void Owner::Impl::stopTasks(Job& job, const char* why)
{
    for (auto& [id, worker] : m_workers) {
        for (const auto& [task, run] : worker.runs) {
            if (task.job == job.id())
                stop(worker, task, why);
        }
    }
}

} // namespace jujubereach::fleet
