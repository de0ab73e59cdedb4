// The upstreams of a zone as this host sees them: health, concurrency, credits, and the pick for a request.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/random.h"
#include "jujubereach/base/time.h"
#include "jujubereach/dispatch/credits.h"
#include "jujubereach/platform/upstream.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujubereach::dispatch {

/// One upstream of the platform's list.
struct UpstreamInfo {
    UpstreamId id;
    std::string address; ///< "ip:port".
    std::uint32_t slots = 0;
    bool leaving = false; ///< The list says so.
};

/// What a pick depends on.
struct PickFor {
    ClassId workClass;
    bool repeatable = true; ///< An upstream that fails everything is probed with repeatable requests only.
    std::vector<UpstreamId> excluded; ///< Tried before; taken only when no other is free.
};

/// A slot of an upstream, held by one request until finished().
struct Lease {
    std::uint64_t number = 0;
    UpstreamId upstream;
    std::string address;
};

enum class UpstreamHealth {
    Working,
    Suspect, ///< Requests stay unanswered far beyond their usual time.
    SetAside, ///< Failed everything of late; probed with one request at a time.
    Leaving, ///< By the list or by its own answer; gets no new work.
};
const char* nameOf(UpstreamHealth health);

struct UpstreamView {
    UpstreamId id;
    UpstreamHealth health = UpstreamHealth::Working;
    std::uint32_t inUse = 0; ///< Requests of this host.
    std::uint32_t usable = 0; ///< Slots that this host may use now, by credits and by what it can do.
    double slowness = 1; ///< Time of its answers over the zone's for the same class.
};

/// Slots in use by this host never exceed its credits, but right after a change of the peers.
class UpstreamSet {
public:
    explicit UpstreamSet(std::uint64_t seed);
    ~UpstreamSet();
    UpstreamSet(UpstreamSet&&) noexcept;
    UpstreamSet& operator=(UpstreamSet&&) noexcept;

    /// The whole list. One that is gone from it gets no new work; its requests in progress go on.
    void setUpstreams(const std::vector<UpstreamInfo>& list, TimePoint now);
    void setPeers(std::vector<HostId> hosts, HostId self, Incarnation incarnation);

    /// The connection to a peer broke; a killed process is noticed by this before it counts as silent.
    void peerLost(const HostId& host, TimePoint now);

    /// Slots that this host may use now, in use or not; what the admission queue is told.
    std::uint32_t usableSlots(TimePoint now) const;
    /// True when a pick for a repeatable request would succeed.
    bool hasFree(TimePoint now) const;
    /// Requests that could start now. A caller that takes requests from the queue before it has a lease,
    /// such as for the time of creating a record, takes no more than these less those without a lease.
    std::uint32_t freeSlots(TimePoint now) const;
    std::optional<Lease> pick(const PickFor& request, TimePoint now);
    void finished(const Lease& lease, const platform::UpstreamAnswer& answer, TimePoint now);

    /// Exchange of credits with the peers; see CreditBook. Sent every creditReportPeriod.
    CreditReport report(std::uint32_t wanted, TimePoint now);
    std::optional<CreditGrant> onReport(const CreditReport& report, TimePoint now);
    void onGrant(const CreditGrant& grant, TimePoint now);

    std::vector<UpstreamView> view(TimePoint now) const;

private:
    class Upstream;
    struct Taken {
        UpstreamId upstream;
        ClassId workClass;
        CreditSource source;
        TimePoint since;
        bool probe = false;
    };

    struct Doubtful {
        UpstreamId upstream;
        CreditSource source;
        TimePoint until;
    };

    void giveBackDoubtful(TimePoint now);
    bool canTake(const Upstream& upstream, TimePoint now) const;
    Upstream* best(const PickFor& request, TimePoint now);
    Upstream* dueProbe(const PickFor& request, TimePoint now);
    Lease take(Upstream& upstream, const PickFor& request, bool probe, TimePoint now);
    double ratioOf(const ClassId& workClass, Duration took);
    Duration expectedOf(const ClassId& workClass) const;

    Random m_random;
    CreditBook m_credits;
    std::map<UpstreamId, std::unique_ptr<Upstream>> m_upstreams;
    std::unordered_map<std::uint64_t, Taken> m_taken; // leases by number
    std::unordered_map<ClassId, double> m_expected; // zone's mean answer time of a class, in milliseconds
    std::vector<Doubtful> m_doubtful; // credits of requests without answer: their slots may be in use still
    std::uint64_t m_lastLease = 0;
};

} // namespace jujubereach::dispatch
