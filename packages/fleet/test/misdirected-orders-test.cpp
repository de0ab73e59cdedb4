// Starts for a former incarnation of a worker, amid restarts, takeovers and lists that do not decide them.
#include "fake-fleet.h"

using namespace jujubereach;
using namespace jujubereach::fleet;

class MisdirectedOrdersTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MisdirectedOrdersTest);
    CPPUNIT_TEST(startsATaskElsewhereWhileALateStartOfItRuns);
    CPPUNIT_TEST(givesUpAJobWhoseRunsWereAliveAtTakeovers);
    CPPUNIT_TEST(neverAcknowledgesEndsBeyondAnUnansweredStart);
    CPPUNIT_TEST(pollsWithoutPauseWhileListsAreUnreadable);
    CPPUNIT_TEST(pollsWithoutPauseForAnEndedRun);
    CPPUNIT_TEST(forgetsAtATakeoverThatAnAdoptedRunMayComeAgain);
    CPPUNIT_TEST(takesARunForAloneAfterASecondRestart);
    CPPUNIT_TEST(confirmsACrashAgainUnderARunOfTheFormerIncarnation);
    CPPUNIT_TEST_SUITE_END();

    static TaskId taskOf(const std::string& job) { return { JobId(job), 0, 0, 0 }; }

    static FakeWorker& at(FakeFleet& fleet, const char* name) { return fleet.workers.at(WorkerId(name)); }

    static std::size_t countOf(const FakeFleet& fleet, const std::string& text)
    {
        return static_cast<std::size_t>(std::count_if(fleet.log.begin(), fleet.log.end(),
            [&](const std::string& line) { return line.find(text) != std::string::npos; }));
    }

    static void runUntilStarted(FakeFleet& fleet, const char* job)
    {
        for (int i = 0; i < 1000 && !at(fleet, "a").live.contains(taskOf(job)); ++i)
            fleet.run(Duration(1));
        CPPUNIT_ASSERT(at(fleet, "a").live.contains(taskOf(job)));
    }

    // Its worker is taken to answer while a poll of it is in flight.
    void startsATaskElsewhereWhileALateStartOfItRuns()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        auto work = Duration(1000);
        fleet.workTime = [&](const TaskId&) { return work; };
        auto kind = EndKind::Failed;
        fleet.outcome = [&](const TaskId&, Run, const WorkerId&) { return kind; };
        fleet.takeOver();
        fleet.run(Duration(20'000));
        at(fleet, "a").callDelay = Duration(11'900);
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(20));
        at(fleet, "a").callDelay = Duration(0);
        fleet.run(Duration(2980));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), countOf(fleet, "late-start-awaited"));
        fleet.owner->workerReported(fleet.addWorker("b").report);
        kind = EndKind::Done;
        work = Duration(5000);
        fleet.run(Duration(8200));
        at(fleet, "a").reachable = false;
        fleet.run(Duration(650));
        fleet.restartWorker("a");
        fleet.run(Duration(20'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
    }

    // A list has shown each run in the new incarnation, which is cut off before the takeover.
    void givesUpAJobWhoseRunsWereAliveAtTakeovers()
    {
        FakeFleet fleet;
        const std::vector<const char*> names { "a", "b", "c", "d", "e" };
        for (const auto* name : names)
            fleet.addWorker(name);
        fleet.workTime = [](const TaskId&) { return Duration(5000); };
        fleet.takeOver();
        fleet.run(Duration(20'000));
        const auto restartAll = [&] {
            for (const auto* name : names) {
                if (at(fleet, name).reachable)
                    fleet.restartWorker(name);
            }
        };
        restartAll();
        fleet.submit(FakeFleet::job("j", 1));
        for (int round = 0; round < 3; ++round) {
            for (int i = 0; i < 200 && fleet.liveRuns() == 0; ++i)
                fleet.run(Duration(10));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.liveRuns());
            fleet.run(Duration(700));
            for (auto& [id, worker] : fleet.workers) {
                if (worker.live.contains(taskOf("j")))
                    worker.reachable = false;
            }
            fleet.takeOver();
            fleet.run(Duration(13'500));
            restartAll();
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.liveRuns());
        }
        fleet.run(Duration(30'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
    }

    // The worker does not list them all, as long as the store is down.
    void neverAcknowledgesEndsBeyondAnUnansweredStart()
    {
        FakeFleet fleet;
        fleet.addWorker("a").report.capacity = { 640'000, 2'621'440, 1000 };
        fleet.workTime = [](const TaskId&) { return Duration(500); };
        fleet.takeOver();
        fleet.run(Duration(20'000));
        fleet.submit(FakeFleet::job("many", 520));
        fleet.run(Duration(300));
        fleet.storeDown = true;
        fleet.run(Duration(700));
        at(fleet, "a").reachable = false;
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(2600));
        at(fleet, "a").reachable = true;
        fleet.run(Duration(2000));
        fleet.storeDown = false;
        fleet.run(Duration(60'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), at(fleet, "a").ended.size());
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
    }

    void pollsWithoutPauseWhileListsAreUnreadable()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        fleet.workTime = [](const TaskId&) { return Duration(8000); };
        fleet.takeOver();
        fleet.run(Duration(20));
        fleet.submit(FakeFleet::job("j", 1));
        runUntilStarted(fleet, "j");
        at(fleet, "a").listsUnreadable = true;
        const auto calls = at(fleet, "a").calls;
        fleet.run(Duration(5000));
        CPPUNIT_ASSERT_MESSAGE(
            "polls: " + std::to_string(at(fleet, "a").calls - calls), at(fleet, "a").calls - calls < 50);
    }

    // The stop overtakes the start.
    void pollsWithoutPauseForAnEndedRun()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        fleet.settings.stopTimeout = Duration(2000);
        fleet.workTime = [](const TaskId& task) { return Duration(task.job == JobId("other") ? 60'000 : 1); };
        fleet.takeOver();
        fleet.run(Duration(20'000));
        fleet.submit(FakeFleet::job("other", 1));
        fleet.run(Duration(200));
        fleet.restartWorker("a");
        fleet.report(WorkerId("a"));
        fleet.run(Duration(100));
        fleet.submit(FakeFleet::job("j", 1));
        const auto calls = at(fleet, "a").calls;
        fleet.run(Duration(4));
        fleet.cancel("j");
        fleet.run(Duration(3000));
        CPPUNIT_ASSERT_MESSAGE(
            "polls: " + std::to_string(at(fleet, "a").calls - calls), at(fleet, "a").calls - calls < 50);
    }

    // The new incarnation executes its first attempt.
    void forgetsAtATakeoverThatAnAdoptedRunMayComeAgain()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        fleet.workTime = [](const TaskId&) { return Duration(20'000); };
        fleet.takeOver();
        fleet.run(Duration(20'000));
        at(fleet, "a").callDelay = Duration(8000);
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(20));
        at(fleet, "a").callDelay = Duration(0);
        fleet.run(Duration(1480));
        CPPUNIT_ASSERT(at(fleet, "a").live.contains(taskOf("j")));
        fleet.addWorker("b");
        fleet.takeOver();
        fleet.run(Duration(1000));
        fleet.restartWorker("a");
        fleet.report(WorkerId("a"));
        at(fleet, "a").reachable = false;
        fleet.run(Duration(6000));
        at(fleet, "a").reachable = true;
        fleet.run(Duration(40'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
    }

    void takesARunForAloneAfterASecondRestart()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        fleet.workTime = [](const TaskId&) { return Duration(20'000); };
        fleet.takeOver();
        fleet.run(Duration(20));
        fleet.submit(FakeFleet::job("other", 1));
        fleet.run(Duration(300));
        fleet.submit(FakeFleet::job("j", 1));
        runUntilStarted(fleet, "j");
        fleet.run(Duration(6));
        fleet.restartWorker("a");
        fleet.report(WorkerId("a"));
        fleet.run(Duration(1));
        fleet.restartWorker("a");
        fleet.run(Duration(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), countOf(fleet, "crash-suspect"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countOf(fleet, "\"confirmed\":1,\"alone\":1"));
    }

    // The second restart is under a stop of it, which a successor does not know.
    void confirmsACrashAgainUnderARunOfTheFormerIncarnation()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        fleet.workTime = [](const TaskId&) { return Duration(20'000); };
        fleet.takeOver();
        fleet.run(Duration(20'000));
        at(fleet, "a").callDelay = Duration(11'000);
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(20));
        at(fleet, "a").callDelay = Duration(0);
        fleet.run(Duration(1980));
        CPPUNIT_ASSERT(at(fleet, "a").live.contains(taskOf("j")));
        fleet.restartWorker("a");
        fleet.report(WorkerId("a"));
        fleet.run(Duration(1000));
        fleet.restartWorker("a");
        fleet.takeOver();
        fleet.run(Duration(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), countOf(fleet, "crash-suspect"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countOf(fleet, "\"confirmed\":2"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MisdirectedOrdersTest);
