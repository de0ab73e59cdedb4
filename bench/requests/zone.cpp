#include "zone.h"

#include <algorithm>
#include <cmath>

namespace jujubereach::bench {

namespace {

    constexpr Micros tickPeriod = 50 * microsPerMs;
    constexpr Micros peerDetection = 1 * microsPerSecond;
    constexpr Micros callerReconnect = 50 * microsPerMs;
    constexpr Micros peerDelay = 1 * microsPerMs;

    RequestId idOf(std::uint64_t number)
    {
        return RequestId(std::to_string(number));
    }

} // namespace

Zone::Zone(const ZoneSetup& setup)
    : m_setup(setup)
    , m_upstreams(m_events, setup.upstreams, setup.slots)
    , m_balancer(setup.seed)
{
    for (int i = 0; i < setup.hosts; ++i) {
        auto seed = setup.seed * 100 + static_cast<std::uint64_t>(i);
        m_hosts.push_back({ HostId("h" + std::to_string(i)), true, makeQueue(setup.policy, seed),
            std::make_unique<dispatch::UpstreamSet>(seed),
            std::make_unique<dispatch::RetryPolicy>(setup.retries, seed), {} });
        m_hosts.back().upstreams->setUpstreams(m_upstreams.list(), m_events.time());
    }
    tellPeers();
    tick();
}

void Zone::addStreams(const std::vector<Stream>& streams, Micros from, Micros until)
{
    for (const Stream& stream : streams) {
        // A stream is the same in every scenario that has it.
        std::string name = stream.group + stream.caller.str() + stream.workClass.str();
        m_sources.push_back({ stream, Random(stableHash(name, m_setup.seed)), until });
        std::size_t index = m_sources.size() - 1;
        m_events.at(from, [this, index] { scheduleArrival(index); });
    }
}

void Zone::scheduleArrival(std::size_t stream)
{
    Source& source = m_sources[stream];
    double wait = source.random.exponential(microsPerSecond / source.stream.perSecond);
    Micros when = m_events.now() + std::llround(wait);
    if (when < source.until)
        m_events.at(when, [this, stream] { arrive(stream); });
}

void Zone::arrive(std::size_t stream)
{
    Source& source = m_sources[stream];
    Micros now = m_events.now();
    Call call;
    call.stream = source.stream;
    call.offered = now;
    call.work = slotTime(source.random);
    call.measured = now >= m_measureFrom && now < m_measureUntil;
    scheduleArrival(stream);
    if (call.measured)
        ++m_tallies[call.stream.group].offered;
    offer(std::move(call));
}

int Zone::liveHost()
{
    auto index = static_cast<std::size_t>(m_balancer.below(m_hosts.size()));
    while (!m_hosts[index].alive)
        index = static_cast<std::size_t>(m_balancer.below(m_hosts.size()));
    return static_cast<int>(index);
}

void Zone::offer(Call call)
{
    call.number = ++m_lastCall;
    call.host = liveHost();
    Host& host = m_hosts[static_cast<std::size_t>(call.host)];
    const Stream& stream = call.stream;
    TimePoint deadline = timeOf(call.offered) + stream.deadline;
    RequestId id = idOf(call.number);
    call.life.emplace(dispatch::RequestInfo {
        id, stream.workspace, stream.workClass, stream.caller, {}, stream.repeatable, deadline });
    admission::Request request { id, stream.workspace, stream.workClass, stream.caller, deadline, 1 };
    if (!host.queue->offer(request, m_events.time())) {
        if (call.measured)
            ++m_tallies[stream.group].refused;
        return;
    }
    call.life->admitted();
    m_calls.emplace(call.number, std::move(call));
    pump(host);
}

void Zone::pump(Host& host)
{
    TimePoint now = m_events.time();
    takeGivenUp(host);
    while (sendAgain(host)) { }
    while (host.again.empty() && host.queue->waiting() > 0 && host.upstreams->hasFree(now)) {
        auto request = host.queue->next(now);
        if (!request)
            break;
        Call& call = m_calls.at(std::stoull(request->id.str()));
        auto lease = host.upstreams->pick({ request->workClass, call.stream.repeatable, {} }, now);
        if (!lease) {
            host.again.push_back(call.number); // only a probe is free, and not for this request
            break;
        }
        ++m_counts.firstSends;
        send(host, call, *lease);
    }
    takeGivenUp(host);
}

void Zone::takeGivenUp(Host& host)
{
    for (const RequestId& id : host.queue->givenUp(m_events.time())) {
        std::uint64_t number = std::stoull(id.str());
        Call& call = m_calls.at(number);
        call.life->giveUp("given_up", Duration(0));
        finish(number);
    }
}

void Zone::send(Host& host, Call& call, const dispatch::Lease& lease)
{
    if (!call.stream.repeatable) {
        call.life->recording();
        call.life->recorded();
    }
    call.life->dispatched(lease.upstream);
    Micros since = m_events.now();
    Micros left = call.offered + call.stream.deadline.count() * microsPerMs - since;
    auto hostIndex = static_cast<int>(&host - m_hosts.data());
    m_upstreams.send(lease.upstream, call.work, std::max(left, microsPerMs),
        [this, hostIndex, number = call.number, lease, since](
            const platform::UpstreamAnswer& answer) { answered(hostIndex, number, lease, since, answer); });
}

void Zone::answered(int hostIndex, std::uint64_t number, const dispatch::Lease& lease, Micros since,
    const platform::UpstreamAnswer& answer)
{
    Host& host = m_hosts[static_cast<std::size_t>(hostIndex)];
    auto found = m_calls.find(number);
    if (!host.alive || found == m_calls.end())
        return;
    TimePoint now = m_events.time();
    host.upstreams->finished(lease, answer, now);
    dispatch::RequestLife& life = *found->second.life;
    auto decision = life.ended(answer, *host.retries, now);
    if (decision->again) {
        Micros wait = decision->after.count() * microsPerMs;
        m_events.after(wait, [this, hostIndex, number] { backoffOver(hostIndex, number); });
    } else {
        auto took = Duration((m_events.now() - since) / microsPerMs);
        if (answer.status == platform::UpstreamStatus::Unknown)
            host.queue->unanswered(life.info().id, took, now);
        else
            host.queue->completed(life.info().id, took, now);
        finish(number);
    }
    host.queue->setSlots(host.upstreams->usableSlots(now), now);
    pump(host);
}

void Zone::backoffOver(int hostIndex, std::uint64_t number)
{
    Host& host = m_hosts[static_cast<std::size_t>(hostIndex)];
    auto found = m_calls.find(number);
    if (!host.alive || found == m_calls.end())
        return;
    found->second.life->backoffOver();
    host.again.push_back(number);
    pump(host);
}

// Sends the first call that waits for another attempt. False when there is none or no slot is free.
bool Zone::sendAgain(Host& host)
{
    TimePoint now = m_events.time();
    while (!host.again.empty()) {
        auto found = m_calls.find(host.again.front());
        if (found == m_calls.end()) {
            host.again.pop_front();
            continue;
        }
        Call& call = found->second;
        if (now >= call.life->info().deadline) {
            host.again.pop_front();
            timeOver(host, call);
            continue;
        }
        auto lease = host.upstreams->pick(
            { call.stream.workClass, call.stream.repeatable, call.life->tried() }, now);
        if (!lease)
            return false;
        host.again.pop_front();
        if (call.life->attempts() > 0)
            ++m_counts.retries;
        else
            ++m_counts.firstSends;
        send(host, call, *lease);
        return true;
    }
    return false;
}

void Zone::timeOver(Host& host, Call& call)
{
    call.life->giveUp("no_time", Duration(0));
    host.queue->completed(call.life->info().id, Duration(1), m_events.time());
    finish(call.number);
}

void Zone::finish(std::uint64_t number)
{
    auto found = m_calls.find(number);
    Call call = std::move(found->second);
    m_calls.erase(found);
    Tally& tally = m_tallies[call.stream.group];
    const dispatch::FinalAnswer& answer = *call.life->answer();
    double took = static_cast<double>(m_events.now() - call.offered) / microsPerMs;
    bool isGood = answer.ran == Ran::Yes && answer.upstreamStatus < 500;
    bool inTime = took <= static_cast<double>(call.stream.deadline.count());
    bool isInWindow = m_events.now() >= m_measureFrom && m_events.now() < m_measureUntil;
    if (isGood && inTime && isInWindow)
        tally.usefulMs += static_cast<double>(call.work) / microsPerMs;
    if (!call.measured)
        return;
    if (isGood)
        tally.tookMs.push_back(took);
    if (isGood && inTime)
        ++tally.useful;
    else if (isGood)
        ++tally.late;
    else if (answer.ran == Ran::No)
        ++tally.refused;
    else
        ++tally.unknown;
}

void Zone::loseHost(int host, HostLoss loss, Micros when)
{
    m_events.at(when, [this, host, loss] { die(host, loss); });
    m_events.at(when + peerDetection, [this] { tellPeers(); });
}

// The callers' connections break; they send their requests again through another host.
void Zone::die(int index, HostLoss loss)
{
    const HostId& id = m_hosts[static_cast<std::size_t>(index)].id;
    m_hosts[static_cast<std::size_t>(index)].alive = false;
    for (Host& host : m_hosts) {
        if (host.alive && loss == HostLoss::Killed)
            host.upstreams->peerLost(id, m_events.time());
    }
    std::vector<std::uint64_t> lost;
    for (const auto& [number, call] : m_calls) {
        if (call.host == index)
            lost.push_back(number);
    }
    std::sort(lost.begin(), lost.end());
    for (std::uint64_t number : lost) {
        Call call = std::move(m_calls.at(number));
        m_calls.erase(number);
        m_events.after(callerReconnect, [this, call] { offer(call); });
    }
}

void Zone::tellPeers()
{
    std::vector<HostId> peers;
    for (const Host& host : m_hosts) {
        if (host.alive)
            peers.push_back(host.id);
    }
    for (Host& host : m_hosts) {
        host.upstreams->setPeers(peers, host.id, Incarnation { 1 });
        host.queue->setSlots(host.upstreams->usableSlots(m_events.time()), m_events.time());
    }
}

void Zone::tick()
{
    TimePoint now = m_events.time();
    for (Host& host : m_hosts) {
        if (!host.alive)
            continue;
        host.queue->setSlots(host.upstreams->usableSlots(now), now);
        pump(host);
        if (m_events.now() / tickPeriod % 2 == 0)
            exchangeCredits(host);
    }
    m_events.after(tickPeriod, [this] { tick(); });
}

void Zone::exchangeCredits(Host& from)
{
    auto report = from.upstreams->report(from.queue->waiting(), m_events.time());
    for (Host& to : m_hosts) {
        if (!to.alive || &to == &from)
            continue;
        auto grant = to.upstreams->onReport(report, m_events.time());
        if (!grant)
            continue;
        m_events.after(peerDelay, [this, &from, grant = *grant] {
            from.upstreams->onGrant(grant, m_events.time());
            pump(from);
        });
    }
}

void Zone::at(Micros when, const std::function<void(ModelUpstreams&)>& event)
{
    m_events.at(when, [this, event] { event(m_upstreams); });
}

void Zone::measure(Micros from, Micros until)
{
    m_measureFrom = from;
    m_measureUntil = until;
}

void Zone::run(Micros until)
{
    m_events.runUntil(until);
}

} // namespace jujubereach::bench
