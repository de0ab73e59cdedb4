#include "requests.h"

#include <glog/logging.h>

#include <algorithm>

namespace jujubereach::daemon {

namespace {

    constexpr Duration sweepInterval { 50 };
    constexpr Duration pruneInterval { 5000 };
    constexpr Duration drainRetryAfter { 1000 };
    constexpr Duration noManifestRetryAfter { 1000 };

    std::string describe(const admission::Refusal& refusal)
    {
        return admission::nameOf(refusal.reason);
    }

} // namespace

Requests::Requests(Context& ctx, Cluster& cluster, RequestsHooks hooks)
    : m_ctx(ctx)
    , m_cluster(cluster)
    , m_hooks(std::move(hooks))
    , m_upstreams(ctx.random.next())
    , m_table(dispatch::TableLimits {})
    , m_retry(dispatch::RetryLimits {}, ctx.random.next())
    , m_once(ctx)
{
}

void Requests::start()
{
    m_ctx.loop.every(sweepInterval, [this] { sweep(); });
    m_ctx.loop.every(pruneInterval, [this] { prune(); });
    m_ctx.loop.every(dispatch::creditReportPeriod, [this] { sendCredits(); });
}

void Requests::configure(const manifest::Manifest& manifest)
{
    m_maxBodyBytes = manifest.limits.maxBodyBytes;
    if (m_queue)
        return m_queue->configure(manifest, m_ctx.clock());
    m_queue
        = std::make_unique<admission::AdmissionQueue>(manifest, admission::Bounds {}, m_ctx.random.next());
    m_queue->setSlots(m_upstreams.usableSlots(m_ctx.clock()), m_ctx.clock());
}

void Requests::onMachines(const std::vector<platform::Machine>& machines)
{
    std::vector<dispatch::UpstreamInfo> list;
    for (const auto& machine : machines) {
        if (machine.kind != platform::MachineKind::Upstream)
            continue;
        const bool leaving = machine.state == platform::MachineState::Leaving;
        list.push_back({ UpstreamId(machine.id), machine.address, machine.slots,
            leaving && !m_ctx.testHooks.breaks("leaving-stop") });
    }
    m_upstreams.setUpstreams(list, m_ctx.clock());
    pump();
}

void Requests::onView()
{
    auto hosts = m_cluster.live();
    if (std::find(hosts.begin(), hosts.end(), m_ctx.self.host) == hosts.end())
        hosts.push_back(m_ctx.self.host);
    m_upstreams.setPeers(std::move(hosts), m_ctx.self.host, m_ctx.self.incarnation);
}

void Requests::onPeerLost(const HostId& host)
{
    m_upstreams.peerLost(host, m_ctx.clock());
    pump();
}

Requests::Work* Requests::find(const RequestId& id)
{
    auto it = m_work.find(id);
    return it == m_work.end() ? nullptr : &it->second;
}

void Requests::offer(Parsed parsed, std::shared_ptr<std::atomic<bool>> callerGone, Answer answer)
{
    const auto now = m_ctx.clock();
    const auto id = parsed.info.id;
    const admission::Request request { id, parsed.info.workspace, parsed.info.workClass, parsed.info.caller,
        parsed.info.deadline, 1 };
    auto* life = m_table.add(std::move(parsed.info));
    auto& work = m_work[id];
    work.digest = dispatch::bodyDigest(parsed.body);
    work.body = std::move(parsed.body);
    work.waiters.push_back(std::move(answer));
    work.callerGone = std::move(callerGone);
    work.offeredAt = now;
    if (m_draining || !m_queue) {
        life->refused(
            m_draining ? "draining" : "no_manifest", m_draining ? drainRetryAfter : noManifestRetryAfter);
        return finish(id);
    }
    if (const auto refusal = m_queue->offer(request, now)) {
        life->refused(describe(*refusal), refusal->retryAfter);
        return finish(id);
    }
    work.admitted = true;
    life->admitted();
    pump();
}

// Gives slots to requests that are ready, then to the next in the queue.
void Requests::pump()
{
    if (!m_queue || m_pumping)
        return;
    m_pumping = true;
    m_queue->setSlots(m_upstreams.usableSlots(m_ctx.clock()), m_ctx.clock());
    for (auto tries = m_ready.size(); tries > 0 && m_upstreams.hasFree(m_ctx.clock()); --tries) {
        const auto id = m_ready.front();
        m_ready.pop_front();
        if (!dispatchReady(id))
            m_ready.push_back(id);
    }
    // Requests whose record is being created will need a slot each.
    while (m_ready.empty() && m_upstreams.freeSlots(m_ctx.clock()) > m_recording) {
        const auto request = m_queue->next(m_ctx.clock());
        if (!request)
            break;
        startNext(*request);
    }
    m_pumping = false;
}

void Requests::startNext(const admission::Request& request)
{
    auto* life = m_table.find(request.id);
    auto* work = find(request.id);
    if (!life || !work)
        return;
    if (work->callerGone && *work->callerGone)
        return giveUp(request.id, "caller_gone", Duration(0));
    work->startedAt = m_ctx.clock();
    m_ctx.metrics.observe("jujubereach_request_wait_ms", { { "class", request.workClass.str() } },
        static_cast<double>((work->startedAt - work->offeredAt).count()));
    if (!life->info().repeatable && !m_ctx.testHooks.breaks("once-record"))
        return record(*life, *work);
    if (!life->info().repeatable) {
        life->recording();
        life->recorded();
    }
    if (!dispatchReady(request.id))
        m_ready.push_back(request.id);
}

// False when no slot is free for it now.
bool Requests::dispatchReady(const RequestId& id)
{
    auto* life = m_table.find(id);
    if (!life || !find(id))
        return true;
    if (life->info().deadline <= m_ctx.clock()) {
        giveUp(id, "deadline_passed", Duration(0));
        return true;
    }
    const auto lease
        = m_upstreams.pick({ life->info().workClass, life->info().repeatable, life->tried() }, m_ctx.clock());
    if (!lease)
        return false;
    life->dispatched(lease->upstream);
    find(id)->attemptAt = m_ctx.clock();
    call(id, *lease);
    return true;
}

void Requests::call(const RequestId& id, const dispatch::Lease& lease)
{
    const auto* life = m_table.find(id);
    platform::UpstreamCall call;
    call.request = id;
    call.workspace = life->info().workspace;
    call.workClass = life->info().workClass;
    call.timeout = life->info().deadline - m_ctx.clock();
    call.body = find(id)->body;
    auto send = [client = m_ctx.platform.upstream, address = lease.address, call = std::move(call)] {
        return client(address, call);
    };
    callThen(m_ctx.upstreamIo, m_ctx.loop, std::move(send),
        [this, id, lease](const platform::UpstreamAnswer& answer) { onAttempt(id, lease, answer); });
}

void Requests::onAttempt(const RequestId& id, const dispatch::Lease& lease, platform::UpstreamAnswer answer)
{
    breakForTests(answer);
    const auto now = m_ctx.clock();
    m_upstreams.finished(lease, answer, now);
    auto* life = m_table.find(id);
    const auto decision = life ? life->ended(answer, m_retry, now) : std::nullopt;
    if (decision && decision->again) {
        m_ctx.metrics.add(
            "jujubereach_request_retries_total", { { "workspace", life->info().workspace.str() } });
        m_ctx.loop.postAfter(decision->after, [this, id] {
            if (auto* waiting = m_table.find(id); waiting && waiting->backoffOver()) {
                m_ready.push_back(id);
                pump();
            }
        });
    } else if (decision) {
        finish(id);
    }
    pump();
}

// Counter-checks: takes an upstream's "leaving" for "busy", or gives a caller the answer of another.
void Requests::breakForTests(platform::UpstreamAnswer& answer)
{
    if (m_ctx.testHooks.breaks("leaving-stop") && answer.status == platform::UpstreamStatus::Leaving)
        answer.status = platform::UpstreamStatus::Busy;
    if (m_ctx.testHooks.breaks("correlation") && answer.status == platform::UpstreamStatus::Answered)
        std::swap(answer.body, m_bodyOfAnother);
}

void Requests::giveUp(const RequestId& id, const std::string& reason, Duration retryAfter)
{
    if (auto* life = m_table.find(id); life && life->giveUp(reason, retryAfter))
        finish(id);
}

// The final answer goes to everybody who waits for it.
void Requests::finish(const RequestId& id)
{
    auto it = m_work.find(id);
    auto* life = m_table.find(id);
    if (it == m_work.end() || !life)
        return;
    auto work = std::move(it->second);
    m_work.erase(it);
    const auto now = m_ctx.clock();
    settleShare(id, *life, work);
    completeRecord(*life, work);
    observe(*life, work);
    recordRefusal(*life);
    const auto answer = finalAnswer(*life);
    m_table.keep(id, now);
    for (const auto& waiter : work.waiters)
        waiter(answer);
}

// Tells the queue what the request took, if anything.
void Requests::settleShare(const RequestId& id, const dispatch::RequestLife& life, const Work& work)
{
    if (!work.admitted || m_queue->abandon(id))
        return;
    const auto now = m_ctx.clock();
    const auto took = now - work.attemptAt;
    if (life.attempts() == 0 || life.answer()->ran == Ran::No)
        m_queue->notRun(id);
    else if (life.answer()->ran == Ran::Unknown)
        m_queue->unanswered(id, took, now);
    else
        m_queue->completed(id, took, now);
}

// Another request's answer is passed on; this one never ran by itself.
void Requests::finishWith(const RequestId& id, const ApiAnswer& answer)
{
    auto it = m_work.find(id);
    if (it == m_work.end())
        return;
    auto work = std::move(it->second);
    m_work.erase(it);
    m_table.find(id)->giveUp("answered_by_earlier_call", Duration(0));
    m_table.keep(id, m_ctx.clock());
    for (const auto& waiter : work.waiters)
        waiter(answer);
}

void Requests::recordRefusal(const dispatch::RequestLife& life)
{
    const auto& info = life.info();
    if (life.answer()->ran == Ran::No)
        m_references[info.id]
            = m_hooks.refuse({ info.workspace, info.caller, info.workClass, life.answer()->reason });
}

void Requests::prune()
{
    m_table.prune(m_ctx.clock());
    for (auto it = m_references.begin(); it != m_references.end();)
        it = m_table.find(it->first) ? std::next(it) : m_references.erase(it);
}

void Requests::observe(const dispatch::RequestLife& life, const Work& work)
{
    const auto& info = life.info();
    const auto took = static_cast<double>((m_ctx.clock() - work.offeredAt).count());
    if (life.answer()->ran == Ran::Yes) {
        m_ctx.metrics.observe("jujubereach_request_ms", { { "workspace", info.workspace.str() } }, took);
        return;
    }
    m_ctx.metrics.add("jujubereach_request_failures_total",
        { { "workspace", info.workspace.str() }, { "reason", life.answer()->reason },
            { "ran", nameOf(life.answer()->ran) } });
}

void Requests::sweep()
{
    if (!m_queue)
        return;
    const auto now = m_ctx.clock();
    m_queue->setSlots(m_upstreams.usableSlots(now), now);
    std::vector<RequestId> gone;
    for (const auto& [id, work] : m_work) {
        if (work.callerGone && *work.callerGone && m_queue->abandon(id))
            gone.push_back(id);
    }
    for (const auto& id : gone) {
        find(id)->admitted = false;
        giveUp(id, "caller_gone", Duration(0));
    }
    for (const auto& given : m_queue->expire(now)) {
        if (auto* work = find(given.request.id))
            work->admitted = false;
        giveUp(given.request.id, describe(given.refusal), given.refusal.retryAfter);
    }
    pump();
}

void Requests::sendCredits()
{
    const auto report = m_upstreams.report(
        m_queue ? m_queue->waiting() + static_cast<std::uint32_t>(m_ready.size()) : 0, m_ctx.clock());
    for (const auto& address : m_cluster.peerAddresses()) {
        wire::CreditReportT message;
        message.wanted = report.wanted;
        for (const auto& held : report.held) {
            auto entry = std::make_unique<wire::HeldCreditsT>();
            entry->lender = held.lender.str();
            entry->upstream = held.upstream.str();
            entry->count = held.count;
            message.held.push_back(std::move(entry));
        }
        m_ctx.peers->notify(address, wire::bodyOf(std::move(message)));
    }
}

void Requests::onCreditReport(const wire::EnvelopeT& envelope, const wire::CreditReportT& message)
{
    dispatch::CreditReport report;
    report.host = HostId(envelope.host);
    report.incarnation = { envelope.incarnation };
    report.wanted = message.wanted;
    for (const auto& held : message.held)
        report.held.push_back({ HostId(held->lender), UpstreamId(held->upstream), held->count });
    const auto grant = m_upstreams.onReport(report, m_ctx.clock());
    const auto address = m_cluster.addressOf(report.host);
    if (!grant || !address)
        return;
    wire::CreditGrantT reply;
    reply.borrower = grant->borrower.str();
    reply.term_ms = static_cast<std::uint32_t>(grant->term.count());
    for (const auto& lent : grant->lent) {
        auto entry = std::make_unique<wire::LentCreditsT>();
        entry->upstream = lent.upstream.str();
        entry->count = lent.count;
        reply.lent.push_back(std::move(entry));
    }
    m_ctx.peers->notify(*address, wire::bodyOf(std::move(reply)));
}

void Requests::onCreditGrant(const wire::EnvelopeT& envelope, const wire::CreditGrantT& message)
{
    dispatch::CreditGrant grant;
    grant.lender = HostId(envelope.host);
    grant.borrower = HostId(message.borrower);
    grant.term = Duration(message.term_ms);
    for (const auto& lent : message.lent)
        grant.lent.push_back({ UpstreamId(lent->upstream), lent->count });
    m_upstreams.onGrant(grant, m_ctx.clock());
    pump();
}

Json Requests::upstreamsJson() const
{
    auto json = makeJson();
    Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
    for (const auto& view : m_upstreams.view(m_ctx.clock())) {
        auto row = makeJson();
        row->set("upstream", view.id.str());
        row->set("state", std::string(dispatch::nameOf(view.health)));
        row->set("credits", view.usable);
        row->set("inUse", view.inUse);
        row->set("slowness", view.slowness);
        rows->add(row);
    }
    json->set("upstreams", rows);
    return json;
}

} // namespace jujubereach::daemon
