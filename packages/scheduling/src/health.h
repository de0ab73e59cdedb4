// Quarantines workers on which jobs keep failing, and schedules probes of them.
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

    /// Records a job's first failure. Later failures of a job are not recorded, as they point to the job
    /// rather than the worker. Returns true if the worker is now quarantined.
    bool recordFailure(std::uint32_t worker, const JobId& job, TimePoint now);
    /// Clears the worker's failures. Returns true if this ended a quarantine.
    bool recordSuccess(std::uint32_t worker);
    /// Doubles the delay until the next probe.
    void recordProbeFailure(std::uint32_t worker, TimePoint now);

    /// Ends the quarantine without a probe; the next failure starts it again.
    void endQuarantine(std::uint32_t worker);

    bool quarantined(std::uint32_t worker) const { return m_workers[worker].quarantined; }
    std::size_t quarantinedCount() const { return m_quarantined.size(); }
    /// Quarantined workers whose next probe is due.
    std::vector<std::uint32_t> dueProbes(TimePoint now) const;
    TimePoint probeTime(std::uint32_t worker) const { return m_workers[worker].probeAt; }
    std::optional<TimePoint> nextProbe() const;

private:
    struct Worker {
        std::uint32_t failures = 0; ///< Consecutive, each of a different job.
        JobId lastJob;
        bool quarantined = false;
        TimePoint probeAt;
        Duration delay { 0 };
    };

    Policy m_policy;
    std::vector<Worker> m_workers;
    /// At most a fifth of the workers, so that faulty jobs can't disable a domain.
    std::vector<std::uint32_t> m_quarantined;
};

} // namespace jujubereach::scheduling
