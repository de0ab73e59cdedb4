#pragma once

#include <cstdint>

namespace jujubereach::placement {

/// Adjacent accelerators of one domain, numbered consecutively across its racks.
struct Run {
    std::uint32_t first = 0;
    std::uint32_t count = 0;

    std::uint32_t end() const { return first + count; }
    bool overlaps(const Run& other) const { return first < other.end() && other.first < end(); }
    bool contains(const Run& other) const { return first <= other.first && other.end() <= end(); }

    friend bool operator==(const Run&, const Run&) = default;
};

/// Alignment of the preferred positions of a run: a worker for a run of at least one worker, otherwise the
/// smallest power of two that holds the run, so that small runs don't cross the end of a worker. Falls back
/// to a worker if that power of two does not divide its size.
std::uint32_t alignmentOf(std::uint32_t count, std::uint32_t acceleratorsPerWorker);

} // namespace jujubereach::placement
