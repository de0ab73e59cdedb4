#include "copies.h"

#include "jujubereach/journal/job-journal.h"

#include <glog/logging.h>

namespace jujubereach::daemon {

namespace {

    constexpr std::size_t maxCopies = 20'000;
    constexpr Duration copyTimeout { 500 };
    constexpr Duration flushInterval { 500 };
    // Below the time for which the journal keeps ends, so that a flush never revives an ended job.
    constexpr Duration copyRetention { 45 * 60'000 };
    constexpr std::size_t flushedAtOnce = 200;

    std::string packed(const journal::Record& record)
    {
        return record.id + "\n" + record.body;
    }

    journal::Record unpacked(const std::string& text)
    {
        const auto end = text.find('\n');
        if (end == std::string::npos)
            return { text, {} };
        return { text.substr(0, end), text.substr(end + 1) };
    }

} // namespace

Copies::Copies(Context& ctx, Cluster& cluster)
    : m_ctx(ctx)
    , m_cluster(cluster)
{
}

void Copies::start()
{
    m_ctx.loop.every(flushInterval, [this] { flushOrphans(); });
}

void Copies::spread(
    const std::string& scope, const journal::Record& record, const std::function<void(std::size_t)>& then)
{
    struct Count {
        std::size_t waiting = 0;
        std::size_t taken = 0;
    };
    const auto peers = m_cluster.peerAddresses();
    if (peers.empty())
        return then(0);
    auto count = std::make_shared<Count>();
    count->waiting = peers.size();
    for (const auto& address : peers) {
        wire::CopyRecordsT copy;
        copy.kind = wire::CopyKind::Jobs;
        copy.scope = scope;
        copy.records.push_back(packed(record));
        m_ctx.peers->call(
            address, wire::bodyOf(std::move(copy)), copyTimeout, [count, then](wire::CallResult result) {
                if (result.reply && result.reply->body.AsAccepted())
                    ++count->taken;
                if (--count->waiting == 0)
                    then(count->taken);
            });
    }
}

void Copies::release(const std::string& scope, const std::string& recordId)
{
    for (const auto& address : m_cluster.peerAddresses()) {
        wire::DropCopiesT drop;
        drop.kind = wire::CopyKind::Jobs;
        drop.scope = scope;
        drop.ids.push_back(recordId);
        m_ctx.peers->notify(address, wire::bodyOf(std::move(drop)));
    }
}

bool Copies::keep(const wire::EnvelopeT& envelope, const wire::CopyRecordsT& copy)
{
    if (count() + copy.records.size() > maxCopies)
        return false;
    for (const auto& text : copy.records) {
        auto record = unpacked(text);
        const auto id = record.id;
        m_scopes[copy.scope][id]
            = { std::move(record), HostId(envelope.host), { envelope.incarnation }, m_ctx.clock(), false };
    }
    return true;
}

void Copies::drop(const wire::DropCopiesT& copy)
{
    auto it = m_scopes.find(copy.scope);
    if (it == m_scopes.end())
        return;
    for (const auto& id : copy.ids)
        it->second.erase(id);
    if (it->second.empty())
        m_scopes.erase(it);
}

std::vector<journal::Record> Copies::orphansOf(const std::string& scope) const
{
    std::vector<journal::Record> records;
    auto it = m_scopes.find(scope);
    if (it == m_scopes.end())
        return records;
    for (const auto& [id, copy] : it->second) {
        if (isOrphan(copy))
            records.push_back(copy.record);
    }
    return records;
}

std::size_t Copies::count() const
{
    std::size_t total = 0;
    for (const auto& [name, scope] : m_scopes)
        total += scope.size();
    return total;
}

void Copies::flushOrphans()
{
    std::size_t flushed = 0;
    for (auto& [name, scope] : m_scopes) {
        std::erase_if(
            scope, [&](const auto& entry) { return m_ctx.clock() - entry.second.keptAt > copyRetention; });
        for (auto& [id, copy] : scope) {
            if (flushed >= flushedAtOnce)
                return;
            if (copy.flushing || !isOrphan(copy))
                continue;
            flush(name, copy);
            ++flushed;
        }
    }
}

void Copies::flush(const std::string& scope, Copy& copy)
{
    copy.flushing = writerOf(scope)->add(journal::asCopied(copy.record));
}

std::shared_ptr<CommitterDriver> Copies::writerOf(const std::string& scope)
{
    auto& writer = m_writers[scope];
    if (writer)
        return writer;
    journal::CommitterConfig config;
    config.key = scope;
    config.writer = m_ctx.holder() + "/copies";
    config.rank = journal::CallRank::Jobs;
    config.seed = m_ctx.random.next();
    DriverHooks hooks;
    hooks.onCompletion = [this, scope](const journal::Completion& completion) {
        LOG(INFO) << "copies: record " << completion.id << " of a host that is gone is flushed";
        if (auto it = m_scopes.find(scope); it != m_scopes.end())
            it->second.erase(completion.id);
    };
    writer = CommitterDriver::create(m_ctx, std::move(config), journal::jobJournalApply(), std::move(hooks));
    return writer;
}

} // namespace jujubereach::daemon
