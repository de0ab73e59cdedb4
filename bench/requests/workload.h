// Callers: streams of requests, and what became of them.
#pragma once

#include "events.h"

#include "jujubereach/base/id.h"
#include "jujubereach/base/random.h"
#include "jujubereach/manifest/manifest.h"

#include <map>
#include <string>
#include <vector>

namespace jujubereach::bench {

/// Requests of one caller, at random times with the given mean rate.
struct Stream {
    std::string group; ///< Its figures are summed under this name.
    WorkspaceId workspace;
    ClassId workClass;
    CallerId caller;
    double perSecond = 0;
    Duration deadline { 2000 };
    bool repeatable = true;
};

/// What happened to the requests of a group that were offered in the measured time.
struct Tally {
    std::uint64_t offered = 0;
    std::uint64_t useful = 0; ///< Answered before the deadline.
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    double usefulMs = 0; ///< Slot time of the useful answers given in the measured time.
    std::vector<double> tookMs; ///< From the offer to the whole answer, useful or late.

    double p(double quantile) const;
    void add(const Tally& other);
};

/// By group.
using Tallies = std::map<std::string, Tally>;

/// Sum of the groups whose name starts with `prefix`.
Tally sumOf(const Tallies& tallies, const std::string& prefix);

/// Classes check, proof and bulk by rank; workspaces agency, foil, notary and tissue.
manifest::Manifest shop();

/// Callers of every class in every workspace who stay within their shares: 45 % of `capacity` together.
std::vector<Stream> steadyCallers(double capacity);

/// Callers of the workspace agency that ask for `perSecond` together.
std::vector<Stream> flood(const std::string& workClass, int callers, double perSecond);

/// Slot time of a request in microseconds: mean 100 ms, of which 40 ms always.
Micros slotTime(Random& random);
constexpr double meanSlotMs = 100;

} // namespace jujubereach::bench
