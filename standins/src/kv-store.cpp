// The key-value service's store.
#include "kv-store.h"

#include <algorithm>

namespace jujubereach::standins {

using platform::KvReply;
using platform::KvStatus;

namespace {

    constexpr Duration watchSlice { 50 };

} // namespace

KvReply KvStore::get(const std::string& key) const
{
    const std::scoped_lock lock(m_mutex);
    auto found = m_entries.find(key);
    if (found == m_entries.end() || found->second.removed)
        return { KvStatus::NotFound, {}, m_revision };
    const auto& stored = found->second;
    return { KvStatus::Ok, { { key, stored.value, stored.revision } }, stored.revision };
}

KvReply KvStore::list(const std::string& prefix) const
{
    const std::scoped_lock lock(m_mutex);
    KvReply reply { KvStatus::Ok, {}, m_revision };
    for (auto i = m_entries.lower_bound(prefix); i != m_entries.end() && i->first.starts_with(prefix); ++i) {
        if (!i->second.removed)
            reply.entries.push_back({ i->first, i->second.value, i->second.revision });
    }
    return reply;
}

KvReply KvStore::compareAndSwap(const std::string& key, const std::string& value, Revision expected)
{
    if (value.size() > platform::maxValueBytes)
        return { KvStatus::TooLarge, {}, {} };
    return write(key, { value, {}, false }, expected);
}

KvReply KvStore::remove(const std::string& key, Revision expected)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (revisionOf(key).value == 0)
            return { KvStatus::NotFound, {}, m_revision };
    }
    return write(key, { {}, {}, true }, expected);
}

KvReply KvStore::write(const std::string& key, Stored stored, Revision expected)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto current = revisionOf(key); current != expected)
        return { KvStatus::Conflict, {}, current };
    ++m_revision.value;
    stored.revision = m_revision;
    m_entries[key] = std::move(stored);
    m_changed.notify_all();
    return { KvStatus::Ok, {}, m_revision };
}

Revision KvStore::revisionOf(const std::string& key) const
{
    auto found = m_entries.find(key);
    return found == m_entries.end() || found->second.removed ? Revision {} : found->second.revision;
}

KvReply KvStore::watch(
    const std::string& prefix, Revision after, Duration wait, const std::function<bool()>& interrupted) const
{
    const auto end = steadyClock()() + wait;
    std::unique_lock lock(m_mutex);
    auto reply = changedAfter(prefix, after);
    while (reply.entries.empty() && steadyClock()() < end && !interrupted()) {
        m_changed.wait_for(lock, std::min(watchSlice, end - steadyClock()()));
        reply = changedAfter(prefix, after);
    }
    return reply;
}

KvReply KvStore::changedAfter(const std::string& prefix, Revision after) const
{
    KvReply reply { KvStatus::Ok, {}, m_revision };
    for (auto i = m_entries.lower_bound(prefix); i != m_entries.end() && i->first.starts_with(prefix); ++i) {
        if (i->second.revision > after)
            reply.entries.push_back({ i->first, i->second.value, i->second.revision });
    }
    return reply;
}

} // namespace jujubereach::standins
