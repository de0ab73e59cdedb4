#include "jujubereach/placement/freeruns.h"

#include <algorithm>
#include <bit>
#include <iterator>

namespace jujubereach::placement {

std::uint32_t alignmentOf(std::uint32_t count, std::uint32_t acceleratorsPerWorker)
{
    if (count >= acceleratorsPerWorker)
        return acceleratorsPerWorker;
    auto block = std::bit_ceil(count);
    return acceleratorsPerWorker % block == 0 ? block : acceleratorsPerWorker;
}

FreeRuns::FreeRuns(std::uint32_t acceleratorsPerWorker)
    : m_acceleratorsPerWorker(acceleratorsPerWorker)
{
}

void FreeRuns::insert(const Run& run)
{
    m_byFirst.emplace(run.first, run.count);
    m_byCount.emplace(run.count, run.first);
    m_total += run.count;
}

void FreeRuns::erase(const Run& run)
{
    m_byFirst.erase(run.first);
    m_byCount.erase({ run.count, run.first });
    m_total -= run.count;
}

void FreeRuns::add(const Run& run)
{
    if (run.count == 0)
        return;
    Run merged = run;
    auto next = m_byFirst.lower_bound(run.first);
    if (next != m_byFirst.begin()) {
        auto [first, count] = *std::prev(next);
        if (first + count == run.first) {
            merged = { first, count + merged.count };
            erase({ first, count });
        }
    }
    if (next != m_byFirst.end() && next->first == run.end()) {
        Run following { next->first, next->second };
        merged.count += following.count;
        erase(following);
    }
    insert(merged);
}

void FreeRuns::remove(const Run& run)
{
    if (run.count == 0)
        return;
    auto [first, count] = *std::prev(m_byFirst.upper_bound(run.first));
    Run whole { first, count };
    erase(whole);
    if (whole.first < run.first)
        insert({ whole.first, run.first - whole.first });
    if (run.end() < whole.end())
        insert({ run.end(), whole.end() - run.end() });
}

std::optional<Run> FreeRuns::firstAccepted(
    const Run& free, std::uint32_t count, std::uint32_t step, Side side, const Accept& accept) const
{
    auto low = (free.first + step - 1) / step * step;
    if (low + count > free.end())
        return std::nullopt;
    auto positions = (free.end() - count - low) / step + 1;
    for (std::uint32_t i = 0; i < positions; ++i) {
        ++m_stepCount;
        Run candidate { low + step * (side == Side::Low ? i : positions - 1 - i), count };
        if (!accept || accept(candidate))
            return candidate;
    }
    return std::nullopt;
}

std::optional<Run> FreeRuns::bestFit(std::uint32_t count, Side side, const Accept& accept) const
{
    auto step = alignmentOf(count, m_acceleratorsPerWorker);
    for (auto each : { step, 1U }) {
        for (auto it = m_byCount.lower_bound({ count, 0 }); it != m_byCount.end(); ++it) {
            ++m_stepCount;
            if (auto found = firstAccepted({ it->second, it->first }, count, each, side, accept))
                return found;
        }
    }
    return std::nullopt;
}

std::optional<Run> FreeRuns::highestFit(std::uint32_t count, const Accept& accept) const
{
    auto step = alignmentOf(count, m_acceleratorsPerWorker);
    std::optional<Run> found;
    for (auto each : { step, 1U }) {
        auto fits = [&](const auto& free) {
            ++m_stepCount;
            found = firstAccepted({ free.first, free.second }, count, each, Side::High, accept);
            return found.has_value();
        };
        if (std::any_of(m_byFirst.rbegin(), m_byFirst.rend(), fits))
            return found;
    }
    return std::nullopt;
}

std::uint32_t FreeRuns::largest() const
{
    return m_byCount.empty() ? 0 : m_byCount.rbegin()->first;
}

} // namespace jujubereach::placement
