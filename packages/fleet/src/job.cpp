#include "job.h"

#include <algorithm>

namespace jujubereach::fleet {

bool Occurrence::finished() const
{
    return std::all_of(steps.begin(), steps.end(), [](const Step& step) { return step.finished(); });
}

bool Occurrence::isReady(const Step& step) const
{
    return std::all_of(step.spec->after.begin(), step.spec->after.end(),
        [&](int index) { return steps[static_cast<std::size_t>(index)].finished(); });
}

void Job::addOccurrence(int number)
{
    auto& occurrence = occurrences[number];
    occurrence.number = number;
    for (const auto& spec : record.spec.steps) {
        Step step;
        step.spec = &spec;
        step.tasks.resize(static_cast<std::size_t>(spec.count));
        occurrence.steps.push_back(std::move(step));
    }
    nextOccurrence = std::max(nextOccurrence, number + 1);
}

Step* Job::findStep(const TaskId& task)
{
    const auto found = occurrences.find(task.occurrence);
    if (found == occurrences.end() || task.step < 0 || task.index < 0)
        return nullptr;
    auto& steps = found->second.steps;
    if (task.step >= static_cast<int>(steps.size()))
        return nullptr;
    auto& step = steps[static_cast<std::size_t>(task.step)];
    return task.index < step.spec->count ? &step : nullptr;
}

const StepSpec* Job::specOf(const TaskId& task) const
{
    const auto index = static_cast<std::size_t>(task.step);
    return task.step >= 0 && index < record.spec.steps.size() ? &record.spec.steps[index] : nullptr;
}

ProgressRecord Job::progress() const
{
    ProgressRecord out;
    out.state = state;
    for (const auto& [task, expires] : repeatedStarts)
        out.repeatedStarts.push_back({ task.occurrence, task.step, task.index });
    if (isFinal(state))
        return out;
    out.occurrencesDone = occurrences.empty() ? nextOccurrence : occurrences.begin()->first;
    for (const auto& [number, occurrence] : occurrences) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            const auto& tasks = occurrence.steps[s].tasks;
            for (std::size_t i = 0; i < tasks.size(); ++i) {
                const auto& task = tasks[i];
                if (task.done || task.lastRun.value > 0 || !task.failedRuns.empty()
                    || task.crashes.crashes > 0)
                    out.tasks.push_back({ number, static_cast<int>(s), static_cast<int>(i), task.done,
                        task.lastRun, task.failedRuns, task.done ? "" : task.checkpoint,
                        task.done ? CrashHistory {} : task.crashes, task.done ? std::nullopt : task.start });
            }
        }
    }
    return out;
}

void Job::restore(const ProgressRecord& progress, TimePoint ordersExpire)
{
    state = progress.state;
    for (const auto& row : progress.repeatedStarts)
        repeatedStarts[{ id(), row.occurrence, row.step, row.index }] = ordersExpire;
    if (isFinal(state))
        return;
    nextOccurrence = progress.occurrencesDone;
    begun = nextOccurrence > 0;
    for (const auto& row : progress.tasks) {
        while (nextOccurrence <= row.occurrence)
            addOccurrence(nextOccurrence);
        auto* step = findStep({ id(), row.occurrence, row.step, row.index });
        if (!step)
            continue;
        auto& task = step->tasks[static_cast<std::size_t>(row.index)];
        task.done = row.done;
        task.lastRun = row.lastRun;
        task.failedRuns = row.failedRuns;
        task.checkpoint = row.checkpoint;
        task.crashes = row.crashes;
        task.start = row.start;
        begun = begun || row.done || !row.start || row.start->answered;
        // Earlier builds record no starts.
        task.startUnresolved = row.start || (row.crashes.crashes > 0 && row.lastRun > row.crashes.lastRun);
        startUnresolved = startUnresolved || task.startUnresolved;
        if (row.done)
            ++step->done;
    }
}

bool Job::mayStartLate(const TaskId& task, TimePoint now) const
{
    const auto* spec = specOf(task);
    return std::any_of(repeatedStarts.begin(), repeatedStarts.end(), [&](const auto& row) {
        const auto& [repeated, expires] = row;
        return now <= expires && repeated.occurrence == task.occurrence && repeated.step == task.step
            && (repeated.index == task.index || (spec && spec->gang));
    });
}

} // namespace jujubereach::fleet
