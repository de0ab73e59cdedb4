// The live entry hosts of one zone, as this host sees them: probing, suspicion, removal and return.
#pragma once

#include "jujubereach/base/random.h"
#include "jujubereach/base/time.h"
#include "jujubereach/membership/message.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jujubereach::membership {

struct MembersSettings {
    Duration period { 500 }; ///< In which `probesPerPeriod` members are probed.
    std::size_t probesPerPeriod = 2; ///< A zone with no more other members is probed as a full mesh.
    Duration probeTimeout { 200 }; ///< Without an Ack, before other hosts are asked to ping as well.
    std::size_t relays = 3; ///< Hosts asked to ping a member that does not answer.
    Duration suspicion { 1500 }; ///< From suspicion to removal.
    Duration fresh { 1500 }; ///< A member heard within this time is not removed on another host's word.
    Duration pauseGap { 1000 }; ///< A longer gap between calls means that this process was paused.
    Duration retry { 1000 }; ///< Between contacts to seeds, listed hosts and dead members.
    Duration syncInterval { 5000 }; ///< Least time between two exchanges of whole tables.
    Duration divergence { 1500 }; ///< Time for which views may differ before tables are exchanged.
    Duration joining { 2000 }; ///< Time after the start in which the incarnation may still be raised.
    Duration forgetDead { 3'600'000 }; ///< After which a dead member's record is dropped.
    std::size_t updatesPerMessage = 6;
    std::size_t sendsPerUpdate = 3; ///< Times that each host passes an update on beside its announcement.
};

/// A member as one host sees it.
struct Member {
    MemberUpdate update;
    bool suspect = false; ///< Does not answer this host; still counts as live.
    TimePoint changedAt; ///< When this host last saw its state change.
};

/// An entry host as the platform's list or the settings name it.
struct ListedHost {
    HostId id; ///< Empty for a seed that only the settings name.
    std::string address;
    bool leaving = false;
};

/// One change of the view, for logs and metrics.
struct MemberChange {
    HostId id;
    Incarnation incarnation;
    std::optional<MemberState> before; ///< Empty when the member was unknown.
    MemberState after = MemberState::Alive;
};

/// Decides whom to probe, suspect and remove. Suspicion is kept local: only removals, arrivals, departures
/// and refutations are announced, each to every member at once, passed on a few times against loss, and
/// repaired by exchanging tables when views stay different.
class Members {
public:
    /// `self` holds the id, incarnation and addresses of this host. The incarnation must rise with each
    /// start; wall-clock milliseconds of the start do. It is raised further while joining if a peer knows a
    /// higher one.
    Members(ZoneId zone, MemberUpdate self, MembersSettings settings, std::uint64_t seed, TimePoint now);
    ~Members();
    Members(const Members&) = delete;
    Members& operator=(const Members&) = delete;

    /// Addresses to contact until their hosts are members, and again when they are lost.
    void setSeeds(std::vector<std::string> addresses);
    /// The platform's list of the zone's hosts; it adds contacts and confirms the leaving of a suspect.
    void onHostList(const std::vector<ListedHost>& hosts);

    /// Call every 50 to 100 ms. Returns the messages to send.
    std::vector<Outgoing> tick(TimePoint now);
    std::vector<Outgoing> onMessage(const Message& message, TimePoint now);
    /// A connection to the host was refused or lost: it is probed at once.
    void onUnreachable(const HostId& id, TimePoint now);

    /// Starts a graceful shutdown: the host owns nothing from now on.
    void leave();
    /// Last words before the process ends: the messages that remove it from the others' views at once.
    std::vector<Outgoing> depart(TimePoint now);

    /// A later start of the same host is known. This process must stop; it sends nothing any more.
    bool superseded() const;
    /// Whether a peer has answered since the start, or the time to wait for one is over.
    bool joined(TimePoint now) const;

    const MemberUpdate& self() const;
    /// Hosts that may own domains, in order of id: alive or suspect, neither leaving nor dead; self included
    /// unless it is leaving or superseded.
    std::vector<HostId> live() const;
    /// Every known host but this one, dead ones included, in order of id.
    std::vector<Member> others() const;
    std::optional<Member> find(const HostId& id) const;
    /// Rises whenever live() or an incarnation in it changes.
    std::uint64_t viewVersion() const;
    /// Hash of the live and leaving members with their incarnations.
    std::uint64_t viewHash() const;

    /// Told to peers with every message.
    void setManifestCounter(std::uint64_t counter);
    /// Changes since the last call.
    std::vector<MemberChange> takeChanges();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace jujubereach::membership
