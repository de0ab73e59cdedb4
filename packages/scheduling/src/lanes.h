// The queue, divided into lanes of jobs with equal class, workspace, size and revocability. If the head of a
// lane does not fit, no other job of the lane does, so a decision scans lanes instead of jobs.
#pragma once

#include "records.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace jujubereach::scheduling {

struct LaneKey {
    ClassId workClass;
    WorkspaceId workspace;
    std::uint32_t accelerators = 0;
    bool revocable = false;

    friend auto operator<=>(const LaneKey&, const LaneKey&) = default;
};

class Lane {
public:
    void add(Job* job);
    void remove(Job* job);
    bool empty() const { return m_byArrival.empty(); }
    std::size_t size() const { return m_byArrival.size(); }

    Job* shortest() const { return m_byTime.begin()->second; }
    Job* oldest() const { return m_byArrival.begin()->second; }
    const std::map<std::uint64_t, Job*>& jobs() const { return m_byArrival; }

private:
    using TimeKey = std::pair<Duration, std::uint64_t>;

    std::map<TimeKey, Job*> m_byTime; ///< By predicted run time, then arrival; the same jobs as m_byArrival.
    std::map<std::uint64_t, Job*> m_byArrival;
};

class Lanes {
public:
    void add(Job* job);
    void remove(Job* job);
    std::size_t size() const { return m_size; }
    std::map<LaneKey, Lane>& all() { return m_lanes; }
    const std::map<LaneKey, Lane>& all() const { return m_lanes; }

private:
    std::map<LaneKey, Lane> m_lanes; ///< Contains no empty lane.
    std::size_t m_size = 0; ///< Jobs in all lanes.
};

} // namespace jujubereach::scheduling
