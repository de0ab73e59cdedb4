// Faults that are not mended: late orders and answers for a former incarnation of a worker (KNOWN-RED.txt).
#include "fake-fleet.h"

using namespace jujubereach;
using namespace jujubereach::fleet;

class FormerIncarnationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FormerIncarnationTest);
    CPPUNIT_TEST(runsADoneTaskAgainAfterALateAcknowledgement);
    CPPUNIT_TEST(startsATaskElsewhereThatALateRenewalKeepsAlive);
    CPPUNIT_TEST(losesRunsOfANewIncarnationByAnAnswerForTheFormer);
    CPPUNIT_TEST(crashesTheFleetByATaskThatNeverAnswers);
    CPPUNIT_TEST(repeatsAStartAtAnotherKind);
    CPPUNIT_TEST_SUITE_END();

    static TaskId taskOf(const std::string& job) { return { JobId(job), 0, 0, 0 }; }

    static FakeWorker& at(FakeFleet& fleet, const char* name) { return fleet.workers.at(WorkerId(name)); }

    static std::size_t countOf(const FakeFleet& fleet, const std::string& text)
    {
        return static_cast<std::size_t>(std::count_if(fleet.log.begin(), fleet.log.end(),
            [&](const std::string& line) { return line.find(text) != std::string::npos; }));
    }

    void runsADoneTaskAgainAfterALateAcknowledgement()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        fleet.workTime = [](const TaskId& task) {
            return Duration(task.job == JobId("first") ? 1000 : task.job == JobId("long") ? 60'000 : 3000);
        };
        fleet.takeOver();
        fleet.run(Duration(20'000));
        fleet.submit(FakeFleet::job("first", 1));
        fleet.submit(FakeFleet::job("long", 1));
        for (int i = 0; i < 2000 && countOf(fleet, "end ") == 0; ++i)
            fleet.run(Duration(1));
        at(fleet, "a").callDelay = Duration(5000);
        fleet.run(Duration(100));
        fleet.restartWorker("a");
        fleet.run(Duration(400));
        fleet.report(WorkerId("a"));
        fleet.run(Duration(1000));
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(2000));
        at(fleet, "a").reachable = false;
        fleet.run(Duration(3000));
        at(fleet, "a").reachable = true;
        fleet.run(Duration(10'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        CPPUNIT_ASSERT_EQUAL(1, fleet.observed.starts[taskOf("j")]);
    }

    // The previous owner has sent it to the former incarnation.
    void startsATaskElsewhereThatALateRenewalKeepsAlive()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        fleet.workTime
            = [](const TaskId& task) { return Duration(task.job == JobId("other") ? 60'000 : 30'000); };
        fleet.takeOver();
        fleet.run(Duration(20'000));
        fleet.submit(FakeFleet::job("other", 1));
        fleet.run(Duration(200));
        at(fleet, "a").callDelay = Duration(11'000);
        fleet.run(Duration(1600)); // A poll is sent.
        fleet.restartWorker("a");
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(100));
        CPPUNIT_ASSERT(at(fleet, "a").live.contains(taskOf("j")));
        at(fleet, "a").reachable = false;
        fleet.addWorker("b");
        fleet.takeOver();
        fleet.run(Duration(60'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
    }

    // It was sent to the former address, and names another worker there.
    void losesRunsOfANewIncarnationByAnAnswerForTheFormer()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        fleet.workTime = [](const TaskId&) { return Duration(20'000); };
        fleet.takeOver();
        fleet.run(Duration(20'000));
        at(fleet, "a").replaced = true;
        at(fleet, "a").answerDelay = Duration(600);
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(10));
        fleet.restartWorker("a");
        at(fleet, "a").report.address = "10.0.0.9:1";
        fleet.report(WorkerId("a"));
        fleet.run(Duration(100));
        fleet.submit(FakeFleet::job("k", 1));
        fleet.run(Duration(100));
        CPPUNIT_ASSERT(at(fleet, "a").live.contains(taskOf("k")));
        fleet.owner->workerReported(fleet.addWorker("b").report);
        fleet.run(Duration(20'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
    }

    void crashesTheFleetByATaskThatNeverAnswers()
    {
        std::string unbounded;
        for (const auto restart : { 100, 300, 600, 1500, 3000 }) {
            FakeFleet fleet;
            for (const auto* name : { "a", "b", "c", "d" })
                fleet.addWorker(name);
            fleet.answersEndWithWorker = true;
            fleet.crashDelay = Duration(0);
            fleet.restartTime = Duration(restart);
            fleet.takeOver();
            fleet.run(Duration(20'000));
            fleet.deadlyTasks.insert(taskOf("j"));
            fleet.submit(FakeFleet::job("j", 1));
            fleet.run(Duration(200'000));
            if (fleet.savedState("j") != JobState::Failed)
                unbounded += ' ' + std::to_string(restart)
                    + " ms: " + std::to_string(fleet.observed.crashes[taskOf("j")]);
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), unbounded);
    }

    // The first attempt is lost as the worker restarts; a poll shows the restart before the attempt expires.
    void repeatsAStartAtAnotherKind()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        fleet.workTime = [](const TaskId&) { return Duration(30'000); };
        fleet.takeOver();
        fleet.run(Duration(200));
        fleet.submit(FakeFleet::job("small", 1));
        fleet.run(Duration(1300));
        auto next = FakeFleet::job("j", 1);
        next.spec.steps[0].label = "a";
        fleet.workers.at(WorkerId("a")).reachable = false;
        fleet.submit(next);
        fleet.run(Duration(10));
        fleet.restartWorker("a");
        fleet.workers.at(WorkerId("a")).report.labels = { "b", "r1" };
        fleet.run(Duration(3000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        fleet.owner->workerReported(fleet.workers.at(WorkerId("a")).report);
        fleet.run(Duration(3000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FormerIncarnationTest);
