#include "refusals.h"

#include <Poco/JSON/Array.h>
#include <glog/logging.h>

#include <algorithm>

namespace jujubereach::daemon {

namespace {

    constexpr Duration copyInterval { 500 };
    constexpr Duration expiryInterval { 600'000 };
    constexpr Duration keepRefusals { 30LL * 24 * 3'600'000 };

    Json toJson(const ledger::RefusalEntry& entry)
    {
        auto json = makeJson();
        json->set("reference", entry.reference);
        json->set("time", static_cast<Poco::Int64>(entry.from.milliseconds));
        json->set("spanMs", static_cast<Poco::Int64>(entry.span.count()));
        json->set("workspace", entry.workspace.str());
        json->set("caller", entry.caller.str());
        json->set("class", entry.workClass.str());
        json->set("reason", entry.reason);
        json->set("count", static_cast<Poco::UInt64>(entry.count));
        json->set("ran", entry.ran);
        return json;
    }

    ledger::RefusalEntry fromJson(const Json& json)
    {
        ledger::RefusalEntry entry;
        entry.reference = json->optValue<std::string>("reference", "");
        entry.from = { json->optValue<Poco::Int64>("time", 0) };
        entry.span = Duration(json->optValue<Poco::Int64>("spanMs", 0));
        entry.workspace = WorkspaceId(json->optValue<std::string>("workspace", ""));
        entry.caller = CallerId(json->optValue<std::string>("caller", ""));
        entry.workClass = ClassId(json->optValue<std::string>("class", ""));
        entry.reason = json->optValue<std::string>("reason", "");
        entry.count = json->optValue<Poco::UInt64>("count", 0);
        entry.ran = json->optValue<std::string>("ran", "");
        return entry;
    }

    Rows rowsOf(const std::vector<ledger::RefusalEntry>& entries)
    {
        Rows rows = new Poco::JSON::Array;
        for (const auto& entry : entries)
            rows->add(toJson(entry));
        return rows;
    }

    template <typename T> void setId(std::optional<T>& id, const ApiRequest& call, const std::string& name)
    {
        if (auto it = call.query.find(name); it != call.query.end() && !it->second.empty())
            id = T(it->second);
    }

    ledger::RefusalQuery queryOf(const ApiRequest& call)
    {
        ledger::RefusalQuery query;
        setId(query.reference, call, "reference");
        setId(query.workspace, call, "workspace");
        setId(query.caller, call, "caller");
        setId(query.workClass, call, "class");
        setId(query.reason, call, "reason");
        return query;
    }

    // The segments that may hold a match: one for a reference, else all.
    platform::KvReply readSegments(const platform::KvService& kv, const ledger::RefusalQuery& query)
    {
        const auto reference = query.reference
            ? outcomeOf([&] { return ledger::parseReference(*query.reference); })
            : Outcome<ledger::Reference>();
        if (reference)
            return kv.get(ledger::segmentKey(*reference.value));
        return kv.list(ledger::segmentPrefix());
    }

} // namespace

Refusals::Refusals(Context& ctx, Cluster& cluster, Copies& copies)
    : m_ctx(ctx)
    , m_cluster(cluster)
    , m_copies(copies)
    , m_ledger([&ctx] {
        ledger::LedgerConfig config;
        config.zone = ctx.settings.zone;
        config.host = ctx.self.host;
        config.incarnation = ctx.self.incarnation;
        config.seed = ctx.random.next();
        return config;
    }())
{
    CallSource source;
    source.next
        = [this](TimePoint now, journal::CallBudget& budget) { return m_ledger.nextCall(now, budget); };
    source.onReply = [this](const platform::KvReply& reply, TimePoint now) { m_ledger.onReply(reply, now); };
    source.nextDue = [this] { return m_ledger.nextDue(m_ctx.clock()); };
    m_driver = CallDriver::create(ctx, std::move(source));
}

void Refusals::start()
{
    m_ctx.loop.every(copyInterval, [this] {
        m_driver->advance();
        spreadCopies();
    });
    m_ctx.loop.every(expiryInterval, [this] { removeExpired(); });
}

std::string Refusals::add(const RefusedWork& work)
{
    m_ctx.metrics.add("jujubereach_refusals_total",
        { { "workspace", work.workspace.str() }, { "class", work.workClass.str() },
            { "reason", work.reason } });
    return m_ledger.record(
        { work.workspace, work.caller, work.workClass, work.reason, "no", m_ctx.wallClock() }, m_ctx.clock());
}

void Refusals::spreadCopies()
{
    for (const auto& copy : m_ledger.dueCopies(m_ctx.clock())) {
        m_copies.send(copy, [this, copy](bool copied) {
            if (copied)
                m_ledger.onCopied(copy);
        });
    }
}

void Refusals::onPeerCall(const wire::ApiCallT&, const Answer& answer) const
{
    answer(rowsAnswer("refusals", rowsOf(m_ledger.pending({}))));
}

void Refusals::list(const ApiRequest& call, const Answer& answer)
{
    const auto query = queryOf(call);
    wire::ApiCallT ask;
    ask.operation = wire::ApiOperation::ListRefusals;
    gatherRows(m_ctx, "refusals", rowsOf(m_ledger.pending({})), m_cluster.allAddresses(), ask,
        [this, query, answer](const ApiAnswer& pending) { listFromService(query, pending.body, answer); });
}

void Refusals::listFromService(
    const ledger::RefusalQuery& query, const std::string& pendingDocument, const Answer& answer)
{
    auto read = [kv = m_ctx.platform.kv, query] { return readSegments(kv, query); };
    callThen(m_ctx.platformIo, m_ctx.loop, read,
        [this, query, pendingDocument, answer](const platform::KvReply& reply) {
            m_ctx.noteService(reply.status);
            std::vector<ledger::RefusalEntry> entries;
            for (const auto& segment : reply.entries) {
                if (const auto decoded = outcomeOf([&] { return ledger::decodeSegment(segment.value); }))
                    entries.insert(entries.end(), decoded.value->begin(), decoded.value->end());
            }
            auto json = makeJson();
            if (const auto pending = outcomeOf([&] { return parseObject(pendingDocument); })) {
                const auto rows = (*pending.value)->getArray("refusals");
                for (unsigned i = 0; rows && i < rows->size(); ++i)
                    entries.push_back(fromJson(rows->getObject(i)));
                if ((*pending.value)->has("notReached"))
                    json->set("notReached", (*pending.value)->getArray("notReached"));
            }
            json->set("refusals", rowsOf(ledger::merge(entries, query)));
            const bool complete
                = reply.status == platform::KvStatus::Ok || reply.status == platform::KvStatus::NotFound;
            json->set("serviceRead", complete);
            answer(jsonAnswer(200, json));
        });
}

// Any delegate may do it; removing twice does no harm.
void Refusals::removeExpired()
{
    if (!m_cluster.isDelegate())
        return;
    auto remove = [kv = m_ctx.platform.kv, prefix = ledger::segmentPrefix(m_ctx.settings.zone),
                      now = m_ctx.wallClock()] {
        std::size_t removed = 0;
        for (const auto& segment : ledger::expiredSegments(kv.list(prefix).entries, now, keepRefusals)) {
            kv.remove(segment.key, segment.revision);
            ++removed;
        }
        return removed;
    };
    callThen(m_ctx.platformIo, m_ctx.loop, remove, [](std::size_t removed) {
        LOG_IF(INFO, removed > 0) << "ledger: " << removed << " old segments removed";
    });
}

} // namespace jujubereach::daemon
