// A lease holder's view of the leases of a domain's workers: epochs, validity and the majority.
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

    /// Starts a new attempt to obtain the majority. Earlier grants no longer count.
    void beginContending(TimePoint now);
    void raiseEpochAbove(std::uint64_t epoch) { m_epoch = std::max(m_epoch, epoch); }
    /// Called when the majority is held: the epoch becomes the term.
    void beginTerm(TimePoint now);
    std::uint64_t epoch() const { return m_epoch; }

    /// Whether to send a sync now. With `commandsWaiting`, does not wait for the sync interval.
    bool isDue(std::uint32_t worker, bool commandsWaiting, TimePoint now) const;
    /// Whether to send a release now: the worker may still hold a lease for this holder.
    bool isReleaseDue(std::uint32_t worker, TimePoint now) const;
    /// Records that a sync with this lease time is sent, and returns its epoch.
    Epoch issue(std::uint32_t worker, Duration ttl, TimePoint now);
    void onReply(std::uint32_t worker, const platform::WorkerReply& reply, TimePoint now);

    /// True if the lease is held for certain, by this clock.
    bool isFresh(std::uint32_t worker, TimePoint now) const;
    bool hasMajority(TimePoint now) const;
    bool holdsAny(TimePoint now) const; ///< True if any lease is held for certain.
    bool mayHoldAny(TimePoint now) const; ///< True if any lease may be held, as when a reply was lost.
    /// Time of the last granted reply in this attempt, if any.
    std::optional<TimePoint> lastGrant(std::uint32_t worker) const { return m_leases[worker].lastGrant; }
    TimePoint nextDue(TimePoint limit) const;

private:
    struct Lease {
        bool reachable = true;
        bool inFlight = false;
        Epoch minEpoch; ///< The worker refuses epochs below it.
        TimePoint issuedAt; ///< When the last sync was issued.
        Epoch issuedEpoch;
        Duration issuedTtl { 0 };
        /// Issue time of the last granted sync, a lower bound of the lease's start.
        std::optional<TimePoint> grantedFrom;
        Epoch grantedEpoch;
        std::optional<TimePoint> lastGrant;
        TimePoint mayHoldUntil; ///< By then the lease has lapsed, even if replies were lost.
        TimePoint nextSync;
        TimePoint notBefore; ///< Backoff after a failed or refused sync; applies also when commands wait.
        std::uint32_t failures = 0; ///< Consecutive failed syncs.
    };

    void onGranted(Lease& lease, TimePoint now);
    void onRefused(Lease& lease, const platform::WorkerReply& reply, TimePoint now);
    void raiseEpoch(Epoch seen, TimePoint now);
    Epoch epochFor(const Lease& lease) const;
    std::uint32_t weightOf(std::uint32_t worker) const;
    TimePoint findMajorityEnd() const;

    OwnerTimes m_times;
    std::vector<Lease> m_leases;
    std::uint64_t m_epoch = 1; ///< Epoch that a majority must grant; then the term.
    bool m_hasTerm = false;
    /// Cached lower bound of the time until which a majority is held. Later grants can only extend it.
    mutable TimePoint m_majorityUntil;
};

} // namespace jujubereach::jobs
