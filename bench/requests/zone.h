// An availability zone in virtual time: callers behind a balancer, entry hosts, upstreams.
#pragma once

#include "events.h"
#include "policy.h"
#include "upstream-model.h"
#include "workload.h"

#include "jujubereach/dispatch/request.h"
#include "jujubereach/dispatch/retry.h"

#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace jujubereach::bench {

struct ZoneSetup {
    Policy policy = Policy::Fair;
    int hosts = 3;
    int upstreams = 16;
    std::uint32_t slots = 8; ///< Of each upstream.
    std::uint64_t seed = 1;
    dispatch::RetryLimits retries;

    double capacity() const { return upstreams * slots * 1000.0 / meanSlotMs; } ///< Requests a second.
};

enum class HostLoss { None, Killed, Silent };

/// Counters of the whole zone from the start.
struct ZoneCounts {
    std::uint64_t firstSends = 0;
    std::uint64_t retries = 0;
};

class Zone {
public:
    explicit Zone(const ZoneSetup& setup);

    void addStreams(const std::vector<Stream>& streams, Micros from, Micros until);
    /// At `when` the process of a host is killed, which breaks its connections, or the whole host falls
    /// silent. The membership of its peers tells a second later.
    void loseHost(int host, HostLoss loss, Micros when);
    void at(Micros when, const std::function<void(ModelUpstreams&)>& event);
    /// Counts what is offered in [from, until).
    void measure(Micros from, Micros until);
    void run(Micros until);

    const Tallies& tallies() const { return m_tallies; }
    const ZoneCounts& counts() const { return m_counts; }
    ModelUpstreams& upstreams() { return m_upstreams; }

private:
    struct Call {
        Stream stream;
        Micros offered = 0;
        Micros work = 0;
        std::uint64_t number = 0;
        int host = 0;
        bool measured = false;
        std::optional<dispatch::RequestLife> life; // in its host
    };
    struct Host {
        HostId id;
        bool alive = true;
        std::unique_ptr<Queue> queue;
        std::unique_ptr<dispatch::UpstreamSet> upstreams;
        std::unique_ptr<dispatch::RetryPolicy> retries;
        std::deque<std::uint64_t> again; // calls whose backoff is over; they go before the queue
    };

    void scheduleArrival(std::size_t stream);
    void arrive(std::size_t stream);
    void offer(Call call);
    void pump(Host& host);
    void takeGivenUp(Host& host);
    void send(Host& host, Call& call, const dispatch::Lease& lease);
    void answered(int host, std::uint64_t number, const dispatch::Lease& lease, Micros since,
        const platform::UpstreamAnswer& answer);
    void backoffOver(int host, std::uint64_t number);
    bool sendAgain(Host& host);
    void timeOver(Host& host, Call& call);
    void finish(std::uint64_t number);
    void die(int host, HostLoss loss);
    void tick();
    void exchangeCredits(Host& from);
    void tellPeers();
    int liveHost();
    TimePoint timeOf(Micros when) const { return TimePoint(Duration(1'000'000 + when / microsPerMs)); }

    ZoneSetup m_setup;
    Events m_events;
    ModelUpstreams m_upstreams;
    std::vector<Host> m_hosts;
    std::vector<HostId> m_peers; // as the hosts see them
    struct Source {
        Stream stream;
        Random random;
        Micros until = 0;
    };
    std::vector<Source> m_sources;
    Random m_balancer;
    std::unordered_map<std::uint64_t, Call> m_calls; // offered, not final
    std::uint64_t m_lastCall = 0;
    Micros m_measureFrom = 0;
    Micros m_measureUntil = 0;
    Tallies m_tallies;
    ZoneCounts m_counts;
};

} // namespace jujubereach::bench
