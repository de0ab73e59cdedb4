// Chooses workers for the tasks of a step. Works on plain data, so that simulations need no network.
#pragma once

#include "jujubereach/fleet/job-spec.h"

#include <functional>
#include <map>
#include <set>

namespace jujubereach::fleet {

struct Step;

/// A running task that may be preempted.
struct PreemptionCandidate {
    TaskId task;
    Resources resources;
    int priority = 0;
    double rank = 0; ///< Rank of its occurrence in the queue.
    double loss = 0; ///< Core-seconds of work lost by stopping it, or its whole gang.
    bool gang = false;
    TimePoint endsAt = TimePoint::max(); ///< Expected end if it is not stopped.
    TimePoint nextCheckpoint {}; ///< Expected next checkpoint, if a stop loses the work since the last one.
    bool resumesAtOnce = false; ///< Saved by the stop, and would fit elsewhere now.
    bool usesIdleCores = false; ///< Its processors are not part of `resources`.
};

struct WorkerView {
    WorkerId id;
    ServiceId service;
    std::string rack;
    const std::vector<std::string>* labels = nullptr;
    Resources capacity;
    Resources free;
    double rackOrder = 0; ///< Position of its rack among all racks, from 0 to 1.
    double failurePenalty = 0; ///< Grows with consecutive task failures.
    double speed = 1; ///< Relative to the mean of its service; 1 if unknown.
    /// One standard deviation below `speed`: about the slowest of five workers of which as much is known.
    double cautiousSpeed = 1;
    bool reservedForUrgent = false; ///< Only urgent and overdue steps may start here.
    /// Other steps start here only if they are expected to end before `reservedUntil`. Urgent steps may
    /// ignore the reservation unless `reservationBindsUrgent` is set.
    const Step* reservedBy = nullptr;
    bool reservationBindsUrgent = false;
    TimePoint reservedUntil;
    bool latencySensitive = false; ///< Runs a task with a tail latency target.
    bool bestEffort = false; ///< Runs a best-effort task.
    /// Its latency-sensitive tasks have headroom for one more best-effort task.
    bool admitsBestEffort = false;
    std::int64_t idleMilliCores = 0; ///< Needs of best-effort tasks; counted as used for these only.
    bool idle = true; ///< Runs nothing, and no preemption plan waits for it.
    bool isolated = false; ///< Runs a task that must not share the worker.
    std::vector<PreemptionCandidate> preemptible;
};

/// Steps of this priority are late unless they start within seconds.
constexpr int urgentPriority = 0;

struct PlaceRequest {
    const StepSpec* spec = nullptr;
    ServiceId service;
    int count = 1; ///< Tasks to place; a gang is placed as a whole or not at all.
    int priority = 0; ///< Only tasks with a larger number and a lower rank may be preempted:
    double rank = 0; ///< a task of higher rank would be placed first again.
    double maxLoss = 0; ///< Limit on the work lost by preemption, in core-seconds.
    /// A preemption waits for runs that are expected to end by this time instead of stopping them; unset if
    /// it waits for none. They are runs that it may stop: a hold for others would keep urgent work waiting.
    TimePoint awaitUntil;
    /// Placed on the last racks, so that preemption for urgent gangs stays cheap on the first.
    bool costlyToStop = false;
    bool overdue = false; ///< Has waited long enough to use racks reserved for urgent work.
    /// The tasks must not share a worker with others; those of a gang may share one.
    bool isolated = false;
    bool anyRack = false; ///< Ignore the preferred rack and the one-rack rule of gangs.
    bool mayShare = false; ///< Latency-sensitive and best-effort tasks may share a worker.
    /// Added cost of each view for tasks that interfere; infinite to exclude it. Null if there are none.
    const std::vector<double>* separation = nullptr;
    const Step* step = nullptr; ///< The step to place, for its reservation; may be null.
    TimePoint expectedEnd; ///< Expected end of the tasks if they start now on workers of speed 1.
    Duration expectedTime { 0 }; ///< Expected run time of a task on a worker of speed 1.
    const std::map<WorkerId, int>* onWorker = nullptr; ///< Active tasks of the step on each worker.
    const std::set<WorkerId>* avoid = nullptr; ///< Workers to exclude, such as those where the task failed.
    const std::set<WorkerId>* allowed = nullptr; ///< Workers approved by the advisory service; null for all.
};

/// Indices into the views, one for each task placed; fewer than requested if capacity is short.
using Placement = std::vector<std::size_t>;

/// Best-fit placement: prefers the worker with the least left over and processors and accelerators in
/// balance, which keeps whole workers and racks free for gangs. Subtracts the resources from the views.
Placement place(const PlaceRequest& request, std::vector<WorkerView>& views);

/// Requests that could not be placed. While free capacity only shrinks, requests for as much or more need no
/// search.
class UnplacedRequests {
public:
    /// Records a request, unless a label, rack, spread, advisory service or excluded worker restricted it.
    void add(const PlaceRequest& request);
    /// Whether a recorded request shows that `request` cannot be placed.
    bool covers(const PlaceRequest& request) const;

private:
    struct Shape {
        ServiceId service;
        Resources resources; ///< Of one task.
        int count = 1; ///< Tasks that must be placed together.
        bool oneRack = false;
        bool reservedRacks = false; ///< May use racks reserved for urgent work.
        TimePoint expectedEnd; ///< A request that ends earlier may fit before a reservation.
    };
    static Shape shapeOf(const PlaceRequest& request);

    std::vector<Shape> m_shapes;
};

struct Preemption {
    Placement placement;
    std::vector<TaskId> victims;
    std::vector<TaskId> awaited; ///< Runs that end by themselves and whose capacity the placement uses.
    TimePoint awaitedEnd; ///< Latest expected end of `awaited`; unset if there are none.
    TimePoint checkpointsBy; ///< Latest next checkpoint of the victims; unset if they have none.
    double loss = 0; ///< Core-seconds of work that the victims lose.
    double lostUtility = 0; ///< The same, weighted by the ranks of the victims.
};

/// Finds a placement of all tasks that loses the least work to preemption. Empty if there is none.
Preemption placeByPreemption(const PlaceRequest& request, const std::vector<WorkerView>& views);

/// Whether the request could be placed if all workers were idle.
bool fitsEmptyFleet(const PlaceRequest& request, const std::vector<WorkerView>& views);

/// The free share of a service's processors or accelerators, whichever is smaller.
double freeShare(const ServiceId& service, const std::vector<WorkerView>& views);

/// Whether the step could run on the worker if it were empty.
bool couldRun(const PlaceRequest& request, const WorkerView& view);

/// Whether one task of the request could start on the worker now.
bool fitsNow(const PlaceRequest& request, const WorkerView& view);

/// Calls `use` with each set of views that may hold the whole request: the candidates of each rack if the
/// request needs a single rack, else all candidates once.
void forEachCandidateSet(const PlaceRequest& request, const std::vector<WorkerView>& views,
    const std::function<void(const std::vector<std::size_t>&)>& use);

} // namespace jujubereach::fleet
