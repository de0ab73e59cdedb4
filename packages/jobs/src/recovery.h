// Collects the workers' reports after a change of owner until the state of each gang is known.
#pragma once

#include "gang.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace jujubereach::jobs {

class Recovery {
public:
    Recovery(std::size_t workers, std::uint32_t acceleratorsPerWorker, TimePoint deadline);

    /// Adds the first granted report of a worker in this term. Returns false for later ones, which are
    /// ignored.
    bool add(std::uint32_t worker, const std::vector<platform::TaskReport>& tasks);
    bool hasReported(std::uint32_t worker) const { return m_reported[worker]; }
    /// True if no task of an earlier owner can still run on a worker that has not reported.
    bool isComplete(TimePoint now) const { return m_missing == 0 || now >= m_deadline; }
    TimePoint deadline() const { return m_deadline; }

    struct FoundGang {
        GangId id;
        std::optional<TaskLabel> label; ///< Empty if no report has a readable label.
        TaskReports reports;
        std::set<std::uint32_t> lost; ///< Lost workers of the gang that have not reported.
    };
    /// Returns the gangs whose workers have all reported or are lost, each once. A gang without a label is
    /// returned at once, since its members are unknown.
    std::vector<FoundGang> takeSettled(const std::function<bool(std::uint32_t)>& isLost);
    /// True while a gang that takeSettled() has not returned yet has a live task on the worker.
    bool isPendingOn(std::uint32_t worker) const;
    bool isKnown(const GangId& gang) const { return m_foundGangs.contains(gang); }

private:
    bool trySettle(FoundGang& gang, const std::function<bool(std::uint32_t)>& isLost) const;

    std::vector<bool> m_reported;
    std::size_t m_missing;
    TimePoint m_deadline;
    std::uint32_t m_acceleratorsPerWorker;
    std::map<GangId, FoundGang> m_foundGangs;
};

} // namespace jujubereach::jobs
