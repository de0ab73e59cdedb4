// Workers that fail what they start: set aside after few starts, probed again later.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/scheduling/policy.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace jujubereach::scheduling {

class WorkerHealth {
public:
    WorkerHealth(std::uint32_t workers, const Policy& policy);

    void resize(std::uint32_t workers) { m_workers.resize(workers); }

    /// A job's first failure; later ones say more about the job. True when the worker is set aside now.
    bool recordFailure(std::uint32_t worker, const JobId& job, TimePoint now);
    /// True when the worker was aside and may be used again.
    bool recordSuccess(std::uint32_t worker);
    /// A probe on the worker failed: waits twice as long.
    void recordProbeFailure(std::uint32_t worker, TimePoint now);

    /// Takes a worker back without a probe; its next failure sets it aside again.
    void endQuarantine(std::uint32_t worker);

    bool quarantined(std::uint32_t worker) const { return m_workers[worker].quarantined; }
    std::size_t quarantinedCount() const { return m_quarantined.size(); }
    /// Workers aside whose next probe is due.
    std::vector<std::uint32_t> dueProbes(TimePoint now) const;
    TimePoint probeTime(std::uint32_t worker) const { return m_workers[worker].probeAt; }
    std::optional<TimePoint> nextProbe() const;

private:
    struct Worker {
        std::uint32_t failures = 0; ///< In a row, each of another job.
        JobId lastJob;
        bool quarantined = false;
        TimePoint probeAt;
        Duration delay { 0 };
    };

    Policy m_policy;
    std::vector<Worker> m_workers;
    std::vector<std::uint32_t>
        m_quarantined; ///< At most a fifth of the workers: bad jobs can't empty a domain.
};

} // namespace jujubereach::scheduling
