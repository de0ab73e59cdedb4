#include "jujubereach/fleet/worker-speed.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace jujubereach::fleet {

namespace {

    constexpr Duration fitInterval { 500 }; // A run shows a new rate no sooner.
    // Longer than the time between two observations of a run of a few minutes.
    constexpr Duration stepTimeout { 30'000 };
    constexpr std::size_t maxWorkers = 12'000;
    constexpr std::size_t maxObservations = 12'000; // Bounds memory and the cost of a fit.
    constexpr int maxStepRuns = 256; // A larger step is fitted in parts of this many indices.
    // A factor of two in either direction: more is the task or a fault, not the worker.
    constexpr double maxResidual = 0.7;
    // Variance added by percentages in whole numbers and by the age of lists, relative to the scatter of run
    // times, for the shortest part of a run that is measured.
    constexpr double measurementVariance = 0.25;
    // Evidence beyond this weight replaces earlier evidence, because speeds may drift.
    constexpr double maxWeight = 50;
    constexpr double minFreedom = 10; // With less, the variance within workers is not known.
    // Standard normal scores. The first is high because the test is repeated at each fit.
    constexpr double differsAbove = 4;
    constexpr double differsNoLongerBelow = 2;

    constexpr double notableChange = 0.05; // About the error of a well known speed.
    constexpr Duration maxRowAge { 600'000 }; // The worker has left, most likely.
    // Units of stored numbers.
    constexpr double meanUnits = 1000;
    constexpr double weightUnits = 10;
    constexpr double noiseUnits = 1e6;

    double clamped(double residual)
    {
        return std::clamp(residual, -maxResidual, maxResidual);
    }

    // Score of an F ratio under the hypothesis of equal variances, by Paulson's approximation.
    double normalScore(double ratio, double freedom1, double freedom2)
    {
        const auto root = std::cbrt(ratio);
        const auto a = 2 / (9 * freedom1);
        const auto b = 2 / (9 * freedom2);
        return ((1 - b) * root - (1 - a)) / std::sqrt(b * root * root + a);
    }

    // First task of the part of the step that is fitted together. Parts are fixed, so that a refined rate
    // replaces the earlier one of its run.
    TaskId stepOf(TaskId task)
    {
        task.index -= task.index % maxStepRuns;
        return task;
    }

} // namespace

SpeedEvidence& SpeedEvidence::operator+=(const SpeedEvidence& other)
{
    weight += other.weight;
    sum += other.sum;
    squares += other.squares;
    return *this;
}

void WorkerSpeeds::observe(const RateObservation& observation, TimePoint now)
{
    if (observation.rate <= 0 || observation.observedPercent < minObservedPercent)
        return;
    auto* row = rowOf(observation);
    if (!row)
        return;
    row->observedAt = now;
    auto& step = m_steps[stepOf(observation.task)];
    step.observedAt = now;
    const auto shortness = minObservedPercent / observation.observedPercent;
    const StepRun run { row, observation.task.index, std::log(observation.rate),
        1 / (1 + measurementVariance * shortness * shortness), observation.running };
    const auto known = std::find_if(step.runs.begin(), step.runs.end(),
        [&](const StepRun& other) { return other.index == observation.task.index; });
    if (known != step.runs.end()) {
        m_changed = true;
        *known = run;
    } else if (!observation.refined) {
        m_changed = true;
        step.runs.push_back(run);
        ++m_observations;
    }
}

void WorkerSpeeds::markEnded(const TaskId& task)
{
    const auto found = m_steps.find(stepOf(task));
    if (found == m_steps.end())
        return;
    for (auto& run : found->second.runs) {
        if (run.index == task.index)
            run.running = false;
    }
}

void WorkerSpeeds::discard(const TaskId& task)
{
    const auto found = m_steps.find(stepOf(task));
    if (found == m_steps.end())
        return;
    const auto removed
        = std::erase_if(found->second.runs, [&](const StepRun& run) { return run.index == task.index; });
    m_observations -= removed;
    m_changed = m_changed || removed > 0;
}

// Null for an incarnation that has ended.
WorkerSpeeds::Row* WorkerSpeeds::rowOf(const RateObservation& observation)
{
    if (m_workers.size() >= maxWorkers && !m_workers.contains(observation.worker))
        evictWorkers();
    auto& row = m_workers[observation.worker];
    if (observation.incarnation < row.incarnation)
        return nullptr;
    if (observation.incarnation > row.incarnation || observation.service != row.service) {
        dropRuns(row);
        row = {};
        row.incarnation = observation.incarnation;
        row.service = observation.service;
    }
    return &row;
}

const WorkerSpeeds::Row* WorkerSpeeds::findRow(const WorkerId& worker, std::int64_t incarnation) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() || found->second.incarnation != incarnation ? nullptr : &found->second;
}

void WorkerSpeeds::dropRuns(const Row& row)
{
    for (auto& [task, step] : m_steps)
        m_observations -= std::erase_if(step.runs, [&](const StepRun& run) { return run.row == &row; });
}

// Drops the half of the workers that were observed least recently; they have left, most likely.
void WorkerSpeeds::evictWorkers()
{
    std::vector<TimePoint> times;
    for (const auto& [id, row] : m_workers)
        times.push_back(row.observedAt);
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    for (auto& [task, step] : m_steps)
        m_observations
            -= std::erase_if(step.runs, [&](const StepRun& run) { return run.row->observedAt <= *middle; });
    std::erase_if(m_workers, [&](const auto& entry) { return entry.second.observedAt <= *middle; });
}

// Closes steps without recent observations and, above the limit on observations, the oldest ones. Runs that
// have not ended add no evidence then: their later rates are almost the same value, and counted several times
// they would lower the variance within workers.
void WorkerSpeeds::closeSteps(TimePoint now)
{
    auto limit = now - stepTimeout;
    auto runningLimit = now - maxRowAge;
    if (m_observations > maxObservations) {
        std::vector<TimePoint> times;
        for (const auto& [task, step] : m_steps)
            times.push_back(step.observedAt);
        const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
        std::nth_element(times.begin(), middle, times.end());
        limit = std::max(limit, *middle);
        runningLimit = std::max(runningLimit, *middle);
    }
    std::erase_if(m_steps, [&](const auto& entry) {
        const auto& step = entry.second;
        const auto running
            = std::any_of(step.runs.begin(), step.runs.end(), [](const StepRun& run) { return run.running; });
        if (step.observedAt > (running ? runningLimit : limit))
            return false;
        addResiduals(step, &Row::closed, Runs::Ended);
        m_observations -= step.runs.size();
        return true;
    });
}

// Adds the residuals of the runs to the evidence on their workers. The mean of a step shows nothing about a
// worker that has run most of it, so the weight falls with the worker's share of the step. The error of the
// mean is common to all runs of a worker, so it limits what they show together.
void WorkerSpeeds::addResiduals(const OpenStep& step, SpeedEvidence Row::*to, Runs which)
{
    double total = 0;
    double mean = 0;
    for (const auto& run : step.runs) {
        run.row->share += run.weight;
        total += run.weight;
        mean += run.weight * (run.logRate - run.row->logSpeed);
    }
    if (total <= 0)
        return;
    mean /= total;
    double correction = 0; // Limits the influence of tasks that are much longer than the others.
    for (const auto& run : step.runs)
        correction += run.weight * clamped(run.logRate - run.row->logSpeed - mean);
    mean += correction / total;
    double meanError = 0; // Variance of the mean, relative to that of the noise.
    for (const auto& run : step.runs)
        meanError += run.weight * (1 + run.row->share * run.row->uncertainty) / (total * total);
    for (const auto& run : step.runs) {
        if (run.running && which == Runs::Ended)
            continue;
        const auto residual = clamped(run.logRate - mean);
        const auto weight = run.weight * (1 - run.row->share / total) / (1 + run.row->share * meanError);
        run.row->*to += { weight, weight * residual, weight * residual * residual };
    }
    for (const auto& run : step.runs)
        run.row->share = 0;
}

bool WorkerSpeeds::refit(TimePoint now)
{
    if (!m_changed || now < m_nextFit)
        return false;
    m_nextFit = now + fitInterval;
    m_changed = false;
    closeSteps(now);
    for (auto& [id, row] : m_workers) {
        if (const auto excess = row.closed.weight / maxWeight; excess > 1) {
            row.closed.weight /= excess;
            row.closed.sum /= excess;
            row.closed.squares /= excess;
        }
        row.all = row.closed;
    }
    for (auto& [task, step] : m_steps)
        addResiduals(step, &Row::all, Runs::All);
    estimateVariances();
    for (auto& [id, row] : m_workers) {
        const auto& service = m_services[row.service];
        if (service.differs)
            row.uncertainty = 1 / (service.noise / service.spread + row.all.weight);
        row.logSpeed = service.differs ? row.all.sum / (row.all.weight + service.noise / service.spread) : 0;
    }
    return true;
}

void WorkerSpeeds::estimateVariances()
{
    struct Sums {
        SpeedEvidence all;
        double between = 0;
        double squaredWeights = 0;
        double groups = 0;
    };
    std::map<ServiceId, Sums> sums;
    for (const auto& [id, row] : m_workers) {
        if (row.all.weight <= 0)
            continue;
        auto& sum = sums[row.service];
        sum.all += row.all;
        sum.between += row.all.sum * row.all.mean();
        sum.squaredWeights += row.all.weight * row.all.weight;
        ++sum.groups;
    }
    for (const auto& [id, sum] : sums) {
        auto& service = m_services[id];
        const auto freedom = sum.all.weight - sum.groups;
        if (sum.groups < 2 || freedom < minFreedom) {
            service = {};
            continue;
        }
        const auto within = std::max(1e-9, (sum.all.squares - sum.between) / freedom);
        const auto between = (sum.between - sum.all.sum * sum.all.mean()) / (sum.groups - 1);
        const auto perWorker = (sum.all.weight - sum.squaredWeights / sum.all.weight) / (sum.groups - 1);
        service.noise = within;
        service.ratio = between / within;
        service.spread = (between - within) / perWorker;
        const auto score = normalScore(service.ratio, sum.groups - 1, freedom);
        service.differs
            = service.spread > 0 && score > (service.differs ? differsNoLongerBelow : differsAbove);
    }
}

bool WorkerSpeeds::stateChanged() const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [](const auto& entry) {
        return std::abs(entry.second.logSpeed - entry.second.storedLogSpeed) > notableChange;
    });
}

// An array of two arrays: services as [id, noise] and workers as [id, index of the service, incarnation,
// mean, weight].
std::string WorkerSpeeds::encodeState(TimePoint now)
{
    boost::json::array services;
    std::map<ServiceId, std::size_t> indices;
    for (const auto& [id, service] : m_services) {
        if (std::llround(service.noise * noiseUnits) == 0)
            continue; // Not known yet.
        indices[id] = services.size();
        services.push_back(boost::json::array { id.str(), std::llround(service.noise * noiseUnits) });
    }
    std::vector<std::pair<double, const WorkerId*>> order;
    for (auto& [id, row] : m_workers) {
        row.storedLogSpeed = row.logSpeed;
        if (row.all.weight > 0 && now - row.observedAt < maxRowAge && indices.contains(row.service))
            order.emplace_back(-row.all.weight, &id);
    }
    std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
        return std::tie(a.first, *a.second) < std::tie(b.first, *b.second);
    });
    auto out = '[' + boost::json::serialize(services) + ",[";
    const auto begin = out.size();
    for (const auto& [weight, id] : order) {
        const auto& row = m_workers.at(*id);
        const auto text
            = boost::json::serialize(boost::json::array { id->str(), indices.at(row.service), row.incarnation,
                std::llround(row.all.mean() * meanUnits), std::llround(row.all.weight * weightUnits) });
        constexpr std::size_t punctuation = 3;
        if (out.size() + text.size() + punctuation > maxSpeedStateBytes)
            break;
        out += (out.size() > begin ? "," : "") + text;
    }
    return out + "]]";
}

std::vector<WorkerSpeeds::StoredRow> WorkerSpeeds::decodeState(const std::string& value)
{
    const auto parsed = boost::json::parse(value);
    const auto& services = parsed.as_array().at(0).as_array();
    std::vector<StoredRow> rows;
    for (const auto& item : parsed.as_array().at(1).as_array()) {
        const auto& in = item.as_array();
        const auto& service = services.at(in.at(1).to_number<std::size_t>()).as_array();
        StoredRow row { WorkerId(std::string(in.at(0).as_string())),
            ServiceId(std::string(service.at(0).as_string())), in.at(2).to_number<std::int64_t>(),
            clamped(in.at(3).to_number<double>() / meanUnits),
            std::clamp(in.at(4).to_number<double>() / weightUnits, 0.0, maxWeight),
            std::clamp(service.at(1).to_number<double>() / noiseUnits, 0.0, 1.0) };
        if (row.noise > 0)
            rows.push_back(std::move(row));
    }
    return rows;
}

bool WorkerSpeeds::restoreState(const std::string& value, TimePoint now)
{
    if (value.size() > maxSpeedStateBytes)
        return false;
    try {
        for (const auto& stored : decodeState(value))
            restoreRow(stored, now);
    } catch (const std::exception&) {
        return false; // The caller logs it.
    }
    m_changed = true;
    return true;
}

void WorkerSpeeds::restoreRow(const StoredRow& stored, TimePoint now)
{
    RateObservation observation;
    observation.worker = stored.worker;
    observation.incarnation = stored.incarnation;
    observation.service = stored.service;
    auto* row = rowOf(observation);
    if (!row || row->closed.weight >= stored.weight)
        return;
    row->observedAt = now;
    row->closed = { stored.weight, stored.weight * stored.mean,
        stored.weight * stored.mean * stored.mean + std::max(0.0, stored.weight - 1) * stored.noise };
}

double WorkerSpeeds::speedOf(const WorkerId& worker, std::int64_t incarnation) const
{
    const auto* row = findRow(worker, incarnation);
    return row && row->logSpeed != 0 ? std::exp(row->logSpeed) : 1;
}

double WorkerSpeeds::deviationOf(
    const WorkerId& worker, std::int64_t incarnation, const ServiceId& service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !found->second.differs)
        return 0;
    const auto* row = findRow(worker, incarnation);
    const auto weight = row && row->service == service ? row->all.weight : 0;
    return std::sqrt(1 / (1 / found->second.spread + weight / found->second.noise));
}

bool WorkerSpeeds::differ(const ServiceId& service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.differs;
}

double WorkerSpeeds::varianceRatio(const ServiceId& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.ratio;
}

std::vector<ServiceId> WorkerSpeeds::services() const
{
    std::vector<ServiceId> out;
    for (const auto& [id, service] : m_services)
        out.push_back(id);
    return out;
}

} // namespace jujubereach::fleet
