// Availability zones that operators have closed for placement.
#include "owner-impl.h"

#include <boost/json.hpp>

#include <algorithm>

namespace jujubereach::fleet {

// Takes effect with the next pass: workers of closed zones are not usable, so that plans, reservations and
// tickets that name them are dropped. A start in flight is not repeated.
void Owner::Impl::setClosedZones(std::set<ZoneId> zones)
{
    if (!m_closedZones.replace(std::move(zones)) || !m_recovered)
        return;
    logClosedZones();
    schedulePass();
}

void Owner::Impl::logClosedZones() const
{
    boost::json::array names;
    for (const auto& zone : m_closedZones.zones())
        names.push_back(boost::json::string(zone.str()));
    std::size_t workers = 0;
    std::size_t runs = 0;
    for (const auto& [id, worker] : m_workers) {
        if (isInClosedZone(worker)) {
            ++workers;
            runs += worker.runs.size();
        }
    }
    m_hooks.log("zones-closed",
        { { "zones", std::move(names) }, { "workers", workers }, { "runs", runs },
            { "guaranteeShortfall", guaranteeShortfall() } });
}

std::int64_t Owner::Impl::guaranteeShortfall() const
{
    std::int64_t guaranteed = 0;
    for (const auto& [id, workspace] : m_config->workspaces)
        guaranteed += workspace.guaranteedAccelerators;
    std::int64_t available = 0;
    for (const auto& [id, worker] : m_workers) {
        if (worker.listed && !worker.report.draining && !isInClosedZone(worker))
            available += worker.report.capacity.accelerators;
    }
    return std::max<std::int64_t>(0, guaranteed - available);
}

} // namespace jujubereach::fleet
