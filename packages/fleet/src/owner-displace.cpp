// Preempts less urgent tasks in favour of urgent steps.
#include "pass.h"

#include "jujubereach/fleet/queue-order.h"

#include <algorithm>
#include <limits>

namespace jujubereach::fleet {

namespace {

    constexpr Duration planTimeout { 2000 }; // Exceeds the time of a stop and two polls.
    // Limit on the work lost, relative to the work of the urgent step.
    constexpr double maxPreemptionLossShare = 0.25;

    constexpr double maxBound = 1e12; // In ms; larger configured values would overflow a time point.

    // Awaited runs end without a stop.
    Resources usedAfterEnds(const Worker& worker, const std::vector<TaskId>& awaited)
    {
        Resources sum;
        for (const auto& [task, run] : worker.runs) {
            if (run.phase != RunPhase::Stopping
                && std::find(awaited.begin(), awaited.end(), task) == awaited.end())
                sum += run.resources;
        }
        return sum;
    }

    // The part of a wait that is logged, in ms; -1 if there is no bound.
    std::int64_t timeLeft(TimePoint until, TimePoint now)
    {
        return until == TimePoint::max() ? -1 : (until - now).count();
    }

} // namespace

void Owner::Impl::addPreemptionCandidates(std::vector<WorkerView>& fleet)
{
    std::map<const Occurrence*, double> ranks; // Tasks of one occurrence share a rank.
    for (auto& view : fleet) {
        const auto& worker = *findWorker(view.id);
        for (const auto& [task, active] : worker.runs) {
            auto* job = findJob(task.job);
            const auto* step = job ? job->findStep(task) : nullptr;
            if (!step || active.phase == RunPhase::Stopping || step->spec->longRunning)
                continue;
            const auto& occurrence = job->occurrences.at(task.occurrence);
            const auto [rank, isNew] = ranks.try_emplace(&occurrence, 0);
            if (isNew)
                rank->second = rankInQueue(*job, occurrence, false) * std::max(1.0, factorOf(*job));
            view.preemptible.push_back(candidateOf(*job, *step, worker, active, rank->second));
        }
    }
    if (m_settings.features.preemptionCost)
        markResumable(fleet);
}

PreemptionCandidate Owner::Impl::candidateOf(
    const Job& job, const Step& step, const Worker& worker, const ActiveRun& run, double rank)
{
    const auto& spec = *step.spec;
    PreemptionCandidate out { run.task, run.resources, run.priority, rank, 0, spec.gang };
    auto lost = now() - run.orderedAt;
    if (m_settings.features.preemptionCost) {
        if (run.adopted) // Its start is unknown.
            lost = std::max(lost, expectedTime(job, spec) * std::max(0, run.percent) / 100);
        lost = lostTime({ lost, !run.adopted, spec.checkpointing, spec.gang, m_settings.checkpointInterval,
            m_settings.restoreTime });
        out.endsAt = endUnlessStopped(job, step, worker, run);
        out.resumesAtOnce = spec.checkpointing && !spec.gang; // See `markResumable`.
        if (spec.checkpointing && spec.gang && !run.adopted)
            out.nextCheckpoint
                = now() + timeToCheckpoint(now() - run.orderedAt, m_settings.checkpointInterval);
    } else if (spec.checkpointing) {
        // The stop saves a checkpointing task, which then loses only the restore time. Gang members that
        // wait for each other fall back further.
        lost = std::min(lost,
            spec.gang ? m_settings.checkpointInterval / 2 + m_settings.restoreTime : m_settings.restoreTime);
    }
    out.usesIdleCores = run.idleMilliCores > 0;
    out.loss = coresOf(run.neededResources()) * static_cast<double>(lost.count()) / 1000;
    if (spec.gang)
        out.loss *= spec.count;
    return out;
}

// Keeps `resumesAtOnce` of the candidates that fit the largest free amounts outside reserved racks.
void Owner::Impl::markResumable(std::vector<WorkerView>& fleet)
{
    std::map<ServiceId, Resources> largest;
    for (const auto& view : fleet) {
        auto& most = largest[view.service];
        if (view.reservedForUrgent || view.reservedBy)
            continue;
        most = { std::max(most.milliCores, view.free.milliCores), std::max(most.memoryMb, view.free.memoryMb),
            std::max(most.accelerators, view.free.accelerators) };
    }
    for (auto& view : fleet) {
        const auto& most = largest[view.service];
        for (auto& option : view.preemptible)
            option.resumesAtOnce = option.resumesAtOnce && most.canFit(option.resources);
    }
}

TimePoint Owner::Impl::endUnlessStopped(
    const Job& job, const Step& step, const Worker& worker, const ActiveRun& run)
{
    return correctedEnd(expectedEnd(job, step, worker, run), expectedTime(job, *step.spec), now());
}

UrgentNeed Owner::Impl::urgentNeedOf(const ReadyStep& ready) const
{
    const auto& job = *ready.job;
    const auto& terms = termsOf(job);
    UrgentNeed need;
    need.now = now();
    need.stopTime = timeOfStop(m_settings.stopTimeout);
    need.guaranteed = ready.guaranteed;
    need.awaitsSince = ready.step().awaitsSince;
    Duration ideal { 0 };
    double remainingWork = 0;
    for (const auto& step : job.occurrences.at(ready.occurrence).steps) {
        const auto time = expectedTime(job, *step.spec);
        ideal += time;
        remainingWork += workOf(job, *step.spec) * (step.spec->count - step.done);
        if (!step.finished())
            need.runTime += time;
    }
    const auto bound = std::min(maxBound, completionBound(terms.stretch, ideal, terms.objective));
    const auto finish = static_cast<double>((now() - job.arrived + ideal).count());
    need.utility = ready.rank * std::max(remainingWork, 1.0) / timeliness(finish, bound);
    if (ready.step().spec->longRunning)
        return need; // It has no completion to be late with.
    const auto arrived = job.spec().repeatCount > 0 ? ready.step().waitingSince : job.arrived;
    need.inTimeBy = arrived + Duration(static_cast<std::int64_t>(bound));
    need.usefulBy = arrived + Duration(static_cast<std::int64_t>(lateBound * bound));
    return need;
}

PreemptionDecision Owner::Impl::decideFor(
    const ReadyStep& ready, const PlaceRequest& request, Pass& pass) const
{
    if (!m_settings.features.preemptionCost) {
        auto found = placeByPreemption(request, pass.fleet);
        const auto outcome = found.placement.empty() ? PreemptionOutcome::GiveUp : PreemptionOutcome::Stop;
        return { outcome, "", {}, std::move(found) };
    }
    return decidePreemption(request, pass.fleet, urgentNeedOf(ready));
}

// A decision to wait or to give up is repeated by every search; only a change is logged and counted.
void Owner::Impl::logDecision(const ReadyStep& ready, const PreemptionDecision& decision)
{
    auto& step = ready.step();
    const auto repeated = decision.outcome != PreemptionOutcome::Stop
        && std::string_view(step.preemptionDecision) == decision.why;
    step.preemptionDecision = decision.why;
    if (!m_settings.features.preemptionCost || repeated)
        return;
    count("jujubereach_preemptions_total",
        { { "workspace", ready.job->record.workspace.str() }, { "outcome", nameOf(decision.outcome) },
            { "reason", decision.why } });
    if (decision.outcome == PreemptionOutcome::Stop)
        return; // Logged as `displace`.
    const auto need = urgentNeedOf(ready);
    m_hooks.log("preempt-wait",
        { { "id", ready.job->id().str() }, { "step", ready.index }, { "tasks", ready.tasks.size() },
            { "outcome", nameOf(decision.outcome) }, { "why", decision.why },
            { "capacityInMs", decision.until == TimePoint {} ? -1 : (decision.until - now()).count() },
            { "stopMs", need.stopTime.count() }, { "runMs", need.runTime.count() },
            { "deadlineInMs", timeLeft(need.inTimeBy, now()) },
            { "waitedMs", (now() - step.waitingSince).count() },
            { "awaited", decision.found.awaited.size() } });
}

bool Owner::Impl::preemptFor(const ReadyStep& ready, Pass& pass)
{
    auto& step = ready.step();
    auto request = requestFor(ready, pass);
    request.rank = ready.rank * std::min(1.0, ready.factor); // See `orderByShares`.
    request.isolated = false; // Steps that must be isolated do not preempt.
    request.maxLoss = ready.guaranteed
        ? std::numeric_limits<double>::infinity()
        : maxPreemptionLossShare * workOf(*ready.job, *step.spec) * static_cast<double>(ready.tasks.size());
    std::vector<int> waiting;
    for (const auto index : ready.tasks) {
        if (step.tasks[static_cast<std::size_t>(index)].worker.empty())
            waiting.push_back(index);
    }
    request.count = static_cast<int>(waiting.size());
    if (waiting.empty())
        return true;
    AdvisedWorkers advised;
    if (termsOf(*ready.job).advice) {
        advised = advisedWorkers(step);
        request.allowed = &advised.ticketed;
    }
    const auto decision = decideFor(ready, request, pass);
    if (decision.outcome == PreemptionOutcome::Wait && step.awaitsSince == TimePoint {})
        step.awaitsSince = now();
    logDecision(ready, decision);
    if (decision.found.placement.empty())
        return false;
    plan(ready, waiting, decision.found, pass);
    return true;
}

void Owner::Impl::plan(
    const ReadyStep& ready, const std::vector<int>& waiting, const Preemption& found, Pass& pass)
{
    auto& fleet = pass.fleet;
    auto& step = ready.step();
    PreemptionPlan plan;
    plan.perTask = resourcesOf(*step.spec);
    plan.expires = now() + planTimeout;
    if (!found.awaited.empty()) {
        plan.awaited = found.awaited;
        plan.awaitUntil = awaitLimit(urgentNeedOf(ready));
        if (step.awaitsSince == TimePoint {})
            step.awaitsSince = now(); // Of a stop that also awaits ends.
    }
    for (std::size_t i = 0; i < found.placement.size(); ++i) {
        auto& view = fleet[found.placement[i]];
        view.free -= plan.perTask;
        view.idle = false;
        plan.tasks.emplace_back(waiting[i], view.id);
    }
    // The views do not gain what the runs free: the rest of it is usable in the next pass.
    std::set<TaskId> gone(found.victims.begin(), found.victims.end());
    gone.insert(found.awaited.begin(), found.awaited.end());
    for (auto& view : fleet)
        std::erase_if(
            view.preemptible, [&](const PreemptionCandidate& option) { return gone.contains(option.task); });
    boost::json::array victims;
    for (const auto& task : found.victims) {
        victims.push_back(boost::json::string(toString(task)));
        stopWhole(task, "more urgent work needs its room");
    }
    if (!victims.empty() || !m_settings.features.preemptionCost)
        m_hooks.log("displace",
            { { "id", ready.job->id().str() }, { "tasks", waiting.size() }, { "victims", victims },
                { "lossCoreSeconds", found.loss }, { "awaited", found.awaited.size() } });
    plan.victims = found.victims;
    m_plans[{ ready.job->id(), ready.occurrence, ready.index, 0 }] = std::move(plan);
}

// Stops all members of a gang together, so that each is saved.
void Owner::Impl::stopWhole(const TaskId& task, const char* why)
{
    auto* job = findJob(task.job);
    auto* step = job ? job->findStep(task) : nullptr;
    if (!step)
        return;
    for (int i = 0; i < step->spec->count; ++i) {
        if (!step->spec->gang && i != task.index)
            continue;
        const auto at = step->tasks[static_cast<std::size_t>(i)].worker;
        if (auto* worker = at.empty() ? nullptr : findWorker(at))
            stop(*worker, { task.job, task.occurrence, task.step, i }, why);
    }
}

const ActiveRun* Owner::Impl::findRun(const TaskId& task)
{
    auto* job = findJob(task.job);
    const auto* step = job ? job->findStep(task) : nullptr;
    const auto* worker
        = step ? findWorker(step->tasks[static_cast<std::size_t>(task.index)].worker) : nullptr;
    if (!worker)
        return nullptr;
    const auto found = worker->runs.find(task);
    return found == worker->runs.end() ? nullptr : &found->second;
}

bool Owner::Impl::victimsStop(const PreemptionPlan& plan)
{
    return std::any_of(plan.victims.begin(), plan.victims.end(), [&](const TaskId& task) {
        const auto* run = findRun(task);
        return run && run->phase == RunPhase::Stopping;
    });
}

// A run that lasts longer than expected must not hold the plan: another search may stop it. Its end is not
// corrected before `awaitUntil`, since most runs past their expected end complete shortly after it.
bool Owner::Impl::endsInTime(const PreemptionPlan& plan)
{
    return std::all_of(plan.awaited.begin(), plan.awaited.end(), [&](const TaskId& task) {
        const auto* run = findRun(task);
        if (!run)
            return true;
        auto* job = findJob(task.job);
        const auto& step = *job->findStep(task);
        const auto& worker = *findWorker(step.tasks[static_cast<std::size_t>(task.index)].worker);
        return std::max(now(), expectedEnd(*job, step, worker, *run)) <= plan.awaitUntil;
    });
}

bool Owner::Impl::awaitsEnds(const ReadyStep& ready) const
{
    const auto plan = m_plans.find({ ready.job->id(), ready.occurrence, ready.index, 0 });
    return plan != m_plans.end() && !plan->second.awaited.empty();
}

bool Owner::Impl::executePlan(Job& job, int occurrence, int stepIndex)
{
    const auto found = m_plans.find({ job.id(), occurrence, stepIndex, 0 });
    if (found == m_plans.end())
        return false;
    auto& step = job.occurrences.at(occurrence).steps[static_cast<std::size_t>(stepIndex)];
    // A task may have been adopted, or reported as done, since the plan was made.
    const auto waiting = std::all_of(found->second.tasks.begin(), found->second.tasks.end(),
        [&](const auto& planned) { return step.tasks[static_cast<std::size_t>(planned.first)].isWaiting(); });
    if (!waiting) {
        m_plans.erase(found);
        return false;
    }
    std::map<WorkerId, Resources> need;
    for (const auto& [index, id] : found->second.tasks)
        need[id] += found->second.perTask;
    if (termsOf(job).advice) {
        const auto ticketed = advisedWorkers(step).ticketed;
        const auto valid = std::all_of(
            need.begin(), need.end(), [&](const auto& row) { return ticketed.contains(row.first); });
        if (!valid) {
            m_plans.erase(found);
            return false;
        }
    }
    for (const auto& [id, resources] : need) {
        auto* worker = findWorker(id);
        if (!worker || !acceptsTasks(*worker) || !isOpenInRoster(id)
            || !worker->report.capacity.canFit(usedAfterEnds(*worker, found->second.awaited) + resources)) {
            m_plans.erase(found);
            return false;
        }
        if (!worker->freeResources().canFit(resources))
            return true; // Preempted tasks are still stopping, or awaited ones running.
    }
    const auto tasks = std::move(found->second.tasks);
    m_plans.erase(found);
    const auto gap = job.recovered ? runGapAfterTakeover : 1;
    const auto shared = Run { step.shared(0).lastRun.value + gap };
    for (const auto& [index, id] : tasks)
        begin(job, { job.id(), occurrence, stepIndex, index }, *findWorker(id),
            step.spec->gang ? shared : Run { step.shared(index).lastRun.value + gap });
    return true;
}

void Owner::Impl::dropPlans(const Job& job)
{
    std::erase_if(m_plans, [&](const auto& plan) { return plan.first.job == job.id(); });
}

// They were made for the incarnation that has ended.
void Owner::Impl::dropPlans(const Worker& worker)
{
    std::erase_if(m_plans, [&](const auto& plan) {
        const auto& tasks = plan.second.tasks;
        return std::any_of(
            tasks.begin(), tasks.end(), [&](const auto& task) { return task.second == worker.id(); });
    });
}

void Owner::Impl::dropExpiredPlans()
{
    // Without its plan, the step would stop further runs while the victims are still stopping.
    std::erase_if(m_plans, [this](const auto& row) {
        const auto& plan = row.second;
        return now() >= plan.expires || (!endsInTime(plan) && !victimsStop(plan));
    });
}

std::map<WorkerId, Resources> Owner::Impl::reservedByPlans() const
{
    std::map<WorkerId, Resources> out;
    for (const auto& [step, plan] : m_plans) {
        for (const auto& [index, id] : plan.tasks)
            out[id] += plan.perTask;
    }
    return out;
}

} // namespace jujubereach::fleet
