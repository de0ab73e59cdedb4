// What the capacity program measures with: processor time, memory, and a line of output for each figure.
#pragma once

#include <cstddef>
#include <ctime>
#include <malloc.h>

#include <iostream>
#include <string>

namespace jujubereach::capacity {

/// Processor time of this process in milliseconds.
inline double cpuMilliseconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

/// Bytes of memory in use on the heap.
inline double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

inline void report(const std::string& name, std::size_t size, double value, const std::string& unit)
{
    std::cout << "CAPACITY name=" << name << " size=" << size << " value=" << value << " unit=" << unit
              << '\n';
}

/// Owner of a domain: leases, gangs and syncs, over the number of workers.
void measureOwner(std::uint32_t workers);
/// One sync with a worker as JSON, over the number of its tasks; most syncs neither renew nor ask for labels.
void measureSync(std::uint32_t tasks, bool renews, bool labels);
/// Journal of a domain, over the number of its jobs.
void measureJournal(std::size_t jobs);
/// Manifest, over the number of its workspaces.
void measureManifest(std::size_t workspaces);
/// Refusals of a flood, over the number of callers.
void measureLedger(std::size_t callers);

} // namespace jujubereach::capacity
