#include "jujubereach/fleet/reserve.h"

#include "room-share.h"

#include <algorithm>
#include <cmath>

namespace jujubereach::fleet {

namespace {

    constexpr double decayTimeMs = 5000; // Twice the run time of urgent tasks, the typical length of a burst.
    constexpr double marginDeviations = 1; // Margin above the mean, in standard deviations.
    constexpr double maxShare = 0.5; // Leaves at least half of the capacity to other work.

} // namespace

void UrgentReserve::recordDemand(TimePoint now, double share)
{
    const auto passed
        = m_recordedAt == TimePoint {} ? decayTimeMs : static_cast<double>((now - m_recordedAt).count());
    m_recordedAt = now;
    const auto weight = 1 - std::exp(-passed / decayTimeMs);
    const auto off = share - m_mean;
    m_mean += weight * off;
    m_variance = (1 - weight) * (m_variance + weight * off * off);
}

double UrgentReserve::share() const
{
    return std::min(maxShare, m_mean + marginDeviations * std::sqrt(m_variance));
}

double shareOf(const Resources& resources, const ServiceId& service, const std::vector<WorkerView>& views)
{
    return largestShare(resources, sumOf(service, views, &WorkerView::capacity));
}

namespace {

    // Workers that are slower are of less use to urgent gangs. Those of which nothing is known are below it
    // too, so that other work runs there and shows their speed.
    constexpr double minReservedSpeed = 0.9;

    bool isReservable(const ServiceId& service, const WorkerView& view)
    {
        return view.service == service && view.cautiousSpeed >= minReservedSpeed;
    }

    // Reserves the workers that `isEligible` on whole racks. Returns the share that is still missing; 0 if
    // there are more racks than needed.
    template <typename F>
    double reserveRacksOf(
        const Resources& whole, double share, std::vector<WorkerView>& views, F&& isEligible)
    {
        std::map<double, Resources> racks;
        for (const auto& view : views) {
            if (isEligible(view))
                racks[view.rackOrder] += view.capacity;
        }
        auto last = -1.0;
        auto kept = 0.0;
        auto enough = false;
        for (const auto& [order, resources] : racks) {
            const auto rack = largestShare(resources, whole);
            if (rack == 0)
                continue; // Without capacity, all workers would be reserved.
            enough = kept + rack / 2 > share;
            if (enough)
                break;
            kept += rack;
            last = order;
        }
        for (auto& view : views)
            view.reservedForUrgent = view.reservedForUrgent || (isEligible(view) && view.rackOrder <= last);
        return enough ? 0 : std::max(0.0, share - kept);
    }

} // namespace

void reserveRacks(const ServiceId& service, double share, std::vector<WorkerView>& views)
{
    const auto whole = sumOf(service, views, &WorkerView::capacity);
    const auto missing = reserveRacksOf(
        whole, share, views, [&](const WorkerView& view) { return isReservable(service, view); });
    // After a rollout most workers are unknown; urgent work still needs room then.
    if (missing > 0)
        reserveRacksOf(whole, missing, views,
            [&](const WorkerView& view) { return view.service == service && !isReservable(service, view); });
}

} // namespace jujubereach::fleet
