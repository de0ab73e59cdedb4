#include "manifests.h"

#include "jujubereach/membership/delegates.h"
#include "jujubereach/placement/pack.h"

#include <glog/logging.h>

namespace jujubereach::daemon {

namespace {

    const std::string rootKey = "manifest/root";
    // Short, since a planned stop waits for the watch to return.
    constexpr Duration watchTime { 2'000 };
    constexpr Duration retryInterval { 500 };
    constexpr Duration peerTimeout { 1000 };

    ApiAnswer faultsAnswer(const std::vector<manifest::Fault>& faults)
    {
        auto json = makeJson();
        json->set("error", std::string("invalid_manifest"));
        json->set("what", std::to_string(faults.size()) + " fault(s) in the manifest; nothing was applied");
        json->set("ran", std::string("no"));
        Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
        for (const auto& fault : faults) {
            auto row = makeJson();
            row->set("where", fault.where);
            row->set("what", fault.what);
            rows->add(row);
        }
        json->set("faults", rows);
        return jsonAnswer(400, json);
    }

    std::vector<manifest::Fault> faultsOf(const manifest::Parsed& parsed)
    {
        if (!parsed.faults.empty())
            return parsed.faults;
        auto packing = outcomeOf([&] { return placement::packShapes(parsed.manifest); });
        if (packing)
            return {};
        return { { packing.error.where, packing.error.what } };
    }

} // namespace

Manifests::Manifests(Context& ctx, Cluster& cluster, ManifestsHooks hooks)
    : m_ctx(ctx)
    , m_cluster(cluster)
    , m_hooks(std::move(hooks))
{
}

void Manifests::start()
{
    watch();
}

void Manifests::watch()
{
    if (ready() && !membership::isDelegate(m_cluster.live(), m_ctx.settings.zone, m_ctx.self.host)) {
        m_ctx.loop.postAfter(retryInterval, [this] { watch(); });
        return;
    }
    auto wait = [kv = m_ctx.platform.kv, after = m_counter] {
        return after == 0 ? kv.get(rootKey) : kv.watch(rootKey, { after }, watchTime);
    };
    callThen(m_ctx.watchIo, m_ctx.loop, wait, [this](const platform::KvReply& reply) {
        for (const auto& entry : reply.entries) {
            if (entry.key == rootKey)
                take(entry.value, entry.revision.value);
        }
        const bool again = reply.status == platform::KvStatus::Ok;
        m_ctx.loop.postAfter(again ? Duration(20) : retryInterval, [this] { watch(); });
    });
}

void Manifests::take(const std::string& text, std::uint64_t counter)
{
    if (counter <= m_counter)
        return;
    const auto parsed = manifest::parse(text);
    if (!parsed.faults.empty()) {
        LOG(ERROR) << "manifest: revision " << counter << " cannot be read: " << parsed.faults.front().what;
        return;
    }
    m_text = text;
    m_counter = counter;
    LOG(INFO) << "manifest: revision " << counter << " is in force";
    m_cluster.setManifestCounter(counter);
    m_hooks.onManifest(parsed.manifest, counter);
}

void Manifests::apply(const ApiRequest& call, Answer answer)
{
    const auto parsed = manifest::parse(call.body);
    const auto faults = faultsOf(parsed);
    if (!faults.empty())
        return answer(faultsAnswer(faults));
    const auto base = call.baseRevision.value_or(m_counter);
    auto text = manifest::toJson(parsed.manifest);
    auto write = [kv = m_ctx.platform.kv, text, base] { return kv.compareAndSwap(rootKey, text, { base }); };
    callThen(m_ctx.platformIo, m_ctx.loop, write, [this, text, answer](const platform::KvReply& reply) {
        if (reply.status == platform::KvStatus::Conflict)
            return answer(
                errorAnswer(Error { ErrorCode::Conflict, "another manifest was accepted first", {}, {} }));
        if (reply.status != platform::KvStatus::Ok)
            return answer(errorAnswer(
                Error { ErrorCode::Unavailable, "the platform's service does not answer", {}, {} }));
        take(text, reply.revision.value);
        auto json = makeJson();
        json->set("revision", static_cast<Poco::UInt64>(reply.revision.value));
        answer(jsonAnswer(200, json));
    });
}

void Manifests::show(const Answer& answer) const
{
    if (!ready())
        return answer(errorAnswer(Error { ErrorCode::NotFound, "no manifest is in force yet", {}, {} }));
    answer({ 200, m_text, "application/json", {} });
}

void Manifests::diff(const ApiRequest&, const Answer& answer) const
{
    show(answer);
}

void Manifests::onNewer(std::uint64_t counter, const std::string& address)
{
    if (m_fetching || counter <= m_counter)
        return;
    m_fetching = true;
    wire::RootFetchT fetch;
    fetch.have_counter = m_counter;
    m_ctx.peers->call(address, wire::bodyOf(std::move(fetch)), peerTimeout, [this](wire::CallResult result) {
        m_fetching = false;
        auto* root = result.reply ? result.reply->body.AsRootAnnounce() : nullptr;
        if (root)
            take(root->root, root->counter);
    });
}

void Manifests::onRootFetch(const wire::Responder& respond) const
{
    wire::RootAnnounceT announce;
    announce.root = m_text;
    announce.counter = m_counter;
    respond(wire::bodyOf(std::move(announce)));
}

} // namespace jujubereach::daemon
