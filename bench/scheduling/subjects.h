// The policies under measurement behind one set of hooks.
#pragma once

#include "jujubereach/scheduling/scheduler.h"
#include "stream.h"

#include <functional>
#include <string>

namespace jujubereach::bench {

struct Subject {
    std::string name;
    bool keepsShapes = false; ///< Keeps a run for every guaranteed shape.
    std::function<std::optional<scheduling::EndJob>(const scheduling::JobSpec&, TimePoint)> submit;
    std::function<void(const JobId&, TimePoint)> cancel;
    std::function<void(std::uint32_t, bool, TimePoint)> setWorker;
    std::function<void(const GangId&, TimePoint)> gangRunning;
    std::function<void(const scheduling::GangEnd&, TimePoint)> gangEnded;
    std::function<std::vector<scheduling::Decision>(TimePoint)> decide;
    std::function<std::optional<TimePoint>(TimePoint)> nextDue;
    std::function<std::uint64_t()> stepCount;
};

Subject jujubereach(const std::string& name, const Stream& stream, const scheduling::Policy& policy = {});
/// Strict order of arrival, or any job that fits in that order.
Subject firstCome(const std::string& name, const Stream& stream, bool backfill);

} // namespace jujubereach::bench
