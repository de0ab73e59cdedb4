#include "worker.h"

#include "jujubereach/fleet/placement.h"

namespace jujubereach::fleet {

namespace {

    constexpr int strikesToSetAside = 2; // One failure may be the task's own.
    constexpr Duration firstSetAside {
        4000
    }; // Shorter than most faults of a worker that the sites describe.
    constexpr int maxDoublings = 3;

    // Tasks that fail or stand still together on one worker show one fault.
    void setAside(Trust& trust, TimePoint now)
    {
        if (trust.isSetAside(now))
            return;
        trust.setAsideUntil = now + firstSetAside * (1 << std::min(trust.timesSetAside, maxDoublings));
        ++trust.timesSetAside;
    }

} // namespace

void Trust::taskDone()
{
    strikes = 0;
    timesSetAside = 0;
    proven = true;
}

void Trust::taskFailed(TimePoint now)
{
    ++strikes;
    if (strikes >= strikesToSetAside)
        setAside(*this, now);
}

void Trust::taskStalled(TimePoint now)
{
    strikes = std::max(strikes + 1, strikesToSetAside);
    setAside(*this, now);
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
    serving += run.latencySensitive;
    filling += run.bestEffort;
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
    serving -= run.latencySensitive;
    filling -= run.bestEffort;
    runs.erase(found);
}

Resources Worker::freeRoom() const
{
    Resources resources = report.capacity;
    resources -= used;
    resources -= booked;
    return resources;
}

} // namespace jujubereach::fleet
