#include "jujubereach/fleet/job-spec.h"

namespace jujubereach::fleet {

Resources& Resources::operator+=(const Resources& other)
{
    milliCores += other.milliCores;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    return *this;
}

Resources& Resources::operator-=(const Resources& other)
{
    milliCores -= other.milliCores;
    memoryMb -= other.memoryMb;
    accelerators -= other.accelerators;
    return *this;
}

bool Resources::canFit(const Resources& other) const
{
    return milliCores >= other.milliCores && memoryMb >= other.memoryMb && accelerators >= other.accelerators;
}

std::string toString(const TaskId& task)
{
    return stepName(task) + '.' + std::to_string(task.index);
}

std::string stepName(const TaskId& task)
{
    return task.job.str() + '.' + std::to_string(task.occurrence) + '.' + std::to_string(task.step);
}

} // namespace jujubereach::fleet
