#include "firstcome.h"

#include <algorithm>

namespace jujubereach::bench {

using namespace scheduling;

namespace {
    constexpr std::uint32_t maxFailures = 4;
}

FirstCome::FirstCome(std::uint32_t workers, bool backfill)
    : m_backfill(backfill)
    , m_busy(std::size_t(workers) * acceleratorsPerWorker, false)
    , m_up(workers, false)
{
}

void FirstCome::submit(const JobSpec& spec)
{
    m_queue.push_back(spec);
}

void FirstCome::cancel(const JobId& id)
{
    std::erase_if(m_queue, [&](const JobSpec& spec) { return spec.id == id; });
    for (const auto& [gang, start] : m_gangs) {
        if (start.job.id == id)
            m_pendingDecisions.emplace_back(PreemptGang { gang, false, id });
    }
}

void FirstCome::setWorker(std::uint32_t worker, bool up)
{
    m_up[worker] = up;
}

void FirstCome::gangEnded(const GangEnd& end)
{
    auto entry = m_gangs.extract(end.gang);
    const auto& start = entry.mapped();
    std::fill_n(m_busy.begin() + start.run.first, start.run.count, false);
    bool failed = end.kind == EndKind::Failed;
    bool restart = failed || end.kind == EndKind::WorkerLost;
    if (!restart || !start.job.restartable || (failed && ++m_failures[start.job.id] >= maxFailures)) {
        m_pendingDecisions.emplace_back(EndJob { start.job.id, end.kind, std::nullopt, false, {} });
        return;
    }
    m_queue.push_front(start.job);
}

std::optional<std::uint32_t> FirstCome::firstFit(std::uint32_t count) const
{
    std::uint32_t length = 0;
    for (std::uint32_t at = 0; at < m_busy.size(); ++at) {
        length = m_busy[at] || !m_up[at / acceleratorsPerWorker] ? 0 : length + 1;
        if (length == count)
            return at + 1 - count;
    }
    return std::nullopt;
}

void FirstCome::start(const JobSpec& spec, std::uint32_t first)
{
    StartGang gang { {}, spec, { first, spec.accelerators } };
    ++gang.job.attempt;
    gang.gang = GangId(spec.id.str() + "/" + std::to_string(gang.job.attempt));
    std::fill_n(m_busy.begin() + first, spec.accelerators, true);
    m_gangs[gang.gang] = gang;
    m_pendingDecisions.emplace_back(gang);
}

std::vector<Decision> FirstCome::decide()
{
    std::uint32_t tooLarge = ~0U; ///< No job of this size or above fits now.
    for (auto it = m_queue.begin(); it != m_queue.end();) {
        auto fit = it->accelerators < tooLarge ? firstFit(it->accelerators) : std::nullopt;
        if (fit) {
            start(*it, *fit);
            it = m_queue.erase(it);
            continue;
        }
        if (!m_backfill)
            break;
        tooLarge = std::min(tooLarge, it->accelerators);
        ++it;
    }
    return std::move(m_pendingDecisions);
}

} // namespace jujubereach::bench
