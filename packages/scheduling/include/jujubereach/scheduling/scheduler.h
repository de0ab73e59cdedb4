// Decides which gang of one domain starts where and when. Values in, decisions out: no sockets, no
// threads, no clock of its own.
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
    std::string kind; ///< Names similar jobs, whose run times are learned together.
    std::uint32_t accelerators = 1; ///< Size of the gang; all run or none.
    Duration declaredRunTime { 0 };
    Duration checkpointTime { 0 }; ///< Time that a checkpoint takes, when checkpointable.
    bool checkpointable = false;
    bool restartable = false; ///< May start again after a worker was lost without a checkpoint.
    std::optional<ShapeId> shape; ///< Calls for a guaranteed shape of its workspace.
    Duration progress { 0 }; ///< Run time saved by an earlier attempt.
    std::uint32_t attempt = 0; ///< Starts so far.
};

enum class EndKind {
    Completed,
    Failed, ///< The job's own task failed on `faultyWorkers`.
    StartFailed, ///< A hold or start was refused or ran out of time on `faultyWorkers`.
    WorkerLost, ///< `faultyWorkers` was lost while the gang ran.
    Checkpointed, ///< Preempted with its progress saved.
    Stopped, ///< Preempted without, or cancelled.
    Unknown, ///< It may run or have run somewhere; never started again.
};

/// Name as it stands in answers and records.
const char* nameOf(EndKind kind);

struct GangEnd {
    GangId gang;
    EndKind kind = EndKind::Completed;
    Duration progress { 0 }; ///< Run time saved in all, earlier attempts included.
    std::vector<std::uint32_t> faultyWorkers; ///< Worker indexes.
};

struct StartGang {
    GangId gang;
    JobSpec job;
    Run run;
};

struct PreemptGang {
    GangId gang;
    bool checkpoint = false; ///< Else it is stopped at once.
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
};

const char* nameOf(RefusalReason reason);

/// The job has ended and is not started again. `neverRan` is true only when no attempt was started.
struct EndJob {
    JobId job;
    EndKind kind = EndKind::Completed;
    std::optional<RefusalReason> refusal;
    bool neverRan = false;
    std::string text; ///< One sentence for people.
};

using Decision = std::variant<StartGang, PreemptGang, EndJob>;

struct Explanation {
    bool known = false;
    std::string state; ///< "queued", "starting", "running", "stopping", "ended".
    std::string text; ///< Why it waits, in one or two sentences.
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

    /// Takes a newer manifest; running gangs stay where they are.
    void reconfigure(const manifest::Manifest& manifest);

    /// Queues a job, or tells at once why it can never run. A second submit of one id changes nothing.
    std::optional<EndJob> submit(const JobSpec& job, TimePoint now);
    void cancel(const JobId& job, TimePoint now);

    /// Rebuilds a gang that a worker reported after a change of owner.
    void adopt(const JobSpec& job, const GangId& gang, const Run& run, Duration ranFor, TimePoint now);

    void workerUp(std::uint32_t worker, TimePoint now);
    void workerDown(std::uint32_t worker, TimePoint now); ///< No new gang; the owner ends those on it.

    void gangRunning(const GangId& gang, TimePoint now);
    /// The gang holds no accelerator any more.
    void gangEnded(const GangEnd& end, TimePoint now);

    /// Everything to do at `now`; each decision is given out once.
    std::vector<Decision> decide(TimePoint now);
    /// When decide() is due again although nothing happens.
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

    /// Steps of searches and queue scans so far: the cost of decisions, the same on every machine.
    std::uint64_t stepCount() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace jujubereach::scheduling
