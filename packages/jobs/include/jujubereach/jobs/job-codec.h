// Jobs as text: the label of a task, by which a new owner rebuilds the job, and the job in the journal.
#pragma once

#include "jujubereach/base/error.h"
#include "jujubereach/scheduling/scheduler.h"

#include <string>

namespace jujubereach::jobs {

std::string encodeJob(const scheduling::JobSpec& job);
Result<scheduling::JobSpec> decodeJob(const std::string& text);

/// What a worker reports back for a task.
struct TaskLabel {
    scheduling::JobSpec job;
    scheduling::Run run; ///< Of the whole gang.
};

std::string encodeLabel(const TaskLabel& label);
Result<TaskLabel> decodeLabel(const std::string& text);

} // namespace jujubereach::jobs
