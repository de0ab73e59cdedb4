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

    constexpr std::size_t maxAdvised
        = 30; // Workers in one question; the objectives count one question of 30.
    constexpr Duration advicePause { 300 }; // After a question without an answer, or with nobody to name.
    constexpr Duration adviceReserve { 300 }; // Of a ticket's validity, for the start and its way.

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

// Whether the job fits in what its workspace can always claim, beside the earlier ones of it.
bool Owner::Impl::claims(const Job& job, std::map<WorkspaceId, std::int64_t>& claimed) const
{
    if (termsOf(job).priority != 0)
        return false;
    std::int64_t need = 0;
    for (const auto& step : job.spec().steps)
        need = std::max(need, step.count * step.room.accelerators);
    auto& sum = claimed[job.record.workspace];
    sum += need;
    const auto workspace = m_config->workspaces.find(job.record.workspace);
    return workspace != m_config->workspaces.end() && sum <= workspace->second.guaranteedAccelerators;
}

// The step's place in the queue, and its tasks that may start; none when it has to wait.
std::optional<Owner::Impl::Ready> Owner::Impl::readyStep(
    Job& job, Occurrence& occurrence, std::size_t index) const
{
    auto& step = occurrence.steps[index];
    if (step.finished() || !occurrence.isReady(step) || (step.spec->gang && step.active > 0))
        return std::nullopt;
    Ready ready { &job, occurrence.number, static_cast<int>(index), {}, 0, false };
    for (int i = 0; i < step.spec->count; ++i) {
        const auto& task = step.tasks[static_cast<std::size_t>(i)];
        if (!task.done && task.worker.empty())
            ready.tasks.push_back(i);
    }
    if (ready.tasks.empty())
        return std::nullopt;
    return ready;
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
        const auto guaranteed = claims(*job, claimed);
        if (job->recovered && inDoubt())
            continue;
        const auto& terms = termsOf(*job);
        WaitingStep waiting { terms.priority, guaranteed, now() - job->arrived, {}, {}, terms.stretch,
            terms.objective, 0, m_history[job->record.route].meanWork, 0 };
        for (const auto& step : job->spec().steps) {
            waiting.work += workOf(*job, step) * step.count;
            waiting.chain += expectedTime(*job, step);
        }
        waiting.remaining = waiting.chain;
        for (auto& [number, occurrence] : job->occurrences) {
            waiting.remainingWork = 0;
            for (const auto& step : occurrence.steps)
                waiting.remainingWork += workOf(*job, *step.spec) * (step.spec->count - step.done);
            for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
                auto ready = readyStep(*job, occurrence, s);
                if (!ready)
                    continue;
                ready->guaranteed = guaranteed;
                ready->rank = rankOf(waiting);
                out.push_back(std::move(*ready));
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

/// What one pass has found out.
struct Owner::Impl::Pass {
    std::vector<WorkerView> fleet;
    std::vector<PlaceRequest> blocked; ///< Nothing as large fits anywhere.
    bool displaceable = false; ///< The views tell what may be displaced.
    int searches = 0;
};

void Owner::Impl::pass()
{
    m_passDue = false;
    m_nextPass = now() + passPause;
    if (!mayOrder())
        return;
    Pass pass;
    pass.fleet = views();
    for (const auto& ready : readySteps()) {
        if (ready.step().plan && runPlan(*ready.job, ready.occurrence, ready.index))
            continue;
        const auto placed = placeReady(ready, pass);
        if (placed == ready.tasks.size() || termsOf(*ready.job).priority > lastDisplacingPriority
            || pass.searches >= maxDisplacementSearches || termsOf(*ready.job).advice)
            continue;
        ++pass.searches;
        if (!std::exchange(pass.displaceable, true))
            addDisplaceable(pass.fleet);
        displaceFor(ready, pass.fleet);
    }
}

PlaceRequest Owner::Impl::requestFor(const Ready& ready) const
{
    const auto& step = ready.step();
    const auto& terms = termsOf(*ready.job);
    PlaceRequest request;
    request.spec = step.spec;
    request.service = terms.service;
    request.priority = terms.priority;
    request.count = static_cast<int>(ready.tasks.size());
    request.onWorker = &step.onWorker;
    request.costlyToStop = terms.priority > 0 && !step.spec->checkpointing;
    return request;
}

// Starts what fits now. Returns the number of tasks that were started.
std::size_t Owner::Impl::placeReady(const Ready& ready, Pass& pass)
{
    auto& step = ready.step();
    auto request = requestFor(ready);
    // An earlier run of a task may still have to be stopped on a worker.
    std::set<WorkerId> occupied;
    for (const auto& view : pass.fleet) {
        const auto& runs = findWorker(view.id)->runs;
        if (std::any_of(ready.tasks.begin(), ready.tasks.end(), [&](int index) {
                return runs.contains({ ready.job->id(), ready.occurrence, ready.index, index });
            }))
            occupied.insert(view.id);
    }
    auto avoid = occupied;
    for (const auto index : ready.tasks) {
        const auto& failedOn = step.tasks[static_cast<std::size_t>(index)].failedOn;
        avoid.insert(failedOn.begin(), failedOn.end());
    }
    const auto elsewhere = std::any_of(pass.fleet.begin(), pass.fleet.end(),
        [&](const WorkerView& view) { return couldRun(request, view) && !avoid.contains(view.id); });
    request.avoid = elsewhere ? &avoid : &occupied;
    std::set<WorkerId> advised;
    if (termsOf(*ready.job).advice) {
        if (!isAdvised(ready, request, pass.fleet))
            return 0;
        for (const auto& [id, ticket] : step.advice.tickets)
            advised.insert(id);
        request.allowed = &advised;
    }
    if (isBlocked(pass.blocked, request) && !ready.guaranteed)
        return 0;
    const auto placement = place(request, pass.fleet);
    const auto& spec = *step.spec;
    if (placement.empty() && spec.label.empty() && spec.rack.empty() && !spec.gang && spec.maxPerWorker == 0
        && avoid.empty() && !request.allowed)
        pass.blocked.push_back(request);
    startPlaced(ready, placement, pass.fleet);
    return placement.size();
}

void Owner::Impl::startPlaced(
    const Ready& ready, const Placement& placement, const std::vector<WorkerView>& fleet)
{
    auto& step = ready.step();
    const auto gap = ready.job->recovered ? runGapAfterTakeover : 1;
    const auto gangRun = Run { step.shared(0).lastRun.value + gap };
    for (std::size_t i = 0; i < placement.size(); ++i) {
        const auto index = ready.tasks[i];
        begin(*ready.job, { ready.job->id(), ready.occurrence, ready.index, index },
            *findWorker(fleet[placement[i]].id),
            step.spec->gang ? gangRun : Run { step.shared(index).lastRun.value + gap });
    }
}

// Whether the adviser has named workers for the step whose tickets are valid; asks it where not.
bool Owner::Impl::isAdvised(
    const Ready& ready, const PlaceRequest& request, const std::vector<WorkerView>& fleet)
{
    auto& advice = ready.step().advice;
    if (!advice.tickets.empty() && now() < advice.expires)
        return true;
    if (advice.asking || now() < advice.retryAt || !m_hooks.advise)
        return false;
    std::vector<WorkerId> asked;
    for (const auto& view : fleet) {
        const auto useful
            = advice.good.empty() ? !advice.named.contains(view.id) : advice.good.contains(view.id);
        if (useful && couldRun(request, view) && view.free.holds(request.spec->room)
            && asked.size() < maxAdvised)
            asked.push_back(view.id);
    }
    if (asked.empty()) {
        advice.named.clear(); // Room comes and goes: begin again with all.
        advice.good.clear();
        advice.retryAt = now() + advicePause;
        return false;
    }
    advice.asking = true;
    const TaskId step { ready.job->id(), ready.occurrence, ready.index, 0 };
    m_hooks.advise(step, asked, [this, self = m_self, step, asked](const AdviceAnswer& answer) {
        auto* job = *self ? findJob(step.job) : nullptr;
        auto* asking = job ? job->findStep(step) : nullptr;
        if (asking)
            advised(step, *asking, asked, answer);
    });
    return false;
}

void Owner::Impl::advised(
    const TaskId& id, Step& step, const std::vector<WorkerId>& asked, const AdviceAnswer& answer)
{
    auto& advice = step.advice;
    advice.asking = false;
    advice.retryAt = answer.answered ? now() : now() + advicePause;
    advice.expires = now() + answer.validity - adviceReserve;
    advice.tickets.clear();
    if (answer.answered)
        advice.named.insert(asked.begin(), asked.end());
    for (const auto& good : answer.good) {
        advice.tickets[good.worker] = good.ticket;
        advice.good.insert(good.worker);
    }
    m_hooks.log("advice",
        { { "id", id.job.str() }, { "step", id.step }, { "asked", asked.size() },
            { "good", answer.good.size() }, { "answered", answer.answered },
            { "validMs", answer.validity.count() } });
    soon();
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
    auto request = requestFor(ready);
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
        stopWhole(task, "more urgent work needs its room");
    }
    m_hooks.log(
        "displace", { { "id", ready.job->id().str() }, { "tasks", waiting.size() }, { "victims", victims } });
    step.plan = std::move(plan);
    return true;
}

// A gang stops as a whole, so that each member is saved.
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
    if (worker.runs.contains(id))
        return; // An earlier run is still to be stopped there; the next pass chooses anew.
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
    if (const auto ticket = step.advice.tickets.find(worker.id()); ticket != step.advice.tickets.end())
        run.ticket = ticket->second;
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
