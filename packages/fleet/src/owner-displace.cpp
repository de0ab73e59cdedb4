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

    Resources usedAfterStops(const Worker& worker)
    {
        Resources sum;
        for (const auto& [task, run] : worker.runs) {
            if (run.phase != RunPhase::Stopping)
                sum += run.resources;
        }
        return sum;
    }

} // namespace

void Owner::Impl::addPreemptionCandidates(std::vector<WorkerView>& fleet)
{
    std::map<const Occurrence*, double> ranks; // Tasks of one occurrence share a rank.
    for (auto& view : fleet) {
        for (const auto& [task, active] : findWorker(view.id)->runs) {
            auto* job = findJob(task.job);
            const auto* step = job ? job->findStep(task) : nullptr;
            if (!step || active.phase == RunPhase::Stopping || step->spec->longRunning)
                continue;
            // The stop saves a checkpointing task, which then loses only the restore time. Gang members that
            // wait for each other fall back further.
            auto lostTime = now() - active.orderedAt;
            if (step->spec->checkpointing)
                lostTime = std::min(lostTime,
                    step->spec->gang ? m_settings.checkpointInterval / 2 + m_settings.restoreTime
                                     : m_settings.restoreTime);
            const auto lost
                = coresOf(active.neededResources()) * static_cast<double>(lostTime.count()) / 1000;
            const auto& occurrence = job->occurrences.at(task.occurrence);
            const auto [rank, isNew] = ranks.try_emplace(&occurrence, 0);
            if (isNew)
                rank->second = rankInQueue(*job, occurrence, false);
            view.preemptible.push_back({ task, active.resources, active.priority, rank->second,
                step->spec->gang ? lost * step->spec->count : lost, step->spec->gang,
                active.idleMilliCores > 0 });
        }
    }
}

bool Owner::Impl::preemptFor(const ReadyStep& ready, Pass& pass)
{
    auto& fleet = pass.fleet;
    auto& step = ready.step();
    auto request = requestFor(ready, pass);
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
    const auto found = placeByPreemption(request, fleet);
    if (found.placement.empty())
        return false;
    PreemptionPlan plan;
    plan.perTask = resourcesOf(*step.spec);
    plan.expires = now() + planTimeout;
    boost::json::array victims;
    for (std::size_t i = 0; i < found.placement.size(); ++i) {
        auto& view = fleet[found.placement[i]];
        view.free -= plan.perTask;
        view.idle = false;
        plan.tasks.emplace_back(waiting[i], view.id);
    }
    const std::set<TaskId> gone(found.victims.begin(), found.victims.end());
    for (auto& view : fleet)
        std::erase_if(
            view.preemptible, [&](const PreemptionCandidate& option) { return gone.contains(option.task); });
    for (const auto& task : found.victims) {
        victims.push_back(boost::json::string(toString(task)));
        stopWhole(task, "more urgent work needs its room");
    }
    m_hooks.log(
        "displace", { { "id", ready.job->id().str() }, { "tasks", waiting.size() }, { "victims", victims } });
    m_plans[{ ready.job->id(), ready.occurrence, ready.index, 0 }] = std::move(plan);
    return true;
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
            || !worker->report.capacity.canFit(usedAfterStops(*worker) + resources)) {
            m_plans.erase(found);
            return false;
        }
        if (!worker->freeResources().canFit(resources))
            return true; // Preempted tasks are still stopping.
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
    std::erase_if(m_plans, [this](const auto& plan) { return now() >= plan.second.expires; });
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
