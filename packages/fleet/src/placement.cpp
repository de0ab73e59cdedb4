#include "jujubereach/fleet/placement.h"

#include "room-share.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>

namespace jujubereach::fleet {

namespace {

    constexpr double failurePenaltyWeight = 10; // One failure outweighs any difference in fit.
    // Weight of imbalance, which strands processors or accelerators, against unused capacity.
    constexpr double balanceWeight = 0.5;
    // Half an empty worker: separates cheap from costly tasks without stranding capacity.
    constexpr double rackOrderWeight = 0.5;
    // For each task of an urgent step, by the relative change of its run time. A slow worker (0.8) costs as
    // much as a whole empty worker left over: an urgent gang that ends late is worth nothing.
    constexpr double urgentTimeWeight = 4;
    // Of other work, by the relative speed: below the difference between an empty and a half-used worker.
    constexpr double keepFastFreeWeight = 0.5;
    // For each task of a gang, by the share of its workers' speed that waits for the slowest member.
    constexpr double unequalSpeedWeight = 1;
    // Below the cost of preempting one task, so that only equal choices differ.
    constexpr double preemptionTimeWeight = 0.5;
    // Least speeds tried for the members of a gang; narrower classes are within the error of the estimates.
    constexpr double speedClasses[] = { 1.1, 1, 0.9, 0.8, 0 };
    // Exceeds all other costs together: a worker of the other class is chosen only if there is no other.
    constexpr double sharingCost = 1000;
    constexpr double infeasible = std::numeric_limits<double>::infinity();

    bool hasLabel(const WorkerView& view, const std::string& label)
    {
        return label.empty()
            || (view.labels
                && std::find(view.labels->begin(), view.labels->end(), label) != view.labels->end());
    }

    // Tasks of the step on each worker, including those placed by the current search.
    struct Counts {
        std::map<std::size_t, int> placed;

        int on(const PlaceRequest& request, const std::vector<WorkerView>& views, std::size_t i) const
        {
            int count = 0;
            if (request.onWorker) {
                const auto found = request.onWorker->find(views[i].id);
                if (found != request.onWorker->end())
                    count = found->second;
            }
            const auto found = placed.find(i);
            return found == placed.end() ? count : count + found->second;
        }
    };

    bool isUrgent(const PlaceRequest& request)
    {
        return request.priority <= urgentPriority;
    }

    bool mayUseReservedRacks(const PlaceRequest& request)
    {
        return isUrgent(request) || request.overdue;
    }

    TimePoint expectedEndAt(const PlaceRequest& request, double speed)
    {
        if (speed == 1)
            return request.expectedEnd;
        const auto more = static_cast<double>(request.expectedTime.count()) * (1 / speed - 1);
        return request.expectedEnd + Duration(static_cast<std::int64_t>(more));
    }

    bool respectsReservation(const PlaceRequest& request, const WorkerView& view, double speed)
    {
        const auto overridesReservation = isUrgent(request) && !view.reservationBindsUrgent;
        return !view.reservedBy || view.reservedBy == request.step || overridesReservation
            || expectedEndAt(request, speed) <= view.reservedUntil;
    }

    bool isAllowed(const PlaceRequest& request, const WorkerView& view)
    {
        if (view.isolated || (request.isolated && !view.idle))
            return false;
        if (request.avoid && request.avoid->contains(view.id))
            return false;
        if (view.reservedForUrgent && !mayUseReservedRacks(request))
            return false;
        // The other members of a gang may be slower: a fast worker does not shorten it.
        if (!respectsReservation(request, view, request.spec->gang ? std::min(1.0, view.speed) : view.speed))
            return false;
        // A best-effort task disturbs a latency-sensitive one to an extent that is not known in advance. It
        // is paced if it does.
        if (request.spec->bestEffort && view.latencySensitive)
            return request.mayShare && view.admitsBestEffort;
        return request.mayShare || request.spec->tailTarget.count() == 0 || !view.bestEffort;
    }

    bool isShared(const PlaceRequest& request, const WorkerView& view)
    {
        return request.mayShare
            && ((request.spec->bestEffort && view.latencySensitive)
                || (request.spec->tailTarget.count() > 0 && view.bestEffort));
    }

    // Other tasks may use the processors that a best-effort task uses while they are idle.
    bool usesIdleCores(const PlaceRequest& request)
    {
        return request.mayShare && request.spec->bestEffort;
    }

    Resources freeFor(const PlaceRequest& request, const WorkerView& view)
    {
        auto free = view.free;
        if (usesIdleCores(request))
            free.milliCores -= view.idleMilliCores;
        return free;
    }

    void take(const PlaceRequest& request, WorkerView& view)
    {
        auto taken = request.spec->resources;
        if (usesIdleCores(request))
            view.idleMilliCores += std::exchange(taken.milliCores, 0);
        view.free -= taken;
    }

    void giveBack(const PlaceRequest& request, WorkerView& view)
    {
        auto taken = request.spec->resources;
        if (usesIdleCores(request))
            view.idleMilliCores -= std::exchange(taken.milliCores, 0);
        view.free += taken;
    }

    // Urgent tasks prefer fast workers, other work leaves these free. Gangs are compared as a whole.
    double speedCost(const PlaceRequest& request, const WorkerView& view)
    {
        if (!isUrgent(request))
            return keepFastFreeWeight * (view.cautiousSpeed - 1);
        return request.spec->gang ? 0 : urgentTimeWeight * (1 / view.cautiousSpeed - 1);
    }

    double fitCost(const PlaceRequest& request, const WorkerView& view)
    {
        const auto& need = request.spec->resources;
        const auto free = freeFor(request, view);
        if (!free.canFit(need))
            return infeasible;
        const auto cpuLeft = share(free.milliCores - need.milliCores, view.capacity.milliCores);
        const auto accLeft = share(free.accelerators - need.accelerators, view.capacity.accelerators);
        const auto side = request.costlyToStop ? 1 - view.rackOrder : view.rackOrder;
        return accLeft + rackOrderWeight * side + balanceWeight * std::abs(cpuLeft - accLeft)
            + failurePenaltyWeight * view.failurePenalty + speedCost(request, view)
            + (isShared(request, view) ? sharingCost : 0);
    }

    double costOn(const PlaceRequest& request, const std::vector<WorkerView>& views, std::size_t i)
    {
        const auto cost = fitCost(request, views[i]);
        return request.separation ? cost + (*request.separation)[i] : cost;
    }

    bool isOnWantedRack(const PlaceRequest& request, const WorkerView& view)
    {
        return request.anyRack || request.spec->rack.empty() || view.rack == request.spec->rack;
    }

    bool isWithinSpread(const PlaceRequest& request, const std::vector<WorkerView>& views,
        const Counts& counts, std::size_t i)
    {
        if (request.isolated && !request.spec->gang && counts.placed.contains(i))
            return false;
        if (request.spec->bestEffort && views[i].latencySensitive && counts.placed.contains(i))
            return false; // The next one starts once the effect of this one is known.
        return request.spec->maxPerWorker == 0 || counts.on(request, views, i) < request.spec->maxPerWorker;
    }

    // Places up to `request.count` tasks on the views with the indices `among`. Placing a task changes the
    // cost of its own worker only, so one heap of costs suffices for the whole step.
    Placement placeAmong(const PlaceRequest& request, std::vector<WorkerView>& views,
        const std::vector<std::size_t>& among, double& total)
    {
        Placement placement;
        Counts counts;
        std::vector<std::pair<double, std::size_t>> fits;
        const auto add = [&](std::size_t i) {
            const auto value = costOn(request, views, i);
            if (value != infeasible && isWithinSpread(request, views, counts, i))
                fits.emplace_back(value, i);
        };
        for (const auto i : among)
            add(i);
        std::make_heap(fits.begin(), fits.end(), std::greater {});
        while (static_cast<int>(placement.size()) < request.count && !fits.empty()) {
            std::pop_heap(fits.begin(), fits.end(), std::greater {});
            const auto [value, chosen] = fits.back();
            fits.pop_back();
            total += value;
            take(request, views[chosen]);
            ++counts.placed[chosen];
            placement.push_back(chosen);
            const auto before = fits.size();
            add(chosen);
            if (fits.size() > before)
                std::push_heap(fits.begin(), fits.end(), std::greater {});
        }
        return placement;
    }

    void releasePlacement(
        const PlaceRequest& request, std::vector<WorkerView>& views, const Placement& placement)
    {
        for (const auto i : placement)
            giveBack(request, views[i]);
    }

    std::vector<std::size_t> candidates(const PlaceRequest& request, const std::vector<WorkerView>& views)
    {
        std::vector<std::size_t> out;
        for (std::size_t i = 0; i < views.size(); ++i) {
            if (couldRun(request, views[i]) && isAllowed(request, views[i])
                && isOnWantedRack(request, views[i]))
                out.push_back(i);
        }
        return out;
    }

    // Calls `use` with the views of each rack, in the order of the rack names.
    template <typename F>
    void eachRack(const std::vector<WorkerView>& views, std::vector<std::size_t> among, F&& use)
    {
        const auto before = [&](std::size_t a, std::size_t b) { return views[a].rack < views[b].rack; };
        if (!std::is_sorted(among.begin(), among.end(), before))
            std::stable_sort(among.begin(), among.end(), before);
        std::vector<std::size_t> members;
        for (const auto i : among) {
            if (!members.empty() && views[members.back()].rack != views[i].rack) {
                use(members);
                members.clear();
            }
            members.push_back(i);
        }
        if (!members.empty())
            use(members);
    }

    // Returns how many tasks fit into `resources`.
    std::int64_t countFitting(const Resources& resources, const Resources& task)
    {
        auto times = std::numeric_limits<std::int64_t>::max();
        const auto bound = [&](std::int64_t have, std::int64_t need) {
            if (need > 0)
                times = std::min(times, std::max<std::int64_t>(0, have) / need);
        };
        bound(resources.milliCores, task.milliCores);
        bound(resources.memoryMb, task.memoryMb);
        bound(resources.accelerators, task.accelerators);
        return times;
    }

    // Whether the free resources of the members could hold the whole gang, ignoring `maxPerWorker`.
    bool mayFitGang(const PlaceRequest& request, const std::vector<WorkerView>& views,
        const std::vector<std::size_t>& members)
    {
        std::int64_t missing = request.count;
        for (const auto i : members) {
            const auto times = countFitting(views[i].free, request.spec->resources);
            if (times >= missing)
                return true;
            missing -= times;
        }
        return false;
    }

    void markPlaced(const PlaceRequest& request, std::vector<WorkerView>& views, const Placement& placement)
    {
        for (const auto i : placement) {
            views[i].idle = false;
            views[i].isolated = request.isolated;
            if (!request.mayShare)
                continue;
            views[i].bestEffort = views[i].bestEffort || request.spec->bestEffort;
            views[i].latencySensitive = views[i].latencySensitive || request.spec->tailTarget.count() > 0;
            if (views[i].latencySensitive)
                views[i].admitsBestEffort = false;
        }
    }

    bool needsOneRack(const PlaceRequest& request)
    {
        return request.spec->gang && request.spec->sameRack && !request.anyRack;
    }

    // A gang runs at the speed of its slowest member.
    double gangSpeedCost(
        const PlaceRequest& request, const std::vector<WorkerView>& views, const Placement& placement)
    {
        auto slowest = infeasible;
        double sum = 0;
        for (const auto i : placement) {
            slowest = std::min(slowest, views[i].cautiousSpeed);
            sum += views[i].cautiousSpeed;
        }
        const auto count = static_cast<double>(placement.size());
        return isUrgent(request) ? urgentTimeWeight * count * (1 / slowest - 1)
                                 : unequalSpeedWeight * (sum / slowest - count);
    }

    // A placement of a whole gang, with its cost. The resources are not subtracted from the views.
    struct GangChoice {
        Placement placement;
        double cost = infeasible;
    };

    // `isAllowed` has compared the speed of each member alone.
    bool respectsReservations(
        const PlaceRequest& request, const std::vector<WorkerView>& views, const Placement& placement)
    {
        double slowest = 1;
        for (const auto i : placement)
            slowest = std::min(slowest, views[i].speed);
        return slowest == 1 || std::all_of(placement.begin(), placement.end(), [&](std::size_t i) {
            return respectsReservation(request, views[i], slowest);
        });
    }

    GangChoice placeGang(
        const PlaceRequest& request, std::vector<WorkerView>& views, const std::vector<std::size_t>& members)
    {
        GangChoice choice;
        if (!mayFitGang(request, views, members))
            return choice;
        double total = 0;
        auto placement = placeAmong(request, views, members, total);
        releasePlacement(request, views, placement);
        if (static_cast<int>(placement.size()) == request.count
            && respectsReservations(request, views, placement))
            choice = { std::move(placement), total };
        return choice;
    }

    bool speedsDiffer(const std::vector<WorkerView>& views, const std::vector<std::size_t>& members)
    {
        return std::any_of(
            members.begin(), members.end(), [&](std::size_t i) { return views[i].cautiousSpeed != 1; });
    }

    // Tries members of at least one of several speeds, fastest first. An urgent gang takes the fastest
    // members that have room for it.
    GangChoice placeGangBySpeed(const PlaceRequest& request, std::vector<WorkerView>& views,
        const std::vector<std::size_t>& members, double mostCost)
    {
        GangChoice best;
        if (!speedsDiffer(views, members))
            return placeGang(request, views, members);
        std::vector<std::size_t> fast;
        for (const auto least : speedClasses) {
            const auto before = fast.size();
            fast.clear();
            double fastest = 0;
            for (const auto i : members) {
                if (views[i].cautiousSpeed >= least)
                    fast.push_back(i);
                fastest = std::max(fastest, views[i].cautiousSpeed);
            }
            if (fast.size() == before)
                continue;
            if (isUrgent(request) && urgentTimeWeight * request.count * (1 / fastest - 1) >= mostCost)
                break; // Even without a cost of fit.
            auto choice = placeGang(request, views, fast);
            if (choice.cost == infeasible)
                continue;
            choice.cost += gangSpeedCost(request, views, choice.placement);
            if (choice.cost < best.cost)
                best = std::move(choice);
            if (isUrgent(request))
                break;
        }
        return best;
    }

    // Places the gang on the rack with the lowest total cost.
    Placement placeOnOneRack(
        const PlaceRequest& request, std::vector<WorkerView>& views, const std::vector<std::size_t>& among)
    {
        GangChoice best;
        eachRack(views, among, [&](const std::vector<std::size_t>& members) {
            auto choice = placeGangBySpeed(request, views, members, best.cost);
            if (choice.cost < best.cost)
                best = std::move(choice);
        });
        for (const auto i : best.placement)
            take(request, views[i]);
        return std::move(best.placement);
    }

    // Greedy search for the preemption with the least loss among a set of workers.
    class PreemptionSearch {
    public:
        PreemptionSearch(const PlaceRequest& request, const std::vector<WorkerView>& views)
            : m_request(request)
            , m_views(views)
        {
        }

        /// Returns false if the tasks do not fit or the loss exceeds `maxLoss`.
        bool run(const std::vector<std::size_t>& among, double maxLoss)
        {
            for (const auto i : among)
                m_free[i] = freeFor(m_request, m_views[i]);
            const auto nearest = cheapest(among);
            while (static_cast<int>(m_found.placement.size()) < m_request.count) {
                if (!placeOne(nearest) || m_found.loss > maxLoss)
                    return false;
            }
            return true;
        }

        double loss() const { return m_found.loss; }
        Preemption take() { return std::move(m_found); }

    private:
        struct Choice {
            std::size_t worker = 0;
            double cost = infeasible;
            std::vector<const PreemptionCandidate*> victims;
        };

        // The workers where a single task costs least, several for each task of the step. Limits the search
        // for the later tasks to these.
        std::vector<std::size_t> cheapest(const std::vector<std::size_t>& among) const
        {
            constexpr std::size_t choicesPerTask = 4;
            const auto most = choicesPerTask * static_cast<std::size_t>(m_request.count);
            if (among.size() <= most)
                return among;
            std::vector<std::pair<double, std::size_t>> costs;
            for (const auto i : among) {
                if (const auto cost = cheapestOn(i).cost; cost != infeasible)
                    costs.emplace_back(cost, i);
            }
            const auto kept = std::min(most, costs.size());
            std::partial_sort(costs.begin(), costs.begin() + static_cast<std::ptrdiff_t>(kept), costs.end());
            std::vector<std::size_t> out;
            for (std::size_t i = 0; i < kept; ++i)
                out.push_back(costs[i].second);
            std::sort(out.begin(), out.end());
            return out;
        }

        bool placeOne(const std::vector<std::size_t>& among)
        {
            Choice best;
            for (const auto i : among) {
                if (!isWithinSpread(m_request, m_views, m_counts, i))
                    continue;
                auto choice = cheapestOn(i);
                if (choice.cost < best.cost)
                    best = std::move(choice);
            }
            if (best.cost == infeasible)
                return false;
            for (const auto* victim : best.victims) {
                m_free[best.worker] += victim->resources;
                m_chosen.insert(victim->task);
                if (isAwaited(*victim)) {
                    m_found.awaited.push_back(victim->task);
                    m_found.awaitedEnd = std::max(m_found.awaitedEnd, victim->endsAt);
                    continue;
                }
                const auto loss = lossOf(*victim);
                m_found.loss += loss;
                m_found.lostUtility += loss * victim->rank;
                m_found.victims.push_back(victim->task);
                m_found.checkpointsBy = std::max(m_found.checkpointsBy, victim->nextCheckpoint);
                m_gangs.insert(gangOf(*victim));
            }
            m_free[best.worker] -= m_request.spec->resources;
            ++m_counts.placed[best.worker];
            m_found.placement.push_back(best.worker);
            return true;
        }

        static TaskId gangOf(const PreemptionCandidate& victim)
        {
            auto gang = victim.task;
            if (victim.gang)
                gang.index = 0;
            return gang;
        }

        // The loss of a gang is counted once for all its members.
        double lossOf(const PreemptionCandidate& victim) const
        {
            return isAwaited(victim) || m_gangs.contains(gangOf(victim)) ? 0 : victim.loss;
        }

        bool isAwaited(const PreemptionCandidate& option) const
        {
            return option.endsAt <= m_request.awaitUntil;
        }

        bool isUsable(const PreemptionCandidate& option) const
        {
            if (m_chosen.contains(option.task))
                return false;
            return option.priority > m_request.priority && option.rank <= m_request.rank;
        }

        // A victim that has to wait before it resumes costs more than one that resumes at once.
        double costOf(const PreemptionCandidate& option) const
        {
            return lossOf(option) + (option.resumesAtOnce ? 0.5 : 1);
        }

        // Whether its stop frees some of what is still missing.
        bool relieves(const PreemptionCandidate& option, const Resources& free) const
        {
            const auto& need = m_request.spec->resources;
            return (free.milliCores < need.milliCores && option.resources.milliCores > 0)
                || (free.memoryMb < need.memoryMb && option.resources.memoryMb > 0)
                || (free.accelerators < need.accelerators && option.resources.accelerators > 0);
        }

        Choice cheapestOn(std::size_t i) const
        {
            Choice choice { i, m_views[i].failurePenalty * failurePenaltyWeight, {} };
            choice.cost += preemptionTimeWeight * (1 / m_views[i].cautiousSpeed - 1);
            auto free = m_free.at(i);
            if (free.canFit(m_request.spec->resources))
                return choice;
            // With the loss per accelerator.
            std::vector<std::pair<double, const PreemptionCandidate*>> options;
            auto most = free;
            for (const auto& option : m_views[i].preemptible) {
                if (!isUsable(option))
                    continue;
                most += option.resources;
                options.emplace_back(
                    costOf(option) / static_cast<double>(option.resources.accelerators + 1), &option);
            }
            if (!most.canFit(m_request.spec->resources)) {
                choice.cost = infeasible;
                return choice;
            }
            std::sort(options.begin(), options.end());
            for (const auto& [cost, option] : options) {
                if (free.canFit(m_request.spec->resources))
                    break;
                if (option->usesIdleCores && !relieves(*option, free))
                    continue;
                free += option->resources;
                choice.victims.push_back(option);
                choice.cost += costOf(*option);
            }
            if (!free.canFit(m_request.spec->resources))
                choice.cost = infeasible;
            return choice;
        }

        const PlaceRequest& m_request;
        const std::vector<WorkerView>& m_views;
        std::map<std::size_t, Resources> m_free;
        std::set<TaskId> m_chosen; ///< Victims and awaited runs.
        std::set<TaskId> m_gangs;
        Counts m_counts;
        Preemption m_found;
    };

} // namespace

bool couldRun(const PlaceRequest& request, const WorkerView& view)
{
    return view.service == request.service && view.capacity.canFit(request.spec->resources)
        && hasLabel(view, request.spec->label) && (!request.allowed || request.allowed->contains(view.id));
}

bool fitsNow(const PlaceRequest& request, const WorkerView& view)
{
    return couldRun(request, view) && isAllowed(request, view) && isOnWantedRack(request, view)
        && fitCost(request, view) != infeasible;
}

void forEachCandidateSet(const PlaceRequest& request, const std::vector<WorkerView>& views,
    const std::function<void(const std::vector<std::size_t>&)>& use)
{
    const auto among = candidates(request, views);
    if (needsOneRack(request))
        eachRack(views, among, use);
    else
        use(among);
}

Placement place(const PlaceRequest& request, std::vector<WorkerView>& views)
{
    const auto among = candidates(request, views);
    Placement placement;
    if (needsOneRack(request))
        placement = placeOnOneRack(request, views, among);
    else if (request.spec->gang) {
        placement = placeGangBySpeed(request, views, among, infeasible).placement;
        for (const auto i : placement)
            take(request, views[i]);
    } else {
        double total = 0;
        placement = placeAmong(request, views, among, total);
    }
    markPlaced(request, views, placement);
    return placement;
}

UnplacedRequests::Shape UnplacedRequests::shapeOf(const PlaceRequest& request)
{
    return { request.service, request.spec->resources, request.spec->gang ? request.count : 1,
        needsOneRack(request), mayUseReservedRacks(request), request.expectedEnd };
}

void UnplacedRequests::add(const PlaceRequest& request)
{
    const auto& spec = *request.spec;
    const auto narrowed = !spec.label.empty() || (!spec.rack.empty() && !request.anyRack)
        || spec.maxPerWorker > 0 || spec.bestEffort || spec.tailTarget.count() > 0 || request.allowed
        || request.isolated || (request.avoid && !request.avoid->empty());
    if (!narrowed && !covers(request))
        m_shapes.push_back(shapeOf(request));
}

bool UnplacedRequests::covers(const PlaceRequest& request) const
{
    const auto asked = shapeOf(request);
    return std::any_of(m_shapes.begin(), m_shapes.end(), [&](const Shape& shape) {
        return asked.resources.canFit(shape.resources) && asked.count >= shape.count
            && (asked.oneRack || !shape.oneRack) && (shape.reservedRacks || !asked.reservedRacks)
            && asked.service == shape.service;
    });
}

bool fitsEmptyFleet(const PlaceRequest& request, const std::vector<WorkerView>& views)
{
    auto emptied = views;
    for (auto& view : emptied) {
        view.free = view.capacity;
        view.idleMilliCores = 0;
        view.idle = true;
        view.isolated = view.reservedForUrgent = false;
    }
    auto least = request;
    least.count = request.spec->gang ? request.count : 1;
    least.separation = nullptr;
    return !place(least, emptied).empty();
}

double freeShare(const ServiceId& service, const std::vector<WorkerView>& views)
{
    const auto free = sumOf(service, views, &WorkerView::free);
    const auto whole = sumOf(service, views, &WorkerView::capacity);
    const auto cores = share(free.milliCores, whole.milliCores);
    return whole.accelerators > 0 ? std::min(cores, share(free.accelerators, whole.accelerators)) : cores;
}

Preemption placeByPreemption(const PlaceRequest& request, const std::vector<WorkerView>& views)
{
    Preemption best;
    auto bestLoss = infeasible;
    forEachCandidateSet(request, views, [&](const std::vector<std::size_t>& members) {
        if (bestLoss <= 0)
            return; // No other set loses less.
        PreemptionSearch attempt(request, views);
        if (!attempt.run(members, std::min(bestLoss, request.maxLoss)) || attempt.loss() >= bestLoss)
            return;
        bestLoss = attempt.loss();
        best = attempt.take();
    });
    return best;
}

} // namespace jujubereach::fleet
