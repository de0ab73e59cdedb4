// In-memory workers and store in virtual time, with switchable faults, for tests of the owner.
#pragma once

#include "jujubereach/fleet/owner.h"

#include <boost/json.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <ctime>
#include <map>

namespace jujubereach::fleet {

/// A worker and its successive incarnations, with the semantics that the platform states.
struct FakeWorker {
    struct LiveRun {
        Run run;
        TimePoint endsAt;
        Resources resources;
        std::string checkpoint;
        Duration remainingWork { -1 }; ///< Work left when its stop began; negative before that.
        int pace = 100;
        TimePoint pacedAt {}; ///< When `pace` was set.
    };

    WorkerReport report;
    TimePoint startedAt;
    double clockRate = 1;
    bool reachable = true; ///< Calls get through.
    bool refusesConnections = false; ///< Calls fail before anything is sent.
    bool replaced = false; ///< Another worker or incarnation answers at its address.
    std::int64_t replacedBy = 0; ///< Its incarnation; 0 if it does not report one.
    int calls = 0;
    bool answersLost = false; ///< Calls take effect, but are not answered.
    bool listsUnreadable = false; ///< No row of its lists can be decoded.
    Duration callDelay { 0 }; ///< Calls take effect after this delay and are not answered.
    Duration answerDelay { 0 }; ///< Added to the way of answers; later ones may overtake them.
    struct FormerCapacity {
        Resources capacity;
        TimePoint until; ///< When the owner has been told of the change.
    };
    std::vector<FormerCapacity> formerCapacities;
    Fence fence;
    WorkerTime deadline;
    std::map<TaskId, LiveRun> live;
    std::map<TaskId, Run> highestEnded;
    struct End {
        EndedTask entry;
        TimePoint at;
        bool leaseExpired = false; ///< The lease expired before the end was acknowledged, so it is void.
    };
    std::vector<End> ended;
    std::uint64_t lastNumber = 0;

    const WorkerId& id() const { return report.id; }
};

/// Starts and ends at the workers, on which the invariants are checked.
struct Observed {
    std::vector<std::string> violations; ///< One line per violated invariant.
    std::map<TaskId, int> starts;
    std::map<TaskId, TimePoint> lastStart;
    std::set<TaskId> done; ///< Acknowledged under a valid lease.
    std::map<TaskId, int> crashes; ///< Of workers, by the task that caused them.
    std::map<TaskId, int> startsAfterThirdCrash;
    int startCalls = 0;
};

class FakeFleet {
public:
    static constexpr Duration latency { 5 };
    static constexpr Duration ticketValidity { 3000 };

    FakeFleet()
        : m_now(Duration(1'000'000))
    {
        config->version = 1;
        for (int priority = 0; priority < 3; ++priority) {
            Route route;
            route.id = routeOf(priority);
            route.service = ServiceId("service");
            route.priority = priority;
            route.maxAttempts = 3;
            route.stretch = 3;
            route.objective = Duration(1000);
            config->routes[route.id] = route;
        }
        config->workspaces[WorkspaceId("w")] = { WorkspaceId("w"), 16 };
    }

    static RouteId routeOf(int priority) { return RouteId("route-" + std::to_string(priority)); }

    FakeWorker& addWorker(const std::string& name, const std::string& rack = "r1")
    {
        auto& worker = workers[WorkerId(name)];
        worker.report = { WorkerId(name), ServiceId("service"), "10.0.0.1:" + std::to_string(workers.size()),
            ZoneId("z"), nextIncarnation(), false, rack, { "a", rack }, { 64'000, 262'144, 8 }, {} };
        worker.startedAt = m_now;
        return worker;
    }

    void restartWorker(const std::string& name)
    {
        auto& worker = workers.at(WorkerId(name));
        const auto report = worker.report;
        worker = {};
        worker.report = report;
        worker.report.incarnation = nextIncarnation();
        worker.startedAt = m_now;
    }

    /// The worker loses its runs and does not answer for `restartTime`. Then it is back as a new incarnation,
    /// under its id or under a new id at the same address.
    void crashWorker(const WorkerId& id)
    {
        auto& worker = workers.at(id);
        if (!worker.reachable)
            return;
        worker.live.clear();
        worker.reachable = false;
        after(restartTime, [this, id] {
            if (!restartsUnderNewId) {
                restartWorker(id.str());
                return owner->workerReported(workers.at(id).report);
            }
            auto& gone = workers.at(id);
            gone.reachable = gone.replaced = true;
            unlisted.insert(id);
            owner->workerUnlisted(id);
            auto& successor = addWorker(id.str() + "+", gone.report.rack);
            successor.report.address = workers.at(id).report.address;
            owner->workerReported(successor.report);
        });
    }

    static JobRecord job(
        const std::string& id, int count, Resources resources = { 1000, 1000, 1 }, int priority = 1)
    {
        JobRecord record;
        record.id = JobId(id);
        record.route = routeOf(priority);
        record.workspace = WorkspaceId("w");
        StepSpec step;
        step.count = count;
        step.resources = resources;
        step.estimate = Duration(2000);
        record.spec.steps.push_back(step);
        return record;
    }

    /// Replaces the owner by a new one that recovers from the store. The former one is gone, or has lost the
    /// store: it still reaches workers and receives updates, as by watches that it had sent before.
    void takeOver(bool keepFormer = false)
    {
        const auto ordersEnd = m_now + settings.ownershipTimeout - settings.ownerLease;
        m_former = { keepFormer ? std::move(owner) : nullptr, m_term, TimePoint::min(), ordersEnd, false };
        owner.reset();
        ++m_term;
        m_wakeAt = TimePoint::max();
        ownershipLost = false;
        fence = { fence.value + 100 };
        ownerRevision = { ++storeRevision.value };
        store[keys::owner] = { "owner", ownerRevision };
        OwnerHooks hooks;
        hooks.clock = [this] {
            m_now += Duration(clockTicks);
            return m_now;
        };
        hooks.wall = [this] { return WallTime { m_now.time_since_epoch().count() + wallClockJump }; };
        hooks.write = [this, term = m_term](StoreWrite write, StoreDone done) {
            writeCall(term, std::move(write), std::move(done));
        };
        hooks.ownershipLost
            = [this, term = m_term] { (term == m_term ? ownershipLost : m_former.lost) = true; };
        hooks.wakeIn = [this, term = m_term](Duration delay) {
            auto& wakeAt = term == m_term ? m_wakeAt : m_former.wakeAt;
            wakeAt = std::min(wakeAt, m_now + delay);
        };
        hooks.log = [this](const char* event, boost::json::object fields) {
            if (logHook)
                return logHook(event, fields);
            log.push_back(std::string(event) + ' '
                + std::to_string(m_now.time_since_epoch().count() - 1'000'000) + ' '
                + boost::json::serialize(fields));
        };
        hooks.meter.add = [this](const char* name, const metrics::Labels& labels, double amount) {
            counts[seriesOf(name, labels)] += amount;
        };
        hooks.meter.observe = [this](const char* name, const metrics::Labels& labels, Duration time) {
            durations[seriesOf(name, labels)].push_back(time);
        };
        hooks.advise = [this, term = m_term](const TaskId& step, const std::vector<WorkerId>& asked,
                           const std::function<void(AdviceAnswer)>& done) {
            ++adviceCalls;
            mostAsked = std::max(mostAsked, asked.size());
            mostAdviceInFlight = std::max(mostAdviceInFlight, ++m_adviceInFlight);
            constexpr Duration timeout { 8000 };
            after(
                adviserSilent ? timeout : adviceDelay, [this, term, step, asked, done, lost = adviserSilent] {
                    --m_adviceInFlight;
                    if (term == m_term)
                        done(lost ? AdviceAnswer {} : advise(step, asked));
                });
        };
        hooks.workers.start = [this, term = m_term](const WorkerReport& to, StartOrder order,
                                  Duration timeout, OrderDone done) {
            ++observed.startCalls;
            lastTicket = order.ticket;
            workerCall(term, to.id, timeout, std::move(done),
                [this, order, sentAt = m_now](FakeWorker& worker) { return start(worker, order, sentAt); });
        };
        hooks.workers.stop = [this, term = m_term](
                                 const WorkerReport& to, StopOrder order, Duration timeout, OrderDone done) {
            workerCall(term, to.id, timeout, std::move(done),
                [this, order](FakeWorker& worker) { return stop(worker, order); });
        };
        hooks.workers.pace = [this, term = m_term](
                                 const WorkerReport& to, PaceOrder order, Duration timeout, OrderDone done) {
            ++paceCalls;
            if (losesPaces)
                return after(timeout, [this, term, done] { answerOrder(term, done, {}); });
            workerCall(term, to.id, timeout, std::move(done),
                [this, order](FakeWorker& worker) { return pace(worker, order); });
        };
        if (!pacesTasks)
            hooks.workers.pace = nullptr;
        hooks.workers.hold = [this, term = m_term](const WorkerReport& to, HoldOrder order, Duration timeout,
                                 OrderDone done) { holdCall(term, to.id, timeout, std::move(done), order); };
        owner = std::make_unique<Owner>(settings, std::move(hooks), fence, ownerRevision);
        owner->setConfig(config);
        owner->confirmOwnership(m_now);
        reportClosedZones();
        const auto roster = store.find(keys::roster);
        if (roster != store.end())
            owner->restoreRoster(decodeRoster(roster->second.first), roster->second.second);
        if (const auto speeds = store.find(keys::speeds); speeds != store.end())
            owner->restoreSpeeds(speeds->second.first);
        for (const auto& [id, worker] : workers) {
            if (!unlisted.contains(id))
                owner->workerReported(worker.report);
        }
        for (const auto& record : accepted) {
            const auto progress = store.find(keys::progress(record.id));
            progress == store.end()
                ? owner->restoreJob(record, std::nullopt, {})
                : owner->restoreJob(record, decodeProgress(progress->second.first), progress->second.second);
        }
        owner->jobsReported(storeRevision);
        if (recoveryDelay.count() == 0)
            return owner->recovered();
        after(recoveryDelay, [this, term = m_term] {
            if (term == m_term)
                owner->recovered();
        });
    }

    void submit(JobRecord record)
    {
        record.terms = config->routes.at(record.route);
        record.created = { ++storeRevision.value };
        m_accepted[record.id] = accepted.size();
        accepted.push_back(record);
        if (!owner)
            return;
        owner->jobWritten(record);
        if (reportsJobs)
            owner->jobsReported(record.created);
        if (m_former.owner)
            m_former.owner->jobWritten(record);
    }

    /// Reports the entry of the worker to the owner, and to a former one.
    void report(const WorkerId& id)
    {
        const auto entry = workers.at(id).report;
        owner->workerReported(entry);
        if (m_former.owner)
            m_former.owner->workerReported(entry);
    }

    void cancel(const std::string& id)
    {
        for (auto& record : accepted) {
            if (record.id.str() != id)
                continue;
            record.cancelled = true;
            cancelledAt[record.id] = m_now;
            if (owner)
                owner->jobWritten(record);
        }
    }

    /// From now on no task may be started in the zone.
    void closeZone(const std::string& zone)
    {
        closedZones.emplace(ZoneId(zone), m_now);
        reportClosedZones();
    }

    void openZone(const std::string& zone)
    {
        closedZones.erase(ZoneId(zone));
        reportClosedZones();
    }

    /// Changes the capacity of the worker; the owner is told after `entryDelay`.
    void setCapacity(const std::string& name, Resources capacity)
    {
        const WorkerId id(name);
        auto& worker = workers.at(id);
        worker.formerCapacities.push_back({ worker.report.capacity, m_now + entryDelay });
        worker.report.capacity = capacity;
        const auto tell = [this, id, incarnation = worker.report.incarnation] {
            const auto& report = workers.at(id).report;
            if (owner && report.incarnation == incarnation && !unlisted.contains(id))
                callOwner([&] { owner->workerReported(report); });
        };
        if (entryDelay.count() == 0)
            return tell();
        after(entryDelay, tell);
    }

    void run(Duration time)
    {
        const auto until = m_now + time;
        while (true) {
            auto next = until;
            if (!m_queue.empty())
                next = std::min(next, m_queue.begin()->first);
            if (owner)
                next = std::min(next, m_wakeAt);
            if (m_former.owner)
                next = std::min(next, m_former.wakeAt);
            next = std::min(next, nextEnd());
            m_now = std::max(m_now, next);
            if (confirmsOwnership && owner)
                owner->confirmOwnership(m_now);
            if (confirmsClosedZones && owner)
                owner->confirmClosedZones(m_now);
            endRuns();
            if (owner && m_wakeAt <= m_now) {
                m_wakeAt = TimePoint::max();
                callOwner([this] { owner->tick(); });
            }
            if (m_former.lost || m_now >= m_former.ordersEnd)
                m_former.owner.reset();
            if (m_former.owner && m_former.wakeAt <= m_now) {
                m_former.wakeAt = TimePoint::max();
                m_former.owner->tick();
            }
            while (!m_queue.empty() && m_queue.begin()->first <= m_now) {
                const auto call = std::move(m_queue.begin()->second);
                m_queue.erase(m_queue.begin());
                call();
            }
            if (m_now >= until)
                return;
        }
    }

    JobState savedState(const std::string& id) const
    {
        const auto found = store.find(keys::progress(JobId(id)));
        return found == store.end() ? JobState::Queued : decodeProgress(found->second.first)->state;
    }

    std::size_t liveRuns() const
    {
        std::size_t count = 0;
        for (const auto& [id, worker] : workers)
            count += worker.live.size();
        return count;
    }

    std::string firstViolation() const
    {
        return observed.violations.empty() ? std::string() : observed.violations.front();
    }

    TimePoint now() const { return m_now; }

    std::shared_ptr<FleetConfig> config = std::make_shared<FleetConfig>();
    OwnerSettings settings;
    std::map<WorkerId, FakeWorker> workers;
    std::set<WorkerId> unlisted;
    std::map<std::string, std::pair<std::string, Revision>> store;
    std::vector<JobRecord> accepted;
    std::map<JobId, TimePoint> cancelledAt;
    std::unique_ptr<Owner> owner;
    Fence fence;
    Revision ownerRevision;
    Revision storeRevision;
    Duration storeLatency { latency }; ///< One way.
    bool storeDown = false; ///< Writes are refused.
    bool storeAnswersLost = false; ///< Writes take effect, but are not answered.
    Duration storeWriteDelay {
        0
    }; ///< Writes take effect after this delay, if their conditions hold then, and are not answered.
    bool confirmsOwnership = true;
    Duration recoveryDelay { 0 }; ///< From the claim until a new owner has read the store.
    bool confirmsClosedZones = true;
    bool reportsJobs = true; ///< The owner learns up to which revision it knows all jobs.
    std::map<ZoneId, TimePoint> closedZones; ///< With the time of closing.
    bool ownershipLost = false;
    std::int64_t wallClockJump = 0;
    Duration entryDelay { 0 }; ///< From a change of a worker's capacity until the owner is told.
    bool clockTicks = false; ///< Each reading of the clock takes 1 ms.
    bool pacesTasks = true; ///< Workers can pace tasks.
    bool refusesPaces = false; ///< They refuse all calls for it.
    std::set<TaskId> unreadableRows; ///< Rows of lists that cannot be decoded.
    bool losesPaces = false; ///< Calls for it do not arrive.
    int paceCalls = 0;
    /// The tail latency of a latency-sensitive task in ms.
    std::function<double(const FakeWorker&, const TaskId&)> tailOf
        = [](const FakeWorker&, const TaskId&) { return 0; };
    Duration stopTime { 0 }; ///< From a stop until the task has ended.
    std::function<Duration(const TaskId&)> workTime = [](const TaskId&) { return Duration(2000); };
    std::function<EndKind(const TaskId&, Run, const WorkerId&)> outcome
        = [](const TaskId&, Run, const WorkerId&) { return EndKind::Done; };
    std::set<TaskId> deadlyTasks; ///< Each crashes the workers that start it, after `crashDelay`.
    Duration crashDelay { 10 };
    bool answersEndWithWorker = false; ///< Answers under way are lost when their worker crashes.
    Duration restartTime { 3000 };
    bool restartsUnderNewId = false;
    std::set<WorkerId> approvedWorkers;
    Duration adviceDelay { 50 };
    bool adviserRefuses = false; ///< Calls for advice are refused.
    bool adviserSilent = false; ///< Calls for advice get no answer.
    int adviceCalls = 0;
    int mostAdviceInFlight = 0;
    std::size_t mostAsked = 0; ///< Workers in one call.
    int ticketRefusals = 0; ///< Starts without a valid ticket.
    std::string lastTicket;
    double ownerSeconds = 0; ///< CPU seconds of the owner alone.
    Observed observed;
    std::map<std::string, double> counts; ///< By metric name and label values.
    std::map<std::string, std::vector<Duration>> durations;
    std::vector<std::string> log;
    std::function<void(const char*, const boost::json::object&)> logHook; ///< Replaces `log` if set.

private:
    static std::string seriesOf(const char* name, const metrics::Labels& labels)
    {
        std::string out = name;
        for (const auto& [label, value] : labels)
            out += ' ' + value;
        return out;
    }

    static std::int64_t nextIncarnation()
    {
        static std::int64_t number = 1'700'000'000'000;
        return ++number;
    }

    void reportClosedZones()
    {
        std::set<ZoneId> zones;
        for (const auto& [zone, since] : closedZones)
            zones.insert(zone);
        if (owner)
            owner->setClosedZones(std::move(zones));
    }

    template <typename F> void callOwner(F&& call)
    {
        const auto begun = std::clock();
        call();
        ownerSeconds += static_cast<double>(std::clock() - begun) / CLOCKS_PER_SEC;
    }

    void after(Duration delay, std::function<void()> call)
    {
        m_queue.emplace(m_now + delay, std::move(call));
    }

    struct FormerOwner {
        std::unique_ptr<Owner> owner;
        int term = 0;
        TimePoint wakeAt;
        TimePoint ordersEnd; ///< From then on it orders nothing.
        bool lost = false; ///< A worker has refused its fence.
    };

    bool isAlive(int term) const { return term == m_term || (m_former.owner && term == m_former.term); }

    void writeCall(int term, StoreWrite write, StoreDone done)
    {
        if (term != m_term)
            return after(
                Duration(1500), [this, term, done] { answer(term, done, withFate(StoreFate::Unknown)); });
        if (storeDown)
            return after(
                storeLatency, [this, term, done] { answer(term, done, withFate(StoreFate::Refused)); });
        const auto writeDelay = storeWriteDelay;
        const auto lostAnswer = storeAnswersLost || writeDelay.count() > 0;
        after(storeLatency + writeDelay, [this, term, write, done, lostAnswer] {
            auto result = apply(write);
            if (!lostAnswer)
                after(storeLatency, [this, term, done, result] { answer(term, done, result); });
        });
        if (lostAnswer)
            after(Duration(1500), [this, term, done] { answer(term, done, withFate(StoreFate::Unknown)); });
    }

    static StoreAnswer withFate(StoreFate fate)
    {
        StoreAnswer result;
        result.fate = fate;
        return result;
    }

    void answer(int term, const StoreDone& done, const StoreAnswer& result)
    {
        if (isAlive(term))
            callOwner([&] { done(result); });
    }

    void answerOrder(int term, const OrderDone& done, const OrderAnswer& result)
    {
        if (isAlive(term))
            callOwner([&] { done(result); });
    }

    StoreAnswer apply(const StoreWrite& write)
    {
        StoreAnswer result;
        result.fate = StoreFate::Done;
        for (const auto& row : write.expected) {
            const auto found = store.find(row.key);
            const auto revision = found == store.end() ? Revision {} : found->second.second;
            if (found != store.end())
                result.items.push_back({ row.key, found->second.first, revision, revision, {} });
            if (revision != row.revision)
                result.fate = StoreFate::Conflict;
        }
        if (result.fate == StoreFate::Conflict)
            return result;
        result.items.clear();
        ++storeRevision.value;
        result.at = storeRevision;
        for (const auto& put : write.puts)
            store[put.key] = { put.value, storeRevision };
        return result;
    }

    // A delayed order is executed by a later incarnation under the same id too, and also by a worker that has
    // been cut off since it was sent.
    void workerCall(int term, const WorkerId& id, Duration timeout, OrderDone done,
        std::function<OrderAnswer(FakeWorker&)> carryOut)
    {
        const auto found = workers.find(id);
        const auto answered = std::make_shared<bool>(false);
        const auto finish = [this, term, done, answered](const OrderAnswer& result) {
            if (!std::exchange(*answered, true) && isAlive(term))
                callOwner([&] { done(result); });
        };
        if (found != workers.end() && found->second.refusesConnections) {
            OrderAnswer refused;
            refused.fate = OrderFate::NotSent;
            return after(latency, [finish, refused] { finish(refused); });
        }
        after(timeout, [finish] { finish(OrderAnswer {}); });
        if (found == workers.end() || !found->second.reachable)
            return;
        const auto unanswered = found->second.answersLost || found->second.callDelay.count() > 0;
        after(latency + found->second.callDelay,
            [this, id, finish, carryOut, unanswered, delayed = found->second.callDelay.count() > 0] {
                auto& worker = workers.at(id);
                if (!worker.reachable && !delayed)
                    return;
                ++worker.calls;
                OrderAnswer result;
                result.fate = OrderFate::OtherLife;
                result.incarnation = worker.replacedBy;
                if (!worker.replaced)
                    result = carryOut(worker);
                if (!unanswered)
                    after(latency + worker.answerDelay,
                        [this, finish, result, id, incarnation = worker.report.incarnation] {
                            const auto& from = workers.at(id);
                            if (!answersEndWithWorker
                                || (from.reachable && from.report.incarnation == incarnation))
                                finish(result);
                        });
            });
    }

    // A hold call with a wait is answered at the first end, and not at all if the worker restarts before.
    void holdCall(int term, const WorkerId& id, Duration timeout, OrderDone done, HoldOrder order)
    {
        const auto holdOf = [this, order](FakeWorker& worker) { return hold(worker, order); };
        const auto answerWithin = order.wait;
        order.wait = Duration(0);
        if (answerWithin.count() == 0)
            return workerCall(term, id, timeout, std::move(done), holdOf);
        constexpr Duration check { 20 };
        const auto sent = workers.find(id);
        const auto unanswered = sent == workers.end() || !sent->second.reachable || sent->second.answersLost
            || sent->second.refusesConnections || sent->second.callDelay.count() > 0;
        if (unanswered)
            return workerCall(term, id, timeout, std::move(done), holdOf);
        auto result = hold(sent->second, order);
        if (!result.ended.empty() || result.fate != OrderFate::Done || answerWithin <= check)
            return after(latency, [this, term, done, result] {
                if (isAlive(term))
                    callOwner([&] { done(result); });
            });
        order.wait = answerWithin - check;
        order.acknowledged = 0; // Already applied on arrival.
        after(check, [this, term, id, timeout, done, order, check, incarnation = result.incarnation] {
            if (!isAlive(term))
                return;
            if (workers.at(id).report.incarnation == incarnation)
                return holdCall(term, id, timeout - check, done, order);
            after(timeout - check, [this, term, done] {
                if (isAlive(term))
                    callOwner([&] { done(OrderAnswer {}); });
            });
        });
    }

    WorkerTime clockOf(const FakeWorker& worker) const
    {
        return { 1000
            + static_cast<std::uint64_t>(
                static_cast<double>((m_now - worker.startedAt).count()) * worker.clockRate) };
    }

    OrderAnswer base(const FakeWorker& worker, OrderFate fate) const
    {
        OrderAnswer result;
        result.fate = fate;
        result.clock = clockOf(worker);
        return result;
    }

    AdviceAnswer advise(const TaskId& step, const std::vector<WorkerId>& asked)
    {
        AdviceAnswer answer;
        if (adviserRefuses)
            return answer;
        answer.answered = true;
        answer.validity = ticketValidity;
        for (const auto& id : asked) {
            if (!approvedWorkers.contains(id))
                continue;
            answer.approved.push_back({ id, "ticket-" + id.str() });
            m_tickets[{ step.job, step.step, id }]
                = { workers.at(id).report.incarnation, m_now + ticketValidity };
        }
        return answer;
    }

    bool hasTicket(const FakeWorker& worker, const StartOrder& order) const
    {
        const auto job = m_accepted.find(order.task.job);
        if (job == m_accepted.end() || !config->routes.at(accepted[job->second].route).advice)
            return true;
        const auto ticket = m_tickets.find({ order.task.job, order.task.step, worker.id() });
        return ticket != m_tickets.end() && order.ticket == "ticket-" + worker.id().str()
            && ticket->second.first == worker.report.incarnation && m_now < ticket->second.second;
    }

    bool isFenced(FakeWorker& worker, Fence order) const
    {
        if (order < worker.fence)
            return true;
        worker.fence = order;
        return false;
    }

    void extend(FakeWorker& worker, WorkerTime deadline) const
    {
        markExpiredLease(worker);
        const WorkerTime most { clockOf(worker).value
            + static_cast<std::uint64_t>(settings.maxHold.count()) };
        worker.deadline = std::max(worker.deadline, std::min(deadline, most));
    }

    OrderAnswer start(FakeWorker& worker, const StartOrder& order, TimePoint sentAt)
    {
        if (isFenced(worker, order.fence))
            return base(worker, OrderFate::Fenced);
        if (order.deadline <= clockOf(worker))
            return base(worker, OrderFate::Late);
        extend(worker, order.deadline);
        const auto found = worker.live.find(order.task);
        if (found != worker.live.end() && found->second.run == order.run)
            return base(worker, OrderFate::Done);
        if (worker.highestEnded[order.task] >= order.run || found != worker.live.end())
            return base(worker, OrderFate::Old);
        if (!hasTicket(worker, order)) {
            ++ticketRefusals;
            return base(worker, OrderFate::NoTicket);
        }
        checkStart(worker, order, sentAt);
        // A checkpoint holds the remaining work in milliseconds.
        const auto work
            = order.checkpoint.empty() ? workTime(order.task) : Duration(std::stoll(order.checkpoint));
        worker.live[order.task]
            = { order.run, m_now + work, resourcesOf(order.task), order.checkpoint, Duration(-1) };
        if (deadlyTasks.contains(order.task))
            after(crashDelay, [this, task = order.task, id = worker.id(), run = order.run] {
                const auto live = workers.at(id).live.find(task);
                if (live == workers.at(id).live.end() || live->second.run != run)
                    return;
                ++observed.crashes[task];
                crashWorker(id);
            });
        return base(worker, OrderFate::Done);
    }

    void checkStart(const FakeWorker& worker, const StartOrder& order, TimePoint sentAt)
    {
        const auto name = toString(order.task);
        ++observed.starts[order.task];
        observed.lastStart[order.task] = m_now;
        for (const auto& [id, other] : workers) {
            if (other.live.contains(order.task))
                observed.violations.push_back("two runs of " + name);
        }
        if (observed.done.contains(order.task))
            observed.violations.push_back("a start of " + name + " after it was done");
        if (observed.crashes[order.task] >= 3 && ++observed.startsAfterThirdCrash[order.task] >= 3)
            observed.violations.push_back(name + " started three times after three crashes");
        Resources used = takenBy(order.task);
        for (const auto& [task, live] : worker.live)
            used += takenBy(task);
        if (!fits(worker, used, sentAt))
            observed.violations.push_back("no capacity for " + name);
        checkKind(worker, order.task);
        const auto closed = closedZones.find(worker.report.zone);
        if (closed != closedZones.end() && sentAt > closed->second)
            observed.violations.push_back("a start of " + name + " in a closed zone");
        const auto cancelled = cancelledAt.find(order.task.job);
        if (cancelled != cancelledAt.end() && sentAt - cancelled->second > settings.cancelBound)
            observed.violations.push_back("a start of " + name + " after its job was cancelled");
    }

    void checkKind(const FakeWorker& worker, const TaskId& task)
    {
        const auto* spec = specOf(task);
        if (!spec)
            return;
        const auto& labels = worker.report.labels;
        if (!spec->label.empty() && std::find(labels.begin(), labels.end(), spec->label) == labels.end())
            observed.violations.push_back("no label for " + toString(task));
        const auto& route = config->routes.at(accepted[m_accepted.at(task.job)].route);
        if (worker.report.service != route.service)
            observed.violations.push_back("another service for " + toString(task));
    }

    // A capacity that has shrunk does not count for starts sent before the owner was told.
    static bool fits(const FakeWorker& worker, const Resources& used, TimePoint sentAt)
    {
        return worker.report.capacity.canFit(used)
            || std::any_of(worker.formerCapacities.begin(), worker.formerCapacities.end(),
                [&](const auto& former) { return sentAt <= former.until && former.capacity.canFit(used); });
    }

    const StepSpec* specOf(const TaskId& task) const
    {
        const auto found = m_accepted.find(task.job);
        return found == m_accepted.end()
            ? nullptr
            : &accepted[found->second].spec.steps[static_cast<std::size_t>(task.step)];
    }

    Resources resourcesOf(const TaskId& task) const
    {
        const auto* spec = specOf(task);
        return spec ? spec->resources : Resources {};
    }

    /// Best-effort tasks take no processors from others, unless the classes are kept on separate workers.
    Resources takenBy(const TaskId& task) const
    {
        auto resources = resourcesOf(task);
        const auto* spec = specOf(task);
        if (spec && spec->bestEffort && settings.features.interference)
            resources.milliCores = 0;
        return resources;
    }

    bool isCheckpointing(const TaskId& task) const
    {
        const auto* spec = specOf(task);
        return spec && spec->checkpointing;
    }

    OrderAnswer stop(FakeWorker& worker, const StopOrder& order)
    {
        if (isFenced(worker, order.fence))
            return base(worker, OrderFate::Fenced);
        auto& highest = worker.highestEnded[order.task];
        highest = std::max(highest, order.run);
        const auto found = worker.live.find(order.task);
        if (found == worker.live.end() || found->second.run > order.run
            || found->second.remainingWork >= Duration(0))
            return base(worker, OrderFate::Done);
        found->second.remainingWork = std::max(Duration(1), endOf(found->second) - m_now);
        if (stopTime.count() == 0)
            end(worker, order.task, EndKind::Stopped);
        else {
            found->second.endsAt = m_now + stopTime;
            found->second.pace = 100;
        }
        return base(worker, OrderFate::Done);
    }

    OrderAnswer pace(FakeWorker& worker, const PaceOrder& order)
    {
        if (isFenced(worker, order.fence))
            return base(worker, OrderFate::Fenced);
        const auto found = worker.live.find(order.task);
        if (refusesPaces || found == worker.live.end() || found->second.run != order.run)
            return base(worker, refusesPaces ? OrderFate::Refused : OrderFate::Old);
        if (order.percent < 0 || order.percent > 100)
            observed.violations.push_back("a pace out of range for " + toString(order.task));
        after(settings.paceDelay, [this, id = worker.id(), order] {
            const auto live = workers.at(id).live.find(order.task);
            if (live == workers.at(id).live.end() || live->second.run != order.run)
                return;
            live->second.endsAt = endOf(live->second);
            live->second.pace = order.percent;
            live->second.pacedAt = m_now;
        });
        return base(worker, OrderFate::Done);
    }

    OrderAnswer hold(FakeWorker& worker, const HoldOrder& order)
    {
        if (isFenced(worker, order.fence))
            return base(worker, OrderFate::Fenced);
        markExpiredLease(worker);
        if (order.deadline)
            extend(worker, *order.deadline);
        for (const auto& ended : worker.ended) {
            if (ended.entry.number <= order.acknowledged && ended.entry.kind == EndKind::Done)
                checkAcknowledged(ended);
        }
        std::erase_if(worker.ended,
            [&](const FakeWorker::End& ended) { return ended.entry.number <= order.acknowledged; });
        auto result = base(worker, OrderFate::Done);
        result.incarnation = worker.report.incarnation; // Only lists name it.
        for (const auto& ended : worker.ended)
            result.ended.push_back(ended.entry);
        for (const auto& [task, live] : worker.live) {
            if (unreadableRows.contains(task))
                result.listsComplete = false;
            else
                result.running.push_back({ task, live.run, live.checkpoint, percentOf(task, live),
                    static_cast<int>(tailOf(worker, task)) });
        }
        if (worker.listsUnreadable) {
            result.running.clear();
            result.ended.clear();
            result.listsComplete = false;
        }
        return result;
    }

    void markExpiredLease(FakeWorker& worker) const
    {
        if (clockOf(worker) <= worker.deadline)
            return;
        for (auto& ended : worker.ended)
            ended.leaseExpired = true;
    }

    void checkAcknowledged(const FakeWorker::End& ended)
    {
        const auto name = toString(ended.entry.task);
        if (ended.leaseExpired)
            return;
        const auto record = store.find(keys::progress(ended.entry.task.job));
        if (record == store.end() || !recordsDone(record->second.first, ended.entry.task))
            observed.violations.push_back("the end of " + name + " was acknowledged before it was saved");
        if (observed.lastStart[ended.entry.task] > ended.at)
            observed.violations.push_back("a start of " + name + " after it was done");
        observed.done.insert(ended.entry.task);
    }

    /// At full pace from now on.
    TimePoint endOf(const FakeWorker::LiveRun& live) const
    {
        return live.pace == 100 ? live.endsAt
                                : live.endsAt + (m_now - live.pacedAt) * (100 - live.pace) / 100;
    }

    int percentOf(const TaskId& task, const FakeWorker::LiveRun& live) const
    {
        const auto whole = static_cast<double>(workTime(task).count());
        return static_cast<int>(100 * (1 - static_cast<double>((endOf(live) - m_now).count()) / whole));
    }

    static bool recordsDone(const std::string& value, const TaskId& task)
    {
        const auto record = decodeProgress(value);
        if (!record || isFinal(record->state) || task.occurrence < record->occurrencesDone)
            return record.has_value();
        for (const auto& row : record->tasks) {
            if (row.occurrence == task.occurrence && row.step == task.step && row.index == task.index)
                return row.done;
        }
        return false;
    }

    void end(FakeWorker& worker, const TaskId& task, EndKind kind)
    {
        const auto run = worker.live.at(task).run;
        auto checkpoint = worker.live.at(task).checkpoint;
        if (kind == EndKind::Stopped && isCheckpointing(task))
            checkpoint = std::to_string(worker.live.at(task).remainingWork.count());
        worker.live.erase(task);
        worker.highestEnded[task] = std::max(worker.highestEnded[task], run);
        worker.ended.push_back({ { ++worker.lastNumber, task, run, kind, checkpoint }, m_now });
    }

    TimePoint nextEnd() const
    {
        auto next = TimePoint::max();
        for (const auto& [id, worker] : workers) {
            for (const auto& [task, live] : worker.live)
                next = std::min({ next, endOf(live), m_now + Duration(50) }); // Interval of lease checks.
        }
        return next;
    }

    void endRuns()
    {
        for (auto& [id, worker] : workers) {
            std::vector<TaskId> due;
            const auto lapsed = clockOf(worker) > worker.deadline;
            for (const auto& [task, live] : worker.live) {
                if (lapsed || endOf(live) <= m_now)
                    due.push_back(task);
            }
            for (const auto& task : due)
                end(worker, task,
                    lapsed ? EndKind::Lapsed
                        : worker.live.at(task).remainingWork >= Duration(0)
                        ? EndKind::Stopped
                        : outcome(task, worker.live.at(task).run, id));
        }
    }

    TimePoint m_now;
    TimePoint m_wakeAt = TimePoint::max();
    int m_term = 0;
    FormerOwner m_former;
    int m_adviceInFlight = 0;
    /// Incarnation and expiry by job, step and worker.
    std::map<std::tuple<JobId, int, WorkerId>, std::pair<std::int64_t, TimePoint>> m_tickets;
    std::multimap<TimePoint, std::function<void()>> m_queue;
    std::map<JobId, std::size_t> m_accepted; ///< Index of a job in `accepted`.
};

} // namespace jujubereach::fleet
