// The records of the other hosts of a zone and the rule by which claims replace each other.
#pragma once

#include "jujubereach/base/time.h"
#include "jujubereach/membership/members.h"

#include <map>
#include <optional>
#include <vector>

namespace jujubereach::membership {

struct MemberEntry {
    MemberUpdate update;
    TimePoint changedAt;
    std::optional<TimePoint> heardAt; ///< Last message of this incarnation to this host.

    bool isDead() const { return update.state == MemberState::Dead; }
};

class MemberTable {
public:
    /// Takes the claim in when it replaces what is known; returns whether it did.
    bool apply(const MemberUpdate& claim, TimePoint now);
    /// The member itself spoke.
    void noteHeard(const HostId& id, TimePoint now);
    void forgetDead(TimePoint before);

    const MemberEntry* find(const HostId& id) const;
    const std::map<HostId, MemberEntry>& entries() const { return m_entries; }
    /// Hosts that are not dead, in order of id.
    std::vector<HostId> reachable() const;
    std::size_t reachableCount() const { return m_reachable; }

    std::uint64_t version() const { return m_version; }
    /// Sum of the hashes of the hosts that are not dead; the order of changes does not matter.
    std::uint64_t hash() const { return m_hash; }
    std::vector<MemberChange> takeChanges();

private:
    void noteChange(const MemberUpdate* before, const MemberUpdate& after);

    // Invariant: of each host only the record of its highest incarnation is kept, so that an older one never
    // comes back while the record lasts.
    std::map<HostId, MemberEntry> m_entries;
    std::vector<MemberChange> m_changes;
    std::uint64_t m_version = 0;
    std::uint64_t m_hash = 0;
    std::size_t m_reachable = 0; ///< Entries that are not dead.
};

/// Part of a member in the hash of a view; 0 for a dead one.
std::uint64_t hashOf(const MemberUpdate& update);

} // namespace jujubereach::membership
