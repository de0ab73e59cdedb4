// The platform's list of machines: it shows the state of some time ago.
#pragma once

#include "jujubereach/base/time.h"
#include "jujubereach/platform/hosts.h"

#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace jujubereach::standins {

/// Thread-safe.
class HostRegistry {
public:
    /// A machine is no longer listed `timeToLive` plus `lag` after its last report.
    HostRegistry(Duration lag, Duration timeToLive);

    void report(const platform::Machine& machine, TimePoint now);
    /// The machines of a zone, or of all when it is empty, as they were `lag` ago.
    std::vector<platform::Machine> list(const ZoneId& zone, TimePoint now) const;

private:
    struct Entry {
        std::deque<std::pair<TimePoint, platform::Machine>> versions; ///< In the order of time; never empty.
        TimePoint lastReport;
    };

    const Duration m_lag;
    const Duration m_timeToLive;
    mutable std::mutex m_mutex;
    std::map<std::pair<platform::MachineKind, std::string>, Entry> m_entries; ///< Guarded by m_mutex.
};

} // namespace jujubereach::standins
