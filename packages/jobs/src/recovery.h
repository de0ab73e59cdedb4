// What the workers report after a change of owner, gathered until each gang can be judged.
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

    /// Takes the first granted report of a worker in this term. Answers false for a later one.
    bool add(std::uint32_t worker, const std::vector<platform::TaskReport>& tasks);
    bool hasReported(std::uint32_t worker) const { return m_reported[worker]; }
    /// No task of an earlier owner can run on a worker that has not reported.
    bool isComplete(TimePoint now) const { return m_missing == 0 || now >= m_deadline; }
    TimePoint deadline() const { return m_deadline; }

    struct FoundGang {
        GangId id;
        std::optional<TaskLabel> label; ///< None when no report has a readable one.
        TaskReports reports;
        std::set<std::uint32_t> lost; ///< Members on workers that have not reported and are lost.
    };
    /// The gangs of which every member's worker has reported or is lost; each is given out once.
    std::vector<FoundGang> takeSettled(const std::function<bool(std::uint32_t)>& isLost);
    /// True while a gang that is not given out yet has a live task on the worker.
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
