#include "manifests.h"

#include "jujubereach/manifest/diff.h"
#include "jujubereach/membership/relay.h"
#include "jujubereach/placement/pack.h"
#include "manifest-messages.h"

#include <Poco/UUIDGenerator.h>
#include <glog/logging.h>

namespace jujubereach::daemon {

namespace {

    // Short, since a planned stop waits for the watch to return.
    constexpr Duration watchTime { 2'000 };
    constexpr Duration watchPause { 20 };
    constexpr Duration retryInterval { 500 };
    constexpr Duration peerTimeout { 1000 };
    constexpr Duration tickInterval { 50 };

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
    , m_holder({}, ctx.clock())
{
}

void Manifests::start()
{
    readRoot();
    m_ctx.loop.postAfter(watchPause, [this] { watch(); });
    m_ctx.loop.every(tickInterval, [this] { tick(); });
}

// Two hosts of each zone watch; the others hear of a new root from them.
void Manifests::watch()
{
    if ((ready() && !m_cluster.isDelegate()) || !m_holder.watchDue(m_ctx.clock())) {
        m_ctx.loop.postAfter(retryInterval, [this] { watch(); });
        return;
    }
    auto wait = [kv = m_ctx.platform.kv, after = m_rootRevision] {
        return kv.watch(manifest::rootKey, after, watchTime);
    };
    callThen(m_ctx.watchIo, m_ctx.loop, wait, [this](const platform::KvReply& reply) {
        m_ctx.noteService(reply.status);
        if (!reply.entries.empty())
            onRootValue(reply);
        const bool answered = reply.status == platform::KvStatus::Ok;
        m_ctx.loop.postAfter(answered ? watchPause : retryInterval, [this] { watch(); });
    });
}

void Manifests::readRoot()
{
    auto get = [kv = m_ctx.platform.kv] { return kv.get(manifest::rootKey); };
    callThen(
        m_ctx.platformIo, m_ctx.loop, get, [this](const platform::KvReply& reply) { onRootValue(reply); });
}

void Manifests::onRootValue(const platform::KvReply& reply)
{
    m_ctx.noteService(reply.status);
    if (reply.status == platform::KvStatus::NotFound)
        m_holder.onServiceRoot(std::nullopt, m_ctx.clock());
    if (reply.status != platform::KvStatus::Ok || reply.entries.empty())
        return;
    const auto& entry = reply.entries.front();
    m_rootRevision = std::max(m_rootRevision, entry.revision);
    auto root = outcomeOf([&] { return manifest::decodeRoot(entry.value); });
    if (!root) {
        LOG(ERROR) << "manifest: the root in the service cannot be read: " << root.error.what;
        return;
    }
    m_holder.onServiceRoot(root.value, m_ctx.clock());
    tick();
}

void Manifests::tick()
{
    if (const auto wanted = m_holder.tick(m_ctx.clock()))
        fetch(*wanted);
    takeUpdate();
}

void Manifests::fetch(const manifest::ManifestFetch& wanted)
{
    if (wanted.peer)
        fetchFromPeer(*wanted.peer, wanted.request);
    else
        fetchFromService(wanted);
}

void Manifests::fetchFromPeer(const HostId& peer, const manifest::ManifestRequest& request)
{
    const auto address = m_cluster.listedAddressOf(peer);
    if (!address)
        return;
    m_ctx.peers->call(
        *address, wire::bodyOf(toWire(request)), peerTimeout, [this, peer](const wire::CallResult& result) {
            if (const auto* news = result.reply ? result.reply->body.AsManifestNews() : nullptr)
                onNews(peer, *news);
        });
}

void Manifests::fetchFromService(const manifest::ManifestFetch& wanted)
{
    if (wanted.request.root)
        readRoot();
    if (wanted.request.sections) {
        auto get = [kv = m_ctx.platform.kv, key = manifest::contentKey(wanted.index)] { return kv.get(key); };
        callThen(m_ctx.platformIo, m_ctx.loop, get, [this](const platform::KvReply& reply) {
            if (reply.entries.empty())
                return;
            const auto& text = reply.entries.front().value;
            if (const auto index = outcomeOf([&] { return manifest::decodeIndex(text); }))
                m_holder.onServiceIndex(*index.value, m_ctx.clock());
            tick();
        });
    }
    if (wanted.request.contents.empty())
        return;
    auto getAll = [kv = m_ctx.platform.kv, names = wanted.request.contents] {
        std::vector<manifest::Content> contents;
        for (const auto& name : names) {
            const auto reply = kv.get(manifest::contentKey(name));
            if (!reply.entries.empty())
                contents.push_back({ name, reply.entries.front().value });
        }
        return contents;
    };
    callThen(m_ctx.platformIo, m_ctx.loop, getAll, [this](const std::vector<manifest::Content>& contents) {
        m_holder.onServiceContents(contents, m_ctx.clock());
        tick();
    });
}

void Manifests::takeUpdate()
{
    const auto update = m_holder.takeUpdate();
    if (!update)
        return;
    LOG(INFO) << "manifest: revision " << update->root.counter << " is in force";
    m_cluster.setManifestCounter(update->root.counter);
    m_hooks.onManifest(*update->manifest);
    push(*update);
    m_pushNext = false;
}

// The host that took the apply tells everybody it knows; the others pass it on along the relay trees.
void Manifests::push(const manifest::ManifestUpdate& update)
{
    const auto live = m_cluster.live();
    const auto targets = m_pushNext
        ? live
        : membership::relayTargets(live, m_ctx.settings.zone, m_ctx.self.host, update.root.counter);
    for (const auto& host : targets) {
        const auto address = host == m_ctx.self.host ? std::nullopt : m_cluster.addressOf(host);
        if (address)
            pushTo(host, *address, update);
    }
    if (!m_pushNext && !m_cluster.isDelegate())
        return;
    for (const auto& contact : m_cluster.otherZoneContacts())
        pushTo(contact.id, contact.address, update);
}

void Manifests::pushTo(const HostId& host, const std::string& address, const manifest::ManifestUpdate& update)
{
    if (!m_holder.peerHas(host, update.root.counter))
        m_ctx.peers->notify(address, wire::bodyOf(toWire(update.push)));
}

void Manifests::onPeerCounter(const HostId& peer, std::uint64_t counter)
{
    // Counter-check: forgets what was in force, so that a stale peer can bring an older one.
    if (m_ctx.testHooks.breaks("manifest-order") && counter > 0 && counter < m_holder.counter())
        m_holder = manifest::ManifestHolder({}, m_ctx.clock());
    m_holder.onPeerCounter(peer, counter, m_ctx.clock());
    tick();
}

void Manifests::onFetch(const wire::ManifestFetchT& fetch, const wire::Responder& respond) const
{
    respond(wire::bodyOf(toWire(m_holder.answer(fromWire(fetch)))));
}

void Manifests::onNews(const HostId& peer, const wire::ManifestNewsT& news)
{
    m_holder.onPeerReply(peer, fromWire(news), m_ctx.clock());
    tick();
}

void Manifests::apply(const ApiRequest& call, const Answer& answer)
{
    auto parsed = manifest::parse(call.body);
    const auto faults = faultsOf(parsed);
    if (!faults.empty())
        return answer(faultsAnswer(faults));
    manifest::ApplyRequest request;
    request.wanted = std::move(parsed.manifest);
    request.operation = manifest::OperationId(call.operationId.empty()
            ? Poco::UUIDGenerator::defaultGenerator().createRandom().toString()
            : call.operationId);
    request.operatorName = manifest::OperatorName(call.operatorName.empty() ? "unnamed" : call.operatorName);
    request.base = call.baseRevision;
    if (!request.base || *request.base == m_holder.counter())
        request.baseSections = m_holder.sections();
    request.highestSeen = m_holder.highestSeen();
    request.rebase = call.rebase;
    request.knownTexts = m_holder.texts();
    advance(std::make_shared<manifest::ApplySession>(std::move(request), m_ctx.random.next()), answer);
}

void Manifests::advance(const std::shared_ptr<manifest::ApplySession>& session, const Answer& answer)
{
    const auto next = session->next();
    if (next) {
        m_ctx.loop.postAfter(next->delay, [this, next, session, answer] { call(*next, session, answer); });
        return;
    }
    const auto& result = session->result();
    LOG(INFO) << "manifest: apply ended: " << result.what;
    if (result.status == manifest::ApplyStatus::Accepted) {
        m_pushNext = true;
        readRoot();
    }
    answer(answerOf(result));
}

void Manifests::call(const manifest::StoreCall& call, const std::shared_ptr<manifest::ApplySession>& session,
    const Answer& answer)
{
    auto carry = [kv = m_ctx.platform.kv, call] {
        switch (call.kind) {
        case manifest::StoreCall::Kind::Get:
            return kv.get(call.key);
        case manifest::StoreCall::Kind::CompareAndSwap:
            return kv.compareAndSwap(call.key, call.value, call.expected);
        case manifest::StoreCall::Kind::Remove:
            break;
        }
        return kv.remove(call.key, call.expected);
    };
    callThen(m_ctx.platformIo, m_ctx.loop, carry, [this, session, answer](const platform::KvReply& reply) {
        m_ctx.noteService(reply.status);
        session->onReply(toStoreReply(reply));
        advance(session, answer);
    });
}

void Manifests::show(const Answer& answer) const
{
    if (!m_holder.manifest())
        return answer(errorAnswer(Error { ErrorCode::NotFound, "no manifest is in force yet", {}, {} }));
    answer({ 200, manifest::toJson(*m_holder.manifest()), "application/json", {} });
}

void Manifests::diff(const ApiRequest& call, const Answer& answer) const
{
    const auto parsed = manifest::parse(call.body);
    const auto faults = faultsOf(parsed);
    if (!faults.empty())
        return answer(faultsAnswer(faults));
    const auto before = m_holder.manifest() ? *m_holder.manifest() : manifest::Manifest();
    auto json = makeJson();
    json->set("base", static_cast<Poco::UInt64>(m_holder.counter()));
    json->set("diff", manifest::diffText(manifest::diff(before, parsed.manifest)));
    answer(jsonAnswer(200, json));
}

} // namespace jujubereach::daemon
