// Ways of sharing the slots of upstreams among entry hosts, on the same streams: credits, least loaded
// of two by a stale view, and random. A host is lost half way.
#include "report.h"
#include "upstream-model.h"
#include "workload.h"

#include <algorithm>
#include <deque>
#include <set>

namespace jujubereach::bench {

namespace {

    constexpr int hostCount = 3;
    constexpr int upstreamCount = 16;
    constexpr std::uint32_t slots = 8;
    constexpr Micros end = 30 * microsPerSecond;
    constexpr Micros hostLostAt = 15 * microsPerSecond;
    constexpr Micros viewPeriod = 200 * microsPerMs; // of the view of the others' load
    constexpr Micros reportPeriod = 100 * microsPerMs;
    constexpr Micros resendWait = 5 * microsPerMs;
    constexpr Micros timeout = 10 * microsPerSecond;

    enum class Way { Credits, LeastOfTwo, Random };

    struct Request {
        Micros offered = 0;
        Micros work = 0;
    };

    /// Hosts with plain queues, so that only the way of sharing differs.
    class SharedSlots {
    public:
        SharedSlots(Way way, double load, double unevenness);
        void run();

        double busyPercent() const
        {
            return 100.0 * static_cast<double>(m_upstreams.busyAnswers()) / m_sends;
        }
        double waitP99() const { return m_waits.p(0.99); }

    private:
        struct Host {
            HostId id;
            bool alive = true;
            std::deque<Request> waiting;
            dispatch::UpstreamSet credits { 1 };
            std::map<UpstreamId, std::uint32_t> own; // in use by this host
            std::map<UpstreamId, std::uint32_t> view; // in use by all, as of the last exchange
        };

        void arrive();
        void pump(Host& host);
        bool sendOne(Host& host);
        std::optional<UpstreamId> pickByLoad(Host& host);
        void send(Host& host, const UpstreamId& upstream, const std::optional<dispatch::Lease>& lease);
        void exchange();
        void loseHost();

        Way m_way;
        double m_perSecond;
        double m_unevenness; // part of the requests that come to the first host beyond its even part
        Events m_events;
        ModelUpstreams m_upstreams;
        std::vector<Host> m_hosts;
        Random m_random { 7 };
        double m_sends = 0;
        Tally m_waits;
    };

    SharedSlots::SharedSlots(Way way, double load, double unevenness)
        : m_way(way)
        , m_perSecond(load * upstreamCount * slots * 1000 / meanSlotMs)
        , m_unevenness(unevenness)
        , m_upstreams(m_events, upstreamCount, slots)
        , m_hosts(hostCount)
    {
        std::vector<HostId> ids;
        ids.reserve(hostCount);
        for (int i = 0; i < hostCount; ++i)
            ids.emplace_back("h" + std::to_string(i));
        for (std::size_t i = 0; i < hostCount; ++i) {
            m_hosts[i].id = ids[i];
            m_hosts[i].credits = dispatch::UpstreamSet(i + 1);
            m_hosts[i].credits.setPeers(ids, ids[i], Incarnation { 1 });
            m_hosts[i].credits.setUpstreams(m_upstreams.list(), m_events.time());
        }
        exchange();
        m_events.at(0, [this] { arrive(); });
        m_events.at(hostLostAt, [this] { loseHost(); });
    }

    void SharedSlots::run()
    {
        m_events.runUntil(end);
    }

    void SharedSlots::arrive()
    {
        Request request { m_events.now(), slotTime(m_random) };
        std::size_t index = m_random.unit() < m_unevenness ? 0 : m_random.below(hostCount);
        while (!m_hosts[index].alive)
            index = m_random.below(hostCount);
        m_hosts[index].waiting.push_back(request);
        pump(m_hosts[index]);
        m_events.after(
            static_cast<Micros>(m_random.exponential(microsPerSecond / m_perSecond)), [this] { arrive(); });
    }

    void SharedSlots::pump(Host& host)
    {
        while (host.alive && !host.waiting.empty() && sendOne(host)) { }
    }

    bool SharedSlots::sendOne(Host& host)
    {
        if (m_way == Way::Credits) {
            auto lease = host.credits.pick({ ClassId("proof"), true, {} }, m_events.time());
            if (lease)
                send(host, lease->upstream, lease);
            return lease.has_value();
        }
        auto upstream = pickByLoad(host);
        if (upstream)
            send(host, *upstream, std::nullopt);
        return upstream.has_value();
    }

    // Sees its own requests at once and those of the others as of the last exchange.
    std::optional<UpstreamId> SharedSlots::pickByLoad(Host& host)
    {
        auto all = m_upstreams.list();
        auto loadOf = [&](const UpstreamId& id) { return std::max(host.view[id], host.own[id]); };
        std::erase_if(all, [&](const auto& info) { return loadOf(info.id) >= info.slots; });
        if (all.empty())
            return std::nullopt;
        const UpstreamId& one = all[m_random.below(all.size())].id;
        const UpstreamId& two = all[m_random.below(all.size())].id;
        return m_way == Way::Random || loadOf(one) <= loadOf(two) ? one : two;
    }

    void SharedSlots::send(
        Host& host, const UpstreamId& upstream, const std::optional<dispatch::Lease>& lease)
    {
        Request request = host.waiting.front();
        host.waiting.pop_front();
        ++host.own[upstream];
        ++host.view[upstream];
        ++m_sends;
        m_upstreams.send(upstream, request.work, timeout,
            [this, &host, upstream, lease, request](const platform::UpstreamAnswer& answer) {
                --host.own[upstream];
                host.view[upstream] -= std::min(host.view[upstream], 1U);
                if (lease)
                    host.credits.finished(*lease, answer, m_events.time());
                if (answer.status == platform::UpstreamStatus::Answered) {
                    auto took = static_cast<double>(m_events.now() - request.offered - request.work);
                    m_waits.tookMs.push_back(took / microsPerMs);
                    return pump(host);
                }
                m_events.after(resendWait, [this, &host, request] {
                    host.waiting.push_front(request);
                    pump(host);
                });
            });
    }

    void SharedSlots::exchange()
    {
        for (Host& host : m_hosts) {
            auto report
                = host.credits.report(static_cast<std::uint32_t>(host.waiting.size()), m_events.time());
            for (Host& peer : m_hosts) {
                if (!host.alive || !peer.alive || &peer == &host)
                    continue;
                if (auto grant = peer.credits.onReport(report, m_events.time()))
                    host.credits.onGrant(*grant, m_events.time());
            }
        }
        if (m_events.now() % viewPeriod == 0) {
            for (Host& host : m_hosts) {
                for (const auto& [id, upstream] : m_upstreams.all())
                    host.view[id] = upstream.running;
            }
        }
        for (Host& host : m_hosts)
            pump(host);
        m_events.after(reportPeriod, [this] { exchange(); });
    }

    // Its callers send to the others from now on; what it had in progress goes on at the upstreams.
    void SharedSlots::loseHost()
    {
        Host& lost = m_hosts.back();
        lost.alive = false;
        for (const Request& request : lost.waiting)
            m_hosts.front().waiting.push_back(request);
        lost.waiting.clear();
        for (Host& host : m_hosts)
            host.credits.peerLost(lost.id, m_events.time());
    }

} // namespace

void reportSharing(Report& out)
{
    const std::pair<Way, const char*> ways[]
        = { { Way::Credits, "credits" }, { Way::LeastOfTwo, "least_of_two" }, { Way::Random, "random" } };
    const std::tuple<double, double, const char*> loads[]
        = { { 0.7, 0, "even_70" }, { 0.9, 0, "even_90" }, { 0.7, 0.4, "uneven_70" } };
    for (auto [load, unevenness, name] : loads) {
        for (auto [way, wayName] : ways) {
            SharedSlots zone(way, load, unevenness);
            zone.run();
            std::string suffix = std::string(name) + "_" + wayName;
            out.figure("sharing_busy_" + suffix, zone.busyPercent(), "%");
            out.figure("sharing_wait_p99_" + suffix, zone.waitP99(), "ms");
        }
    }
}

} // namespace jujubereach::bench
