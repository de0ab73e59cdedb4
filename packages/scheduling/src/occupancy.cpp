#include "occupancy.h"

namespace jujubereach::scheduling {

Occupancy::Occupancy(std::uint32_t accelerators, std::uint32_t acceleratorsPerWorker)
    : m_perWorker(acceleratorsPerWorker)
    , m_slots(accelerators)
    , m_unprotectedFree(acceleratorsPerWorker)
    , m_protectedFree(acceleratorsPerWorker)
    , m_allFree(acceleratorsPerWorker)
{
}

void Occupancy::grow(std::uint32_t accelerators)
{
    if (accelerators > m_slots.size())
        m_slots.resize(accelerators);
}

bool Occupancy::vacant(const Run& run) const
{
    for (auto at = run.first; at < run.end(); ++at) {
        if (m_slots[at].gang || m_slots[at].holds > 0)
            return false;
    }
    return true;
}

void Occupancy::index(const Run& run, bool add)
{
    auto apply
        = [add](placement::FreeRuns& runs, const Run& part) { add ? runs.add(part) : runs.remove(part); };
    for (auto at = run.first; at < run.end();) {
        auto first = at;
        const auto& slot = m_slots[first];
        auto same = [&](const Slot& other) {
            return other.free() == slot.free() && (other.protections > 0) == (slot.protections > 0);
        };
        while (at < run.end() && same(m_slots[at]))
            ++at;
        if (!slot.free())
            continue;
        Run part { first, at - first };
        apply(m_allFree, part);
        apply(slot.protections > 0 ? m_protectedFree : m_unprotectedFree, part);
    }
}

void Occupancy::count(const Run& run, bool add)
{
    std::uint32_t usable = 0;
    for (auto at = run.first; at < run.end(); ++at)
        usable += m_slots[at].usable ? 1 : 0;
    m_usable = add ? m_usable + usable : m_usable - usable;
}

template <typename Change> void Occupancy::update(const Run& run, Change change)
{
    index(run, false);
    count(run, false);
    for (auto at = run.first; at < run.end(); ++at)
        change(m_slots[at]);
    index(run, true);
    count(run, true);
}

void Occupancy::setUsable(const Run& run, bool usable)
{
    update(run, [usable](Slot& slot) { slot.usable = usable; });
}

void Occupancy::occupy(const Run& run, Gang* gang)
{
    update(run, [gang](Slot& slot) { slot.gang = gang; });
}

void Occupancy::vacate(const Run& run, const Gang* gang)
{
    update(run, [gang](Slot& slot) { slot.gang = slot.gang == gang ? nullptr : slot.gang; });
}

void Occupancy::protect(const Run& run)
{
    update(run, [](Slot& slot) { ++slot.protections; });
}

void Occupancy::unprotect(const Run& run)
{
    update(run, [](Slot& slot) { --slot.protections; });
}

void Occupancy::hold(const Run& run)
{
    update(run, [](Slot& slot) { ++slot.holds; });
}

void Occupancy::release(const Run& run)
{
    update(run, [](Slot& slot) { --slot.holds; });
}

} // namespace jujubereach::scheduling
