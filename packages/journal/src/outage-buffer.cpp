#include "jujubereach/journal/outage-buffer.h"

#include <algorithm>
#include <utility>

namespace jujubereach::journal {

namespace {

    std::size_t bytesOf(const Record& record)
    {
        return record.id.size() + record.body.size();
    }

} // namespace

OutageBuffer::OutageBuffer(std::string holder, BufferLimits limits)
    : m_holder(std::move(holder))
    , m_limits(limits)
{
}

bool OutageBuffer::add(const std::string& key, const Record& record)
{
    auto& entries = m_values[key].entries;
    if (entries.contains(record.id))
        return true;
    if (m_count >= m_limits.maxRecords || m_bytes + bytesOf(record) > m_limits.maxBytes)
        return false;
    entries[record.id].record = record;
    ++m_count;
    m_bytes += bytesOf(record);
    return true;
}

void OutageBuffer::onJournaled(const std::string& key, const std::string& id)
{
    auto& value = m_values[key];
    auto entry = value.entries.find(id);
    if (entry == value.entries.end())
        return;
    --m_count;
    m_bytes -= bytesOf(entry->second.record);
    value.entries.erase(entry);
    value.journaled.push_back(id);
}

void OutageBuffer::onCopied(const PeerCopy& copy)
{
    auto& entries = m_values[copy.key].entries;
    for (const auto& record : copy.records) {
        if (auto entry = entries.find(record.id); entry != entries.end())
            entry->second.copied = true;
    }
}

void OutageBuffer::onPeersLost()
{
    for (auto& [key, value] : m_values) {
        for (auto& [id, entry] : value.entries) {
            entry.copied = false;
            entry.sendAt = TimePoint();
        }
    }
}

std::vector<PeerCopy> OutageBuffer::dueCopies(TimePoint now)
{
    std::vector<PeerCopy> copies;
    for (auto& [key, value] : m_values) {
        PeerCopy copy { m_holder, key, {}, std::exchange(value.journaled, {}) };
        for (auto& [id, entry] : value.entries) {
            if (now < entry.sendAt)
                continue;
            entry.sendAt = now + m_limits.refreshInterval;
            copy.records.push_back(entry.record);
        }
        if (!copy.records.empty() || !copy.journaled.empty())
            copies.push_back(std::move(copy));
    }
    std::erase_if(m_values, [](const auto& each) { return each.second.entries.empty(); });
    return copies;
}

Durability OutageBuffer::durabilityOf(const std::string& key, const std::string& id) const
{
    auto value = m_values.find(key);
    if (value == m_values.end() || !value->second.entries.contains(id))
        return Durability::Journal;
    return value->second.entries.at(id).copied ? Durability::Peer : Durability::Memory;
}

PeerCopies::PeerCopies(BufferLimits limits, std::uint64_t seed)
    : m_limits(limits)
    , m_random(seed)
{
}

bool PeerCopies::store(const PeerCopy& copy, TimePoint now)
{
    auto& holder = m_holders[copy.holder];
    for (const auto& id : copy.journaled)
        erase(holder, copy.key, id);
    std::size_t bytes = 0;
    std::size_t added = 0;
    auto& entries = holder.values[copy.key];
    for (const auto& record : copy.records) {
        added += entries.contains(record.id) ? 0 : 1;
        bytes += entries.contains(record.id) ? 0 : bytesOf(record);
    }
    if (m_count + added > m_limits.maxRecords || m_bytes + bytes > m_limits.maxBytes)
        return false;
    for (const auto& record : copy.records) {
        auto& entry = entries[record.id];
        entry.record = record;
        entry.expiresAt = now + m_limits.copyExpiry;
    }
    m_count += added;
    m_bytes += bytes;
    return true;
}

void PeerCopies::erase(Holder& holder, const std::string& key, const std::string& id)
{
    auto value = holder.values.find(key);
    if (value == holder.values.end())
        return;
    auto entry = value->second.find(id);
    if (entry == value->second.end())
        return;
    --m_count;
    m_bytes -= bytesOf(entry->second.record);
    value->second.erase(entry);
}

void PeerCopies::onHolderGone(const std::string& holder, TimePoint now)
{
    auto entry = m_holders.find(holder);
    if (entry == m_holders.end() || entry->second.gone)
        return;
    entry->second.gone = true;
    auto spread = static_cast<std::uint64_t>(m_limits.maxFlushDelay.count());
    entry->second.flushFrom = now + Duration(m_random.below(spread + 1));
}

void PeerCopies::onHolderBack(const std::string& holder)
{
    if (auto entry = m_holders.find(holder); entry != m_holders.end())
        entry->second.gone = false;
}

std::vector<PeerCopy> PeerCopies::takeFlush(bool serviceAnswers, std::size_t maxRecords, TimePoint now)
{
    bool recovered = !std::exchange(m_serviceAnswered, serviceAnswers) && serviceAnswers;
    std::vector<PeerCopy> flush;
    for (auto& [name, holder] : m_holders) {
        // Peers with copies of the same records must not all start flushing when the service recovers.
        if (recovered)
            holder.flushFrom = now
                + Duration(m_random.below(static_cast<std::uint64_t>(m_limits.maxFlushDelay.count()) + 1));
        if (!serviceAnswers || !holder.gone || now < holder.flushFrom)
            continue;
        for (auto& [key, entries] : holder.values) {
            PeerCopy copy { name, key, {}, {} };
            for (auto& [id, entry] : entries) {
                if (entry.flushing || maxRecords == 0)
                    continue;
                entry.flushing = true;
                --maxRecords;
                copy.records.push_back(entry.record);
            }
            if (!copy.records.empty())
                flush.push_back(std::move(copy));
        }
    }
    return flush;
}

void PeerCopies::onJournaled(const std::string& key, const std::string& id)
{
    for (auto& [name, holder] : m_holders)
        erase(holder, key, id);
}

void PeerCopies::expire(TimePoint now)
{
    for (auto& [name, holder] : m_holders) {
        for (auto& [key, entries] : holder.values) {
            std::vector<std::string> expired;
            for (const auto& [id, entry] : entries) {
                if (now >= entry.expiresAt)
                    expired.push_back(id);
            }
            for (const auto& id : expired)
                erase(holder, key, id);
        }
        std::erase_if(holder.values, [](const auto& value) { return value.second.empty(); });
    }
    std::erase_if(m_holders, [](const auto& holder) { return holder.second.values.empty(); });
}

} // namespace jujubereach::journal
