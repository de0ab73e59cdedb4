// Tasks that slow each other down on one worker: learning, pace calls and separation.
#include "pass.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jujubereach::fleet {

namespace {

    constexpr Duration paceTimeout { 800 }; // As for starts and stops.
    constexpr Duration paceRetryDelay { 200 }; // After the first refusal; doubled by each further one.
    constexpr int maxPaceDoublings = 4;
    // While a call without an answer may still be executed, the current pace is repeated at this interval.
    constexpr Duration paceRepeatInterval { 500 };
    constexpr Duration maxTailAge { 2500 }; // The longest time between two polls of a worker that answers.
    constexpr Duration bestEffortStartInterval { 1000 }; // By then a tail shows the effect of the last one.
    // Before another one starts where one was stopped for a tail: as long as one stays at pace 0.
    constexpr Duration bestEffortReturnDelay { 10'000 };
    constexpr Duration minObservationInterval { 400 }; // Lists in quick succession repeat the same tails.
    constexpr double unsettledWeight = 0.25; // Of a tail that a change of pace has affected in part.
    constexpr Duration pairRefreshInterval { 200 }; // Evidence changes with lists, at most this often.
    constexpr Duration maxMoveTime { 20 }; // Of a pass.
    constexpr Duration moveInterval { 1000 }; // Of a stop and the next pass; a move visits all workers.
    constexpr Duration separationLineInterval { 1000 }; // Per step, while it waits.
    // A doubled run time outweighs any difference in fit.
    constexpr double separationWeight = 5;

    const ActiveRun* worstTail(const Worker& worker)
    {
        const ActiveRun* worst = nullptr;
        for (const auto& [task, run] : worker.runs) {
            const auto counts = run.latencySensitive && run.phase == RunPhase::Running
                && run.tailAt == worker.answeredAt; // An older tail may be from another pace.
            if (counts
                && (!worst
                    || pressureOf({ run.kind, run.tail, run.tailTarget })
                        > pressureOf({ worst->kind, worst->tail, worst->tailTarget })))
                worst = &run;
        }
        return worst;
    }

    // The other tasks on the worker, by kind.
    std::vector<Neighbour> neighboursOf(const Worker& worker, const ActiveRun& affected)
    {
        std::map<TaskKind, double> amounts;
        for (const auto& [task, run] : worker.runs) {
            if (&run != &affected && run.phase != RunPhase::Ordered && run.kind != TaskKind {})
                amounts[run.kind] += run.bestEffort ? run.pace.working / static_cast<double>(fullPace) : 1;
        }
        std::vector<Neighbour> out;
        out.reserve(amounts.size());
        for (const auto& [kind, amount] : amounts)
            out.push_back({ kind, amount });
        return out;
    }

} // namespace

TaskKind Owner::Impl::kindOf(const Job& job, const StepSpec& step, int stepIndex)
{
    return m_interference.kindOf(
        step.image.empty() ? job.record.route.str() + '/' + std::to_string(stepIndex) : step.image);
}

// Best-effort tasks use only processors that others leave idle.
Resources Owner::Impl::resourcesOf(const StepSpec& step) const
{
    auto resources = step.resources;
    if (mayPace() && step.bestEffort)
        resources.milliCores = 0;
    return resources;
}

void Owner::Impl::setClass(const Job& job, const StepSpec& step, ActiveRun& run)
{
    run.resources = resourcesOf(step);
    run.idleMilliCores = step.resources.milliCores - run.resources.milliCores;
    run.priority = termsOf(job).priority;
    run.latencySensitive = step.tailTarget.count() > 0;
    run.tailTarget = step.tailTarget;
    run.bestEffort = step.bestEffort;
    if (mayPace())
        run.kind = kindOf(job, step, run.task.step);
}

bool Owner::Impl::awaitsTails(const Worker& worker) const
{
    return mayPace() && worker.latencySensitiveRuns > 0 && worker.bestEffortRuns > 0;
}

void Owner::Impl::recordTails(Worker& worker, const OrderAnswer& answer)
{
    if (!mayPace() || worker.latencySensitiveRuns == 0)
        return;
    for (const auto& seen : answer.running) {
        const auto found = worker.runs.find(seen.task);
        if (found == worker.runs.end() || found->second.run != seen.run || !found->second.latencySensitive)
            continue;
        auto& run = found->second;
        const auto wasOver = run.tail > run.tailTarget;
        run.tail = Duration(seen.load);
        run.tailAt = worker.answeredAt;
        if (!wasOver && run.tail > run.tailTarget)
            count("jujubereach_tail_over_target_total");
    }
    learnInterference(worker);
}

void Owner::Impl::learnInterference(Worker& worker)
{
    if (now() - worker.observedAt < minObservationInterval)
        return;
    worker.observedAt = now();
    const auto isSettled = std::all_of(worker.runs.begin(), worker.runs.end(), [this](const auto& entry) {
        const auto& pace = entry.second.pace;
        return !entry.second.bestEffort || (pace.confirmed && now() - pace.settledAt >= tailWindow);
    });
    for (const auto& [task, run] : worker.runs) {
        if (!run.latencySensitive || run.tailAt != worker.answeredAt || run.tail.count() == 0)
            continue;
        m_interference.observe(
            { run.kind, worker.id(), neighboursOf(worker, run),
                std::log(static_cast<double>(run.tail.count())), isSettled ? 1 : unsettledWeight },
            now());
    }
}

Duration Owner::Impl::pacedTime(const ActiveRun& run, Duration time)
{
    return time * fullPace / std::max(1, run.pace.percent);
}

// Tasks of the step that do not run at full pace.
int Owner::Impl::unavailableTasks(const Step& step, TaskId task)
{
    auto available = 0;
    for (task.index = 0; task.index < step.spec->count; ++task.index) {
        const auto* worker = findWorker(step.tasks[static_cast<std::size_t>(task.index)].worker);
        if (!worker)
            continue;
        const auto run = worker->runs.find(task);
        available += run != worker->runs.end() && run->second.phase == RunPhase::Running
            && run->second.pace.isFull();
    }
    return step.spec->count - available;
}

std::vector<PacedTask> Owner::Impl::pacedTasks(Worker& worker, bool underPressure)
{
    std::vector<PacedTask> out;
    std::map<const Step*, int> unavailable; // Including those that this decision may lower.
    for (const auto& [task, run] : worker.runs) {
        if (!run.bestEffort || run.orphaned || run.phase != RunPhase::Running)
            continue;
        PacedTask paced { task, run.kind, run.pace.percent, run.pace.known, true, std::nullopt };
        if (run.pace.confirmed)
            paced.settledAt = run.pace.settledAt;
        auto* job = findJob(task.job);
        const auto* step = job ? job->findStep(task) : nullptr;
        if (underPressure && step && step->spec->longRunning && step->spec->maxUnavailable > 0
            && (!run.pace.known || run.pace.percent == fullPace)) {
            const auto [sum, isNew] = unavailable.try_emplace(step, 0);
            if (isNew)
                sum->second = unavailableTasks(*step, task);
            const auto after = sum->second + (run.pace.isFull() ? 1 : 0);
            paced.mayReduce = after <= step->spec->maxUnavailable;
            if (paced.mayReduce)
                sum->second = after;
        }
        out.push_back(paced);
    }
    return out;
}

void Owner::Impl::decidePaces(Worker& worker, TimePoint sentAt)
{
    if (!mayPace() || worker.bestEffortRuns == 0)
        return m_pace.forget(worker.id());
    std::vector<TailReading> tails;
    std::size_t running = 0;
    for (const auto& [task, run] : worker.runs) {
        if (!run.latencySensitive || run.phase != RunPhase::Running)
            continue;
        ++running;
        if (run.tailAt == worker.answeredAt)
            tails.push_back({ run.kind, run.tail, run.tailTarget });
    }
    const auto* worst = worstTail(worker);
    const auto underPressure
        = worst && pressureOf({ worst->kind, worst->tail, worst->tailTarget }) > pressureShare;
    if (tails.size() < running && !underPressure)
        return; // The missing tails may leave no headroom.
    if (tails.empty() && worker.latencySensitiveRuns > 0)
        return; // Not listed yet, or stopping: the paces stay as they are.
    const auto decisions
        = m_pace.decide(worker.id(), tails, pacedTasks(worker, underPressure), m_interference, now());
    for (const auto& decision : decisions)
        applyPace(worker, decision, worst, sentAt);
}

void Owner::Impl::applyPace(
    Worker& worker, const PaceDecision& decision, const ActiveRun* worst, TimePoint sentAt)
{
    const auto found = worker.runs.find(decision.task);
    if (found == worker.runs.end() || found->second.phase != RunPhase::Running)
        return;
    auto& run = found->second;
    if (decision.reason == PaceReason::TooLong) {
        m_heldTasks[decision.task] = worker.id(); // The views are valid only in a pass.
        if (now() >= m_nextMove)
            schedulePass();
        return;
    }
    if (decision.stop && !mayStopPaced(decision.task))
        return;
    logPace(worker, run, decision, worst, sentAt);
    if (decision.stop) {
        worker.bestEffortStoppedAt = now();
        return stopWhole(decision.task, "it slows a neighbour down");
    }
    run.pace.percent = decision.percent;
    run.pace.known = true;
    run.pace.confirmed = false;
    run.pace.nextCall = now();
}

void Owner::Impl::logPace(const Worker& worker, const ActiveRun& run, const PaceDecision& decision,
    const ActiveRun* worst, TimePoint sentAt)
{
    boost::json::object line { { "task", toString(decision.task) }, { "run", run.run.value },
        { "worker", worker.id().str() }, { "percent", decision.percent }, { "from", run.pace.percent },
        { "stop", decision.stop }, { "reason", nameOf(decision.reason) },
        { "listAgeMs", (now() - sentAt).count() } };
    if (worst) {
        const auto effect = m_interference.effectOf(worst->kind, run.kind, now());
        line["neighbour"] = toString(worst->task);
        line["tail"] = worst->tail.count();
        line["target"] = worst->tailTarget.count();
        line["effect"] = effect.mean;
        line["deviation"] = effect.deviation;
    }
    m_hooks.log("pace", std::move(line));
}

// A paced task counts as unavailable already, so that a stop makes no further one unavailable.
bool Owner::Impl::mayStopPaced(const TaskId& task)
{
    auto* job = findJob(task.job);
    const auto* step = job ? job->findStep(task) : nullptr;
    if (!step)
        return false;
    const auto& spec = *step->spec;
    return !spec.longRunning || unavailableTasks(*step, task) <= spec.maxUnavailable;
}

// Each takes its new place in the views, so that one free place stops one task.
void Owner::Impl::moveHeldTasks(Pass& pass)
{
    if (m_heldTasks.empty() || now() < m_nextMove)
        return;
    m_nextMove = now() + moveInterval;
    const auto begun = now();
    for (const auto& [task, id] : std::exchange(m_heldTasks, {})) {
        auto* worker = findWorker(id);
        if (worker && now() - begun <= maxMoveTime)
            moveHeldTask(*worker, task, pass);
    }
}

void Owner::Impl::moveHeldTask(Worker& worker, const TaskId& task, Pass& pass)
{
    const auto found = worker.runs.find(task);
    auto* job = findJob(task.job);
    auto* step = job ? job->findStep(task) : nullptr;
    if (!step || found == worker.runs.end() || found->second.orphaned)
        return;
    const auto& run = found->second;
    const auto isHeld
        = run.phase == RunPhase::Running && run.pace.known && run.pace.confirmed && run.pace.percent == 0;
    if (!isHeld || !mayStopPaced(task))
        return;
    const ReadyStep ready { job, task.occurrence, task.step, { task.index } };
    auto request = requestFor(ready, pass);
    request.count = step->spec->gang ? step->spec->count : 1;
    request.overdue = false; // It is not waiting.
    const std::set<WorkerId> avoid { worker.id() };
    request.avoid = &avoid;
    AdvisedWorkers advised;
    if (termsOf(*job).advice) {
        advised = advisedWorkers(*step);
        request.allowed = &advised.ticketed;
    }
    if (place(request, pass.fleet).empty())
        return;
    logPace(worker, run, { task, 0, true, PaceReason::TooLong }, worstTail(worker), worker.listRequestedAt);
    worker.bestEffortStoppedAt = now();
    stopWhole(task, "it slows a neighbour down");
}

bool Owner::Impl::needsPaceCall(const ActiveRun& run) const
{
    const auto& pace = run.pace;
    return run.bestEffort && !run.orphaned && run.phase == RunPhase::Running && pace.known
        && !pace.callInFlight && pace.nextCall <= now() && (!pace.confirmed || now() < pace.repeatUntil);
}

void Owner::Impl::sendDuePaces(Worker& worker)
{
    if (!mayPace() || !mayOrder())
        return;
    for (auto& [task, run] : worker.runs) {
        if (needsPaceCall(run))
            paceCall(worker, run);
    }
}

void Owner::Impl::paceCall(Worker& worker, ActiveRun& run)
{
    run.pace.callInFlight = true;
    const PaceOrder order { run.task, run.run, run.pace.percent, m_fence };
    m_hooks.workers.pace(worker.report, order, paceTimeout,
        [this, self = m_self, id = worker.id(), order, incarnation = worker.incarnation, sentAt = now()](
            const OrderAnswer& answer) {
            if (*self)
                paceAnswered(id, order, incarnation, sentAt, answer);
        });
}

void Owner::Impl::paceAnswered(const WorkerId& id, const PaceOrder& order, std::int64_t incarnation,
    TimePoint sentAt, const OrderAnswer& answer)
{
    auto* worker = findWorker(id);
    if (!worker || m_superseded || !processAnswer(*worker, sentAt, answer))
        return;
    const auto found = worker->runs.find(order.task);
    if (found == worker->runs.end() || found->second.run != order.run || worker->incarnation != incarnation)
        return; // `RunPace::unknown` has been set for a later incarnation.
    auto& pace = found->second.pace;
    pace.callInFlight = false;
    if (answer.fate == OrderFate::Done) {
        pace.refusals = 0;
        if (pace.percent == order.percent && !pace.confirmed) {
            pace.confirmed = true;
            pace.working = order.percent;
            pace.settledAt = now() + m_settings.paceDelay;
        }
        pace.nextCall = pace.confirmed ? now() + paceRepeatInterval : now();
        return;
    }
    pace.nextCall = now();
    if (answer.fate == OrderFate::Unknown)
        pace.repeatUntil = sentAt + maxOrderDelay;
    else
        pace.nextCall += paceRetryDelay * (1 << std::min(pace.refusals++, maxPaceDoublings));
    m_hooks.log("pace-refused",
        { { "task", toString(order.task) }, { "worker", id.str() }, { "percent", order.percent },
            { "fate", nameOf(answer.fate) } });
}

bool Owner::Impl::admitsBestEffort(const Worker& worker) const
{
    const auto hasStopped = worker.bestEffortStoppedAt != TimePoint {}
        && now() - worker.bestEffortStoppedAt < bestEffortReturnDelay;
    if (!mayPace() || hasStopped || now() - worker.bestEffortStartedAt < bestEffortStartInterval)
        return false;
    return std::all_of(worker.runs.begin(), worker.runs.end(), [this](const auto& entry) {
        const auto& run = entry.second;
        if (run.bestEffort)
            return !run.pace.isLowered();
        if (!run.latencySensitive)
            return true;
        return run.phase == RunPhase::Running && run.tailAt != TimePoint {}
        && now() - run.tailAt <= maxTailAge
            && pressureOf({ run.kind, run.tail, run.tailTarget }) < headroomShare;
    });
}

void Owner::Impl::refreshKnownPairs()
{
    if (!mayPace() || m_interference.empty()) {
        m_knownPairs.clear();
        m_separations.clear();
        return;
    }
    if (now() < m_nextPairRefresh)
        return;
    m_nextPairRefresh = now() + pairRefreshInterval;
    m_separations.clear();
    m_knownPairs = m_interference.knownPairs(now());
}

// Costs by what runs there; best-effort tasks that are not urgent stay away from tasks they are known to
// slow.
const std::vector<double>* Owner::Impl::separationFor(const ReadyStep& ready)
{
    if (m_knownPairs.empty())
        return nullptr;
    const auto& spec = *ready.step().spec;
    const auto kind = kindOf(*ready.job, spec, ready.index);
    const auto partners = m_knownPairs.find(kind);
    if (partners == m_knownPairs.end())
        return nullptr;
    const auto excludes = spec.bestEffort && termsOf(*ready.job).priority > urgentPriority;
    const auto [costs, isNew] = m_separations.try_emplace({ kind, excludes }, m_usable.size(), 0.0);
    for (std::size_t i = 0; isNew && i < m_usable.size(); ++i) {
        for (const auto& [task, run] : m_usable[i]->runs) {
            const auto partner = partners->second.find(run.kind);
            if (partner == partners->second.end())
                continue;
            auto& cost = costs->second[i];
            if (excludes && run.latencySensitive)
                cost = std::numeric_limits<double>::infinity();
            else
                cost += separationWeight * partner->second;
        }
    }
    return &costs->second;
}

void Owner::Impl::logKeptApart(
    const ReadyStep& ready, const PlaceRequest& request, const Placement& placement)
{
    const auto& costs = *request.separation;
    const auto avoided = std::count_if(costs.begin(), costs.end(), [](double cost) { return cost > 0; });
    const auto beside
        = std::count_if(placement.begin(), placement.end(), [&](std::size_t i) { return costs[i] > 0; });
    const auto waits = placement.empty() && now() >= ready.step().nextSeparationLine;
    if (avoided == 0 || (placement.empty() && !waits))
        return;
    ready.step().nextSeparationLine = now() + separationLineInterval;
    const auto kind = kindOf(*ready.job, *request.spec, ready.index);
    boost::json::object partners;
    for (const auto& [other, effect] : m_knownPairs.at(kind))
        partners[m_interference.nameOf(other)] = effect;
    m_hooks.log("kept-apart",
        { { "id", ready.job->id().str() }, { "step", ready.index }, { "kind", m_interference.nameOf(kind) },
            { "neighbours", std::move(partners) }, { "workersAvoided", avoided },
            { "tasks", placement.size() }, { "tasksBeside", beside },
            { "pairsAgeMs", (now() + pairRefreshInterval - m_nextPairRefresh).count() } });
}

} // namespace jujubereach::fleet
