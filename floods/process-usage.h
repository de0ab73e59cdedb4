// What the kernel reports of a process's memory and descriptors.
#pragma once

#include <cstddef>

#include <sys/types.h>

namespace jujubereach::floods {

/// Peak of the resident memory in KiB (VmHWM); 0 when the process is gone.
std::size_t peakMemoryKb(pid_t pid);
/// Open descriptors; 0 when the process is gone.
std::size_t openDescriptors(pid_t pid);

/// Lowers the limit on descriptors for processes that are started while this object exists.
class DescriptorLimit {
public:
    explicit DescriptorLimit(std::size_t limit);
    ~DescriptorLimit();
    DescriptorLimit(const DescriptorLimit&) = delete;
    DescriptorLimit& operator=(const DescriptorLimit&) = delete;

private:
    unsigned long m_former = 0;
};

/// Raises the limit of this process to what it may have. Returns the new limit.
std::size_t raiseDescriptorLimit();

} // namespace jujubereach::floods
