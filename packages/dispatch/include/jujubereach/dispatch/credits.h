// Credits: how the live entry hosts of a zone share the slots of an upstream without overbooking it.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace jujubereach::dispatch {

/// Sent to every peer of the zone at each report period, also when nothing changed.
struct CreditReport {
    struct Held {
        HostId lender;
        UpstreamId upstream;
        std::uint32_t count = 0; ///< Lent credits that a request uses.
    };
    HostId host;
    Incarnation incarnation;
    std::uint32_t wanted = 0; ///< Requests that wait for a credit.
    std::vector<Held> held;
};

/// The answer to a report of a host that waits while this one has idle credits.
struct CreditGrant {
    struct Lent {
        UpstreamId upstream;
        std::uint32_t count = 0; ///< All that the borrower may use of the lender's credits, not an increase.
    };
    HostId lender;
    HostId borrower;
    Duration term { 0 }; ///< From receipt; no request is started on a lent credit after it.
    std::vector<Lent> lent;
};

constexpr Duration creditReportPeriod { 100 };
constexpr Duration creditTerm { 500 };
/// The lender counts a loan for so much longer than its term: transit and one lost report.
constexpr Duration creditMargin { 300 };
/// The part of a peer that has not reported for so long is shared by the others until it reports again.
constexpr Duration creditSilence { 500 };

/// The part of `slots` that `self` has when `hosts` are live; the parts of all hosts sum to `slots`.
std::uint32_t creditShare(
    const UpstreamId& upstream, std::uint32_t slots, const std::vector<HostId>& hosts, const HostId& self);

/// Where a credit in use came from: this host's own part, or the lender.
using CreditSource = std::optional<HostId>;

/// The credits of one host. While all hosts see the same peers, the credits that they may use on an
/// upstream sum to at most its slots; a lender counts a credit as lent for at least as long as the
/// borrower may use it.
class CreditBook {
public:
    /// Live entry hosts of the zone, this one included.
    void setPeers(std::vector<HostId> hosts, HostId self, Incarnation incarnation);
    /// The connection to a peer broke: its part is shared until it reports again.
    void peerLost(const HostId& host, TimePoint now);
    void setSlots(const UpstreamId& upstream, std::uint32_t slots);
    void remove(const UpstreamId& upstream);

    /// Credits that may be used at the same time, those in use included.
    std::uint32_t usable(const UpstreamId& upstream, TimePoint now) const;
    /// Credits that a new request may take now.
    std::uint32_t idle(const UpstreamId& upstream, TimePoint now) const;
    /// Takes a credit; only when idle() is above 0.
    CreditSource take(const UpstreamId& upstream, TimePoint now);
    void giveBack(const UpstreamId& upstream, const CreditSource& source);

    /// `wanted`: requests that wait in this host for a credit.
    CreditReport report(std::uint32_t wanted, TimePoint now);
    /// A grant when this host has credits to lend; `healthy` lists the upstreams that take work.
    std::optional<CreditGrant> onReport(
        const CreditReport& report, const std::vector<UpstreamId>& healthy, TimePoint now);
    void onGrant(const CreditGrant& grant, TimePoint now);

private:
    struct Grant {
        std::uint32_t count = 0;
        TimePoint until;
    };
    struct Loan {
        std::vector<Grant> grants; // those that have not lapsed
        std::uint32_t used = 0; // by requests; as borrower told by take(), as lender told by reports

        std::uint32_t granted(TimePoint now) const;
        void prune(TimePoint now);
    };
    struct Book {
        std::uint32_t slots = 0;
        std::uint32_t share = 0; // own part
        std::uint32_t ownUsed = 0; // never above `share` but after a change of the peers
        std::map<HostId, Loan> lentTo;
        std::map<HostId, Loan> borrowedFrom;
    };

    std::uint32_t lentOut(const Book& book, TimePoint now) const;
    std::uint32_t ownIdle(const Book& book, TimePoint now) const;
    std::optional<CreditGrant> lend(
        const CreditReport& report, const std::vector<UpstreamId>& healthy, TimePoint now);
    void noteHeld(const CreditReport& report, TimePoint now);
    bool isPeer(const HostId& host) const;
    void share(const UpstreamId& upstream, Book& book) const;
    void shareAll();
    void noteSilence(TimePoint now);

    std::map<UpstreamId, Book> m_books;
    std::vector<HostId> m_hosts; // sorted; holds m_self
    std::vector<HostId> m_sharing; // those of m_hosts that are not silent; the slots are split among them
    std::map<HostId, TimePoint> m_heard; // last report of each peer, or when it was first missed
    HostId m_self;
    Incarnation m_incarnation;
    std::uint32_t m_wanted = 0; // as of the last report
    std::map<HostId, Incarnation> m_incarnations; // of the peers that reported
};

} // namespace jujubereach::dispatch
