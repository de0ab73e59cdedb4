// The life of each gang as its workers recorded it.
#pragma once

#include "evidence.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubereach::scenarios {

/// A task from its start to its end on one worker.
struct TaskRun {
    WorkerId worker;
    std::vector<std::uint32_t> accelerators;
    WallTime start;
    std::optional<WallTime> end; ///< None while it still ran when the records were read.
    std::string reason;

    bool runsAt(WallTime time) const { return start <= time && (!end || time < *end); }
};

struct GangRun {
    GangId gang;
    std::vector<TaskRun> tasks; ///< In the order of their starts; never empty.

    WallTime firstStart() const { return tasks.front().start; }
    std::optional<WallTime> lastEnd() const; ///< None while a task still runs.
    bool completed() const;
    /// Accelerators that run at a time.
    std::uint32_t runningAt(WallTime time) const;
    /// Every start and end, ascending.
    std::vector<WallTime> changes() const;
};

/// Gangs of which a task was started, in the order of their first starts.
std::vector<GangRun> gangRuns(const Evidence& evidence);

/// Accelerators that the job of a gang was submitted with; 0 when no caller knows the job.
std::uint32_t sizeOf(const Evidence& evidence, const GangId& gang);

} // namespace jujubereach::scenarios
