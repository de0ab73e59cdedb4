// Workers that restart under their ids and execute orders that were meant for their former incarnations.
#include "fake-fleet.h"

using namespace jujubereach;
using namespace jujubereach::fleet;

class RestartedWorkerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RestartedWorkerTest);
    CPPUNIT_TEST(startsATaskElsewhereThatANewIncarnationRuns);
    CPPUNIT_TEST(startsATaskElsewhereThatACutOffNewIncarnationRuns);
    CPPUNIT_TEST(startsATaskElsewhereAfterATakeoverFromAnUnseenRestart);
    CPPUNIT_TEST(countsARestartAsACrashUnderARunOfTheNewIncarnation);
    CPPUNIT_TEST(countsNoCrashUnderAnAnsweredRunThatNoListHasShown);
    CPPUNIT_TEST(stopsARunWhoseSecondAttemptANewIncarnationExecutes);
    CPPUNIT_TEST_SUITE_END();

    // The long poll that "other" keeps in flight gets no answer after the restart.
    static void startOnRestartedWorker(FakeFleet& fleet, Duration work)
    {
        fleet.workTime
            = [work](const TaskId& task) { return task.job == JobId("other") ? Duration(60'000) : work; };
        fleet.takeOver();
        fleet.run(Duration(20'000));
        fleet.submit(FakeFleet::job("other", 1));
        fleet.run(Duration(200));
        fleet.restartWorker("a");
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(50));
        CPPUNIT_ASSERT(fleet.workers.at(WorkerId("a")).live.contains(taskOf("j")));
    }

    static TaskId taskOf(const std::string& job) { return { JobId(job), 0, 0, 0 }; }

    static void assertRunsOnce(FakeFleet& fleet, const std::string& job)
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        CPPUNIT_ASSERT(fleet.savedState(job) == JobState::Completed);
    }

    void startsATaskElsewhereThatANewIncarnationRuns()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        startOnRestartedWorker(fleet, Duration(5000));
        fleet.owner->workerReported(fleet.addWorker("b").report);
        fleet.workers.at(WorkerId("a")).reachable = false;
        fleet.report(WorkerId("a"));
        fleet.run(Duration(1000));
        fleet.workers.at(WorkerId("a")).reachable = true;
        fleet.run(Duration(10'000));
        assertRunsOnce(fleet, "j");
        CPPUNIT_ASSERT_EQUAL(1, fleet.observed.starts[taskOf("j")]);
    }

    // Its lease ends up to 10 s after it has executed the start.
    void startsATaskElsewhereThatACutOffNewIncarnationRuns()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        startOnRestartedWorker(fleet, Duration(30'000));
        fleet.workers.at(WorkerId("a")).reachable = false;
        fleet.owner->workerReported(fleet.addWorker("b").report);
        fleet.report(WorkerId("a"));
        fleet.run(Duration(60'000));
        assertRunsOnce(fleet, "j");
    }

    void startsATaskElsewhereAfterATakeoverFromAnUnseenRestart()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        startOnRestartedWorker(fleet, Duration(5000));
        fleet.addWorker("b");
        fleet.run(Duration(100));
        fleet.takeOver();
        fleet.run(Duration(10'000));
        assertRunsOnce(fleet, "j");
        CPPUNIT_ASSERT_EQUAL(1, fleet.observed.starts[taskOf("j")]);
    }

    // Each worker that executes the start is cut off, and its new entry arrives.
    void countsARestartAsACrashUnderARunOfTheNewIncarnation()
    {
        FakeFleet fleet;
        for (const auto* name : { "a", "b", "c", "d" })
            fleet.addWorker(name);
        fleet.workTime = [](const TaskId&) { return Duration(5000); };
        fleet.takeOver();
        fleet.run(Duration(20'000));
        for (const auto* name : { "a", "b", "c", "d" })
            fleet.restartWorker(name);
        fleet.submit(FakeFleet::job("j", 1));
        for (int i = 0; i < 4; ++i) {
            fleet.run(Duration(60));
            for (auto& [id, worker] : fleet.workers) {
                if (worker.live.contains(taskOf("j")) && std::exchange(worker.reachable, false))
                    fleet.report(id);
            }
        }
        for (auto& [id, worker] : fleet.workers)
            worker.reachable = true;
        fleet.run(Duration(20'000));
        assertRunsOnce(fleet, "j");
    }

    // Each worker crashes after it has answered the start and before a list shows the run.
    void countsNoCrashUnderAnAnsweredRunThatNoListHasShown()
    {
        FakeFleet fleet;
        for (const auto* name : { "a", "b", "c", "d" })
            fleet.addWorker(name);
        fleet.crashDelay = Duration(3);
        fleet.restartTime = Duration(300);
        fleet.takeOver();
        fleet.run(Duration(20'000));
        fleet.deadlyTasks.insert(taskOf("j"));
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(60'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Failed);
    }

    void stopsARunWhoseSecondAttemptANewIncarnationExecutes()
    {
        for (auto delay = FakeFleet::latency; delay <= 2 * FakeFleet::latency; ++delay)
            restartBeforeASecondAttempt(delay);
    }

    // The new entry arrives with the answer of the second attempt or after it, before a list shows the run.
    static void restartBeforeASecondAttempt(Duration entryDelay)
    {
        FakeFleet fleet;
        auto& worker = fleet.addWorker("a");
        fleet.workTime = [](const TaskId&) { return Duration(5000); };
        fleet.takeOver();
        fleet.run(Duration(20'000));
        worker.reachable = false;
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(700));
        fleet.restartWorker("a");
        fleet.run(Duration(112));
        const auto& live = fleet.workers.at(WorkerId("a")).live;
        for (int i = 0; i < 100 && !live.contains(taskOf("j")); ++i)
            fleet.run(Duration(1)); // The second attempt waits for the store.
        CPPUNIT_ASSERT(live.contains(taskOf("j")));
        fleet.run(entryDelay);
        fleet.report(WorkerId("a"));
        fleet.run(Duration(10'000));
        assertRunsOnce(fleet, "j");
        CPPUNIT_ASSERT_EQUAL(1, fleet.observed.starts[taskOf("j")]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestartedWorkerTest);
