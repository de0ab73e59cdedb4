#include "copies.h"

#include "jujubereach/journal/job-journal.h"
#include "jujubereach/ledger/refusal.h"

#include <glog/logging.h>

#include <charconv>

namespace jujubereach::daemon {

namespace {

    constexpr Duration copyTimeout { 500 };
    constexpr Duration tickInterval { 200 };
    constexpr std::size_t flushedAtOnce = 200;

    wire::PeerCopyT toWire(const journal::PeerCopy& copy)
    {
        wire::PeerCopyT message;
        message.holder = copy.holder;
        message.key = copy.key;
        message.journaled = copy.journaled;
        for (const auto& record : copy.records) {
            auto entry = std::make_unique<wire::CopiedRecordT>();
            entry->id = record.id;
            entry->body = record.body;
            message.records.push_back(std::move(entry));
        }
        return message;
    }

    journal::PeerCopy fromWire(const wire::PeerCopyT& message)
    {
        journal::PeerCopy copy { message.holder, message.key, {}, message.journaled };
        for (const auto& entry : message.records)
            copy.records.push_back({ entry->id, entry->body });
        return copy;
    }

    bool isRefusals(const std::string& key)
    {
        return key.starts_with(ledger::segmentPrefix());
    }

    // Splits "<host>#<incarnation>".
    std::pair<HostId, Incarnation> splitHolder(const std::string& holder)
    {
        const auto mark = holder.find('#');
        Incarnation incarnation;
        if (mark != std::string::npos)
            std::from_chars(holder.data() + mark + 1, holder.data() + holder.size(), incarnation.value);
        return { HostId(holder.substr(0, mark)), incarnation };
    }

} // namespace

Copies::Copies(Context& ctx, Cluster& cluster)
    : m_ctx(ctx)
    , m_cluster(cluster)
    , m_own(ctx.holder(), {})
    , m_kept({}, ctx.random.next())
{
}

void Copies::start()
{
    m_ctx.loop.every(tickInterval, [this] {
        sendDue();
        noteGoneHolders();
        flush();
        m_kept.expire(m_ctx.clock());
    });
}

bool Copies::spread(
    const std::string& key, const journal::Record& record, const std::function<void(bool copied)>& then)
{
    if (!m_own.add(key, record))
        return false;
    send({ m_ctx.holder(), key, { record }, {} }, then);
    return true;
}

void Copies::release(const std::string& key, const std::string& recordId)
{
    m_own.onJournaled(key, recordId);
}

void Copies::sendDue()
{
    for (const auto& copy : m_own.dueCopies(m_ctx.clock())) {
        send(copy, [this, copy](bool copied) {
            if (copied)
                m_own.onCopied(copy);
        });
    }
}

void Copies::send(const journal::PeerCopy& copy, const std::function<void(bool copied)>& then)
{
    struct Count {
        std::size_t waiting = 0;
        bool taken = false;
    };
    const auto peers = m_cluster.peerAddresses();
    if (peers.empty())
        return then(false);
    auto count = std::make_shared<Count>();
    count->waiting = peers.size();
    for (const auto& address : peers) {
        m_ctx.peers->call(
            address, wire::bodyOf(toWire(copy)), copyTimeout, [count, then](const wire::CallResult& result) {
                count->taken = count->taken || (result.reply && result.reply->body.AsAccepted());
                if (--count->waiting == 0)
                    then(count->taken);
            });
    }
}

bool Copies::keep(const wire::PeerCopyT& message)
{
    m_holders.insert(message.holder);
    return m_kept.store(fromWire(message), m_ctx.clock());
}

void Copies::noteGoneHolders()
{
    for (auto it = m_holders.begin(); it != m_holders.end();) {
        const auto [host, incarnation] = splitHolder(*it);
        if (!m_cluster.isGone(host, incarnation)) {
            ++it;
            continue;
        }
        LOG(INFO) << "copies: " << *it << " is gone, its copies are flushed when the service answers";
        m_kept.onHolderGone(*it, m_ctx.clock());
        it = m_holders.erase(it);
    }
}

void Copies::flush()
{
    for (const auto& copy : m_kept.takeFlush(m_ctx.serviceAnswers, flushedAtOnce, m_ctx.clock())) {
        for (const auto& record : copy.records)
            writerOf(copy.key).add(isRefusals(copy.key) ? record : journal::asCopied(record));
    }
}

CommitterDriver& Copies::writerOf(const std::string& key)
{
    auto& writer = m_writers[key];
    if (writer)
        return *writer;
    journal::CommitterConfig config;
    config.key = key;
    config.writer = m_ctx.holder() + "/copies";
    config.priority = isRefusals(key) ? journal::CallPriority::Refusals : journal::CallPriority::Jobs;
    config.seed = m_ctx.random.next();
    auto apply = isRefusals(key) ? journal::ApplyRecords(ledger::applyEntries) : journal::jobJournalApply();
    writer = std::make_unique<CommitterDriver>(m_ctx, std::move(config), std::move(apply),
        [this, key](const journal::Completion& completion) { m_kept.onJournaled(key, completion.id); });
    return *writer;
}

} // namespace jujubereach::daemon
