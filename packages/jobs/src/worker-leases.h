// The leases of a domain's workers as one holder sees them: epochs, freshness and the majority.
#pragma once

#include "jujubereach/jobs/owner.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace jujubereach::jobs {

class WorkerLeases {
public:
    WorkerLeases(std::size_t workers, const OwnerTimes& times);

    std::uint32_t size() const { return static_cast<std::uint32_t>(m_leases.size()); }
    void setReachable(std::uint32_t worker, bool reachable);

    /// Starts a new try for the majority: no grant of an earlier one counts.
    void beginContending(TimePoint now);
    void raiseEpochAbove(std::uint64_t epoch) { m_epoch = std::max(m_epoch, epoch); }
    /// The majority was won: the epoch becomes the term.
    void beginTerm(TimePoint now);
    std::uint64_t epoch() const { return m_epoch; }

    /// True when a sync may be sent; `commandsWaiting` when commands wait for it.
    bool isDue(std::uint32_t worker, bool commandsWaiting, TimePoint now) const;
    /// Whether a release must still be sent.
    bool isReleaseDue(std::uint32_t worker, TimePoint now) const;
    /// Notes that a sync is sent, and gives it its epoch.
    Epoch issue(std::uint32_t worker, Duration ttl, TimePoint now);
    void onReply(std::uint32_t worker, const platform::WorkerReply& reply, TimePoint now);

    /// The lease is held for certain, by this clock.
    bool isFresh(std::uint32_t worker, TimePoint now) const;
    bool hasMajority(TimePoint now) const;
    bool holdsAny(TimePoint now) const; ///< For certain.
    bool mayHoldAny(TimePoint now) const; ///< Perhaps, since a reply was lost.
    /// Since when no granted reply came; unset when none came in this try.
    std::optional<TimePoint> lastGrant(std::uint32_t worker) const { return m_leases[worker].lastGrant; }
    TimePoint nextDue(TimePoint limit) const;

private:
    struct Lease {
        bool reachable = true;
        bool inFlight = false;
        Epoch minEpoch; ///< Epochs below it are stale for this worker.
        TimePoint issuedAt; ///< Of the last sync.
        Epoch issuedEpoch;
        Duration issuedTtl { 0 };
        std::optional<TimePoint> grantedFrom; ///< Issue time of the last granted sync: the cautious start.
        Epoch grantedEpoch;
        std::optional<TimePoint> lastGrant;
        TimePoint mayHoldUntil; ///< Past it the worker has let the lease lapse, whatever was lost.
        TimePoint nextSync;
        TimePoint notBefore; ///< Back-off after a failed sync, also when commands wait.
        std::uint32_t failures = 0; ///< In a row.
    };

    void onGranted(Lease& lease, TimePoint now);
    void onRefused(Lease& lease, const platform::WorkerReply& reply, TimePoint now);
    void raiseEpoch(Epoch seen, TimePoint now);
    Epoch epochFor(const Lease& lease) const;
    std::uint32_t weightOf(std::uint32_t worker) const;
    TimePoint findMajorityEnd() const;

    OwnerTimes m_times;
    std::vector<Lease> m_leases;
    std::uint64_t m_epoch = 1; ///< Before the majority all workers must grant this one; then it is the term.
    bool m_hasTerm = false;
    /// Until when the known grants make a majority, at least. Grants only move it on.
    mutable TimePoint m_majorityUntil;
};

} // namespace jujubereach::jobs
