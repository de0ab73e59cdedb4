// Placement pass: places waiting steps in the order of their rank.
#include "pass.h"

#include "jujubereach/fleet/queue-order.h"

#include <algorithm>

namespace jujubereach::fleet {

namespace {

    constexpr Duration minPassInterval { 20 }; // Batches events that arrive together.
    // Longer passes are split, so that answers and lease renewals are not delayed.
    constexpr Duration maxPassTime { 20 };
    // Before a split pass continues: the event loop handles pending events.
    constexpr Duration slicePause { 2 };
    constexpr Duration preemptionInterval { 20 }; // Between searches, over all steps.
    // Steps may become placeable without an event: quarantines expire, racks are relaxed.
    constexpr Duration retryPassInterval { 500 };
    // While a plan awaits runs, which may last longer than expected.
    constexpr Duration awaitCheckInterval { 100 };
    constexpr double unprovenPenalty = 0.02; // Breaks ties in favour of workers that have completed a task.

    // Workers whose entries expired in a store outage re-register within this time.
    constexpr Duration minRackWait { 2000 };
    constexpr Duration searchInterval { 200 }; // Per step: a repeated search rarely succeeds sooner.
    constexpr int maxFeasibilityChecks = 8; // Per pass; bounds its time when many steps wait for racks.
    constexpr double idleShare = 0.5; // With this share of the capacity free, work that runs several times as
                                      // long delays no other work.
    constexpr Duration overdueAfter { 1000 }; // Most steps are placed sooner.

    constexpr int maxPreemptionSearches = 8; // Per pass; bounds its time when much urgent work waits.

} // namespace

Duration Owner::Impl::expectedTime(const Job& job, const StepSpec& step) const
{
    const auto found = m_history.find(job.record.route);
    const auto factor = found == m_history.end() ? 1 : found->second.timeFactor;
    return Duration(static_cast<std::int64_t>(static_cast<double>(step.estimate.count()) * factor));
}

double Owner::Impl::workOf(const Job& job, const StepSpec& step) const
{
    return coresOf(step.resources) * static_cast<double>(expectedTime(job, step).count()) / 1000;
}

// Whether the job fits into the guarantee of its workspace together with the workspace's earlier jobs.
bool Owner::Impl::isWithinGuarantee(const Job& job, std::map<WorkspaceId, std::int64_t>& claimed) const
{
    if (termsOf(job).priority != 0)
        return false;
    std::int64_t need = 0;
    for (const auto& step : job.spec().steps)
        need = std::max(need, step.count * step.resources.accelerators);
    auto& sum = claimed[job.record.workspace];
    sum += need;
    const auto workspace = m_config->workspaces.find(job.record.workspace);
    return workspace != m_config->workspaces.end() && sum <= workspace->second.guaranteedAccelerators;
}

// Returns the tasks of a step that are ready to start; none if it must wait. The rank is set by the caller.
std::optional<Owner::Impl::ReadyStep> Owner::Impl::readyStep(
    Job& job, Occurrence& occurrence, std::size_t index) const
{
    auto& step = occurrence.steps[index];
    if (step.finished() || !occurrence.isReady(step) || (step.spec->gang && step.active > 0))
        return std::nullopt;
    if (step.done + step.active >= step.spec->count) {
        step.waitingSince = {};
        return std::nullopt;
    }
    ReadyStep ready { &job, occurrence.number, static_cast<int>(index), {} };
    for (int i = 0; i < step.spec->count; ++i) {
        const auto& task = step.tasks[static_cast<std::size_t>(i)];
        const auto saved = isCrashSaved(job, task);
        if (!saved && step.spec->gang)
            return std::nullopt;
        const TaskId id { job.id(), occurrence.number, ready.index, i };
        const auto unseen = (job.recovered && mayRunUnseen(id)) || m_lateStarts.contains(id);
        if (unseen && step.spec->gang)
            return std::nullopt;
        if (!task.done && task.worker.empty() && !unseen && saved)
            ready.tasks.push_back(i);
    }
    if (ready.tasks.empty()) {
        step.waitingSince = {};
        return std::nullopt;
    }
    if (step.waitingSince == TimePoint {})
        step.waitingSince = now();
    return ready;
}

double Owner::Impl::rankInQueue(const Job& job, const Occurrence& occurrence, bool guaranteed) const
{
    const auto& terms = termsOf(job);
    const auto history = m_history.find(job.record.route);
    WaitingStep waiting;
    waiting.priority = terms.priority;
    waiting.guaranteed = guaranteed;
    waiting.age = now() - job.arrived;
    waiting.stretch = terms.stretch;
    waiting.objective = terms.objective;
    waiting.meanWork = history == m_history.end() ? 0 : history->second.meanWork;
    for (const auto& step : job.spec().steps) {
        waiting.work += workOf(job, step) * step.count;
        waiting.idealDuration += expectedTime(job, step);
    }
    waiting.remaining = waiting.idealDuration;
    for (const auto& step : occurrence.steps)
        waiting.remainingWork += workOf(job, *step.spec) * (step.spec->count - step.done);
    return rankOf(waiting, m_settings.order);
}

std::vector<Owner::Impl::ReadyStep> Owner::Impl::readySteps()
{
    std::vector<ReadyStep> out;
    std::map<WorkspaceId, std::int64_t> claimed;
    std::vector<Job*> jobs;
    for (const auto& id : m_open)
        jobs.push_back(&m_jobs.at(id));
    std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) { return a->arrived < b->arrived; });
    for (auto* job : jobs) {
        const auto guaranteed = isWithinGuarantee(*job, claimed);
        if (job->recovered && hasUnresolvedWorkers())
            continue;
        if (job->startUnresolved)
            resolveStarts(*job);
        if (isFinal(job->state))
            continue;
        for (auto& [number, occurrence] : job->occurrences) {
            std::optional<double> rank;
            for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
                auto ready = readyStep(*job, occurrence, s);
                if (!ready)
                    continue;
                ready->guaranteed = guaranteed;
                if (!rank)
                    rank = rankInQueue(*job, occurrence, guaranteed);
                ready->rank = *rank;
                for (auto& part : splitIsolated(std::move(*ready)))
                    out.push_back(std::move(part));
            }
        }
    }
    std::sort(out.begin(), out.end(), [](const ReadyStep& a, const ReadyStep& b) { return a.rank > b.rank; });
    return out;
}

bool Owner::Impl::acceptsTasks(const Worker& worker) const
{
    return worker.listed && worker.fenced && worker.isReportCurrent() && !worker.report.draining
        && worker.missedPolls == 0 && !isInClosedZone(worker);
}

bool Owner::Impl::couldRunOn(const Worker& worker, const Job& job, const StepSpec& step) const
{
    PlaceRequest request;
    request.spec = &step;
    request.service = termsOf(job).service;
    return couldRun(request, viewOf(worker));
}

WorkerView Owner::Impl::viewOf(const Worker& worker)
{
    WorkerView view;
    view.id = worker.report.id;
    view.service = worker.report.service;
    view.rack = worker.report.rack;
    view.labels = &worker.report.labels;
    view.capacity = worker.report.capacity;
    return view;
}

bool Owner::Impl::isUsable(const Worker& worker) const
{
    return acceptsTasks(worker) && !worker.health.isQuarantined(now());
}

void Owner::Impl::sortByRack()
{
    m_byRack.clear();
    for (auto& [id, worker] : m_workers) {
        if (isOpenInRoster(id))
            m_byRack.push_back(&worker);
    }
    std::stable_sort(m_byRack.begin(), m_byRack.end(),
        [](const Worker* a, const Worker* b) { return a->report.rack < b->report.rack; });
    m_byRackStale = false;
}

// Rebuilds the views only if the set of usable workers has changed; else refreshes what depends on runs.
void Owner::Impl::refreshFleet()
{
    const auto stale = m_byRackStale;
    if (stale)
        sortByRack();
    std::vector<Worker*> usable;
    usable.reserve(m_byRack.size());
    std::copy_if(m_byRack.begin(), m_byRack.end(), std::back_inserter(usable),
        [this](const Worker* worker) { return isUsable(*worker); });
    if (stale || usable != m_usable) {
        m_usable = std::move(usable);
        m_fleet.clear();
        m_separations.clear();
        std::size_t racks = 0;
        for (const auto* worker : m_usable) {
            auto view = viewOf(*worker);
            racks += !m_fleet.empty() && view.rack != m_fleet.back().rack;
            view.rackOrder = static_cast<double>(racks);
            m_fleet.push_back(std::move(view));
        }
        for (auto& view : m_fleet)
            view.rackOrder /= static_cast<double>(racks + 1);
    }
    dropExpiredPlans();
    const auto reserved = reservedByPlans();
    for (std::size_t i = 0; i < m_usable.size(); ++i) {
        const auto& worker = *m_usable[i];
        auto& view = m_fleet[i];
        view.free = worker.freeResources();
        const auto plans = reserved.find(worker.id());
        if (plans != reserved.end())
            view.free -= plans->second;
        view.failurePenalty
            = worker.health.consecutiveFailures + (worker.health.hasCompletedTask ? 0 : unprovenPenalty);
        view.speed = speedOf(worker);
        view.cautiousSpeed = cautiousSpeedOf(worker);
        view.reservedForUrgent = false;
        view.reservedBy = nullptr;
        view.latencySensitive = worker.latencySensitiveRuns > 0;
        view.bestEffort = worker.bestEffortRuns > 0;
        view.admitsBestEffort = view.latencySensitive && admitsBestEffort(worker);
        view.idleMilliCores = worker.idleMilliCores;
        view.idle = worker.runs.empty() && plans == reserved.end();
        view.isolated = worker.isIsolated(now());
        view.preemptible.clear();
    }
}

void Owner::Impl::pass()
{
    const auto begun = now();
    m_passDue = false;
    m_nextRetryPass = mayStart() ? TimePoint::max() : begun + retryPassInterval;
    m_nextPass = begun + minPassInterval;
    if (!mayStart())
        return;
    refitSpeeds();
    refreshFleet();
    refreshKnownPairs();
    Pass pass { m_fleet };
    pass.isolatedViews = static_cast<std::size_t>(
        std::count_if(m_fleet.begin(), m_fleet.end(), [](const WorkerView& view) { return view.isolated; }));
    auto waiting = readySteps();
    orderByShares(waiting);
    if (m_settings.order == QueueOrder::ByUtility) {
        reserveForUrgent(waiting);
        applyReservations(waiting, pass);
    }
    placeInOrder(waiting, pass);
    if (!m_passDue)
        moveHeldTasks(pass); // To what no waiting task has taken.
    m_nextPass = now() + (m_passDue ? slicePause : std::max(minPassInterval, now() - begun));
}

void Owner::Impl::placeInOrder(const std::vector<ReadyStep>& waiting, Pass& pass)
{
    const auto begun = now();
    const auto mayPreemptNow = begun >= m_nextPreemption;
    for (const auto& ready : waiting) {
        if (now() - begun > maxPassTime) {
            m_passDue = true;
            break;
        }
        if (executePlan(*ready.job, ready.occurrence, ready.index)) {
            if (awaitsEnds(ready))
                m_nextRetryPass = std::min(m_nextRetryPass, begun + awaitCheckInterval);
            continue;
        }
        const auto placed = placeReady(ready, pass);
        if (placed < ready.tasks.size())
            m_nextRetryPass = std::min(m_nextRetryPass, begun + retryPassInterval);
        if (placed == ready.tasks.size() || !mayPreemptNow || !mayPreempt(ready)
            || pass.preemptionSearches >= maxPreemptionSearches)
            continue;
        ++pass.preemptionSearches;
        m_nextPreemption = begun + preemptionInterval;
        if (!std::exchange(pass.preemptible, true))
            addPreemptionCandidates(pass.fleet);
        if (!preemptFor(ready, pass))
            ready.step().nextPreemption = now() + searchInterval;
        else if (awaitsEnds(ready))
            m_nextRetryPass = std::min(m_nextRetryPass, begun + awaitCheckInterval);
    }
}

bool Owner::Impl::mayPreempt(const ReadyStep& ready) const
{
    const auto& terms = termsOf(*ready.job);
    return (!ready.isolated || ready.mayShare) && terms.priority <= urgentPriority
        && (ready.guaranteed || m_settings.order == QueueOrder::ByUtility)
        && now() >= ready.step().nextPreemption;
}

void Owner::Impl::reserveForUrgent(const std::vector<ReadyStep>& waiting)
{
    std::map<ServiceId, Resources> urgent;
    for (const auto& [id, worker] : m_workers) {
        if (worker.urgent != Resources {})
            urgent[worker.report.service] += worker.urgent;
    }
    for (const auto& ready : waiting) {
        const auto& terms = termsOf(*ready.job);
        for (std::size_t i = 0; terms.priority <= urgentPriority && i < ready.tasks.size(); ++i)
            urgent[terms.service] += ready.step().spec->resources;
    }
    for (const auto& [service, reserve] : m_reserves)
        urgent[service]; // Records zero demand for services without urgent work.
    for (const auto& [service, resources] : urgent) {
        auto& reserve = m_reserves[service];
        reserve.recordDemand(now(), shareOf(resources, service, m_fleet));
        reserveRacks(service, reserve.share(), m_fleet);
    }
}

PlaceRequest Owner::Impl::requestFor(const ReadyStep& ready, Pass& pass)
{
    const auto& step = ready.step();
    const auto& terms = termsOf(*ready.job);
    PlaceRequest request;
    request.spec = step.spec;
    request.service = terms.service;
    request.priority = terms.priority;
    request.rank = ready.rank;
    request.count = static_cast<int>(ready.tasks.size());
    request.onWorker = &step.onWorker;
    request.step = &step;
    request.expectedTime = expectedTime(*ready.job, *step.spec);
    request.expectedEnd = now() + request.expectedTime;
    request.isolated = ready.isolated;
    request.overdue = isOverdue(ready, pass) && needsReservation(request, pass.fleet);
    request.costlyToStop = terms.priority > 0 && !step.spec->checkpointing;
    request.mayShare = mayPace();
    request.separation = separationFor(ready);
    return request;
}

bool Owner::Impl::isHalfIdle(const ServiceId& service, Pass& pass) const
{
    const auto [found, isNew] = pass.halfIdle.try_emplace(service, false);
    if (isNew)
        found->second = freeShare(service, pass.fleet) > idleShare;
    return found->second;
}

// Racks reserved for urgent work must not keep gangs waiting while half of the fleet is idle.
bool Owner::Impl::isOverdue(const ReadyStep& ready, Pass& pass) const
{
    const auto waited = now() - ready.step().waitingSince;
    return waited >= overdueAfter && isHalfIdle(termsOf(*ready.job).service, pass);
}

std::set<WorkerId> Owner::Impl::workersWithEarlierRuns(
    const ReadyStep& ready, const std::vector<WorkerView>& fleet)
{
    std::vector<TaskId> started;
    for (const auto index : ready.tasks) {
        if (ready.step().shared(index).lastRun.value > 0)
            started.push_back({ ready.job->id(), ready.occurrence, ready.index, index });
    }
    std::set<WorkerId> out;
    if (started.empty())
        return out;
    // Shortcut: usually all runs of the job belong to active tasks.
    int active = 0;
    for (const auto& [number, occurrence] : ready.job->occurrences) {
        for (const auto& step : occurrence.steps)
            active += step.active;
    }
    const auto runs = m_runsOf.find(ready.job->id());
    if (runs == m_runsOf.end() || runs->second <= active)
        return out;
    for (const auto& view : fleet) {
        const auto& present = findWorker(view.id)->runs;
        if (std::any_of(
                started.begin(), started.end(), [&](const TaskId& task) { return present.contains(task); }))
            out.insert(view.id);
    }
    return out;
}

// Off its preferred rack or across racks, a step takes several times as long. That is acceptable if the step
// would not fit even an empty rack, or if it has already waited as long in a half-idle fleet.
bool Owner::Impl::mayRelaxRack(const ReadyStep& ready, const PlaceRequest& request, Pass& pass) const
{
    const auto& spec = *ready.step().spec;
    const auto waited = now() - std::max(ready.step().waitingSince, m_tookOverAt);
    if ((spec.rack.empty() && !(spec.gang && spec.sameRack)) || waited < minRackWait)
        return false;
    const auto expected = static_cast<double>(expectedTime(*ready.job, spec).count());
    if (static_cast<double>(waited.count()) >= expected * (m_settings.remoteFactor - 1)
        && isHalfIdle(request.service, pass))
        return true;
    if (now() < ready.step().nextFeasibilityCheck || ++pass.feasibilityChecks > maxFeasibilityChecks)
        return false;
    ready.step().nextFeasibilityCheck = now() + searchInterval;
    return !fitsEmptyFleet(request, pass.fleet);
}

// Starts the tasks that fit now and returns their number.
std::size_t Owner::Impl::placeReady(const ReadyStep& ready, Pass& pass)
{
    const auto placed = placeTasks(ready, pass);
    if (!ready.mayShare || placed == ready.tasks.size())
        return placed;
    auto rest = ready;
    rest.isolated = rest.mayShare = false;
    rest.tasks.erase(rest.tasks.begin(), rest.tasks.begin() + static_cast<std::ptrdiff_t>(placed));
    return placed + placeTasks(rest, pass);
}

// Workers where the tasks have failed and, for suspects, where workers have crashed.
std::set<WorkerId> Owner::Impl::workersToAvoid(const ReadyStep& ready, Pass& pass) const
{
    std::set<WorkerId> avoid;
    for (const auto index : ready.tasks) {
        const auto& failedOn = ready.step().tasks[static_cast<std::size_t>(index)].failedOn;
        avoid.insert(failedOn.begin(), failedOn.end());
    }
    if (!ready.isolated)
        return avoid;
    if (!pass.crashSites)
        pass.crashSites = workersAtCrashSites();
    avoid.insert(pass.crashSites->begin(), pass.crashSites->end());
    return avoid;
}

// Sets `anyRack` of the request if the step may leave its rack.
Placement Owner::Impl::findPlacement(const ReadyStep& ready, PlaceRequest& request, Pass& pass)
{
    const auto search = [&] {
        if (!ready.step().reservation && pass.unplaced.covers(request))
            return Placement {};
        auto found = place(request, pass.fleet);
        if (found.empty())
            pass.unplaced.add(request);
        return found;
    };
    auto placement = search();
    auto unadvised = request; // Workers without advice count as well.
    unadvised.allowed = nullptr;
    if (!placement.empty() || !mayRelaxRack(ready, unadvised, pass))
        return placement;
    request.anyRack = true;
    placement = search();
    if (!placement.empty())
        m_hooks.log("rack-given-up",
            { { "id", ready.job->id().str() }, { "step", ready.index }, { "rack", ready.step().spec->rack },
                { "waitedMs", (now() - ready.step().waitingSince).count() } });
    return placement;
}

std::size_t Owner::Impl::placeTasks(const ReadyStep& ready, Pass& pass)
{
    auto& step = ready.step();
    auto request = requestFor(ready, pass);
    if (ready.isolated)
        limitIsolated(ready, request, pass);
    if (request.count == 0)
        return 0;
    // A worker may still have an earlier run of the task that must be stopped first.
    auto excluded = workersWithEarlierRuns(ready, pass.fleet);
    AdvisedWorkers advised;
    if (termsOf(*ready.job).advice) {
        advised = advisedWorkers(step);
        excluded.insert(advised.denied.begin(), advised.denied.end());
    }
    auto avoid = workersToAvoid(ready, pass);
    avoid.insert(excluded.begin(), excluded.end());
    const auto elsewhere = avoid.size() > excluded.size()
        && std::any_of(pass.fleet.begin(), pass.fleet.end(),
            [&](const WorkerView& view) { return couldRun(request, view) && !avoid.contains(view.id); });
    request.avoid = elsewhere ? &avoid : &excluded;
    if (termsOf(*ready.job).advice)
        request.allowed = &advised.ticketed;
    const auto placement = findPlacement(ready, request, pass);
    if (placement.empty()) {
        if (request.allowed)
            request.allowed = &advised.approved;
        if (!ready.mayShare)
            reserveFor(ready, request, pass);
    } else if (step.reservation && step.reservation->isolated == ready.isolated)
        step.reservation.reset();
    if (ready.isolated)
        pass.isolatedViews += placement.size();
    startPlaced(ready, placement, pass.fleet);
    if (request.separation)
        logKeptApart(ready, request, placement);
    request.count -= static_cast<int>(placement.size());
    if (request.allowed && request.count > 0) {
        request.allowed = nullptr;
        askForAdvice(ready, request, pass.fleet);
    }
    return placement.size();
}

void Owner::Impl::startPlaced(
    const ReadyStep& ready, const Placement& placement, const std::vector<WorkerView>& fleet)
{
    auto& step = ready.step();
    const auto gap = ready.job->recovered ? runGapAfterTakeover : 1;
    const auto gangRun = Run { step.shared(0).lastRun.value + gap };
    logGangSpeed(ready, placement, fleet);
    for (std::size_t i = 0; i < placement.size(); ++i) {
        const auto index = ready.tasks[i];
        begin(*ready.job, { ready.job->id(), ready.occurrence, ready.index, index },
            *findWorker(fleet[placement[i]].id),
            step.spec->gang ? gangRun : Run { step.shared(index).lastRun.value + gap }, ready.isolated);
    }
    if (step.spec->gang)
        recordGangSpeed(ready, placement, fleet);
}

void Owner::Impl::addRun(Worker& worker, ActiveRun run)
{
    ++m_runsOf[run.task.job];
    worker.addRun(std::move(run));
}

void Owner::Impl::removeRun(Worker& worker, const TaskId& task)
{
    if (!worker.runs.contains(task))
        return;
    if (const auto runs = m_runsOf.find(task.job); --runs->second == 0)
        m_runsOf.erase(runs);
    worker.removeRun(task);
}

void Owner::Impl::begin(Job& job, const TaskId& id, Worker& worker, Run number, bool isolated)
{
    auto& step = *job.findStep(id);
    auto& task = step.tasks[static_cast<std::size_t>(id.index)];
    // An earlier run is still stopping there, or a plan of this pass has started the task; the next pass
    // chooses again.
    if (worker.runs.contains(id) || !task.isWaiting() || m_lateStarts.contains(id))
        return;
    task.worker = worker.id();
    task.lastRun = number;
    step.shared(id.index).lastRun = number;
    ++step.active;
    // Each task of a step would otherwise start a wait of its own.
    if (step.active + step.done >= step.spec->count)
        step.awaitsSince = {};
    ++step.onWorker[worker.id()];
    ActiveRun run;
    run.task = id;
    run.run = number;
    setClass(job, *step.spec, run);
    run.orderedAt = now();
    run.runningSince = now();
    run.progressAt = now();
    run.checkpoint = step.shared(id.index).checkpoint;
    if (task.crashes.crashes > 0)
        beginProbation(task, run, isolated);
    task.start = { worker.id(), worker.incarnation, false, false };
    if (const auto advice = step.advice.workers.find(worker.id()); advice != step.advice.workers.end())
        run.ticket = advice->second.ticket;
    addRun(worker, run);
    if (run.bestEffort)
        worker.bestEffortStartedAt = now();
    m_hooks.log("start",
        { { "task", toString(id) }, { "run", number.value }, { "worker", worker.id().str() },
            { "rack", worker.report.rack }, { "priority", run.priority },
            { "waitedMs", (now() - job.arrived).count() }, { "resumes", !run.checkpoint.empty() } });
    job.lastStart = now();
    if (job.starts++ == 0)
        job.firstStart = job.lastStart;
    countStart(job);
    startCall(worker, worker.runs.at(id));
    if (job.state == JobState::Queued)
        job.state = JobState::Running;
    markChanged(job); // A successor learns of the start. The start does not wait for the store.
}

} // namespace jujubereach::fleet
