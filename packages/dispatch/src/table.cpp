#include "jujubereach/dispatch/table.h"

#include <utility>

namespace jujubereach::dispatch {

namespace {

    constexpr std::size_t entryBytes = 400; // of an entry beside its strings

    std::size_t bytesOf(const RequestLife& life)
    {
        const RequestInfo& info = life.info();
        std::size_t strings = info.id.str().size() + info.key.size() + info.caller.str().size();
        return entryBytes + strings + life.answer()->body.size();
    }

} // namespace

RequestLife* RequestTable::add(RequestInfo info)
{
    RequestId id = info.id;
    auto [place, isNew] = m_entries.try_emplace(id, Entry { RequestLife(std::move(info)), std::nullopt });
    return isNew ? &place->second.life : nullptr;
}

RequestLife* RequestTable::find(const RequestId& id)
{
    auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.life;
}

void RequestTable::keep(const RequestId& id, TimePoint now)
{
    auto found = m_entries.find(id);
    if (found == m_entries.end() || !found->second.life.answer())
        return;
    Entry& entry = found->second;
    if (entry.kept) {
        m_bytes -= (*entry.kept)->bytes;
        m_kept.erase(*entry.kept);
    }
    std::size_t bytes = bytesOf(entry.life);
    entry.kept = m_kept.insert(m_kept.end(), Kept { id, now, bytes });
    m_bytes += bytes;
    while (m_bytes > m_limits.answerBytes)
        dropOldest();
}

void RequestTable::dropOldest()
{
    m_bytes -= m_kept.front().bytes;
    m_entries.erase(m_kept.front().id);
    m_kept.pop_front();
}

Fetched RequestTable::fetch(const RequestId& id, const WorkspaceId& workspace, const CallerId& caller) const
{
    auto found = m_entries.find(id);
    if (found == m_entries.end())
        return {};
    const RequestLife& life = found->second.life;
    if (life.info().workspace != workspace || life.info().caller != caller)
        return {};
    if (!life.answer())
        return { FetchStatus::InProgress, {} };
    return { FetchStatus::Found, *life.answer() };
}

void RequestTable::prune(TimePoint now)
{
    while (!m_kept.empty() && now - m_kept.front().since >= m_limits.retention)
        dropOldest();
}

} // namespace jujubereach::dispatch
