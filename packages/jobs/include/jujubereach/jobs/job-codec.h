// JSON encoding of jobs, for the journal and for the task labels from which a new owner rebuilds its jobs.
#pragma once

#include "jujubereach/base/error.h"
#include "jujubereach/scheduling/scheduler.h"

#include <string>

namespace jujubereach::jobs {

std::string encodeJob(const scheduling::JobSpec& job);
Result<scheduling::JobSpec> decodeJob(const std::string& text);

/// Stored with each task on its worker and reported back, so that a new owner can rebuild the job.
struct TaskLabel {
    scheduling::JobSpec job;
    scheduling::Run run; ///< Accelerators of the whole gang, not just of this task.
};

std::string encodeLabel(const TaskLabel& label);
Result<TaskLabel> decodeLabel(const std::string& text);

} // namespace jujubereach::jobs
