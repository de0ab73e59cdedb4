// Which host owns a domain, and whether it really does: ranking by rendezvous hashing, majority of leases.
#pragma once

#include "jujubereach/base/id.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace jujubereach::membership {

/// Hosts in the order in which they should own the domain. A host that comes or goes changes the place of no
/// pair of others, so only domains of that host move.
std::vector<HostId> rankOwners(const std::vector<HostId>& live, const ZoneId& zone, const DomainId& domain);

/// The first of rankOwners; empty when no host is live.
std::optional<HostId> preferredOwner(
    const std::vector<HostId>& live, const ZoneId& zone, const DomainId& domain);

/// Whether `self` should try to take the leases of the domain's workers.
bool shouldOwn(
    const std::vector<HostId>& live, const ZoneId& zone, const DomainId& domain, const HostId& self);

/// Whether the held leases are a majority of the domain's workers, `granted[i]` telling of worker i. The
/// first worker counts double when their number is even, so that of two hosts at most one has a majority and
/// one of two halves has it. A domain without workers has no majority.
bool isMajority(const std::vector<bool>& granted);

/// Hosts ordered by rendezvous hashing for any key, highest first.
std::vector<HostId> rankHosts(std::vector<HostId> hosts, std::string_view key);

} // namespace jujubereach::membership
