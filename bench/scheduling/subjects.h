// Common interface of the policies under measurement.
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
/// Starts jobs strictly in order of arrival; with `backfill`, later jobs that fit may start first.
Subject firstCome(const std::string& name, const Stream& stream, bool backfill);

} // namespace jujubereach::bench
