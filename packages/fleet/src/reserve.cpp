#include "jujubereach/fleet/reserve.h"

#include <algorithm>
#include <cmath>

namespace jujubereach::fleet {

namespace {

    constexpr double memory = 5000; // Milliseconds; twice the run time of urgent tasks, as floods last.
    constexpr double margin = 1; // Standard deviations.
    constexpr double maxShare = 0.5; // Others work too, whatever urgent work asks for.

    Room roomOf(const ServiceId& service, const std::vector<WorkerView>& views)
    {
        Room whole;
        for (const auto& view : views) {
            if (view.service == service)
                whole += view.capacity;
        }
        return whole;
    }

    double part(std::int64_t of, std::int64_t whole)
    {
        return whole > 0 ? static_cast<double>(of) / static_cast<double>(whole) : 0;
    }

    double largestPart(const Room& room, const Room& whole)
    {
        return std::max({ part(room.milliCores, whole.milliCores), part(room.memoryMb, whole.memoryMb),
            part(room.accelerators, whole.accelerators) });
    }

} // namespace

void UrgentReserve::note(TimePoint now, double share)
{
    const auto passed = m_notedAt == TimePoint {} ? memory : static_cast<double>((now - m_notedAt).count());
    m_notedAt = now;
    const auto weight = 1 - std::exp(-passed / memory);
    const auto off = share - m_mean;
    m_mean += weight * off;
    m_variance = (1 - weight) * (m_variance + weight * off * off);
}

double UrgentReserve::share() const
{
    return std::min(maxShare, m_mean + margin * std::sqrt(m_variance));
}

double shareOf(const Room& room, const ServiceId& service, const std::vector<WorkerView>& views)
{
    return largestPart(room, roomOf(service, views));
}

void reserveRacks(const ServiceId& service, double share, std::vector<WorkerView>& views)
{
    const auto whole = roomOf(service, views);
    std::map<double, Room> racks;
    for (const auto& view : views) {
        if (view.service == service)
            racks[view.rackOrder] += view.capacity;
    }
    auto last = -1.0;
    auto kept = 0.0;
    for (const auto& [order, room] : racks) {
        const auto rack = largestPart(room, whole);
        if (kept + rack / 2 > share)
            break;
        kept += rack;
        last = order;
    }
    for (auto& view : views)
        view.reserved = view.reserved || (view.service == service && view.rackOrder <= last);
}

} // namespace jujubereach::fleet
