// The life of each gang as its workers recorded it.
#include "gang-history.h"

#include <algorithm>

namespace jujubereach::scenarios {

std::optional<WallTime> GangRun::lastEnd() const
{
    WallTime last;
    for (const auto& task : tasks) {
        if (!task.end)
            return std::nullopt;
        last = std::max(last, *task.end);
    }
    return last;
}

bool GangRun::completed() const
{
    return std::all_of(
        tasks.begin(), tasks.end(), [](const TaskRun& task) { return task.reason == "completed"; });
}

std::uint32_t GangRun::runningAt(WallTime time) const
{
    std::uint32_t count = 0;
    for (const auto& task : tasks) {
        if (task.runsAt(time))
            count += static_cast<std::uint32_t>(task.accelerators.size());
    }
    return count;
}

std::vector<WallTime> GangRun::changes() const
{
    std::vector<WallTime> times;
    for (const auto& task : tasks) {
        times.push_back(task.start);
        if (task.end)
            times.push_back(*task.end);
    }
    std::sort(times.begin(), times.end());
    return times;
}

std::vector<GangRun> gangRuns(const Evidence& evidence)
{
    std::map<GangId, GangRun> runs;
    for (const auto& event : evidence.workers) {
        if (event.kind == "start") {
            auto& run = runs[event.gang];
            run.gang = event.gang;
            run.tasks.push_back({ event.worker, event.accelerators, event.at, std::nullopt, {} });
        }
        if (event.kind != "end" || !runs.contains(event.gang))
            continue;
        for (auto& task : runs[event.gang].tasks) {
            if (task.worker == event.worker && !task.end) {
                task.end = event.at;
                task.reason = event.reason;
            }
        }
    }
    std::vector<GangRun> result;
    result.reserve(runs.size());
    for (auto& [gang, run] : runs) {
        std::stable_sort(run.tasks.begin(), run.tasks.end(),
            [](const TaskRun& a, const TaskRun& b) { return a.start < b.start; });
        result.push_back(std::move(run));
    }
    std::stable_sort(result.begin(), result.end(),
        [](const GangRun& a, const GangRun& b) { return a.firstStart() < b.firstStart(); });
    return result;
}

std::uint32_t sizeOf(const Evidence& evidence, const GangId& gang)
{
    const auto job = jobOf(gang);
    for (const auto& call : evidence.jobs) {
        if (call.job == job)
            return call.accelerators;
    }
    return 0;
}

} // namespace jujubereach::scenarios
