// Replays a stream against a policy in virtual time and measures completion, waiting and fragmentation.
#pragma once

#include "stream.h"
#include "subjects.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujubereach::bench {

struct ClassFigures {
    std::vector<double> completion; ///< Seconds from arrival to completion, of jobs that completed.
    std::size_t preempted = 0; ///< Gangs preempted in favour of jobs of the class.
    std::vector<double> wait; ///< Seconds from arrival to the first start.
};

struct Figures {
    std::unordered_map<JobId, double> completions; ///< Seconds, of each job that completed.
    std::map<std::string, ClassFigures> classes; ///< Shape jobs are counted under "shape".
    double completionMean = 0;
    double longestWait = 0;
    /// Share of the time in which a large gang waits although enough accelerators are free.
    double fragTime = 0;
    /// Share of the large gangs' time in the system in which they wait although enough are free.
    double fragGang = 0;
    double largestRun = 0; ///< Mean ratio of the largest free run to the free accelerators.
    double used = 0; ///< Mean share of accelerators in use.
    std::size_t completed = 0;
    std::size_t refusedOrFailed = 0;
    std::size_t unfinished = 0; ///< Jobs that never ended; must be 0.
    std::size_t preempted = 0;
    std::uint64_t decisions = 0;
    std::uint64_t stepCount = 0;
    double cpuSeconds = 0;
};

Figures play(const Stream& stream, const Subject& subject);

} // namespace jujubereach::bench
