// Chooses workers for the tasks of a step. Works on plain views, so that a load can be played without a
// network.
#pragma once

#include "jujubereach/fleet/job-spec.h"

#include <functional>
#include <map>
#include <set>

namespace jujubereach::fleet {

struct Step;

/// A task that placing may displace.
struct PreemptionCandidate {
    TaskId task;
    Resources resources;
    int priority = 0;
    double rank = 0; ///< Of its job in the order of the queue.
    double loss = 0; ///< Work that its stop throws away, in core-seconds; of its whole gang where it has one.
    bool gang = false;
};

struct WorkerView {
    WorkerId id;
    ServiceId service;
    std::string rack;
    const std::vector<std::string>* labels = nullptr;
    Resources capacity;
    Resources free;
    double rackOrder = 0; ///< Of its rack among all, from 0 to 1.
    double failurePenalty = 0; ///< 0 for a worker without failures.
    bool reservedForUrgent = false; ///< Only urgent and overdue work starts on it.
    /// Other steps start there only if they end before `reservedUntil`; urgent ones also beside a reservation
    /// that does not bind them.
    const Step* reservedBy = nullptr;
    bool reservationBindsUrgent = false;
    TimePoint reservedUntil;
    bool latencySensitive = false; ///< Runs a task with a tail target.
    bool bestEffort = false; ///< Runs a task that uses what others leave.
    std::vector<PreemptionCandidate> preemptible;
};

/// Work of this priority starts within seconds, or it is late.
constexpr int urgentPriority = 0;

struct PlaceRequest {
    const StepSpec* spec = nullptr;
    ServiceId service;
    int count = 1; ///< Tasks to place; a gang is placed whole or not at all.
    int priority = 0; ///< Displaces only what has a larger number,
    double rank = 0; ///< and a lower rank: room is not taken from work that would get it first.
    double maxLoss = 0; ///< Work that it may throw away by displacing, in core-seconds.
    bool costlyToStop
        = false; ///< Goes to the last racks, so that urgent gangs find cheap room on the first ones.
    bool overdue = false; ///< Has waited so long that racks kept for urgent work are open to it too.
    bool anyRack = false; ///< Give up on the rack where the data is, and on one rack for the whole gang.
    const Step* step = nullptr; ///< For which it is; null where no reservation matters.
    TimePoint expectedEnd; ///< Of its tasks, if they start now.
    const std::map<WorkerId, int>* onWorker = nullptr; ///< Tasks of the step that run already.
    const std::set<WorkerId>* avoid = nullptr; ///< Workers that failed the task.
    const std::set<WorkerId>* allowed = nullptr; ///< Where an adviser names them.
};

/// Indices into the views, one for each task placed; fewer than asked when room is short.
using Placement = std::vector<std::size_t>;

/// Best fit: the worker on which the least is left, with processors and accelerators in balance, so that
/// whole workers and whole racks stay free for gangs. Takes the room from the views.
Placement place(const PlaceRequest& request, std::vector<WorkerView>& views);

/// What found no place while room only shrank: what asks for as much or more needs no search.
class UnplacedRequests {
public:
    /// Remembers a request that no label, rack, spread, adviser or worker to avoid has narrowed.
    void add(const PlaceRequest& request);
    bool covers(const PlaceRequest& request) const;

private:
    struct Shape {
        ServiceId service;
        Resources resources; ///< Of one task.
        int count = 1; ///< That must fit together.
        bool oneRack = false;
        bool reservedRacks = false; ///< Could use racks that are kept for urgent work too.
        TimePoint expectedEnd; ///< An earlier one could use room before a reservation.
    };
    static Shape shapeOf(const PlaceRequest& request);

    std::vector<Shape> m_shapes;
};

struct Preemption {
    Placement placement;
    std::vector<TaskId> victims;
};

/// Places all tasks by displacing the least work. Empty when even that makes no room. Changes no view.
Preemption placeByPreemption(const PlaceRequest& request, const std::vector<WorkerView>& views);

/// Whether what is asked for would find its place if no worker had anything to do.
bool fitsEmptyFleet(const PlaceRequest& request, const std::vector<WorkerView>& views);

/// The part of a service's room that is free, of processors or of accelerators, whichever is less.
double freeShare(const ServiceId& service, const std::vector<WorkerView>& views);

/// Whether the step could run on the worker if it were empty.
bool couldRun(const PlaceRequest& request, const WorkerView& view);

/// Calls `use` with the views on which the request may be placed as a whole: those of each rack where it
/// wants one, else all of them once.
void forEachCandidateSet(const PlaceRequest& request, const std::vector<WorkerView>& views,
    const std::function<void(const std::vector<std::size_t>&)>& use);

} // namespace jujubereach::fleet
