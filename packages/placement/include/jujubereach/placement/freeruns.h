// Index of the free runs of a domain's line: finds the best-fitting aligned run without walking the line.
#pragma once

#include "jujubereach/placement/run.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace jujubereach::placement {

/// Which end of the chosen free run is taken.
enum class Side { Low, High };

class FreeRuns {
public:
    /// Tells whether a candidate may be used; an empty hook accepts all.
    using Accept = std::function<bool(const Run&)>;

    explicit FreeRuns(std::uint32_t acceleratorsPerWorker);

    /// Adds accelerators that are not in the index.
    void add(const Run& run);
    /// Removes accelerators that are all in the index.
    void remove(const Run& run);

    /// Shortest free run that holds `count` adjacent accelerators, aligned ones first.
    std::optional<Run> bestFit(std::uint32_t count, Side side = Side::Low, const Accept& accept = {}) const;

    /// Highest position that holds `count` adjacent accelerators, aligned ones first.
    std::optional<Run> highestFit(std::uint32_t count, const Accept& accept = {}) const;

    std::uint32_t largest() const;
    std::uint32_t total() const { return m_total; }
    /// Length of each maximal free run by its first accelerator.
    const std::map<std::uint32_t, std::uint32_t>& runs() const { return m_byFirst; }
    /// Free runs and positions examined by searches so far.
    std::uint64_t stepCount() const { return m_stepCount; }

private:
    /// The first accepted position in one free run, among multiples of `step`.
    std::optional<Run> firstAccepted(
        const Run& free, std::uint32_t count, std::uint32_t step, Side side, const Accept& accept) const;
    void insert(const Run& run);
    void erase(const Run& run);

    std::uint32_t m_acceleratorsPerWorker;
    std::map<std::uint32_t, std::uint32_t> m_byFirst; ///< Disjoint and never adjacent.
    std::set<std::pair<std::uint32_t, std::uint32_t>> m_byCount; ///< The same runs as (count, first).
    std::uint32_t m_total = 0; ///< Sum of all counts.
    mutable std::uint64_t m_stepCount = 0;
};

} // namespace jujubereach::placement
