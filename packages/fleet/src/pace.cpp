#include "jujubereach/fleet/pace.h"

#include <algorithm>

namespace jujubereach::fleet {

namespace {

    constexpr int raiseStep = 10; // Percent points for each list.
    constexpr int leastPace = 10; // A smaller pace is set to 0, so that halving ends after four lists.
    constexpr double largeHeadroomShare = 0.5; // Below it, all kinds are raised together.
    constexpr Duration testTime { 1000 }; // At pace 0; the last tail then covers only this time.
    constexpr Duration longAtZero { 10'000 };
    // Lists may come in quick succession when runs end; their tails cover the same time.
    constexpr Duration minChangeInterval { 400 };

    // Shares of the bound on the time over the target. The worst case is a list just before the tail exceeds
    // its target and a lost call: 1/2 bound + 500 ms until the next list + 800 ms until the call is repeated.
    constexpr double allAtZeroShare = 0.375;
    constexpr double clearedShare = 0.5; // The test at pace 0 and a list must fit into the rest.
    constexpr double stopShare = 0.7; // The worker has confirmed no pace until then.

    Duration partOf(Duration bound, double share)
    {
        return Duration(static_cast<std::int64_t>(static_cast<double>(bound.count()) * share));
    }

    int halved(int percent)
    {
        return percent / 2 < leastPace ? 0 : percent / 2;
    }

    bool isLowered(const PacedTask& task)
    {
        return !task.known || task.percent < fullPace;
    }

    bool canLower(const PacedTask& task)
    {
        return task.percent > 0 && ((task.known && isLowered(task)) || task.mayReduce);
    }

    // The task that is known to slow the affected kind down most at its present pace; null if none is known.
    const PacedTask* largestSource(
        TaskKind affected, const std::vector<PacedTask>& tasks, const InterferenceModel& model, TimePoint now)
    {
        const PacedTask* largest = nullptr;
        auto most = 0.0;
        for (const auto& task : tasks) {
            const auto effect = model.effectOf(affected, task.kind, now).mean * task.percent;
            if (effect > most && canLower(task) && model.isKnown(affected, task.kind, now)) {
                largest = &task;
                most = effect;
            }
        }
        return largest;
    }

} // namespace

const char* nameOf(PaceReason reason)
{
    switch (reason) {
    case PaceReason::Pressure:
        return "pressure";
    case PaceReason::Headroom:
        return "headroom";
    case PaceReason::Exchange:
        return "exchange";
    case PaceReason::NotTheCause:
        return "not-the-cause";
    case PaceReason::NoTarget:
        return "no-target";
    case PaceReason::TooLong:
        return "too-long";
    case PaceReason::MissAllowed:
        return "miss-allowed";
    case PaceReason::CannotPace:
        return "cannot-pace";
    }
    return "unknown";
}

double pressureOf(const TailReading& reading)
{
    return reading.target.count() > 0
        ? static_cast<double>(reading.tail.count()) / static_cast<double>(reading.target.count())
        : 0;
}

std::vector<PaceDecision> PaceController::decide(const WorkerId& worker,
    const std::vector<TailReading>& tails, const std::vector<PacedTask>& tasks, InterferenceModel& model,
    TimePoint now)
{
    std::vector<PaceDecision> out;
    if (tails.empty() || tasks.empty()) {
        m_workers.erase(worker);
        for (const auto& task : tasks) {
            if (isLowered(task))
                out.push_back({ task.task, fullPace, false, PaceReason::NoTarget });
        }
        return out;
    }
    auto& state = m_workers[worker];
    const auto worst = *std::max_element(tails.begin(), tails.end(),
        [](const TailReading& a, const TailReading& b) { return pressureOf(a) < pressureOf(b); });
    const auto pressure = pressureOf(worst);
    if (pressure <= 1) {
        state.overSince = state.clearedUntil = {};
        state.wasCleared = false;
    } else if (state.overSince == TimePoint {})
        state.overSince = now;
    const auto isUnknown
        = std::any_of(tasks.begin(), tasks.end(), [](const PacedTask& task) { return !task.known; });
    if (!isUnknown && now - state.changedAt < minChangeInterval)
        return out;
    if (pressure > pressureShare)
        return lower(state, worst, tasks, model, now);
    if (pressure < headroomShare || isUnknown)
        return raise(state, worst, tasks, model, now);
    return settle(state, worst, tasks, model, now);
}

std::vector<PaceDecision> PaceController::lower(State& state, const TailReading& worst,
    const std::vector<PacedTask>& tasks, InterferenceModel& model, TimePoint now) const
{
    std::vector<PaceDecision> out;
    const auto isOver = state.overSince != TimePoint {};
    const auto overFor = isOver ? now - state.overSince : Duration(0);
    if (isOver && now < state.clearedUntil)
        return raise(state, worst, tasks, model, now);
    const auto atZero = std::all_of(tasks.begin(), tasks.end(), [now](const PacedTask& task) {
        return task.percent == 0 && task.settledAt && now - *task.settledAt >= testTime;
    });
    if (isOver && atZero)
        return restore(state, worst, tasks, model, now);
    const auto atOnce = overFor >= partOf(m_bound, allAtZeroShare) || state.wasCleared;
    const auto* largest = largestSource(worst.kind, tasks, model, now);
    for (const auto& task : tasks) {
        if (overFor >= partOf(m_bound, stopShare) && task.percent == 0 && !task.settledAt) {
            out.push_back({ task.task, 0, true, PaceReason::CannotPace });
            continue;
        }
        if (task.percent == 0 && task.settledAt && now - *task.settledAt >= longAtZero) {
            out.push_back({ task.task, 0, true, PaceReason::TooLong });
            continue;
        }
        if (!task.known && !task.mayReduce) {
            out.push_back({ task.task, fullPace, false, PaceReason::MissAllowed });
            continue;
        }
        if (!canLower(task) || (largest && !atOnce && &task != largest))
            continue;
        // An earlier owner may have seen the tail over its target for most of the bound.
        const auto percent = atOnce || (isOver && !task.known) ? 0 : halved(task.percent);
        out.push_back({ task.task, percent, false, PaceReason::Pressure });
        state.changedAt = now;
    }
    return out;
}

std::vector<PaceDecision> PaceController::restore(State& state, const TailReading& worst,
    const std::vector<PacedTask>& tasks, InterferenceModel& model, TimePoint now) const
{
    std::vector<PaceDecision> out;
    state.clearedUntil = now + partOf(m_bound, clearedShare);
    state.wasCleared = true;
    state.changedAt = now;
    for (const auto& task : tasks) {
        model.clear(worst.kind, task.kind);
        if (isLowered(task))
            out.push_back({ task.task, fullPace, false, PaceReason::NotTheCause });
    }
    return out;
}

// A pace that an earlier owner may have set is set to its full value at once. Kinds are raised one after the
// other, the most harmless first: raised together, they could not be told apart.
std::vector<PaceDecision> PaceController::raise(State& state, const TailReading& worst,
    const std::vector<PacedTask>& tasks, const InterferenceModel& model, TimePoint now)
{
    std::vector<PaceDecision> out;
    const PacedTask* next = nullptr;
    for (const auto& task : tasks) {
        if (isLowered(task)
            && (!next
                || model.effectOf(worst.kind, task.kind, now).mean
                    < model.effectOf(worst.kind, next->kind, now).mean))
            next = &task;
    }
    for (const auto& task : tasks) {
        if (!isLowered(task)
            || (task.known && pressureOf(worst) >= largeHeadroomShare && task.kind != next->kind))
            continue;
        const auto percent = task.known ? std::min(fullPace, task.percent + raiseStep) : fullPace;
        out.push_back({ task.task, percent, false, PaceReason::Headroom });
        state.changedAt = now;
    }
    return out;
}

// Between the thresholds the sum of the paces stays as it is, but a harmless task must not stay slowed with a
// harmful one: pace is moved from the most harmful kind to the others, which also shows which kind it is.
std::vector<PaceDecision> PaceController::settle(State& state, const TailReading& worst,
    const std::vector<PacedTask>& tasks, const InterferenceModel& model, TimePoint now)
{
    std::vector<PaceDecision> out;
    std::set<TaskKind> lowered;
    std::vector<PacedTask> others; // The owner may refuse a stop for long.
    const PacedTask* source = nullptr;
    const auto effectOf
        = [&](const PacedTask& task) { return model.effectOf(worst.kind, task.kind, now).mean; };
    for (const auto& task : tasks) {
        if (isLowered(task))
            lowered.insert(task.kind);
        if (isLowered(task) && task.percent > 0 && (!source || effectOf(task) > effectOf(*source)))
            source = &task;
        if (task.percent == 0 && task.settledAt && now - *task.settledAt >= longAtZero)
            out.push_back({ task.task, 0, true, PaceReason::TooLong });
        else
            others.push_back(task);
    }
    if (lowered.size() < 2 || now - state.changedAt < testTime)
        return out;
    if (pressureOf(worst) < (headroomShare + pressureShare) / 2) {
        const auto raised = raise(state, worst, others, model, now);
        out.insert(out.end(), raised.begin(), raised.end());
        return out;
    }
    if (source)
        out.push_back(
            { source->task, std::max(0, source->percent - raiseStep), false, PaceReason::Exchange });
    state.changedAt = now;
    return out;
}

} // namespace jujubereach::fleet
