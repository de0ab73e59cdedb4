// A run: adjacent accelerators of one domain.
#pragma once

#include <cstdint>

namespace jujubereach::placement {

/// Adjacent accelerators, counted along the domain's line of racks.
struct Run {
    std::uint32_t first = 0;
    std::uint32_t count = 0;

    std::uint32_t end() const { return first + count; }
    bool overlaps(const Run& other) const { return first < other.end() && other.first < end(); }
    bool contains(const Run& other) const { return first <= other.first && other.end() <= end(); }

    friend bool operator==(const Run&, const Run&) = default;
};

/// Step between the preferred starts of a run: whole workers for a run of at least one worker, else the
/// smallest power of two that holds the run, so that small runs fill a worker without crossing its end.
std::uint32_t alignmentOf(std::uint32_t count, std::uint32_t acceleratorsPerWorker);

} // namespace jujubereach::placement
