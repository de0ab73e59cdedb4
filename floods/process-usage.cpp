#include "process-usage.h"

#include <sys/resource.h>

#include <filesystem>
#include <fstream>
#include <limits>
#include <string>

namespace jujubereach::floods {

namespace {

    rlimit descriptorLimit()
    {
        rlimit limit {};
        getrlimit(RLIMIT_NOFILE, &limit);
        return limit;
    }

    void setSoftLimit(rlim_t value)
    {
        auto limit = descriptorLimit();
        limit.rlim_cur = value;
        setrlimit(RLIMIT_NOFILE, &limit);
    }

} // namespace

std::size_t peakMemoryKb(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    std::string field;
    while (in >> field) {
        std::size_t value = 0;
        if (field == "VmHWM:" && in >> value)
            return value;
        in.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
    }
    return 0;
}

std::size_t openDescriptors(pid_t pid)
{
    std::error_code failed;
    std::size_t count = 0;
    std::filesystem::directory_iterator entry("/proc/" + std::to_string(pid) + "/fd", failed);
    for (; !failed && entry != std::filesystem::directory_iterator(); entry.increment(failed))
        ++count;
    return count;
}

DescriptorLimit::DescriptorLimit(std::size_t limit)
    : m_former(descriptorLimit().rlim_cur)
{
    setSoftLimit(limit);
}

DescriptorLimit::~DescriptorLimit()
{
    setSoftLimit(m_former);
}

std::size_t raiseDescriptorLimit()
{
    setSoftLimit(descriptorLimit().rlim_max);
    return descriptorLimit().rlim_cur;
}

} // namespace jujubereach::floods
