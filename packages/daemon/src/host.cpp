#include "host.h"

#include <glog/logging.h>

#include <cstdlib>
#include <thread>

namespace jujubereach::daemon {

namespace {

    constexpr Duration drainCheckInterval { 50 };
    // The balancer and the peers learn of the stop before the intake closes.
    constexpr Duration drainAnnounceTime { 300 };
    constexpr std::uint32_t expectedHosts = 16;
    constexpr unsigned platformThreads = 8;

    Context contextOf(const Settings& settings, const Platform& platform, ControlLoop& loop, IoPool& workerIo,
        IoPool& upstreamIo, IoPool& platformIo, IoPool& watchIo, metrics::Registry& metrics,
        TestHooks& testHooks, journal::CallBudget& budget)
    {
        const auto started = systemWallClock()();
        const Incarnation incarnation { static_cast<std::uint64_t>(started.milliseconds) };
        const auto seed = stableHash(settings.host.str(), incarnation.value);
        return Context { settings, loop, workerIo, upstreamIo, platformIo, watchIo, platform, metrics,
            testHooks, { settings.host, incarnation, settings.zone }, steadyClock(), systemWallClock(),
            budget, Random(seed), false, nullptr };
    }

} // namespace

Host::Host(const Settings& settings, const Platform& platform)
    : m_settings(settings)
    , m_platform(platform)
    , m_budget({}, expectedHosts, steadyClock()())
    , m_workerIo(std::make_unique<IoPool>(settings.ioThreads))
    , m_upstreamIo(std::make_unique<IoPool>(settings.ioThreads))
    , m_platformIo(std::make_unique<IoPool>(platformThreads))
    , m_watchIo(std::make_unique<IoPool>(1))
    , m_ctx(contextOf(m_settings, m_platform, m_loop, *m_workerIo, *m_upstreamIo, *m_platformIo, *m_watchIo,
          m_metrics, m_testHooks, m_budget))
    , m_cluster(m_ctx,
          { [this] {
               m_domains.onView();
               m_requests.onView();
           },
              [this](const std::vector<platform::Machine>& machines) {
                  m_domains.onMachines(machines);
                  m_requests.onMachines(machines);
              },
              [this](const HostId& peer, std::uint64_t counter) { m_manifests.onPeerCounter(peer, counter); },
              [this] {
                  LOG(ERROR) << "host: a later start of this host is known, this one stops";
                  m_loop.stop();
              } })
    , m_copies(m_ctx, m_cluster)
    , m_refusals(m_ctx, m_cluster, m_copies)
    , m_domains(
          m_ctx, m_cluster, m_copies, { [this](const RefusedWork& work) { return m_refusals.add(work); } })
    , m_requests(m_ctx, m_cluster, { [this](const RefusedWork& work) { return m_refusals.add(work); } })
    , m_manifests(m_ctx, m_cluster, { [this](const manifest::Manifest& manifest) { onManifest(manifest); } })
    , m_startedAt(m_ctx.clock())
{
}

Host::~Host()
{
    // Traffic threads post to the loop and use the parts: they end first.
    m_http.reset();
    m_ctx.peers.reset();
    m_workerIo.reset();
    m_upstreamIo.reset();
    m_platformIo.reset();
    m_watchIo.reset();
}

Result<void> Host::open()
{
    wire::PeersHooks hooks;
    hooks.post = [this](std::function<void()> task) { m_loop.post(std::move(task)); };
    hooks.postAfter
        = [this](Duration delay, std::function<void()> task) { m_loop.postAfter(delay, std::move(task)); };
    hooks.onCall
        = [this](wire::EnvelopeT& envelope, const wire::Responder& respond) { onCall(envelope, respond); };
    hooks.onLost = [this](const std::string& address) {
        if (const auto host = m_cluster.memberAt(address))
            m_requests.onPeerLost(*host);
    };
    if (m_settings.testHooks)
        hooks.mayReach = [this](const std::string& address) { return mayReach(address); };
    BOOST_LEAF_ASSIGN(
        m_ctx.peers, wire::Peers::open(m_settings.innerAddress, m_ctx.self, {}, std::move(hooks)));
    HttpLimits limits;
    limits.threads = m_settings.httpThreads;
    auto handler = [this](ApiRequest call, Answer answer) {
        m_loop.post([this, call = std::move(call), answer = std::move(answer)] { route(call, answer); });
    };
    BOOST_LEAF_ASSIGN(m_http, HttpServer::open(m_settings.httpAddress, limits, std::move(handler)));
    return {};
}

Result<void> Host::run()
{
    if (auto opened = open(); !opened)
        return opened.error();
    LOG(INFO) << "host: " << m_ctx.holder() << " in zone " << m_settings.zone << " serves callers at "
              << m_settings.httpAddress;
    m_cluster.start();
    m_copies.start();
    m_refusals.start();
    m_domains.start();
    m_requests.start();
    m_manifests.start();
    m_loop.run();
    if (m_requests.inProgress() > 0) {
        // Past the drain bound: their threads may wait for callers and upstreams for minutes.
        google::FlushLogFiles(google::INFO);
        std::_Exit(0);
    }
    LOG(INFO) << "host: stopped";
    return {};
}

void Host::onManifest(const manifest::Manifest& manifest)
{
    m_requests.configure(manifest);
    m_domains.configure(manifest);
}

bool Host::mayReach(const std::string& address) const
{
    std::lock_guard lock(m_cutMutex);
    return m_cut.count(address) == 0;
}

void Host::onCall(wire::EnvelopeT& envelope, const wire::Responder& respond)
{
    auto& body = envelope.body;
    switch (body.type) {
    case wire::Body::Gossip:
        return m_cluster.onGossip(*body.AsGossip());
    case wire::Body::ZoneDigest:
        return m_cluster.onDigest(*body.AsZoneDigest());
    case wire::Body::ManifestFetch:
        return m_manifests.onFetch(*body.AsManifestFetch(), respond);
    case wire::Body::ManifestNews:
        return m_manifests.onNews(HostId(envelope.host), *body.AsManifestNews());
    case wire::Body::ApiCall:
        return onApiCall(*body.AsApiCall(), respond);
    case wire::Body::PeerCopy:
        if (m_copies.keep(*body.AsPeerCopy()))
            respond(wire::bodyOf(wire::AcceptedT()));
        return;
    case wire::Body::CreditReport:
        return m_requests.onCreditReport(envelope, *body.AsCreditReport());
    case wire::Body::CreditGrant:
        return m_requests.onCreditGrant(envelope, *body.AsCreditGrant());
    default:
        VLOG(1) << "host: message of an unexpected kind from " << envelope.host;
    }
}

void Host::onApiCall(const wire::ApiCallT& call, const wire::Responder& respond)
{
    auto answer = [respond](const ApiAnswer& out) {
        wire::ApiReplyT reply;
        reply.status = static_cast<std::uint16_t>(out.status);
        reply.document = out.body;
        reply.retry_after_ms = out.retryAfter ? static_cast<std::uint32_t>(out.retryAfter->count()) : 0;
        respond(wire::bodyOf(std::move(reply)));
    };
    switch (call.operation) {
    case wire::ApiOperation::ShowRequest:
    case wire::ApiOperation::AwaitRequest:
        return m_requests.onPeerCall(call, answer);
    case wire::ApiOperation::ListRefusals:
        return m_refusals.onPeerCall(call, answer);
    default:
        return m_domains.onPeerCall(call, answer);
    }
}

void Host::drain()
{
    m_loop.post([this] { beginDrain(); });
}

void Host::beginDrain()
{
    if (m_draining)
        return;
    m_draining = true;
    LOG(INFO) << "host: planned stop begins";
    m_cluster.leave();
    m_domains.leave();
    const auto until = m_ctx.clock() + m_settings.drainBound;
    m_loop.postAfter(drainAnnounceTime, [this, until] {
        m_requests.drain();
        continueDrain(until);
    });
}

void Host::continueDrain(TimePoint until)
{
    const bool busy = m_requests.inProgress() > 0 && !m_testHooks.breaks("drain-wait");
    const bool done = !busy && m_requests.unwrittenRecords() == 0 && m_domains.released();
    if (!done && m_ctx.clock() < until) {
        m_loop.postAfter(drainCheckInterval, [this, until] { continueDrain(until); });
        return;
    }
    if (busy)
        LOG(WARNING) << "host: " << m_requests.inProgress() << " requests are in progress at the drain bound";
    m_cluster.depart();
    // The last answers and messages leave before the process does.
    m_loop.postAfter(drainCheckInterval * 2, [this] { m_loop.stop(); });
}

} // namespace jujubereach::daemon
