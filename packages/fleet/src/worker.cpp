#include "worker.h"

#include "jujubereach/fleet/placement.h"

#include <algorithm>

namespace jujubereach::fleet {

namespace {

    constexpr int failuresToQuarantine = 2; // A single failure may be the fault of the task.
    constexpr Duration firstQuarantine { 4000 }; // Shorter than most worker faults that the sites describe.
    constexpr int maxDoublings = 3;

    // Tasks that fail or stall during a quarantine are attributed to the same fault and do not extend it.
    void quarantine(WorkerHealth& health, TimePoint now)
    {
        if (health.isQuarantined(now))
            return;
        health.quarantinedUntil
            = now + firstQuarantine * (1 << std::min(health.quarantineCount, maxDoublings));
        ++health.quarantineCount;
    }

} // namespace

void WorkerHealth::taskDone()
{
    consecutiveFailures = 0;
    quarantineCount = 0;
    hasCompletedTask = true;
}

void WorkerHealth::taskFailed(TimePoint now)
{
    ++consecutiveFailures;
    if (consecutiveFailures >= failuresToQuarantine)
        quarantine(*this, now);
}

void WorkerHealth::taskStalled(TimePoint now)
{
    consecutiveFailures = std::max(consecutiveFailures + 1, failuresToQuarantine);
    quarantine(*this, now);
}

void Worker::recordMissedPoll(TimePoint now)
{
    if (missedPolls++ == 0)
        silentSince = now;
}

bool Worker::isUndecided(const ActiveRun& run) const
{
    const auto found = runs.find(run.task);
    return found != runs.end() && found->second.run == run.run && found->second.isUndecided();
}

bool Worker::isIsolated(TimePoint now) const
{
    return isolatedRuns > 0 && std::any_of(runs.begin(), runs.end(), [now](const auto& entry) {
        const auto& run = entry.second;
        return run.isolated && now < std::min(run.probationEnds, run.orderedAt + maxIsolation);
    });
}

void Renewals::add(std::int64_t to, TimePoint at)
{
    if (incarnation != to)
        earlierSentAt = sentAt;
    incarnation = to;
    sentAt = at;
}

WorkerTime Worker::clockNow(TimePoint now) const
{
    return { clock.value + static_cast<std::uint64_t>((now - clockAt).count()) };
}

TimePoint Worker::lapseTime() const
{
    if (lastDeadline <= clock)
        return clockAt;
    const auto left = static_cast<double>(lastDeadline.value - clock.value) * (1 + clockDrift);
    return clockAt + Duration(static_cast<std::int64_t>(left)) + lapseMargin;
}

void Worker::addRun(ActiveRun run)
{
    used += run.resources;
    if (run.priority <= urgentPriority)
        urgent += run.resources;
    latencySensitiveRuns += run.latencySensitive;
    bestEffortRuns += run.bestEffort;
    idleMilliCores += run.idleMilliCores;
    isolatedRuns += run.isolated;
    const auto task = run.task;
    runs.emplace(task, std::move(run));
}

void Worker::removeRun(const TaskId& task)
{
    const auto found = runs.find(task);
    if (found == runs.end())
        return;
    const auto& run = found->second;
    used -= run.resources;
    if (run.priority <= urgentPriority)
        urgent -= run.resources;
    latencySensitiveRuns -= run.latencySensitive;
    bestEffortRuns -= run.bestEffort;
    idleMilliCores -= run.idleMilliCores;
    isolatedRuns -= run.isolated;
    runs.erase(found);
}

Resources Worker::freeResources() const
{
    Resources resources = report.capacity;
    resources -= used;
    return resources;
}

} // namespace jujubereach::fleet
