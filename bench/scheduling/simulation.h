// Virtual time: plays a stream against a policy and measures what its users would see.
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
    std::size_t preempted = 0; ///< Gangs preempted for jobs of the class.
    std::vector<double> wait; ///< Seconds from arrival to the first start.
};

struct Figures {
    std::unordered_map<JobId, double> completions; ///< Seconds, of each job that completed.
    std::map<std::string, ClassFigures> classes; ///< Calls for shapes stand under "shape".
    double completionMean = 0;
    double longestWait = 0;
    double fragTime = 0; ///< Share of the time in which a large gang waits though enough is free.
    double fragGang = 0; ///< Share of large gangs' time in the system that they wait so.
    double largestRun = 0; ///< Largest free run over free accelerators, mean over time.
    double used = 0; ///< Share of accelerators in use, mean over time.
    std::size_t completed = 0;
    std::size_t refusedOrFailed = 0;
    std::size_t unfinished = 0; ///< Jobs that never ended: none may be left.
    std::size_t preempted = 0;
    std::uint64_t decisions = 0;
    std::uint64_t stepCount = 0;
    double cpuSeconds = 0;
};

Figures play(const Stream& stream, const Subject& subject);

} // namespace jujubereach::bench
