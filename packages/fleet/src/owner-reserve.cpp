// Reserves workers for steps at the head of the queue that backfill would starve.
#include "pass.h"

#include <algorithm>

namespace jujubereach::fleet {

namespace {

    constexpr Duration minWaitForReservation { 1000 }; // Most gangs are placed sooner.
    constexpr Duration reservationInterval { 100 }; // A choice visits all runs of the fleet.
    constexpr Duration maxReservationAge { 30'000 }; // By then the expected ends were far off.
    // Share of the usable workers; the others serve the rest of the queue.
    constexpr double maxReservedShare = 0.25;

    void markReserved(WorkerView& view, const Step& step, bool bindsUrgent, TimePoint until)
    {
        view.reservedBy = &step;
        view.reservationBindsUrgent = bindsUrgent;
        view.reservedUntil = until;
    }

} // namespace

// Marks reserved workers in the views; drops reservations that are too old or have unusable or shrunk
// workers.
void Owner::Impl::applyReservations(const std::vector<ReadyStep>& waiting, Pass& pass)
{
    std::map<WorkerId, std::size_t> indices;
    for (const auto& ready : waiting) {
        auto& step = ready.step();
        if (!step.reservation)
            continue;
        if (indices.empty()) {
            for (std::size_t i = 0; i < m_fleet.size(); ++i)
                indices[m_fleet[i].id] = i;
        }
        Resources capacity;
        const auto usable = std::all_of(
            step.reservation->workers.begin(), step.reservation->workers.end(), [&](const WorkerId& id) {
                const auto found = indices.find(id);
                if (found != indices.end())
                    capacity += m_fleet[found->second].capacity;
                return found != indices.end();
            });
        const auto shrunk = !capacity.canFit(step.reservation->capacity);
        if (!usable || shrunk || now() - step.reservation->since > maxReservationAge) {
            step.reservation.reset();
            continue;
        }
        const auto binds = bindsUrgent(ready, pass);
        for (const auto& id : step.reservation->workers) {
            auto& view = m_fleet[indices.at(id)];
            markReserved(view, step, binds, step.reservation->freeAt);
            ++pass.reservedViews;
        }
    }
    pass.mayReserve = now() >= m_nextReservation;
}

bool Owner::Impl::bindsUrgent(const ReadyStep& ready, Pass& pass) const
{
    return termsOf(*ready.job).priority <= urgentPriority || isOverdue(ready, pass);
}

// Expected ends of all runs by worker, from learned run times where known; runs without one come last.
//
// Where workers differ, the rate of a run is a better prediction than the run times of others.
std::vector<std::vector<ExpectedEnd>> Owner::Impl::expectedEnds()
{
    std::vector<std::vector<ExpectedEnd>> out(m_usable.size());
    for (std::size_t i = 0; i < m_usable.size(); ++i) {
        const auto differ = m_settings.features.workerSpeed && m_speeds.differ(m_usable[i]->report.service);
        for (const auto& [task, run] : m_usable[i]->runs) {
            const auto job = m_jobs.find(task.job);
            const auto* spec = job == m_jobs.end() ? nullptr : job->second.specOf(task);
            if (!spec || spec->longRunning) {
                out[i].push_back({ TimePoint::max(), run.resources });
                continue;
            }
            auto end = run.phase == RunPhase::Stopping
                ? now()
                : std::max(now(), run.runningSince + expectedTime(job->second, *spec));
            const auto* step
                = run.phase != RunPhase::Stopping && differ ? job->second.findStep(task) : nullptr;
            if (step)
                end = std::max(now(), expectedEnd(job->second, *step, *m_usable[i], run));
            out[i].push_back({ end, run.resources });
        }
    }
    return out;
}

void Owner::Impl::reserveFor(const ReadyStep& ready, const PlaceRequest& request, Pass& pass)
{
    auto& step = ready.step();
    const auto most = static_cast<std::size_t>(maxReservedShare * static_cast<double>(m_fleet.size()));
    if (!pass.mayReserve || step.reservation || now() - step.waitingSince < minWaitForReservation
        || (pass.reservedViews > 0 && pass.reservedViews >= most) || !needsReservation(request, m_fleet))
        return;
    pass.mayReserve = false;
    m_nextReservation = now() + reservationInterval;
    const auto found = chooseReservation(request, m_fleet, expectedEnds(), now());
    if (found.views.empty() || (pass.reservedViews > 0 && pass.reservedViews + found.views.size() > most))
        return; // Only the first reservation may exceed the limit.
    StepReservation reservation { {}, ready.isolated, now(), found.freeAt, {} };
    const auto binds = bindsUrgent(ready, pass);
    for (const auto i : found.views) {
        markReserved(m_fleet[i], step, binds, found.freeAt);
        reservation.workers.push_back(m_fleet[i].id);
        reservation.capacity += m_fleet[i].capacity;
    }
    pass.reservedViews += found.views.size();
    m_hooks.log("reserve",
        { { "id", ready.job->id().str() }, { "step", ready.index }, { "workers", reservation.workers.size() },
            { "rack", m_fleet[found.views.front()].rack }, { "freeInMs", (found.freeAt - now()).count() },
            { "waitedMs", (now() - step.waitingSince).count() } });
    step.reservation = std::move(reservation);
}

} // namespace jujubereach::fleet
