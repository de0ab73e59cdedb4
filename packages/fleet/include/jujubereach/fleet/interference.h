// Learns which kinds of tasks slow each other down on one worker.
//
// Model: log(slowdown of a task) = mean of its kind on this worker + sum over the neighbours of (effect of
// the neighbour's kind) x (pace of the neighbour) + noise. Only changes on the same worker are evidence, so
// that a slow worker, on which the task is slow whatever runs beside it, is not attributed to a neighbour.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujubereach::fleet {

/// Tasks of one kind have similar resource use. Kind 0 stands for all tasks that are not told apart.
using TaskKind = Number<struct TaskKindTag>;

/// All tasks of one kind beside the affected task.
struct Neighbour {
    TaskKind kind;
    double amount = 0; ///< Sum of their paces; a task at full pace counts as 1.
};

/// One measurement of a task's slowdown.
struct SlowdownObservation {
    TaskKind affected;
    /// Measurements with the same place are compared with each other. Empty if the slowdown is already
    /// relative to the worker's speed.
    WorkerId place;
    std::vector<Neighbour> neighbours; ///< At most one row for each kind.
    double logSlowdown = 0; ///< Relative to any constant of the place.
    double weight = 1; ///< 1 for a tail latency of half a second.
};

/// The effect of one kind on another, in log slowdown per task at full pace.
struct PairEffect {
    double mean = 0;
    double deviation = 0; ///< Standard deviation of `mean`.
};

/// Kinds that are known to interfere with a kind, in either direction, with the sum of both effects.
using KnownPairs = std::map<TaskKind, std::map<TaskKind, double>>;

class InterferenceModel {
public:
    /// The kind of tasks with this name; kind 0 once there are too many.
    TaskKind kindOf(const std::string& name);
    const std::string& nameOf(TaskKind kind) const;

    void observe(const SlowdownObservation& observation, TimePoint now);
    /// Discards the means of a worker, which may be another kind of machine now.
    void forget(const WorkerId& place);
    /// Discards the evidence that `neighbour` slows `affected` down; it counts as harmless until new
    /// evidence.
    void clear(TaskKind affected, TaskKind neighbour);

    PairEffect effectOf(TaskKind affected, TaskKind neighbour, TimePoint now) const;
    /// Whether the effect is certainly large enough to matter.
    bool isKnown(TaskKind affected, TaskKind neighbour, TimePoint now) const;
    KnownPairs knownPairs(TimePoint now) const;
    bool empty() const { return m_pairs.empty(); }

private:
    /// Decayed sums of a weighted regression through the means of the places.
    struct Pair {
        double xx = 0;
        double xy = 0;
        double noise = 0; ///< Sum of squared residuals.
        double weight = 0; ///< Of `noise`.
        TimePoint at;
    };
    struct Place {
        double weight = 0;
        double mean = 0; ///< Of the log slowdown.
        std::vector<Neighbour> amounts; ///< Means.
        TimePoint at;
    };
    using PairKey = std::pair<TaskKind, TaskKind>; ///< Affected kind, neighbour's kind.

    static double decay(TimePoint from, TimePoint to);
    void learn(const PairKey& key, double x, double y, double weight, TimePoint now);
    void prune(TimePoint now);

    std::unordered_map<std::string, std::uint64_t> m_kinds;
    std::vector<std::string> m_names { "other" };
    std::map<PairKey, Pair> m_pairs;
    std::map<std::pair<WorkerId, TaskKind>, Place> m_places;
    TimePoint m_pruneAt;
};

} // namespace jujubereach::fleet
