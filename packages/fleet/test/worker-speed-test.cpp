// Speed of workers: estimates on plain data, and where gangs land on a fleet with three speeds.
#include "fake-fleet.h"
#include "jujubereach/fleet/placement.h"
#include "jujubereach/fleet/reserve.h"
#include "jujubereach/fleet/worker-speed.h"

#include <cmath>
#include <numeric>
#include <random>

using namespace jujubereach;
using namespace jujubereach::fleet;

namespace {

const ServiceId service("service");
constexpr double slowBelow = 0.9;

double speedOfKind(int kind)
{
    constexpr double speeds[] = { 0.8, 1, 1.25 };
    return speeds[kind % 3];
}

WorkerId workerNamed(int i)
{
    return WorkerId("w" + std::to_string(i));
}

// Steps of 39 tasks on random workers, whose run times scatter by 0.3 and whose level varies by 0.5.
struct Load {
    std::mt19937 random { 7 };
    std::normal_distribution<double> normal;
    WorkerSpeeds speeds;
    TimePoint now { Duration(1'000'000) };
    int steps = 0;

    template <typename F> void run(int count, int workers, F&& speedOfWorker)
    {
        constexpr int tasks = 39;
        for (int i = 0; i < count; ++i, ++steps) {
            const auto level = 0.5 * normal(random);
            for (int task = 0; task < tasks; ++task) {
                const auto worker = static_cast<int>(random() % static_cast<unsigned>(workers));
                const auto rate = 15 * std::exp(level + 0.3 * normal(random)) * speedOfWorker(worker);
                speeds.observe({ workerNamed(worker), 1, service,
                                   { JobId(std::to_string(steps)), 0, 0, task }, rate, 100 },
                    now);
            }
            now += Duration(500);
            speeds.refit(now);
        }
    }
};

// Steps that start evenly on equal workers; each run shows a refined rate at every tenth of its progress.
class RefinedLoad {
public:
    struct Shape {
        int workers = 0;
        int tasks = 0; ///< Of a step.
        double stepsPerSecond = 0;
        double runSeconds = 0;
    };

    explicit RefinedLoad(const Shape& shape)
        : m_shape(shape)
    {
    }

    int wrongFits(int seconds)
    {
        for (int tick = 0; tick < 2 * seconds; ++tick) {
            m_now += Duration(500);
            start();
            std::erase_if(m_runs, [&](Run& run) { return advance(run); });
            m_wrong += m_speeds.refit(m_now) && m_speeds.differ(service);
        }
        return m_wrong;
    }

private:
    struct Run {
        TaskId task;
        int worker = 0;
        double rate = 0; ///< Percent per second.
        TimePoint startedAt;
        int used = 0; ///< Percent.
    };

    void start()
    {
        for (m_due += m_shape.stepsPerSecond / 2; m_due >= 1; --m_due, ++m_steps) {
            for (int i = 0; i < m_shape.tasks; ++i)
                m_runs.push_back({ { JobId(std::to_string(m_steps)), 0, 0, i },
                    static_cast<int>(m_random() % static_cast<unsigned>(m_shape.workers)),
                    100 / m_shape.runSeconds * std::exp(0.25 * m_normal(m_random)), m_now });
        }
    }

    // Whether the run has ended.
    bool advance(Run& run)
    {
        const auto passed = static_cast<double>((m_now - run.startedAt).count()) / 1000;
        const auto percent = static_cast<int>(std::min(100.0, run.rate * passed));
        const auto ended = percent >= 100;
        if (percent >= run.used + 10) {
            m_speeds.observe(
                { workerNamed(run.worker), 1, service, run.task, ended ? run.rate : percent / passed,
                    static_cast<double>(percent), run.used > 0, !ended },
                m_now);
            run.used = percent;
        } else if (ended)
            m_speeds.markEnded(run.task);
        return ended;
    }

    Shape m_shape;
    std::mt19937 m_random { 3 };
    std::normal_distribution<double> m_normal;
    WorkerSpeeds m_speeds;
    std::vector<Run> m_runs;
    TimePoint m_now { Duration(1'000'000) };
    double m_due = 0;
    int m_steps = 0;
    int m_wrong = 0;
};

// Urgent gangs, gangs of the next class and bulk steps on workers of unequal speed, in racks of eight.
class MixedLoad {
public:
    static constexpr int workers = 120;

    MixedLoad(bool unequal, bool feature, unsigned seed)
        : m_random(seed)
    {
        fleet.settings.features.workerSpeed = feature;
        std::vector<int> kinds(workers);
        std::iota(kinds.begin(), kinds.end(), 0);
        std::shuffle(kinds.begin(), kinds.end(), m_random);
        for (int i = 0; i < workers; ++i) {
            fleet.addWorker(workerNamed(i).str(), "r" + std::to_string(i / 8));
            speeds[workerNamed(i)] = unequal ? speedOfKind(kinds[static_cast<std::size_t>(i)]) : 1;
        }
        fleet.workTime = [this](const TaskId& task) { return timeOf(task); };
        fleet.logHook = [this](const std::string& event, const boost::json::object& fields) {
            if (event == "worker-speeds")
                speedsDiffer = fields.at("differ").as_bool();
            if (event == "start")
                started(fields);
            else if (event == "end" || event == "run-lost")
                free[m_placed.at(textOf(fields, "task"))] += acceleratorsOf(textOf(fields, "task"));
        };
        for (const auto& [id, worker] : fleet.workers)
            free[id] = worker.report.capacity.accelerators;
        fleet.takeOver();
    }

    void run(int seconds)
    {
        for (int tenth = 0; tenth < seconds * 10; ++tenth) {
            arrive(0, 0.35, 5, { 1, 2, 4, 8 }, 2300);
            arrive(1, 0.07, 13, { 1, 2, 4 }, 10'000);
            arrive(2, 0.13, 39, { 1 }, 6300);
            fleet.run(Duration(100));
        }
    }

    FakeFleet fleet;
    std::map<WorkerId, double> speeds;
    std::map<WorkerId, std::int64_t> free; ///< Accelerators.
    std::vector<std::string> starts; ///< Task and worker.
    bool speedsDiffer = false; ///< As the owner has logged.
    int avoidable = 0; ///< Urgent gangs that could have been placed without a slow member.
    int slowed = 0; ///< Those of them that have one.

private:
    static std::string textOf(const boost::json::object& fields, const char* name)
    {
        return std::string(fields.at(name).as_string());
    }

    void arrive(int priority, double chance, int tasks, std::vector<int> accelerators, int milliseconds)
    {
        if (m_unit(m_random) >= chance)
            return;
        const auto name = std::to_string(priority) + "-" + std::to_string(m_jobs++);
        const int each = accelerators[m_random() % accelerators.size()];
        auto job = FakeFleet::job(name, tasks, { 1000L * each, 1000, each }, priority);
        auto& step = job.spec.steps[0];
        step.gang = step.sameRack = priority < 2;
        m_works[name] = { milliseconds * (0.7 + 0.6 * m_unit(m_random)), each };
        step.estimate = Duration(static_cast<int>(m_works[name].first * (0.5 + m_unit(m_random))));
        fleet.submit(job);
    }

    std::int64_t acceleratorsOf(const std::string& task)
    {
        return m_works.at(task.substr(0, task.find('.'))).second;
    }

    // A gang runs at the speed of its slowest member.
    Duration timeOf(const TaskId& task)
    {
        const auto gang = task.job.str()[0] != '2';
        auto time = m_works.at(task.job.str()).first;
        auto speed = speeds.at(m_placed.at(toString(task)));
        for (int i = 0; gang && i < 13; ++i) {
            const auto member = m_placed.find(toString({ task.job, 0, 0, i }));
            if (member != m_placed.end())
                speed = std::min(speed, speeds.at(member->second));
        }
        if (!gang)
            time *= std::exp(0.25
                * std::sin(7919.0 * static_cast<double>(std::hash<std::string> {}(toString(task)) % 1000)));
        return Duration(static_cast<std::int64_t>(time / speed));
    }

    void started(const boost::json::object& fields)
    {
        const auto task = textOf(fields, "task");
        const WorkerId worker(textOf(fields, "worker"));
        const auto job = task.substr(0, task.find('.'));
        if (task[0] == '0' && !std::exchange(m_judged[job], true))
            m_avoidable[job] = couldAvoidSlow(acceleratorsOf(task));
        if (task[0] == '0' && m_avoidable[job] && m_counts[job]++ == 0)
            ++avoidable;
        if (task[0] == '0' && m_avoidable[job] && speeds.at(worker) < slowBelow
            && !std::exchange(m_slow[job], true))
            ++slowed;
        m_placed[task] = worker;
        free[worker] -= acceleratorsOf(task);
        starts.push_back(task + " " + worker.str());
    }

    bool couldAvoidSlow(std::int64_t each) const
    {
        std::map<std::string, std::int64_t> fits;
        for (const auto& [id, accelerators] : free) {
            if (speeds.at(id) >= slowBelow)
                fits[fleet.workers.at(id).report.rack] += accelerators / each;
        }
        return std::any_of(fits.begin(), fits.end(), [](const auto& rack) { return rack.second >= 5; });
    }

    std::mt19937 m_random;
    std::uniform_real_distribution<double> m_unit;
    int m_jobs = 0;
    std::map<std::string, std::pair<double, int>> m_works; ///< Time in ms and accelerators of a task, by job.
    std::map<std::string, WorkerId> m_placed; ///< By task.
    std::map<std::string, bool> m_judged, m_avoidable, m_slow;
    std::map<std::string, int> m_counts;
};

} // namespace

class WorkerSpeedTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkerSpeedTest);
    CPPUNIT_TEST(threeSpeedsAreFoundAmongScatteredRunTimes);
    CPPUNIT_TEST(equalWorkersAreNotTakenForUnequal);
    CPPUNIT_TEST(refinedRatesOfARunCountOnce);
    CPPUNIT_TEST(aStepOnOneWorkerShowsNothing);
    CPPUNIT_TEST(aRestartedWorkerIsUnknown);
    CPPUNIT_TEST(theStateIsBoundedAndRestoredOnce);
    CPPUNIT_TEST(urgentGangsAvoidSlowWorkers);
    CPPUNIT_TEST(aSuccessorKnowsTheSpeeds);
    CPPUNIT_TEST(aGangEndsBeforeReservationsOfItsMembers);
    CPPUNIT_TEST(unknownWorkersAreReservedIfOthersAreFew);
    CPPUNIT_TEST(equalWorkersChangeNoDecision);
    CPPUNIT_TEST_SUITE_END();

    // Guards against estimates that follow the estimated or actual length of tasks instead of the worker.
    void threeSpeedsAreFoundAmongScatteredRunTimes()
    {
        Load load;
        load.run(60, 120, [](int i) { return speedOfKind(i); });
        CPPUNIT_ASSERT(load.speeds.differ(service));
        int misjudged = 0;
        for (int i = 0; i < 120; ++i)
            misjudged += std::abs(std::log(load.speeds.speedOf(workerNamed(i), 1) / speedOfKind(i))) > 0.15;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(misjudged), misjudged <= 12);
        CPPUNIT_ASSERT(load.speeds.deviationOf(workerNamed(0), 1, service) < 0.1);
    }

    // Guards against placement that follows chance: many fits test the same hypothesis.
    void equalWorkersAreNotTakenForUnequal()
    {
        for (unsigned seed = 1; seed <= 20; ++seed) {
            Load load;
            load.random.seed(seed);
            for (int i = 0; i < 100; ++i) {
                load.run(1, 40, [](int) { return 1.0; });
                CPPUNIT_ASSERT_MESSAGE(std::to_string(seed), !load.speeds.differ(service));
                CPPUNIT_ASSERT_EQUAL(1.0, load.speeds.speedOf(workerNamed(0), 1));
            }
        }
    }

    // Guards against a run whose step is closed before its end and that then counts again: the variance
    // within workers seems smaller than it is, and equal workers seem to differ.
    void refinedRatesOfARunCountOnce()
    {
        CPPUNIT_ASSERT_EQUAL(0, RefinedLoad({ 350, 400, 0.2, 6 }).wrongFits(60));
        CPPUNIT_ASSERT_EQUAL(0, RefinedLoad({ 11'000, 39, 51, 6 }).wrongFits(25));
        CPPUNIT_ASSERT_EQUAL(0, RefinedLoad({ 100, 4, 0.05, 600 }).wrongFits(3000));
    }

    // Guards against evidence without comparison: the mean of such a step is that of the worker.
    void aStepOnOneWorkerShowsNothing()
    {
        Load load;
        load.run(60, 120, [](int i) { return speedOfKind(i); });
        const auto before = load.speeds.deviationOf(workerNamed(0), 1, service);
        for (int task = 0; task < 30; ++task)
            load.speeds.observe(
                { workerNamed(0), 1, service, { JobId("lone"), 0, 0, task }, 40, 100 }, load.now);
        load.now += Duration(500);
        CPPUNIT_ASSERT(load.speeds.refit(load.now));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(before, load.speeds.deviationOf(workerNamed(0), 1, service), 0.005);
    }

    // Guards against a speed that outlives its machine: the id may return as another kind.
    void aRestartedWorkerIsUnknown()
    {
        Load load;
        load.run(60, 120, [](int i) { return speedOfKind(i); });
        CPPUNIT_ASSERT(load.speeds.speedOf(workerNamed(0), 1) < slowBelow);
        CPPUNIT_ASSERT_EQUAL(1.0, load.speeds.speedOf(workerNamed(0), 2));
        load.speeds.observe({ workerNamed(0), 2, service, { JobId("next"), 0, 0, 0 }, 15, 100 }, load.now);
        load.now += Duration(500);
        load.speeds.refit(load.now);
        CPPUNIT_ASSERT_EQUAL(1.0, load.speeds.speedOf(workerNamed(0), 1));
    }

    // Guards against a state that the store refuses or a successor cannot use, and evidence that counts
    // twice.
    void theStateIsBoundedAndRestoredOnce()
    {
        Load load;
        load.run(700, 4000, [](int i) { return speedOfKind(i); });
        CPPUNIT_ASSERT(load.speeds.stateChanged());
        const auto state = load.speeds.encodeState(load.now);
        CPPUNIT_ASSERT(!load.speeds.stateChanged());
        CPPUNIT_ASSERT(state.size() <= maxSpeedStateBytes && state.size() > maxSpeedStateBytes - 100);
        WorkerSpeeds successor;
        for (const auto* malformed : { "", "[]", "[[],[[\"w\",0,1,0,0]]]", "[[[\"s\",1]],[[1,2]]]" })
            CPPUNIT_ASSERT(!successor.restoreState(malformed, load.now));
        CPPUNIT_ASSERT(successor.restoreState(state, load.now) && successor.restoreState(state, load.now));
        CPPUNIT_ASSERT(successor.refit(load.now) && successor.differ(service));
        CPPUNIT_ASSERT(successor.workers() > 2000);
        WorkerSpeeds once;
        CPPUNIT_ASSERT(once.restoreState(state, load.now) && once.refit(load.now));
        for (int i = 0; i < 4000; ++i)
            CPPUNIT_ASSERT_EQUAL(once.deviationOf(workerNamed(i), 1, service),
                successor.deviationOf(workerNamed(i), 1, service));
        int misjudged = 0;
        for (int i = 0; i < 4000; ++i) {
            const auto speed = successor.speedOf(workerNamed(i), 1);
            misjudged
                += speed != 1 && std::abs(std::log(speed / load.speeds.speedOf(workerNamed(i), 1))) > 0.05;
        }
        CPPUNIT_ASSERT_EQUAL(0, misjudged);
    }

    // Guards against a takeover that forgets the speeds, and against a store that is down or a value that is
    // unreadable and stops the owner.
    void aSuccessorKnowsTheSpeeds()
    {
        MixedLoad load(true, true, 4);
        load.run(2); // Until the roster is stored.
        load.fleet.storeDown = true;
        load.run(10);
        CPPUNIT_ASSERT(load.speedsDiffer && !load.fleet.store.contains(keys::speeds));
        load.fleet.storeDown = false;
        load.run(10);
        CPPUNIT_ASSERT(load.fleet.store.contains(keys::speeds));
        load.speedsDiffer = false;
        load.fleet.takeOver();
        load.run(1);
        CPPUNIT_ASSERT(load.speedsDiffer);
        load.fleet.store[keys::speeds].first = "?";
        load.fleet.takeOver();
        load.run(10);
        CPPUNIT_ASSERT(load.fleet.store[keys::speeds].first != "?");
        CPPUNIT_ASSERT_EQUAL(std::string(), load.fleet.firstViolation());
    }

    static double slowedShare(bool feature)
    {
        double avoidable = 0;
        double slowed = 0;
        for (unsigned seed = 3; seed < 9; ++seed) {
            MixedLoad load(true, feature, seed);
            load.run(10); // Long enough to learn.
            load.avoidable = load.slowed = 0;
            load.run(20);
            CPPUNIT_ASSERT_EQUAL(std::string(), load.fleet.firstViolation());
            avoidable += load.avoidable;
            slowed += load.slowed;
        }
        CPPUNIT_ASSERT(avoidable > 200);
        return slowed / avoidable;
    }

    // Guards against gangs that run at the speed of a slow member although a rack has room without one.
    void urgentGangsAvoidSlowWorkers()
    {
        const auto without = slowedShare(false);
        const auto with = slowedShare(true);
        const auto shares = std::to_string(without) + " and " + std::to_string(with);
        CPPUNIT_ASSERT_MESSAGE(shares, without > 0.5);
        CPPUNIT_ASSERT_MESSAGE(shares, with < 0.1);
    }

    static WorkerView view(double speed, double rackOrder)
    {
        WorkerView out;
        out.service = service;
        out.rack = "r" + std::to_string(rackOrder);
        out.rackOrder = rackOrder;
        out.capacity = out.free = { 8000, 8000, 8 };
        out.speed = out.cautiousSpeed = speed;
        return out;
    }

    static std::size_t placedOfPair(double reservedSpeed, double otherSpeed, int reservedUntil)
    {
        std::vector<WorkerView> views { view(reservedSpeed, 0), view(otherSpeed, 0) };
        static const int holder = 0; // Only its address is used.
        views[0].reservedBy = reinterpret_cast<const Step*>(&holder);
        views[0].reservedUntil = TimePoint(Duration(reservedUntil));
        StepSpec step;
        step.count = 2;
        step.gang = step.sameRack = true;
        step.resources = { 8000, 8000, 8 };
        PlaceRequest request;
        request.spec = &step;
        request.service = service;
        request.count = 2;
        request.priority = 1;
        request.expectedEnd = TimePoint(Duration(1000));
        request.expectedTime = Duration(1000);
        return place(request, views).size();
    }

    // Guards against a gang that outlasts a reservation of one worker because another one is slower.
    void aGangEndsBeforeReservationsOfItsMembers()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), placedOfPair(1, 0.8, 1100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), placedOfPair(1, 0.8, 1300));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), placedOfPair(1.25, 1, 900));
    }

    // Guards against a fleet without room for urgent work after most workers have restarted.
    void unknownWorkersAreReservedIfOthersAreFew()
    {
        std::vector<WorkerView> views;
        views.reserve(10);
        for (int i = 0; i < 10; ++i)
            views.push_back(view(i == 9 ? 1 : 0.83, 0.1 * i));
        reserveRacks(service, 0.3, views);
        const auto reserved
            = std::count_if(views.begin(), views.end(), [](const auto& v) { return v.reservedForUrgent; });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(3), reserved);
        CPPUNIT_ASSERT(views[9].reservedForUrgent);
    }

    // Guards against decisions that change without a reason.
    void equalWorkersChangeNoDecision()
    {
        MixedLoad with(false, true, 5);
        MixedLoad without(false, false, 5);
        with.run(20);
        without.run(20);
        CPPUNIT_ASSERT(with.starts.size() > 500);
        CPPUNIT_ASSERT(with.starts == without.starts);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerSpeedTest);
