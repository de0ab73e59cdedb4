// Start, stop and poll calls to workers and the handling of their answers.
#include "owner-impl.h"

#include <algorithm>

namespace jujubereach::fleet {

namespace {

    constexpr Duration pollWait { 1500 }; // Below the platform's limit of 2 s.
    constexpr Duration pollSlack { 1000 }; // Added to the wait time for the call timeout.
    constexpr Duration silentPollInterval { 400 }; // Between polls of a worker that does not answer.
    // The next poll is sent after this time even if ends are not saved yet.
    constexpr Duration maxAcknowledgeDelay { 1000 };
    constexpr Duration sameIncarnationWindow { 300 }; // Too short for a restart and the end of a task.
    constexpr Duration listRetryDelay { 50 };
    constexpr Duration withheldPollInterval { 100 }; // The least between polls beside withheld ends.
    constexpr Duration orderTimeout { 800 }; // About twenty round trips between regions.
    constexpr Duration stopRetryDelay { 200 };
    constexpr Duration entryDelay { 100 }; // Between checks whether the entry of a new incarnation is there.
    // All attempts fit into the time that gang members wait for each other.
    constexpr int maxStartAttempts = 3;
    constexpr std::size_t maxListedEnds = 500; // Longer lists are returned in parts.
    // Beyond the time that a stop takes: for its answer and the poll that reports the end.
    constexpr Duration leaveMargin { 400 };
    constexpr int minMeasuredPercent = 10; // With less progress, the estimate is the better prediction.

} // namespace

void Owner::Impl::sendDueCalls(Worker& worker)
{
    const auto time = now();
    for (auto& [task, run] : worker.runs) {
        // A delay of orders that keeps a start from an answer also delays polls.
        const auto repeats = run.phase == RunPhase::Ordered && run.startAttempts > 0;
        if (run.callInFlight || run.nextCall > time || (worker.missedPolls > 0 && !repeats))
            continue;
        if (run.phase == RunPhase::Ordered)
            startCall(worker, run);
        else if (run.phase == RunPhase::Stopping && !run.confirmed)
            stopCall(worker, run);
    }
    if (worker.bestEffortRuns > 0 && worker.missedPolls == 0)
        sendDuePaces(worker);
    if (needsPoll(worker) && !worker.pollInFlight && worker.nextPoll <= time)
        poll(worker);
}

bool Owner::Impl::needsPoll(const Worker& worker) const
{
    if (!worker.runs.empty() || worker.acknowledged > 0 || !worker.ends.empty())
        return true;
    if (awaitsLateStart(worker))
        return true;
    if (!worker.fenced)
        return worker.listed || m_unresolved.contains(worker.id());
    // A silent worker is not used until it answers. One that has left may restart and execute a late start.
    return worker.listed ? worker.missedPolls > 0 : !worker.unansweredStarts.empty();
}

void Owner::Impl::poll(Worker& worker)
{
    HoldOrder order;
    order.fence = m_fence;
    const auto acknowledges = worker.acknowledged > worker.acknowledgementAnswered;
    const auto withheld = acknowledges && !mayAcknowledge(worker);
    if (acknowledges && !withheld)
        order.acknowledged = worker.acknowledged;
    if (!withheld)
        worker.withheldSince = {};
    else if (worker.withheldSince == TimePoint {})
        worker.withheldSince = now();
    // The lease of a silent worker is not renewed, so that its runs end within a known time.
    const auto extend = worker.fenced && worker.missedPolls == 0 && !worker.runs.empty() && mayOrder();
    if (extend) {
        order.deadline = WorkerTime { worker.clockNow(now()).value
            + static_cast<std::uint64_t>(m_settings.maxHold.count()) };
        worker.lastDeadline = std::max(worker.lastDeadline, *order.deadline);
        m_renewals[worker.id()].add(worker.incarnation, now());
    }
    const auto atOnce = std::exchange(worker.listDue, false) || withheld || awaitsList(worker);
    if (worker.fenced && worker.missedPolls == 0 && !worker.runs.empty() && !atOnce)
        order.wait = awaitsTails(worker) ? tailWindow : pollWait;
    worker.pollInFlight = true;
    worker.pollWaits = order.wait.count() > 0;
    m_hooks.workers.hold(worker.report, order, order.wait + pollSlack,
        [this, self = m_self, id = worker.id(), count = ++worker.pollCount,
            poll = SentPoll { now(), extend, order.acknowledged }](const OrderAnswer& answer) {
            const auto* asked = *self ? findWorker(id) : nullptr;
            if (asked && asked->pollCount == count)
                pollAnswered(id, poll, answer);
        });
}

// A poll that waits for an end is replaced: its answer may come much later.
void Owner::Impl::requestList(Worker& worker)
{
    if (!worker.pollInFlight || worker.pollWaits)
        poll(worker);
}

// A later incarnation numbers its ends from the start again, so an acknowledgement meant for this one would
// make it drop ends that no list has shown. So soon after a list it can only have ended a run whose
// incarnation is not known. A worker that always has such a run would never get an acknowledgement.
bool Owner::Impl::mayAcknowledge(const Worker& worker) const
{
    if (worker.missedPolls > 0 || now() - worker.answeredAt > sameIncarnationWindow)
        return false;
    const auto overdue
        = worker.withheldSince != TimePoint {} && now() - worker.withheldSince > maxAcknowledgeDelay;
    return overdue || std::all_of(worker.runs.begin(), worker.runs.end(), [&](const auto& entry) {
        return entry.second.incarnation == worker.incarnation;
    });
}

// Answers of starts and stops do not name the incarnation, nor do their clocks: they begin at any time.
bool Owner::Impl::awaitsList(const Worker& worker)
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [&](const auto& entry) {
        const auto& run = entry.second;
        return run.phase == RunPhase::Running && run.isUndecided();
    });
}

bool Owner::Impl::processAnswer(Worker& worker, TimePoint sentAt, const OrderAnswer& answer)
{
    if (answer.fate == OrderFate::Fenced) {
        markSuperseded(worker.id().str().c_str());
        return false;
    }
    if (answer.fate == OrderFate::OtherLife) {
        if (m_unresolved.contains(worker.id()) && !m_closed.contains(worker.id()))
            m_replaced.insert(worker.id());
        recordCrash(worker, 0);
        loseRuns(worker, "another incarnation answers at its address", false);
        worker.fenced = false;
        markResolved(worker.id());
        return true; // Its incarnation and clock are those of another worker.
    }
    if (answer.incarnation != 0 && worker.incarnation != 0 && answer.incarnation > worker.incarnation) {
        logRestart(worker, answer.incarnation, "answer");
        recordCrash(worker, answer.incarnation);
        loseRuns(worker, "its worker has restarted");
        worker.fenced = false;
        worker.nextPoll = now();
    }
    if (answer.incarnation > worker.incarnation)
        worker.incarnation = answer.incarnation;
    if (answer.clock.value > 0 && answer.incarnation >= worker.incarnation && sentAt >= worker.clockAt) {
        worker.clock = answer.clock;
        worker.clockAt = now();
    }
    return true;
}

void Owner::Impl::logRestart(const Worker& worker, std::int64_t newIncarnation, const char* shownBy) const
{
    const auto renewals = m_renewals.find(worker.id());
    m_hooks.log("worker-restarted",
        { { "worker", worker.id().str() }, { "incarnation", worker.incarnation },
            { "newIncarnation", newIncarnation }, { "shownBy", shownBy },
            { "answeredMsAgo", (now() - worker.answeredAt).count() },
            { "renewedMsAgo", renewals == m_renewals.end() ? -1 : (now() - renewals->second.sentAt).count() },
            { "acknowledged", worker.acknowledged }, { "runs", worker.runs.size() } });
}

void Owner::Impl::pollFailed(Worker& worker, bool extended, OrderFate fate)
{
    worker.recordMissedPoll(now());
    if (worker.missedPolls == 1)
        m_hooks.log("worker-silent",
            { { "worker", worker.id().str() }, { "fate", nameOf(fate) }, { "runs", worker.runs.size() },
                { "extended", extended }, { "lapsesInMs", (lapseTime(worker) - now()).count() } });
    worker.nextPoll = now() + silentPollInterval;
}

// Returns false if it is still not known what the worker runs.
bool Owner::Impl::markFenced(Worker& worker, const OrderAnswer& answer)
{
    const auto hasEnded = answer.incarnation != 0 && answer.incarnation < worker.report.incarnation;
    if (hasEnded || (!answer.listsComplete && m_unresolved.contains(worker.id()))) {
        worker.nextPoll = now() + silentPollInterval;
        return false;
    }
    worker.fenced = true;
    m_interference.forget(worker.id()); // It may be another kind of machine.
    if (worker.firstIncarnation == 0)
        worker.firstIncarnation = worker.incarnation;
    else
        m_hooks.log("worker-fenced",
            { { "worker", worker.id().str() }, { "incarnation", worker.incarnation },
                { "clock", answer.clock.value }, { "running", answer.running.size() },
                { "ended", answer.ended.size() },
                { "firstEnd", answer.ended.empty() ? 0 : answer.ended.front().number } });
    worker.acknowledged = worker.acknowledgementAnswered = 0;
    worker.ends.clear();
    markResolved(worker.id());
    m_rosterDue = m_rosterDue || rosterDiffers(worker);
    schedulePass();
    return true;
}

void Owner::Impl::pollAnswered(const WorkerId& id, const SentPoll& poll, const OrderAnswer& answer)
{
    auto* worker = findWorker(id);
    if (!worker || m_superseded)
        return;
    worker->pollInFlight = false;
    const auto incarnation = worker->incarnation;
    worker->listLate = isDelayed(*worker, now(), answer);
    if (!processAnswer(*worker, poll.at, answer))
        return;
    if (answer.fate != OrderFate::Done)
        return pollFailed(*worker, poll.extends, answer.fate);
    worker->answeredAt = now();
    worker->listRequestedAt = poll.at;
    if (worker->missedPolls > 0) {
        m_hooks.log("worker-answers", { { "worker", id.str() }, { "misses", worker->missedPolls } });
        worker->missedPolls = 0;
        worker->lapsed = false;
        worker->expiredRuns.clear();
        schedulePass();
    }
    if (!worker->fenced && !markFenced(*worker, answer))
        return;
    if (worker->incarnation == incarnation)
        worker->acknowledgementAnswered = std::max(worker->acknowledgementAnswered, poll.acknowledged);
    for (const auto& end : answer.ended)
        recordEnd(*worker, end);
    for (const auto& running : answer.running)
        adopt(*worker, running, poll.at);
    if (answer.listsComplete && answer.ended.size() < maxListedEnds)
        loseAbsentRuns(*worker, poll.at, answer);
    recordTails(*worker, answer);
    decidePaces(*worker, poll.at);
    acknowledgeSavedEnds(*worker);
    if (!worker->ends.empty())
        worker->nextPoll = nextPollBesideEnds(*worker);
    else if (worker->acknowledged > worker->acknowledgementAnswered && !mayAcknowledge(*worker))
        worker->nextPoll = now() + listRetryDelay;
    if (awaitsList(*worker))
        worker->nextPoll = now() + (answer.listsComplete ? listRetryDelay : silentPollInterval);
    if (worker->runs.empty() && worker->ends.empty() && answer.ended.empty()) {
        worker->acknowledged = worker->acknowledgementAnswered = 0; // Nothing left to acknowledge.
        worker->nextPoll = now() + silentPollInterval;
    }
    sendDueCalls(*worker);
}

// A worker that lists ends answers at once and does not wait for the next end. While ends are withheld, for
// up to `maxOrderDelay`, polls are sent when runs are expected to end.
TimePoint Owner::Impl::nextPollBesideEnds(Worker& worker)
{
    auto next = now() + maxAcknowledgeDelay;
    const auto& task = worker.ends.begin()->second.task;
    const auto* withheldFor = findJob(task.job);
    if (!withheldFor || !withheldFor->mayStartLate(task, now()))
        return next;
    for (const auto& [id, run] : worker.runs) {
        auto* job = findJob(id.job);
        const auto* step = job ? job->findStep(id) : nullptr;
        if (step && !step->spec->longRunning)
            next = std::min(next, expectedEnd(*job, *step, worker, run));
    }
    return std::max(next, now() + withheldPollInterval);
}

void Owner::Impl::loseAbsentRuns(Worker& worker, TimePoint sentAt, const OrderAnswer& answer)
{
    std::set<TaskId> seen;
    for (const auto& running : answer.running)
        seen.insert(running.task);
    std::vector<TaskId> absent;
    for (const auto& [task, run] : worker.runs) {
        if (run.confirmed && run.confirmedAt < sentAt && !seen.contains(task))
            absent.push_back(task);
    }
    recordCrashUnderAbsentRuns(worker, absent);
    for (const auto& task : absent) {
        forgetStart(task, worker);
        loseRun(worker, task, "its worker does not list it");
    }
}

void Owner::Impl::startCall(Worker& worker, ActiveRun& run)
{
    auto* job = findJob(run.task.job);
    if (!job || !mayStart())
        return;
    if (isInClosedZone(worker)) // Closed since the first attempt, or since the decision to start.
        return stop(worker, run.task, "its zone is closed");
    if (run.startAttempts > 0 && !worker.isReportCurrent()) {
        if (!worker.listed)
            return stopWhole(run.task, "its worker has left");
        run.nextCall = now() + entryDelay;
        return;
    }
    const auto* step = job->specOf(run.task);
    if (run.startAttempts > 0 && step && !couldRunOn(worker, *job, *step))
        return stopWhole(run.task, "its worker is of another kind");
    if (run.startAttempts > 0 && !worker.report.capacity.canFit(worker.used))
        return stopWhole(run.task, "its worker has shrunk"); // An earlier attempt may not have arrived.
    if (run.startAttempts > 0 && now() - run.orderedAt > orderTimeout * maxStartAttempts)
        return stop(worker, run.task, "its start got no answer");
    if (job->saved < run.repeatVersion)
        return; // `saveSucceeded` calls again.
    StartOrder order;
    order.task = run.task;
    order.run = run.run;
    order.payload = job->spec().payload;
    order.fence = m_fence;
    order.checkpoint = run.checkpoint;
    order.ticket = run.ticket;
    order.deadline
        = { worker.clockNow(now()).value + static_cast<std::uint64_t>(m_settings.maxHold.count()) };
    worker.lastDeadline = std::max(worker.lastDeadline, order.deadline);
    m_renewals[worker.id()].add(worker.incarnation, now());
    run.callInFlight = true;
    run.startSentAt = now();
    ++run.startAttempts;
    m_hooks.workers.start(worker.report, std::move(order), orderTimeout,
        [this, self = m_self, id = worker.id(), task = run.task, number = run.run, sentAt = now()](
            const OrderAnswer& answer) {
            if (*self)
                startAnswered(id, task, number, sentAt, answer);
        });
}

void Owner::Impl::logStartAnswer(const Worker& worker, const ActiveRun& run, const OrderAnswer& answer) const
{
    if (answer.fate == OrderFate::Done && answer.clock < worker.clock)
        m_hooks.log("start-answered-after-restart",
            { { "task", toString(run.task) }, { "run", run.run.value }, { "worker", worker.id().str() },
                { "incarnation", worker.incarnation }, { "clock", answer.clock.value },
                { "knownClock", worker.clock.value }, { "knownMsAgo", (now() - worker.clockAt).count() } });
    if (answer.fate != OrderFate::Done)
        m_hooks.log("start-refused",
            { { "task", toString(run.task) }, { "run", run.run.value }, { "worker", worker.id().str() },
                { "fate", nameOf(answer.fate) }, { "attempt", run.startAttempts } });
}

void Owner::Impl::startAnswered(
    const WorkerId& id, const TaskId& task, Run number, TimePoint sentAt, const OrderAnswer& answer)
{
    auto* worker = findWorker(id);
    if (!worker || m_superseded)
        return;
    if (!processAnswer(*worker, sentAt, answer))
        return;
    if (answer.fate == OrderFate::Unknown)
        extendRepeatedStart(task, sentAt);
    const auto found = worker->runs.find(task);
    if (found == worker->runs.end() || found->second.run != number)
        return;
    auto& run = found->second;
    if (answer.fate == OrderFate::Done || answer.fate == OrderFate::Old)
        run.startAnsweredAt = now();
    if (run.phase == RunPhase::Stopping) {
        if (answer.fate != OrderFate::Unknown && run.startAttempts == 1) {
            run.startUnanswered = false; // Set by `stop` while the start was in flight.
            worker->unansweredStarts.erase(task);
        }
        if (run.isUndecided()) { // The stop may have reached an earlier incarnation than the start.
            run.confirmed = false;
            run.nextCall = now();
        }
        return;
    }
    run.callInFlight = false;
    if (run.phase == RunPhase::Running)
        return; // A poll has already reported the run.
    logStartAnswer(*worker, run, answer);
    switch (answer.fate) {
    case OrderFate::Done:
    case OrderFate::Old: // Already ended or stopped: the next poll shows which.
        markStarted(run, answer.fate == OrderFate::Done && run.startAttempts == 1);
        return requestList(*worker);
    case OrderFate::Unknown:
        run.startUnanswered = true;
        worker->unansweredStarts[task] = { number, run.startSentAt };
        if (run.startAttempts < maxStartAttempts)
            return repeatStart(*worker, run);
        return stop(*worker, task, "its start got no answer");
    case OrderFate::Refused:
        worker->health.taskFailed(now());
        break;
    case OrderFate::NoTicket:
        dropTicket(task, id);
        break;
    case OrderFate::NotSent:
        worker->recordMissedPoll(now());
        worker->nextPoll = std::min(worker->nextPoll, now());
        break;
    default:
        break;
    }
    if (run.startAttempts > 1)
        return stop(*worker, task, "its start was refused after one without an answer");
    forgetStart(task, *worker);
    loseRun(*worker, task, nameOf(answer.fate));
}

void Owner::Impl::stop(Worker& worker, const TaskId& task, const char* why)
{
    const auto found = worker.runs.find(task);
    if (found == worker.runs.end() || found->second.phase == RunPhase::Stopping)
        return;
    auto& run = found->second;
    if (run.phase == RunPhase::Ordered && run.callInFlight) {
        run.startUnanswered = true;
        worker.unansweredStarts[task] = { run.run, run.startSentAt };
    }
    run.phase = RunPhase::Stopping;
    run.confirmed = false;
    run.callInFlight = false;
    run.nextCall = now();
    ++m_figures.stops;
    count("jujubereach_stops_total", { { "why", why } });
    m_hooks.log("stop",
        { { "task", toString(task) }, { "run", run.run.value }, { "worker", worker.id().str() },
            { "why", why } });
    stopCall(worker, run);
}

// Predicts by the progress that the last poll reported, or by learned run times.
TimePoint Owner::Impl::expectedEnd(
    const Job& job, const Step& step, const Worker& worker, const ActiveRun& run)
{
    const auto progress = run.percent - run.basePercent;
    if (run.basePercent < 0 || progress < minMeasuredPercent)
        return run.runningSince + expectedTimeAt(speedOfRun(worker, step, run), job, *step.spec);
    const auto elapsed = static_cast<double>((run.progressAt - run.baseAt).count());
    const Duration left(static_cast<std::int64_t>(elapsed * (100 - run.percent) / progress));
    return run.progressAt + pacedTime(run, left);
}

// Stops what cannot end before its worker leaves. A confirmed stop lets the task start elsewhere at once and
// saves a checkpoint; a task that is lost with its worker may start again only when the lease has expired.
void Owner::Impl::stopDoomedRuns(Worker& worker)
{
    const auto leavesSoon = now() >= worker.leavesAt - m_settings.stopTimeout - leaveMargin;
    for (const auto& [task, run] : worker.runs) {
        auto* job = findJob(task.job);
        const auto* step = job ? job->findStep(task) : nullptr;
        if (!step || step->spec->longRunning || run.phase != RunPhase::Running)
            continue;
        if (leavesSoon || expectedEnd(*job, *step, worker, run) > worker.leavesAt)
            stopWhole(task, "its worker leaves");
    }
}

void Owner::Impl::stopCall(Worker& worker, ActiveRun& run)
{
    run.callInFlight = true;
    m_hooks.workers.stop(worker.report, { run.task, run.run, m_fence }, orderTimeout,
        [this, self = m_self, id = worker.id(), task = run.task, number = run.run, sentAt = now()](
            const OrderAnswer& answer) {
            if (*self)
                stopAnswered(id, task, number, sentAt, answer);
        });
}

void Owner::Impl::stopAnswered(
    const WorkerId& id, const TaskId& task, Run number, TimePoint sentAt, const OrderAnswer& answer)
{
    auto* worker = findWorker(id);
    if (!worker || m_superseded || !processAnswer(*worker, now(), answer))
        return;
    const auto found = worker->runs.find(task);
    if (found == worker->runs.end() || found->second.run != number)
        return;
    auto& run = found->second;
    run.callInFlight = false;
    if (answer.fate == OrderFate::Done && sentAt < run.startAnsweredAt && run.isUndecided())
        return; // Its start may have reached a later incarnation; the stop is repeated.
    if (answer.fate == OrderFate::Done) {
        run.confirmed = true;
        run.confirmedAt = now() + m_settings.stopTimeout + m_settings.stopTimeout / 4;
        if (!worker->pollInFlight)
            worker->nextPoll = std::min(worker->nextPoll, now());
        return;
    }
    m_hooks.log("stop-refused",
        { { "task", toString(task) }, { "worker", id.str() }, { "fate", nameOf(answer.fate) } });
    run.nextCall = now() + stopRetryDelay;
}

void Owner::Impl::markSuperseded(const char* by)
{
    if (m_superseded)
        return;
    m_superseded = true;
    count("jujubereach_fence_refusals_total");
    m_hooks.log("superseded", { { "fence", m_fence.value }, { "by", by } });
    m_hooks.ownershipLost();
}

// Ends the ownership, although no other owner is known. The next owner restores its state from the store.
void Owner::Impl::giveUpOwnership(const char* why)
{
    if (m_superseded)
        return;
    m_superseded = true;
    m_hooks.log("ownership-given-up", { { "fence", m_fence.value }, { "why", why } });
    m_hooks.ownershipLost();
}

} // namespace jujubereach::fleet
