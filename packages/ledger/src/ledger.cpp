#include "jujubereach/ledger/ledger.h"

#include <algorithm>
#include <utility>

namespace jujubereach::ledger {

namespace {

    constexpr std::int64_t secondMs = 1'000;
    constexpr std::int64_t minuteMs = 60'000;
    constexpr std::int64_t hourMs = 3'600'000;

    /// Fraction of maxEntries in use from which callers, seconds and workspaces are merged.
    constexpr double mergeCallersFill = 0.5;
    constexpr double mergeSecondsFill = 0.7;
    constexpr double mergeWorkspacesFill = 0.85;

    journal::BufferLimits bufferLimits(std::size_t entries)
    {
        journal::BufferLimits limits;
        limits.maxRecords = 2 * entries;
        limits.maxBytes = 16 << 20;
        return limits;
    }

} // namespace

RefusalLedger::RefusalLedger(LedgerConfig config)
    : m_config(std::move(config))
    , m_buffer(m_config.host.str() + "#" + std::to_string(m_config.incarnation.value),
          bufferLimits(m_config.maxEntries))
{
}

std::string RefusalLedger::record(const Refusal& refusal, TimePoint now)
{
    ++m_recorded;
    auto& open = this->open(aggregationKeyOf(refusal), now);
    ++open.entry.count;
    return open.entry.reference;
}

// The key gets coarser as the number of entries approaches maxEntries. The coarsest keys are few: one per
// reason, `ran` value and hour.
RefusalLedger::AggregationKey RefusalLedger::aggregationKeyOf(const Refusal& refusal) const
{
    auto truncated = [&](const std::string& text) { return text.substr(0, m_config.maxFieldBytes); };
    double fill = static_cast<double>(entries()) / static_cast<double>(m_config.maxEntries);
    AggregationKey key { WorkspaceId(truncated(refusal.workspace.str())),
        CallerId(truncated(refusal.caller.str())), ClassId(truncated(refusal.workClass.str())),
        truncated(refusal.reason), refusal.ran, 0, secondMs };
    if (fill >= mergeCallersFill)
        key.caller = CallerId(wildcardId);
    if (fill >= mergeSecondsFill)
        key.span = minuteMs;
    if (fill >= mergeWorkspacesFill) {
        key.workspace = WorkspaceId(wildcardId);
        key.workClass = ClassId(wildcardId);
        key.span = hourMs;
    }
    key.from = refusal.at.milliseconds / key.span * key.span;
    return key;
}

RefusalLedger::OpenEntry& RefusalLedger::open(const AggregationKey& key, TimePoint now)
{
    auto [entry, added] = m_open.try_emplace(key);
    auto& open = entry->second;
    if (!added)
        return open;
    if (m_nextNumber >= m_config.entriesPerSegment) {
        ++m_currentSegment;
        m_nextNumber = 0;
    }
    open.segment = m_currentSegment;
    open.since = now;
    Reference reference { m_config.zone, m_config.host, m_config.incarnation, m_currentSegment,
        m_nextNumber++ };
    open.entry = { textOf(reference), key.workspace, key.caller, key.workClass, key.reason, key.ran,
        WallTime { key.from }, Duration(key.span), 0 };
    return open;
}

// While half of maxEntries are closed and not durable yet, entries stay open and keep aggregating.
void RefusalLedger::closeEntries(TimePoint now)
{
    for (auto entry = m_open.begin(); entry != m_open.end();) {
        bool due = now - entry->second.since >= m_config.openTime;
        if (!due || 2 * m_closedCount >= m_config.maxEntries) {
            ++entry;
            continue;
        }
        close(entry->second, now);
        entry = m_open.erase(entry);
    }
}

void RefusalLedger::close(OpenEntry& open, TimePoint now)
{
    auto record = encodeEntry(open.entry);
    auto& segment = segmentOf(open.segment);
    segment.committer->add(record, now);
    m_buffer.add(keyOfSegment(open.segment), record);
    segment.closedEntries.emplace(open.entry.reference, std::move(open.entry));
    ++m_closedCount;
}

RefusalLedger::Segment& RefusalLedger::segmentOf(std::uint64_t number)
{
    auto& segment = m_segments[number];
    if (!segment.committer) {
        journal::CommitterConfig config;
        config.key = keyOfSegment(number);
        config.writer = m_config.host.str() + "#" + std::to_string(m_config.incarnation.value);
        config.priority = journal::CallPriority::Refusals;
        config.maxPending = m_config.entriesPerSegment;
        config.interval = m_config.openTime;
        config.seed = m_config.seed;
        segment.committer = std::make_unique<journal::GroupCommitter>(config, applyEntries);
    }
    return segment;
}

std::string RefusalLedger::keyOfSegment(std::uint64_t number) const
{
    return segmentKey({ m_config.zone, m_config.host, m_config.incarnation, number, 0 });
}

std::optional<journal::KvCall> RefusalLedger::nextCall(TimePoint now, journal::CallBudget& budget)
{
    if (m_segmentInCall)
        return std::nullopt;
    closeEntries(now);
    for (auto& [number, segment] : m_segments) {
        if (auto call = segment.committer->nextCall(now, budget)) {
            m_segmentInCall = number;
            return call;
        }
        handleCompletions(segment);
    }
    std::erase_if(m_segments, [&](const auto& each) {
        return each.first != m_currentSegment && each.second.closedEntries.empty();
    });
    return std::nullopt;
}

void RefusalLedger::onReply(const platform::KvReply& reply, TimePoint now)
{
    if (!m_segmentInCall)
        return;
    auto& segment = m_segments.at(*std::exchange(m_segmentInCall, std::nullopt));
    segment.committer->onReply(reply, now);
    handleCompletions(segment);
}

void RefusalLedger::handleCompletions(Segment& segment)
{
    for (const auto& completion : segment.committer->takeCompletions()) {
        auto entry = segment.closedEntries.find(completion.id);
        if (entry == segment.closedEntries.end())
            continue;
        if (completion.status == journal::CommitStatus::Committed)
            m_durable += entry->second.count;
        segment.closedEntries.erase(entry);
        --m_closedCount;
        auto reference = outcomeOf([&] { return parseReference(completion.id); });
        if (reference)
            m_buffer.onJournaled(segmentKey(*reference.value), completion.id);
    }
}

TimePoint RefusalLedger::nextDue(TimePoint now) const
{
    auto due = TimePoint::max();
    if (!m_open.empty())
        due = now + m_config.openTime;
    for (const auto& [number, segment] : m_segments)
        due = std::min(due, segment.committer->nextDue());
    return due;
}

std::vector<RefusalEntry> RefusalLedger::pending(const RefusalQuery& query) const
{
    std::vector<RefusalEntry> entries;
    for (const auto& [key, open] : m_open)
        entries.push_back(open.entry);
    for (const auto& [number, segment] : m_segments) {
        for (const auto& [reference, entry] : segment.closedEntries)
            entries.push_back(entry);
    }
    return merge(entries, query);
}

RefusalLedger::Stats RefusalLedger::stats() const
{
    return { m_recorded, m_durable, entries() };
}

std::vector<platform::KvEntry> expiredSegments(
    const std::vector<platform::KvEntry>& segments, WallTime now, Duration retention)
{
    std::vector<platform::KvEntry> expired;
    for (const auto& segment : segments) {
        auto entries = outcomeOf([&] { return decodeSegment(segment.value); });
        if (!entries)
            continue;
        bool old = std::ranges::all_of(*entries.value, [&](const RefusalEntry& entry) {
            return entry.from.milliseconds + entry.span.count() < now.milliseconds - retention.count();
        });
        if (old)
            expired.push_back(segment);
    }
    return expired;
}

} // namespace jujubereach::ledger
