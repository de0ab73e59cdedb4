// Starts that may be executed unseen.
//
// Each start is recorded with the job's progress, without waiting for the store. A successor resolves the
// recorded starts once it knows what all workers run. A run that is neither running nor ended may have
// crashed its worker, or its order may still be under way.
#include "owner-impl.h"

#include <algorithm>

namespace jujubereach::fleet {

namespace {

    // Most runs end sooner, and their ends are saved anyway.
    constexpr Duration answerSaveDelay { 1000 };

} // namespace

Task* Owner::Impl::findTask(const TaskId& id)
{
    auto* job = findJob(id.job);
    auto* step = job ? job->findStep(id) : nullptr;
    return step ? &step->tasks[static_cast<std::size_t>(id.index)] : nullptr;
}

// The worker has confirmed the run. Only the order of a single attempt cannot come again.
void Owner::Impl::markAnswered(ActiveRun& run)
{
    auto* task = findTask(run.task);
    if (!task || !task->start || run.orphaned)
        return;
    task->start->answered = run.startAttempts == 1;
    task->start->reported = true;
    run.answerUnsaved = !findJob(run.task.job)->inSaveQueue;
}

// The worker lists the run again.
void Owner::Impl::confirmStart(ActiveRun& run)
{
    auto* task = findTask(run.task);
    if (!task || !task->start || run.orphaned)
        return;
    const auto lastSent = run.adopted ? lastEarlierOrder() : run.startSentAt;
    const auto confirmed = !task->start->answered && now() - lastSent > maxOrderDelay;
    const auto unsaved = run.answerUnsaved && now() - run.runningSince >= answerSaveDelay;
    if (!confirmed && !unsaved)
        return;
    task->start->answered = task->start->answered || confirmed;
    run.answerUnsaved = false;
    markChanged(*findJob(run.task.job));
}

// The end of a run that two orders may have started proves the execution of one of them. A later incarnation
// may execute the other, so the end is not acknowledged before that has become impossible. A successor must
// know: the second order waits for the store.
void Owner::Impl::repeatStart(Worker& worker, ActiveRun& run)
{
    auto* job = findJob(run.task.job);
    if (!job)
        return;
    if (run.startAttempts == 1) {
        job->repeatedStarts[run.task] = run.startSentAt + maxOrderDelay;
        markChanged(*job);
        run.repeatVersion = job->changes;
    }
    run.nextCall = now();
    startCall(worker, run);
}

// An attempt got no answer.
void Owner::Impl::extendRepeatedStart(const TaskId& id, TimePoint sentAt)
{
    auto* job = findJob(id.job);
    if (!job)
        return;
    const auto found = job->repeatedStarts.find(id);
    if (found != job->repeatedStarts.end())
        found->second = std::max(found->second, sentAt + maxOrderDelay);
}

// The worker has listed the run. If there was a single order, it has been executed and cannot come again.
void Owner::Impl::settleSingleStart(Worker& worker, ActiveRun& run)
{
    if (run.startAttempts != 1 || !std::exchange(run.startUnanswered, false))
        return;
    worker.unansweredStarts.erase(run.task);
    if (auto* job = findJob(run.task.job))
        job->repeatedStarts.erase(run.task);
}

// A run that a previous owner started has ended. Another order of its start may still be executed.
void Owner::Impl::awaitRepeatedStart(Worker& worker, const Job& job, const EndedTask& end)
{
    const auto found = job.repeatedStarts.find(end.task);
    if (found == job.repeatedStarts.end() || found->second < now()
        || worker.unansweredStarts.contains(end.task))
        return;
    worker.unansweredStarts[end.task] = { end.run, found->second - maxOrderDelay };
    awaitLateStart(end.task, worker.id(), found->second);
}

Duration Owner::Impl::startMayComeFor(const Worker& worker, const TaskId& id) const
{
    const auto late = worker.unansweredStarts.find(id);
    if (late == worker.unansweredStarts.end())
        return Duration(0);
    return std::max(Duration(0), late->second.sentAt + maxOrderDelay - now());
}

void Owner::Impl::setIncarnation(const ActiveRun& run, const Worker& worker, std::int64_t incarnation)
{
    auto* task = findTask(run.task);
    if (!task || !task->start || task->start->worker != worker.id() || run.orphaned
        || task->start->incarnation == incarnation)
        return;
    task->start->incarnation = incarnation;
    markChanged(*findJob(run.task.job));
}

// The runs that are left when the worker leaves end with it, so that its restart is no crash under them.
void Owner::Impl::markLeaving(const Worker& worker)
{
    for (const auto& [id, run] : worker.runs)
        setIncarnation(run, worker, 0);
}

// The run that was started on the worker has ended or was refused. An attempt without an answer stays
// recorded.
void Owner::Impl::forgetStart(const TaskId& id, const Worker& worker)
{
    auto* task = findTask(id);
    if (!task || (task->start && task->start->worker != worker.id()))
        return;
    task->startUnresolved = false;
    if (!task->start)
        return;
    if (worker.unansweredStarts.contains(id))
        task->start = { worker.id(), 0, false, false };
    else
        task->start.reset();
    markChanged(*findJob(id.job));
}

// A restart ends all runs. Orders without an answer may reach the new incarnation.
void Owner::Impl::forgetStartsBeforeRestart(Worker& worker, std::int64_t newIncarnation)
{
    if (newIncarnation == 0)
        worker.unansweredStarts.clear(); // The worker that answers at its address refuses them.
    for (const auto& run : worker.expiredRuns) {
        if (newIncarnation == 0 || !worker.isUndecided(run))
            forgetStart(run.task, worker);
    }
    for (const auto& [id, run] : worker.runs) {
        if (newIncarnation != 0 && run.isUndecided()) {
            setIncarnation(run, worker, 0); // A successor cannot tell whether the restart has ended it.
            continue;
        }
        const auto mayCome = run.startUnanswered || (run.phase == RunPhase::Ordered && run.callInFlight);
        auto* task = findTask(id);
        if (!mayCome || newIncarnation == 0)
            forgetStart(id, worker);
        else if (task && task->start && task->start->worker == worker.id())
            task->start = { worker.id(), newIncarnation, false, false };
    }
}

// Called when all workers have answered that the previous owner used and that may run the tasks.
void Owner::Impl::resolveStarts(Job& job)
{
    job.startUnresolved = false;
    auto givenUp = false;
    for (auto& [number, occurrence] : job.occurrences) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            auto& tasks = occurrence.steps[s].tasks;
            for (std::size_t i = 0; i < tasks.size(); ++i) {
                const TaskId id { job.id(), number, static_cast<int>(s), static_cast<int>(i) };
                if (!tasks[i].startUnresolved)
                    continue;
                if (mayRunUnseen(id))
                    job.startUnresolved = true;
                else
                    givenUp = resolveStart(job, id, tasks[i]) || givenUp;
            }
        }
    }
    if (givenUp)
        finish(job, JobState::Failed, "a task has crashed its workers");
}

// Returns whether the job is to be given up.
bool Owner::Impl::resolveStart(Job& job, const TaskId& id, Task& task)
{
    const auto start = std::exchange(task.start, std::nullopt);
    task.startUnresolved = false;
    const auto* worker = start ? findWorker(start->worker) : nullptr;
    const auto incarnation = worker ? std::max(worker->incarnation, worker->report.incarnation) : 0;
    // A worker that did not list the run in its first answer has not crashed under it later.
    const auto first = worker && worker->firstIncarnation != 0 ? worker->firstIncarnation : incarnation;
    const auto sameIncarnation = worker && worker->fenced && first == start->incarnation;
    const auto replaced = start && m_replaced.contains(start->worker);
    const auto restarted = start && start->incarnation != 0 && (first > start->incarnation || replaced);
    auto& history = task.crashes;
    const auto mayHaveCrashed
        = restarted || (history.crashes > 0 && !sameIncarnation && (!start || start->incarnation != 0));
    if (mayHaveCrashed) {
        history.alone += restarted && start->reported && mustIsolate(task);
        history.confirmed += restarted && start->reported;
        countCrash(job, task);
        m_hooks.log("crash-presumed",
            { { "task", toString(id) }, { "worker", start ? start->worker.str() : "" },
                { "restarted", restarted }, { "crashes", history.crashes },
                { "confirmed", history.confirmed }, { "alone", history.alone } });
    }
    if (start && !replaced && (sameIncarnation || !start->answered)
        && awaitLateStart(id, start->worker, lastEarlierOrder() + maxOrderDelay))
        task.start
            = { start->worker, mayHaveCrashed ? 0 : start->incarnation, start->answered, start->reported };
    return restarted && shouldGiveUp(history);
}

TimePoint Owner::Impl::lastEarlierOrder() const
{
    return m_tookOverAt + m_settings.ownershipTimeout - m_settings.ownerLease;
}

// Returns false if the start can no longer be executed, and its run has ended.
bool Owner::Impl::awaitLateStart(const TaskId& id, const WorkerId& worker, TimePoint expires)
{
    const LateStart late { worker, expires };
    if (isOver(late))
        return false;
    m_lateStarts[id] = late;
    m_lateStartWorkers.insert(worker);
    m_hooks.log("late-start-awaited",
        { { "task", toString(id) }, { "worker", worker.str() },
            { "forMs", (late.expires - now()).count() } });
    return true;
}

// The run of a worker that does not answer, or has left the list, lasts as long as its lease.
bool Owner::Impl::isOver(const LateStart& late)
{
    const auto* worker = findWorker(late.worker);
    const auto answers = worker && worker->fenced && worker->missedPolls == 0
        && worker->listRequestedAt > late.expires; // An earlier list may be of an earlier incarnation.
    return now() > late.expires + (answers ? Duration(0) : longestHold() + lapseMargin);
}

// Without it the task would wait for the next poll that happens to be sent after the start has expired.
void Owner::Impl::requestListAfter(const LateStart& late)
{
    auto* worker = findWorker(late.worker);
    if (!worker || !worker->fenced || worker->missedPolls > 0 || now() <= late.expires
        || worker->listRequestedAt > late.expires)
        return;
    worker->listDue = true;
    requestList(*worker);
}

void Owner::Impl::expireLateStarts()
{
    auto expired = false;
    for (auto i = m_lateStarts.begin(); i != m_lateStarts.end();) {
        if (!isOver(i->second)) {
            requestListAfter(i->second);
            ++i;
            continue;
        }
        auto* task = findTask(i->first);
        if (task && task->isWaiting() && std::exchange(task->start, std::nullopt))
            markChanged(*findJob(i->first.job));
        i = m_lateStarts.erase(i);
        expired = true;
    }
    if (!expired)
        return;
    m_lateStartWorkers.clear();
    for (const auto& [task, late] : m_lateStarts)
        m_lateStartWorkers.insert(late.worker);
    schedulePass();
}

// Polls bring the fence to a new incarnation, which then refuses the late start.
bool Owner::Impl::awaitsLateStart(const Worker& worker) const
{
    return m_lateStartWorkers.contains(worker.id());
}

} // namespace jujubereach::fleet
