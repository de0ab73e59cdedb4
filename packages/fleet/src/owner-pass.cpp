// Placing: gives room to waiting steps in the order of their rank.
#include "owner-impl.h"

#include "jujubereach/fleet/queue-order.h"

#include <algorithm>
#include <limits>

namespace jujubereach::fleet {

namespace {

    constexpr Duration passPause { 20 }; // Joins news that come together.
    constexpr Duration planLife { 2000 }; // Of room that is being freed; above a stop and two looks.
    constexpr std::uint64_t runGapAfterTakeover = 16; // Above any start that the last owner did not save.
    constexpr double distrustOfUnproven = 0.02; // Breaks ties towards workers that have finished a task.

    constexpr int maxDisplacementSearches = 8; // In one pass; bounds its time when much urgent work waits.
    constexpr int lastDisplacingPriority = 0; // Displacing by less urgent work threw away more than it won.
    constexpr double displacementShare
        = 0.25; // Work thrown away for a step, against the work of the step itself.

    double coresOf(const Room& room)
    {
        return static_cast<double>(room.milliCores) / 1000
            + coresPerAccelerator * static_cast<double>(room.accelerators);
    }

    bool isBlocked(const std::vector<PlaceRequest>& blocked, const PlaceRequest& request)
    {
        return std::any_of(blocked.begin(), blocked.end(), [&](const PlaceRequest& other) {
            return other.service == request.service && request.spec->room.holds(other.spec->room);
        });
    }

} // namespace

/// A step with tasks that may start now.
struct Owner::Impl::Ready {
    Job* job = nullptr;
    int occurrence = 0;
    int index = 0; ///< Of the step.
    std::vector<int> tasks; ///< That wait.
    double rank = 0;
    bool guaranteed = false;
    Duration age { 0 };

    Step& step() const { return job->occurrences.at(occurrence).steps[static_cast<std::size_t>(index)]; }
};

Duration Owner::Impl::expectedTime(const Job& job, const StepSpec& step) const
{
    const auto found = m_history.find(job.record.route);
    const auto factor = found == m_history.end() ? 1 : found->second.timeFactor;
    return Duration(static_cast<std::int64_t>(static_cast<double>(step.estimate.count()) * factor));
}

double Owner::Impl::workOf(const Job& job, const StepSpec& step) const
{
    return coresOf(step.room) * static_cast<double>(expectedTime(job, step).count()) / 1000;
}

std::vector<Owner::Impl::Ready> Owner::Impl::readySteps()
{
    std::vector<Ready> out;
    std::map<WorkspaceId, std::int64_t> claimed;
    std::vector<Job*> jobs;
    for (const auto& id : m_open)
        jobs.push_back(&m_jobs.at(id));
    std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) { return a->arrived < b->arrived; });
    for (auto* job : jobs) {
        const auto& terms = termsOf(*job);
        auto guaranteed = false;
        if (terms.priority == 0) {
            std::int64_t need = 0;
            for (const auto& step : job->spec().steps)
                need = std::max(need, step.count * step.room.accelerators);
            const auto workspace = m_config->workspaces.find(job->record.workspace);
            auto& sum = claimed[job->record.workspace];
            sum += need;
            guaranteed
                = workspace != m_config->workspaces.end() && sum <= workspace->second.guaranteedAccelerators;
        }
        double work = 0;
        Duration chain { 0 };
        for (const auto& step : job->spec().steps) {
            work += workOf(*job, step) * step.count;
            chain += expectedTime(*job, step);
        }
        const auto& history = m_history[job->record.route];
        for (auto& [number, occurrence] : job->occurrences) {
            double left = 0;
            for (const auto& step : occurrence.steps)
                left += workOf(*job, *step.spec) * (step.spec->count - step.done);
            for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
                auto& step = occurrence.steps[s];
                if (step.finished() || !occurrence.isReady(step))
                    continue;
                Ready ready { job, number, static_cast<int>(s), {}, 0, guaranteed, now() - job->arrived };
                if (step.spec->gang && step.active > 0)
                    continue;
                for (int i = 0; i < step.spec->count; ++i) {
                    const auto& task = step.tasks[static_cast<std::size_t>(i)];
                    if (!task.done && task.worker.empty())
                        ready.tasks.push_back(i);
                }
                if (ready.tasks.empty() || (job->recovered && inDoubt()))
                    continue;
                ready.rank = rankOf({ terms.priority, guaranteed, ready.age, chain, chain, terms.stretch,
                    terms.objective, work, history.meanWork, left });
                out.push_back(std::move(ready));
            }
        }
    }
    std::sort(out.begin(), out.end(), [](const Ready& a, const Ready& b) { return a.rank > b.rank; });
    return out;
}

std::vector<WorkerView> Owner::Impl::views() const
{
    std::vector<WorkerView> out;
    const auto time = now();
    for (const auto& [id, worker] : m_workers) {
        if (!worker.listed || !worker.fenced || worker.report.draining || worker.misses > 0
            || worker.trust.isSetAside(time) || !m_roster.contains(id))
            continue;
        WorkerView view;
        view.id = id;
        view.service = worker.report.service;
        view.rack = worker.report.rack;
        view.labels = &worker.report.labels;
        view.capacity = worker.report.capacity;
        view.free = worker.freeRoom();
        view.distrust = worker.trust.strikes + (worker.trust.proven ? 0 : distrustOfUnproven);
        for (const auto& [task, run] : worker.runs) {
            view.serves = view.serves || run.serves;
            view.fills = view.fills || run.fills;
        }
        out.push_back(std::move(view));
    }
    std::map<std::string, double> racks;
    for (const auto& view : out)
        racks[view.rack] = 0;
    double order = 0;
    for (auto& [rack, value] : racks)
        value = order++ / static_cast<double>(racks.size());
    for (auto& view : out)
        view.rackOrder = racks[view.rack];
    return out;
}

void Owner::Impl::pass()
{
    m_passDue = false;
    m_nextPass = now() + passPause;
    if (!mayOrder())
        return;
    auto fleet = views();
    std::vector<PlaceRequest> blocked;
    auto displaceable = false;
    auto searches = 0;
    for (auto& ready : readySteps()) {
        auto& step = ready.step();
        if (step.plan && runPlan(*ready.job, ready.occurrence, ready.index))
            continue;
        PlaceRequest request;
        request.spec = step.spec;
        request.service = termsOf(*ready.job).service;
        request.count = static_cast<int>(ready.tasks.size());
        request.onWorker = &step.onWorker;
        request.costlyToStop = termsOf(*ready.job).priority > 0 && !step.spec->checkpointing;
        std::set<WorkerId> avoid;
        for (const auto index : ready.tasks) {
            const auto& failedOn = step.tasks[static_cast<std::size_t>(index)].failedOn;
            avoid.insert(failedOn.begin(), failedOn.end());
        }
        for (const auto& view : fleet) {
            const auto& runs = findWorker(view.id)->runs;
            // An earlier run of the same task is still to be stopped there.
            if (std::any_of(ready.tasks.begin(), ready.tasks.end(), [&](int index) {
                    return runs.contains({ ready.job->id(), ready.occurrence, ready.index, index });
                }))
                avoid.insert(view.id);
        }
        const auto elsewhere = std::any_of(fleet.begin(), fleet.end(),
            [&](const WorkerView& view) { return couldRun(request, view) && !avoid.contains(view.id); });
        if (elsewhere)
            request.avoid = &avoid;
        if (isBlocked(blocked, request) && !ready.guaranteed)
            continue;
        const auto placement = place(request, fleet);
        if (placement.empty() && step.spec->label.empty() && step.spec->rack.empty() && !step.spec->gang
            && avoid.empty() && step.spec->maxPerWorker == 0)
            blocked.push_back(request);
        const auto run = Run { step.shared(ready.tasks[0]).lastRun.value
            + (ready.job->recovered ? runGapAfterTakeover : 1) };
        for (std::size_t i = 0; i < placement.size(); ++i) {
            const auto index = ready.tasks[i];
            const TaskId task { ready.job->id(), ready.occurrence, ready.index, index };
            const auto number = step.spec->gang
                ? run
                : Run { step.shared(index).lastRun.value + (ready.job->recovered ? runGapAfterTakeover : 1) };
            begin(*ready.job, task, *findWorker(fleet[placement[i]].id), number);
        }
        const auto priority = termsOf(*ready.job).priority;
        if (placement.size() == ready.tasks.size() || priority > lastDisplacingPriority
            || searches >= maxDisplacementSearches)
            continue;
        ++searches;
        if (!displaceable) {
            displaceable = true;
            addDisplaceable(fleet);
        }
        displaceFor(ready, fleet);
    }
}

void Owner::Impl::addDisplaceable(std::vector<WorkerView>& fleet)
{
    for (auto& view : fleet) {
        for (const auto& [task, active] : findWorker(view.id)->runs) {
            auto* job = findJob(task.job);
            const auto* step = job ? job->findStep(task) : nullptr;
            if (!step || active.phase == RunPhase::Stopping || step->spec->longRunning)
                continue;
            // A stop saves a task that checkpoints; members of a gang that wait for each other fall back
            // further.
            auto lostTime = now() - active.orderedAt;
            if (step->spec->checkpointing)
                lostTime = std::min(lostTime,
                    step->spec->gang ? m_settings.checkpointInterval / 2 + m_settings.restoreTime
                                     : m_settings.restoreTime);
            const auto lost = coresOf(active.room) * static_cast<double>(lostTime.count()) / 1000;
            view.displaceable.push_back({ task, active.room, active.priority,
                step->spec->gang ? lost * step->spec->count : lost, step->spec->gang });
        }
    }
}

bool Owner::Impl::displaceFor(const Ready& ready, std::vector<WorkerView>& fleet)
{
    auto& step = ready.step();
    PlaceRequest request;
    request.spec = step.spec;
    request.service = termsOf(*ready.job).service;
    request.onWorker = &step.onWorker;
    request.priority = termsOf(*ready.job).priority;
    request.maxLoss = ready.guaranteed
        ? std::numeric_limits<double>::infinity()
        : displacementShare * workOf(*ready.job, *step.spec) * static_cast<double>(ready.tasks.size());
    std::vector<int> waiting;
    for (const auto index : ready.tasks) {
        if (step.tasks[static_cast<std::size_t>(index)].worker.empty())
            waiting.push_back(index);
    }
    request.count = static_cast<int>(waiting.size());
    if (waiting.empty())
        return true;
    const auto found = placeByDisplacing(request, fleet);
    if (found.placement.empty())
        return false;
    Plan plan;
    plan.expires = now() + planLife;
    boost::json::array victims;
    for (std::size_t i = 0; i < found.placement.size(); ++i) {
        auto& view = fleet[found.placement[i]];
        view.free -= step.spec->room;
        findWorker(view.id)->booked += step.spec->room;
        plan.tasks.emplace_back(waiting[i], view.id);
    }
    for (const auto& task : found.victims) {
        victims.push_back(boost::json::string(toString(task)));
        for (auto& view : fleet)
            std::erase_if(view.displaceable, [&](const Displaceable& option) { return option.task == task; });
        auto* victim = findJob(task.job);
        auto* other = victim ? victim->findStep(task) : nullptr;
        if (!other)
            continue;
        // A gang stops as a whole, so that each member is saved.
        for (int i = 0; i < other->spec->count; ++i) {
            if (!other->spec->gang && i != task.index)
                continue;
            const auto at = other->tasks[static_cast<std::size_t>(i)].worker;
            if (auto* worker = at.empty() ? nullptr : findWorker(at))
                stop(*worker, { task.job, task.occurrence, task.step, i }, "more urgent work needs its room");
        }
    }
    m_hooks.log(
        "displace", { { "id", ready.job->id().str() }, { "tasks", waiting.size() }, { "victims", victims } });
    step.plan = std::move(plan);
    return true;
}

bool Owner::Impl::runPlan(Job& job, int occurrence, int stepIndex)
{
    auto& step = job.occurrences.at(occurrence).steps[static_cast<std::size_t>(stepIndex)];
    if (now() >= step.plan->expires) {
        dropPlan(step);
        return false;
    }
    std::map<WorkerId, Room> need;
    for (const auto& [index, id] : step.plan->tasks)
        need[id] += step.spec->room;
    for (const auto& [id, room] : need) {
        auto* worker = findWorker(id);
        if (!worker || worker->report.draining || worker->misses > 0 || !worker->fenced) {
            dropPlan(step);
            return false;
        }
        auto free = worker->report.capacity;
        free -= worker->used;
        if (!free.holds(room))
            return true; // Still being freed.
    }
    const auto tasks = step.plan->tasks;
    dropPlan(step);
    const auto gap = job.recovered ? runGapAfterTakeover : 1;
    const auto shared = Run { step.shared(0).lastRun.value + gap };
    for (const auto& [index, id] : tasks)
        begin(job, { job.id(), occurrence, stepIndex, index }, *findWorker(id),
            step.spec->gang ? shared : Run { step.shared(index).lastRun.value + gap });
    return true;
}

void Owner::Impl::dropPlan(Step& step)
{
    if (!step.plan)
        return;
    for (const auto& [index, id] : step.plan->tasks) {
        if (auto* worker = findWorker(id))
            worker->booked -= step.spec->room;
    }
    step.plan.reset();
}

void Owner::Impl::begin(Job& job, const TaskId& id, Worker& worker, Run number)
{
    auto& step = *job.findStep(id);
    auto& task = step.tasks[static_cast<std::size_t>(id.index)];
    task.worker = worker.id();
    task.lastRun = number;
    step.shared(id.index).lastRun = number;
    ++step.active;
    ++step.onWorker[worker.id()];
    ActiveRun run;
    run.task = id;
    run.run = number;
    run.room = step.spec->room;
    run.priority = termsOf(job).priority;
    run.serves = step.spec->tailTarget.count() > 0;
    run.fills = step.spec->fills;
    run.orderedAt = now();
    run.runningSince = now();
    run.progressAt = now();
    run.checkpoint = step.shared(id.index).checkpoint;
    worker.addRun(run);
    m_hooks.log("start",
        { { "task", toString(id) }, { "run", number.value }, { "worker", worker.id().str() },
            { "rack", worker.report.rack }, { "priority", run.priority },
            { "waitedMs", (now() - job.arrived).count() }, { "resumes", !run.checkpoint.empty() } });
    startCall(worker, worker.runs.at(id));
    if (job.state == JobState::Queued) {
        job.state = JobState::Running;
        changed(job);
    }
}

} // namespace jujubereach::fleet
