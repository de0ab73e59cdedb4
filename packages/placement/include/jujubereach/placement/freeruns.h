// Index of the free runs of a domain: finds the best-fitting aligned run without a scan of all accelerators.
#pragma once

#include "jujubereach/placement/run.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace jujubereach::placement {

/// End of the chosen free run from which accelerators are taken.
enum class Side { Low, High };

class FreeRuns {
public:
    /// Predicate on candidate runs; an empty one accepts all.
    using Accept = std::function<bool(const Run&)>;

    explicit FreeRuns(std::uint32_t acceleratorsPerWorker);

    /// Marks a run as free; none of its accelerators may be in the index.
    void add(const Run& run);
    /// Removes a run; all its accelerators must be in the index.
    void remove(const Run& run);

    /// Returns `count` adjacent accelerators from the shortest free run that has an accepted position;
    /// aligned positions in any run are preferred over unaligned ones.
    std::optional<Run> bestFit(std::uint32_t count, Side side = Side::Low, const Accept& accept = {}) const;

    /// Returns the highest accepted position of `count` adjacent accelerators; aligned positions are
    /// preferred.
    std::optional<Run> highestFit(std::uint32_t count, const Accept& accept = {}) const;

    std::uint32_t largest() const;
    std::uint32_t total() const { return m_total; }
    /// Length of each maximal free run by its first accelerator.
    const std::map<std::uint32_t, std::uint32_t>& runs() const { return m_byFirst; }
    /// Free runs and positions examined by searches so far.
    std::uint64_t stepCount() const { return m_stepCount; }

private:
    /// First accepted position in one free run among multiples of `step`, searched from `side`.
    std::optional<Run> firstAccepted(
        const Run& free, std::uint32_t count, std::uint32_t step, Side side, const Accept& accept) const;
    void insert(const Run& run);
    void erase(const Run& run);

    std::uint32_t m_acceleratorsPerWorker;
    std::map<std::uint32_t, std::uint32_t> m_byFirst; ///< Disjoint and never adjacent.
    std::set<std::pair<std::uint32_t, std::uint32_t>> m_byCount; ///< The same runs, as (count, first).
    std::uint32_t m_total = 0; ///< Sum of all counts.
    mutable std::uint64_t m_stepCount = 0;
};

} // namespace jujubereach::placement
