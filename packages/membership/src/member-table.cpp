// Records of members and the order of claims about them.
#include "member-table.h"

#include "jujubereach/base/random.h"

#include <tuple>

namespace jujubereach::membership {

const char* nameOf(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        return "dead";
    }
    return "unknown";
}

bool replaces(const MemberUpdate& a, const MemberUpdate& b)
{
    return std::tie(a.incarnation, a.sequence, a.state) > std::tie(b.incarnation, b.sequence, b.state);
}

std::uint64_t hashOf(const MemberUpdate& update)
{
    if (update.state == MemberState::Dead)
        return 0;
    auto stateSeed = static_cast<std::uint64_t>(update.state) + 1;
    return stableHash(update.id.str(), update.incarnation.value * 4 + stateSeed);
}

bool MemberTable::apply(const MemberUpdate& claim, TimePoint now)
{
    auto [place, isNew] = m_entries.try_emplace(claim.id);
    auto& entry = place->second;
    if (!isNew && !replaces(claim, entry.update))
        return false;
    noteChange(isNew ? nullptr : &entry.update, claim);
    if (claim.incarnation != entry.update.incarnation)
        entry.heardAt.reset();
    if (isNew || claim.state != entry.update.state || claim.incarnation != entry.update.incarnation)
        entry.changedAt = now;
    entry.update = claim;
    return true;
}

void MemberTable::noteChange(const MemberUpdate* before, const MemberUpdate& after)
{
    if (before && before->incarnation == after.incarnation && before->state == after.state)
        return;
    m_hash += hashOf(after) - (before ? hashOf(*before) : 0);
    bool wasDead = !before || before->state == MemberState::Dead;
    bool isDead = after.state == MemberState::Dead;
    if (wasDead && isDead)
        return;
    if (wasDead)
        ++m_reachable;
    if (isDead)
        --m_reachable;
    ++m_version;
    m_changes.push_back({ after.id, after.incarnation,
        before ? std::optional<MemberState>(before->state) : std::nullopt, after.state });
}

void MemberTable::noteHeard(const HostId& id, TimePoint now)
{
    if (auto entry = m_entries.find(id); entry != m_entries.end())
        entry->second.heardAt = now;
}

void MemberTable::forgetDead(TimePoint before)
{
    std::erase_if(
        m_entries, [&](const auto& item) { return item.second.isDead() && item.second.changedAt < before; });
}

const MemberEntry* MemberTable::find(const HostId& id) const
{
    auto entry = m_entries.find(id);
    return entry == m_entries.end() ? nullptr : &entry->second;
}

std::vector<HostId> MemberTable::reachable() const
{
    std::vector<HostId> ids;
    for (const auto& [id, entry] : m_entries) {
        if (!entry.isDead())
            ids.push_back(id);
    }
    return ids;
}

std::vector<MemberChange> MemberTable::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace jujubereach::membership
