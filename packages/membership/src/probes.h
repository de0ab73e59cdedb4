// Pings that wait for their Ack, and those made on behalf of other hosts.
#pragma once

#include "jujubereach/base/time.h"
#include "jujubereach/membership/message.h"

#include <map>
#include <optional>

namespace jujubereach::membership {

/// One member that has yet to answer.
struct Probe {
    std::uint64_t number = 0;
    TimePoint startedAt;
    TimePoint sentAt; ///< Of the latest ping.
    bool relayed = false; ///< Other hosts were asked as well.
    std::optional<TimePoint> suspectedAt;
};

/// A ping made on behalf of `origin`.
struct RelayedPing {
    HostId origin;
    std::uint64_t originNumber = 0;
    TimePoint madeAt;
};

class Probes {
public:
    /// Starts a probe unless one of the same member is open.
    Probe* start(const HostId& target, TimePoint now);
    /// The member gave a sign of life.
    void clear(const HostId& target) { m_probes.erase(target); }
    void clearAll() { m_probes.clear(); }
    bool isSuspect(const HostId& target) const;
    std::map<HostId, Probe>& open() { return m_probes; }

    std::uint64_t addRelay(const HostId& origin, std::uint64_t originNumber, TimePoint now);
    /// The ping whose Ack has this number, once.
    std::optional<RelayedPing> takeRelay(std::uint64_t number);
    void dropRelays(TimePoint madeBefore);

private:
    std::uint64_t m_lastNumber = 0;
    std::map<HostId, Probe> m_probes;
    std::map<std::uint64_t, RelayedPing> m_relays;
};

} // namespace jujubereach::membership
