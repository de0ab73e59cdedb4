#include "recovery.h"

#include <algorithm>

namespace jujubereach::jobs {

Recovery::Recovery(std::size_t workers, std::uint32_t acceleratorsPerWorker, TimePoint deadline)
    : m_reported(workers, false)
    , m_missing(workers)
    , m_deadline(deadline)
    , m_acceleratorsPerWorker(acceleratorsPerWorker)
{
}

bool Recovery::add(std::uint32_t worker, const std::vector<platform::TaskReport>& tasks)
{
    if (m_reported[worker])
        return false;
    m_reported[worker] = true;
    --m_missing;
    for (const auto& task : tasks) {
        auto& found = m_foundGangs[task.gang];
        found.id = task.gang;
        found.reports[worker] = task;
        if (!found.label)
            found.label = outcomeOf([&] { return decodeLabel(task.label); }).value;
    }
    return true;
}

std::vector<Recovery::FoundGang> Recovery::takeSettled(const std::function<bool(std::uint32_t)>& isLost)
{
    std::vector<FoundGang> settled;
    for (auto entry = m_foundGangs.begin(); entry != m_foundGangs.end();) {
        if (trySettle(entry->second, isLost)) {
            settled.push_back(std::move(entry->second));
            entry = m_foundGangs.erase(entry);
        } else {
            ++entry;
        }
    }
    return settled;
}

bool Recovery::trySettle(FoundGang& gang, const std::function<bool(std::uint32_t)>& isLost) const
{
    if (!gang.label)
        return true;
    const auto& run = gang.label->run;
    std::uint32_t last = (run.first + run.count - 1) / m_acceleratorsPerWorker;
    for (std::uint32_t worker = run.first / m_acceleratorsPerWorker; worker <= last; ++worker) {
        if (worker >= m_reported.size() || m_reported[worker])
            continue;
        if (!isLost(worker))
            return false;
        gang.lost.insert(worker);
    }
    return true;
}

bool Recovery::isPendingOn(std::uint32_t worker) const
{
    return std::ranges::any_of(m_foundGangs, [&](const auto& entry) {
        auto report = entry.second.reports.find(worker);
        return report != entry.second.reports.end() && !platform::hasEnded(report->second.state);
    });
}

} // namespace jujubereach::jobs
