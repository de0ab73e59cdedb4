#include "jujubereach/journal/group-log.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace jujubereach::journal {

using platform::KvStatus;

namespace {

    constexpr std::size_t maxOperationIds = 64; ///< Kept in a value.
    constexpr std::uint32_t maxDoublings = 10;

    bool contains(const std::vector<std::string>& list, const std::string& item)
    {
        return std::ranges::find(list, item) != list.end();
    }

} // namespace

platform::KvReply executeCall(const platform::KvService& service, const KvCall& call)
{
    if (call.kind == CallKind::Read)
        return service.get(call.key);
    return service.compareAndSwap(call.key, call.value, call.expected);
}

GroupCommitter::GroupCommitter(CommitterConfig config, ApplyRecords apply)
    : m_config(std::move(config))
    , m_apply(std::move(apply))
    , m_random(m_config.seed ^ stableHash(m_config.writer + m_config.key))
    , m_batchLimit(m_config.maxBatch)
{
}

bool GroupCommitter::add(Record record, TimePoint now)
{
    if (m_ids.contains(record.id))
        return true;
    std::size_t bytes = m_pendingBytes + record.body.size();
    if (m_pending.size() >= m_config.maxPending || bytes > m_config.maxPendingBytes)
        return false;
    m_pendingBytes = bytes;
    m_ids.insert(record.id);
    m_pending.push_back({ std::move(record), now });
    return true;
}

CommitStatus GroupCommitter::withdraw(const std::string& id)
{
    bool sent = m_write && contains(m_write->ids, id);
    for (const auto& write : m_unknown)
        sent = sent || contains(write.ids, id);
    m_ids.erase(id);
    std::erase_if(m_pending, [&](const Pending& each) {
        m_pendingBytes -= each.record.id == id ? each.record.body.size() : 0;
        return each.record.id == id;
    });
    return sent ? CommitStatus::Unknown : CommitStatus::NotWritten;
}

bool GroupCommitter::wantsCall() const
{
    bool hasUnknownWrites = !m_value && !m_unknown.empty();
    return !m_reading && !m_write && (m_readWanted || !m_pending.empty() || hasUnknownWrites);
}

TimePoint GroupCommitter::nextDue() const
{
    return wantsCall() ? m_notBefore : TimePoint::max();
}

std::optional<KvCall> GroupCommitter::nextCall(TimePoint now, CallBudget& budget)
{
    if (!wantsCall() || now < m_notBefore)
        return std::nullopt;
    if (!m_value || m_readWanted)
        return read(now, budget);
    return write(now, budget);
}

std::optional<KvCall> GroupCommitter::read(TimePoint now, CallBudget& budget)
{
    if (!budget.take(CallKind::Read, m_config.priority, now))
        return std::nullopt;
    m_reading = true;
    m_readWanted = false;
    m_readIssuedAt = now;
    return KvCall { CallKind::Read, m_config.key, {}, {} };
}

std::optional<KvCall> GroupCommitter::write(TimePoint now, CallBudget& budget)
{
    auto prepared = prepareWrite(now);
    if (prepared.payload == m_value->payload) {
        if (!isFreshFor(prepared))
            return read(now, budget);
        complete(prepared);
        return std::nullopt;
    }
    auto value = encode(prepared);
    if (value.size() > platform::maxValueBytes) {
        onTooLarge(prepared);
        return std::nullopt;
    }
    if (!budget.take(CallKind::Write, m_config.priority, now))
        return std::nullopt;
    m_write = std::move(prepared);
    return KvCall { CallKind::Write, m_config.key, std::move(value), m_write->expected };
}

GroupCommitter::Write GroupCommitter::prepareWrite(TimePoint now)
{
    std::vector<Record> records;
    Write write;
    for (const auto& pending : m_pending) {
        if (records.size() == m_batchLimit)
            break;
        records.push_back(pending.record);
        write.ids.push_back(pending.record.id);
    }
    auto applied = m_apply(m_value->payload, records);
    write.operation = m_config.writer + "/" + std::to_string(m_nextOperation++);
    write.rejections = std::move(applied.rejections);
    write.rejections.resize(write.ids.size());
    write.payload = std::move(applied.payload);
    write.expected = m_value->revision;
    write.issuedAt = now;
    return write;
}

// Records can be completed without a write only against a value that was current after they were added. The
// records of a newly prepared write are the first pending ones.
bool GroupCommitter::isFreshFor(const Write& write) const
{
    return std::all_of(m_pending.begin(), m_pending.begin() + static_cast<std::ptrdiff_t>(write.ids.size()),
        [&](const Pending& pending) { return pending.addedAt <= m_value->callIssuedAt; });
}

void GroupCommitter::onReply(const platform::KvReply& reply, TimePoint now)
{
    if (std::exchange(m_reading, false))
        onRead(reply, now);
    else if (m_write)
        onWritten(reply, now);
}

void GroupCommitter::onRead(const platform::KvReply& reply, TimePoint now)
{
    if (reply.status != KvStatus::Ok && reply.status != KvStatus::NotFound) {
        m_readWanted = true;
        return backOff(now);
    }
    m_failures = 0;
    ++m_reads;
    m_value = Value { {}, {}, {}, m_readIssuedAt };
    if (reply.status == KvStatus::Ok && !reply.entries.empty()) {
        m_value->revision = reply.entries.front().revision;
        decode(reply.entries.front().value);
    }
    resolveUnknownWrites();
}

// A write without a reply took effect if and only if the value contains its operation id. While the value is
// still at the revision that the write expects, the write may take effect later.
void GroupCommitter::resolveUnknownWrites()
{
    auto unknown = std::exchange(m_unknown, {});
    for (auto& write : unknown) {
        if (contains(m_value->operations, write.operation))
            complete(write);
        else if (write.expected == m_value->revision)
            m_unknown.push_back(std::move(write));
    }
}

void GroupCommitter::onWritten(const platform::KvReply& reply, TimePoint now)
{
    auto write = std::move(*m_write);
    m_write.reset();
    switch (reply.status) {
    case KvStatus::Ok:
        m_failures = 0;
        m_unknown.clear(); // They expect an older revision and can no longer take effect.
        m_value->operations.push_back(write.operation);
        if (m_value->operations.size() > maxOperationIds)
            m_value->operations.erase(m_value->operations.begin());
        m_value->payload = write.payload;
        m_value->revision = reply.revision;
        m_value->callIssuedAt = write.issuedAt;
        m_notBefore = now + m_config.interval;
        m_batchLimit = std::min(m_batchLimit * 2, m_config.maxBatch);
        complete(write);
        break;
    case KvStatus::Conflict:
    case KvStatus::NotFound:
        m_failures = 0;
        m_value.reset();
        break;
    case KvStatus::TooLarge:
        onTooLarge(write);
        break;
    case KvStatus::Limited:
    case KvStatus::Unreachable:
        backOff(now);
        break;
    case KvStatus::Unknown:
        m_unknown.push_back(std::move(write));
        m_value.reset();
        backOff(now);
        break;
    }
}

void GroupCommitter::onTooLarge(const Write& write)
{
    if (write.ids.size() > 1) {
        m_batchLimit = write.ids.size() / 2;
        return;
    }
    Write rejected;
    rejected.ids = write.ids;
    rejected.rejections = { "the value would be too large" };
    complete(rejected);
}

void GroupCommitter::complete(const Write& write)
{
    for (std::size_t i = 0; i < write.ids.size(); ++i) {
        auto pending = std::ranges::find_if(
            m_pending, [&](const Pending& each) { return each.record.id == write.ids[i]; });
        if (pending == m_pending.end())
            continue;
        m_pendingBytes -= pending->record.body.size();
        m_ids.erase(write.ids[i]);
        m_pending.erase(pending);
        const auto& reason = write.rejections[i];
        m_completions.push_back(
            { write.ids[i], reason.empty() ? CommitStatus::Committed : CommitStatus::Rejected, reason });
    }
}

std::vector<Completion> GroupCommitter::takeCompletions()
{
    return std::exchange(m_completions, {});
}

// The delay is a random value in the upper half of the exponential bound, so that hosts that failed at the
// same time do not retry at the same time.
void GroupCommitter::backOff(TimePoint now)
{
    auto doublings = std::min(m_failures++, maxDoublings);
    auto bound = std::min<Duration>(m_config.minBackoff * (1LL << doublings), m_config.maxBackoff);
    auto half = bound.count() / 2;
    m_notBefore = now + Duration(half + static_cast<std::int64_t>(m_random.below(half + 1)));
}

std::string payloadOf(const std::string& value)
{
    auto end = value.find('\n');
    return end == std::string::npos ? std::string() : value.substr(end + 1);
}

// A value is a line of operation ids, followed by the payload.
std::string GroupCommitter::encode(const Write& write) const
{
    std::string line;
    for (const auto& operation : m_value->operations)
        line += operation + " ";
    return line + write.operation + "\n" + write.payload;
}

void GroupCommitter::decode(const std::string& value)
{
    auto end = value.find('\n');
    if (end == std::string::npos)
        return;
    std::istringstream line(value.substr(0, end));
    for (std::string operation; line >> operation;)
        m_value->operations.push_back(operation);
    m_value->payload = payloadOf(value);
}

} // namespace jujubereach::journal
