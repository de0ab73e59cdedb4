// Decides which gangs of one domain start, where and when. Does no I/O, starts no threads and reads no clock:
// the caller passes the time in and carries the decisions out.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"
#include "jujubereach/manifest/manifest.h"
#include "jujubereach/placement/run.h"
#include "jujubereach/scheduling/policy.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jujubereach::scheduling {

using placement::Run;

struct JobSpec {
    JobId id;
    WorkspaceId workspace;
    ClassId workClass;
    CallerId caller;
    std::string kind; ///< Groups similar jobs whose run times are predicted together.
    std::uint32_t accelerators = 1; ///< Size of the gang; it starts on all of them or not at all.
    Duration declaredRunTime { 0 };
    Duration checkpointTime { 0 }; ///< Time a checkpoint takes; used if `checkpointable`.
    bool checkpointable = false;
    bool restartable = false; ///< May be started again after it was lost or stopped without a checkpoint.
    std::optional<ShapeId> shape; ///< Requests a guaranteed shape of its workspace.
    Duration progress { 0 }; ///< Run time saved by an earlier attempt.
    std::uint32_t attempt = 0; ///< Number of attempts started so far.
    std::uint32_t workerLosses = 0; ///< Attempts in a row that ended with the loss of a worker.
};

enum class EndKind {
    Completed,
    Failed, ///< The job's own task failed on `faultyWorkers`.
    StartFailed, ///< A hold or start was refused or timed out on `faultyWorkers`.
    WorkerLost, ///< A worker in `faultyWorkers` was lost while the gang ran.
    Checkpointed, ///< Preempted with its progress saved.
    Stopped, ///< Preempted without a checkpoint, or cancelled.
    Unknown, ///< It may have run or still be running; never started again.
};

/// Name used in responses and in stored records.
const char* nameOf(EndKind kind);

struct GangEnd {
    GangId gang;
    EndKind kind = EndKind::Completed;
    Duration progress { 0 }; ///< Total run time saved, earlier attempts included.
    std::vector<std::uint32_t> faultyWorkers; ///< Indexes of the workers at fault; may be empty.
    std::uint32_t workerLosses = 0; ///< As in JobSpec, this attempt included.
};

struct StartGang {
    GangId gang;
    JobSpec job;
    Run run;
};

struct PreemptGang {
    GangId gang;
    bool checkpoint = false; ///< Otherwise the gang is stopped without a checkpoint.
    JobId beneficiary;
};

enum class RefusalReason {
    NeverFits, ///< Larger than the domain, the quota or the workspace's shape.
    UnknownWorkspace,
    UnknownClass,
    UnknownShape,
    QueueFull,
    FailsEverywhere,
    Cancelled,
    OutcomeUnknown,
    WorkersLost, ///< As many attempts in a row as the policy allows ended with the loss of a worker.
};

const char* nameOf(RefusalReason reason);

/// The job has ended and is not started again. `neverRan` is true only when no attempt was started.
struct EndJob {
    JobId job;
    EndKind kind = EndKind::Completed;
    std::optional<RefusalReason> refusal;
    bool neverRan = false;
    std::string text; ///< One sentence for users.
};

using Decision = std::variant<StartGang, PreemptGang, EndJob>;

struct Explanation {
    bool known = false;
    std::string state; ///< "queued", "starting", "running", "stopping", "ended".
    std::string text; ///< Reason for the state, in one or two sentences.
    std::uint32_t aheadInQueue = 0;
    std::optional<Duration> expectedWait;
    std::optional<Run> run;
};

/// One domain's queue, accelerators and running gangs.
class Scheduler {
public:
    /// `domain` and the rest of the manifest must be valid. Every worker is down until workerUp().
    Scheduler(const manifest::Manifest& manifest, const ZoneId& zone, const DomainId& domain,
        const Policy& policy = {});
    ~Scheduler();

    /// Applies a newer manifest; running gangs keep their runs. Queued jobs that can no longer run are ended.
    void reconfigure(const manifest::Manifest& manifest);

    /// Queues a job, or returns its refusal. Submitting the same id again has no effect.
    std::optional<EndJob> submit(const JobSpec& job, TimePoint now);
    void cancel(const JobId& job, TimePoint now);

    /// Registers a running gang that a worker reported after the domain changed its owner.
    void adopt(const JobSpec& job, const GangId& gang, const Run& run, Duration ranFor, TimePoint now);

    void workerUp(std::uint32_t worker, TimePoint now);
    /// Starts no new gang there; the owner reports the end of those on it.
    void workerDown(std::uint32_t worker, TimePoint now);

    void gangRunning(const GangId& gang, TimePoint now);
    /// The gang has released all its accelerators.
    void gangEnded(const GangEnd& end, TimePoint now);

    /// Returns the decisions due at `now`; each is returned once.
    std::vector<Decision> decide(TimePoint now);
    /// Time of the next decide() call if no event arrives before.
    std::optional<TimePoint> nextDue(TimePoint now) const;

    Explanation explain(const JobId& job, TimePoint now) const;

    struct Usage {
        std::uint32_t total = 0;
        std::uint32_t down = 0;
        std::uint32_t used = 0;
        std::uint32_t largestFreeRun = 0;
        std::size_t queued = 0;
        std::size_t running = 0;
    };
    Usage usage() const;

    /// Steps of searches and queue scans so far: a machine-independent measure of decision cost.
    std::uint64_t stepCount() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace jujubereach::scheduling
