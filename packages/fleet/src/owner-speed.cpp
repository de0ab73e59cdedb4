// Measures the rates of runs for the speeds of workers, and applies these to expected run times.
#include "pass.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace jujubereach::fleet {

namespace {

    // A list that arrives this much later than expected by the worker's clock is not used: over the shortest
    // time between two lists it changes a rate by half.
    constexpr Duration maxListDelay { 200 };
    // An end is reported at once. If no list has arrived for longer than a poll takes, its time is not known.
    constexpr Duration maxListAge { 2000 };
    constexpr Duration speedsSaveInterval { 5000 };
    constexpr double slowBelow = 0.9;
    constexpr double fastAbove = 1.1;

    double rounded(double value)
    {
        constexpr double parts = 1000;
        return std::round(value * parts) / parts;
    }

} // namespace

// A worker that has not answered yet runs the incarnation of its entry.
std::int64_t Owner::Impl::incarnationOf(const Worker& worker)
{
    return worker.incarnation != 0 ? worker.incarnation : worker.report.incarnation;
}

bool Owner::Impl::isDelayed(const Worker& worker, TimePoint at, const OrderAnswer& answer)
{
    return worker.clock.value > 0 && answer.incarnation == worker.incarnation
        && answer.clock.value + static_cast<std::uint64_t>(maxListDelay.count()) < worker.clockNow(at).value;
}

// Whether the rate of the run shows the speed of its worker, rather than that of a gang or a disturbance.
bool Owner::Impl::showsSpeed(const Worker& worker, const Step& step, const ActiveRun& run) const
{
    const auto& spec = *step.spec;
    const auto steady = !spec.gang && !spec.longRunning && !spec.bestEffort && spec.tailTarget.count() == 0;
    return steady && spec.count > 1 && (spec.rack.empty() || spec.rack == worker.report.rack)
        && run.checkpoint.empty() && !run.orphaned && worker.bestEffortRuns == 0
        && !worker.health.isQuarantined(now());
}

void Owner::Impl::measureRate(Worker& worker, ActiveRun& run, const Step& step, int percent)
{
    if (!m_settings.features.workerSpeed || worker.listLate)
        return;
    auto& rate = run.rate;
    rate.listedAt = now();
    if (!showsSpeed(worker, step, run))
        return discardRate(run);
    if (rate.basePercent < 0 && now() >= worker.coldUntil) {
        rate.basePercent = percent;
        rate.baseAt = now();
    }
    const auto observed = percent - rate.basePercent;
    if (rate.basePercent < 0 || observed < rate.usedPercent + minObservedPercent
        || now() - rate.baseAt < minObservedTime)
        return;
    observeRate(worker, run, observed, now() - rate.baseAt, true);
    rate.usedPercent = observed;
}

void Owner::Impl::measureEnd(const Worker& worker, const ActiveRun& run, const Step& step)
{
    const auto& rate = run.rate;
    m_speeds.markEnded(run.task);
    if (!m_settings.features.workerSpeed || worker.listLate || !showsSpeed(worker, step, run)
        || now() - std::max(rate.listedAt, run.runningSince) > maxListAge)
        return;
    const auto startKnown = run.startTimeKnown && !rate.disturbed && run.runningSince >= worker.coldUntil;
    const auto from = startKnown ? run.runningSince : rate.baseAt;
    const auto observed = startKnown ? 100 : 100 - rate.basePercent;
    if ((!startKnown && rate.basePercent < 0) || now() - from < minObservedTime)
        return;
    observeRate(worker, run, observed, now() - from, false);
}

void Owner::Impl::observeRate(
    const Worker& worker, const ActiveRun& run, int percent, Duration time, bool running)
{
    RateObservation observation;
    observation.worker = worker.id();
    observation.incarnation = incarnationOf(worker);
    observation.service = worker.report.service;
    observation.task = run.task;
    observation.rate = percent * 1000.0 / static_cast<double>(time.count());
    observation.observedPercent = percent;
    observation.refined = run.rate.usedPercent > 0;
    observation.running = running;
    m_speeds.observe(observation, now());
    if (run.rate.usedPercent == 0)
        count("jujubereach_speed_observed_runs_total", { { "service", worker.report.service.str() } });
}

void Owner::Impl::discardRate(ActiveRun& run)
{
    if (run.rate.usedPercent > 0)
        m_speeds.discard(run.task);
    run.rate.disturbed = true;
    run.rate.basePercent = -1;
    run.rate.usedPercent = 0;
}

void Owner::Impl::refitSpeeds()
{
    if (!m_settings.features.workerSpeed || !m_speeds.refit(now()))
        return;
    m_speedsFittedAt = now();
    for (auto& [id, worker] : m_workers) {
        worker.speedIncarnation = incarnationOf(worker);
        worker.speed = m_speeds.speedOf(id, worker.speedIncarnation);
        worker.speedDeviation = m_speeds.deviationOf(id, worker.speedIncarnation, worker.report.service);
    }
    for (const auto& service : m_speeds.services()) {
        const auto differ = m_speeds.differ(service);
        auto& logged = m_speedsDiffer[service];
        if (std::exchange(logged, differ) != differ)
            m_hooks.log("worker-speeds",
                { { "service", service.str() }, { "differ", differ },
                    { "varianceRatio", rounded(m_speeds.varianceRatio(service)) },
                    { "workers", m_speeds.workers() }, { "openRuns", m_speeds.observations() } });
    }
}

void Owner::Impl::restoreSpeeds(const std::string& value)
{
    if (!m_settings.features.workerSpeed)
        return;
    const auto readable = m_speeds.restoreState(value, now());
    m_hooks.log("speeds-restored",
        { { "readable", readable }, { "workers", m_speeds.workers() }, { "bytes", value.size() } });
}

// A write of its own: a value of this size must not make the write of job progress fail or wait. It is not
// repeated before the next interval.
void Owner::Impl::saveSpeedsIfDue()
{
    if (now() < m_nextSpeedsSave || !m_settings.features.workerSpeed || m_superseded || m_saveFailures > 0)
        return;
    m_nextSpeedsSave = now() + speedsSaveInterval;
    if (!m_speeds.stateChanged() && !m_speedsUnsaved)
        return;
    StoreWrite write;
    write.expected.push_back({ keys::owner, m_ownerKey });
    write.puts.push_back({ keys::speeds, m_speeds.encodeState(now()), {} });
    const auto bytes = write.puts.back().value.size();
    m_speedsUnsaved = true;
    m_hooks.write(std::move(write), [this, self = m_self, bytes](const StoreAnswer& answer) {
        if (!*self)
            return;
        m_speedsUnsaved = answer.fate != StoreFate::Done;
        m_hooks.log("speeds-saved", { { "fate", nameOf(answer.fate) }, { "bytes", bytes } });
    });
}

double Owner::Impl::speedOf(const Worker& worker) const
{
    return m_settings.features.workerSpeed && worker.speedIncarnation == incarnationOf(worker) ? worker.speed
                                                                                               : 1;
}

double Owner::Impl::cautiousSpeedOf(const Worker& worker) const
{
    if (!m_settings.features.workerSpeed)
        return 1;
    const auto incarnation = incarnationOf(worker);
    if (worker.speedIncarnation != incarnation) // New since the last fit.
        return std::exp(-m_speeds.deviationOf(worker.id(), incarnation, worker.report.service));
    return worker.speedDeviation > 0 ? worker.speed * std::exp(-worker.speedDeviation) : 1;
}

// Members leave the step one by one at its end, so the speed of a gang is that at its start.
double Owner::Impl::speedOfRun(const Worker& worker, const Step& step, const ActiveRun& run)
{
    if (run.gangSpeed > 0)
        return run.gangSpeed;
    auto speed = speedOf(worker);
    if (!step.spec->gang || !m_settings.features.workerSpeed || !m_speeds.differ(worker.report.service))
        return speed;
    for (const auto& [id, tasks] : step.onWorker) {
        if (const auto* member = findWorker(id))
            speed = std::min(speed, speedOf(*member));
    }
    return speed;
}

Duration Owner::Impl::expectedTimeAt(double speed, const Job& job, const StepSpec& step) const
{
    const auto time = expectedTime(job, step);
    return speed == 1 ? time : Duration(static_cast<std::int64_t>(static_cast<double>(time.count()) / speed));
}

void Owner::Impl::recordGangSpeed(
    const ReadyStep& ready, const Placement& placement, const std::vector<WorkerView>& fleet)
{
    if (!m_settings.features.workerSpeed || !m_speeds.differ(termsOf(*ready.job).service))
        return;
    auto slowest = std::numeric_limits<double>::infinity();
    for (const auto i : placement)
        slowest = std::min(slowest, fleet[i].speed);
    for (std::size_t i = 0; i < placement.size(); ++i) {
        auto& runs = findWorker(fleet[placement[i]].id)->runs;
        const auto run = runs.find({ ready.job->id(), ready.occurrence, ready.index, ready.tasks[i] });
        if (run != runs.end())
            run->second.gangSpeed = slowest;
    }
}

// Tells why a gang was placed where it was.
void Owner::Impl::logGangSpeed(
    const ReadyStep& ready, const Placement& placement, const std::vector<WorkerView>& fleet) const
{
    const auto& terms = termsOf(*ready.job);
    if (!ready.step().spec->gang || placement.empty() || !m_settings.features.workerSpeed
        || !m_speeds.differ(terms.service))
        return;
    const auto [slowest, fastest] = std::minmax_element(placement.begin(), placement.end(),
        [&](std::size_t a, std::size_t b) { return fleet[a].speed < fleet[b].speed; });
    const auto& view = fleet[*slowest];
    count("jujubereach_gangs_by_speed_total",
        { { "priority", std::to_string(terms.priority) },
            { "slowest",
                view.speed < slowBelow       ? "slow"
                    : view.speed > fastAbove ? "fast"
                                             : "mean" } });
    m_hooks.log("gang-speed",
        { { "id", ready.job->id().str() }, { "step", ready.index }, { "rack", view.rack },
            { "slowest", view.id.str() }, { "speed", rounded(view.speed) },
            { "deviation", rounded(m_workers.at(view.id).speedDeviation) },
            { "fastestSpeed", rounded(fleet[*fastest].speed) },
            { "ageMs", (now() - m_speedsFittedAt).count() } });
}

} // namespace jujubereach::fleet
