#include "jujubereach/fleet/job-spec.h"

namespace jujubereach::fleet {

Room& Room::operator+=(const Room& other)
{
    milliCores += other.milliCores;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    return *this;
}

Room& Room::operator-=(const Room& other)
{
    milliCores -= other.milliCores;
    memoryMb -= other.memoryMb;
    accelerators -= other.accelerators;
    return *this;
}

bool Room::holds(const Room& other) const
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
