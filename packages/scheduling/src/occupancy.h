// Occupancy of a domain's accelerators: gangs, protections, claims and the indexes of free runs.
#pragma once

#include "jujubereach/placement/freeruns.h"
#include "records.h"

#include <cstdint>
#include <vector>

namespace jujubereach::scheduling {

class Occupancy {
public:
    Occupancy(std::uint32_t accelerators, std::uint32_t acceleratorsPerWorker);

    /// Adds accelerators at the end, unusable at first; never removes any.
    void grow(std::uint32_t accelerators);

    std::uint32_t size() const { return static_cast<std::uint32_t>(m_slots.size()); }
    std::uint32_t perWorker() const { return m_perWorker; }
    std::uint32_t workerOf(std::uint32_t accelerator) const { return accelerator / m_perWorker; }
    Run runOf(std::uint32_t worker) const { return { worker * m_perWorker, m_perWorker }; }

    void setUsable(const Run& run, bool usable);
    void occupy(const Run& run, Gang* gang);
    void vacate(const Run& run, const Gang* gang);
    /// Protects the run of a shape slot or reservation: only revocable gangs start in it. Protections nest.
    void protect(const Run& run);
    void unprotect(const Run& run);
    /// Holds the run of a claim: no gang starts in it until release().
    void hold(const Run& run);
    void release(const Run& run);

    Gang* gangAt(std::uint32_t accelerator) const { return m_slots[accelerator].gang; }
    /// True if no gang and no claim overlaps the run.
    bool vacant(const Run& run) const;
    bool usable(std::uint32_t accelerator) const { return m_slots[accelerator].usable; }
    bool isProtected(std::uint32_t accelerator) const { return m_slots[accelerator].protections > 0; }
    bool held(std::uint32_t accelerator) const { return m_slots[accelerator].holds > 0; }

    /// Free runs outside protected runs, inside them, and regardless of protection.
    const placement::FreeRuns& unprotectedFree() const { return m_unprotectedFree; }
    const placement::FreeRuns& protectedFree() const { return m_protectedFree; }
    const placement::FreeRuns& allFree() const { return m_allFree; }
    std::uint32_t usableCount() const { return m_usable; }

private:
    struct Slot {
        Gang* gang = nullptr;
        std::uint16_t protections = 0;
        std::uint16_t holds = 0;
        bool usable = false;

        bool free() const { return usable && !gang && holds == 0; }
    };

    /// Applies `change` to each slot of the run and updates the indexes.
    template <typename Change> void update(const Run& run, Change change);
    void index(const Run& run, bool add);
    void count(const Run& run, bool add);

    std::uint32_t m_perWorker;
    std::vector<Slot> m_slots;
    placement::FreeRuns m_unprotectedFree; ///< Exactly the free slots without protection.
    placement::FreeRuns m_protectedFree; ///< Exactly the free slots with protection.
    placement::FreeRuns m_allFree; ///< Exactly the free slots.
    std::uint32_t m_usable = 0;
};

} // namespace jujubereach::scheduling
