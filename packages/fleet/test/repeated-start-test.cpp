// Starts that were sent more than once, of which a later incarnation of the worker may execute an order.
#include "fake-fleet.h"

using namespace jujubereach;
using namespace jujubereach::fleet;

class RepeatedStartTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RepeatedStartTest);
    CPPUNIT_TEST(runsADoneTaskAgainAfterARestart);
    CPPUNIT_TEST(runsATaskOfAFinishedJobAgainAfterATakeover);
    CPPUNIT_TEST(runsADoneTaskOfAnOpenJobAgainAfterATakeover);
    CPPUNIT_TEST(startsATaskElsewhereThatMayStartLateAfterATakeover);
    CPPUNIT_TEST(repeatsAStartOfWhichNoSuccessorKnows);
    CPPUNIT_TEST(acknowledgesAFailureBeforeTheLastAttemptIsOver);
    CPPUNIT_TEST(acknowledgesAGangWhileAMemberMayStart);
    CPPUNIT_TEST(withholdsAcknowledgementsForGood);
    CPPUNIT_TEST(withholdsTheEndOfAListedStart);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration orderDelay { 8500 };

    static FakeWorker& at(FakeFleet& fleet, const char* name) { return fleet.workers.at(WorkerId(name)); }

    static void takeOver(FakeFleet& fleet)
    {
        fleet.takeOver();
        fleet.run(Duration(20'000));
    }

    /// The worker executes the first order of the job late, and the repeated one at once.
    static void submitWithLateOrder(FakeFleet& fleet, const JobRecord& job, const char* worker = "a")
    {
        at(fleet, worker).callDelay = orderDelay;
        fleet.submit(job);
        fleet.run(Duration(10));
        at(fleet, worker).callDelay = Duration(0);
    }

    /// A restart that the owner learns of only after the late order has been executed.
    static void restartBehindACut(FakeFleet& fleet)
    {
        at(fleet, "a").reachable = false;
        fleet.run(Duration(500));
        fleet.restartWorker("a");
        at(fleet, "a").reachable = false;
        fleet.run(orderDelay);
        at(fleet, "a").reachable = true;
        fleet.report(WorkerId("a"));
        fleet.run(Duration(30'000));
    }

    void runsADoneTaskAgainAfterARestart()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        takeOver(fleet);
        submitWithLateOrder(fleet, FakeFleet::job("j", 1));
        fleet.run(Duration(4000));
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
        restartBehindACut(fleet);
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
    }

    void runsATaskOfAFinishedJobAgainAfterATakeover()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        takeOver(fleet);
        submitWithLateOrder(fleet, FakeFleet::job("j", 1));
        fleet.run(Duration(3000));
        fleet.takeOver();
        fleet.run(Duration(1500));
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
        restartBehindACut(fleet);
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
    }

    void runsADoneTaskOfAnOpenJobAgainAfterATakeover()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        fleet.workTime = [](const TaskId& task) { return Duration(task.index == 0 ? 1500 : 20'000); };
        takeOver(fleet);
        submitWithLateOrder(fleet, FakeFleet::job("j", 2));
        fleet.run(Duration(3000));
        fleet.takeOver();
        fleet.run(Duration(1500));
        restartBehindACut(fleet);
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
    }

    // The successor lists the failure of the former owner's run.
    void startsATaskElsewhereThatMayStartLateAfterATakeover()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        fleet.workTime = [](const TaskId&) { return Duration(3000); };
        fleet.outcome = [](const TaskId&, Run run, const WorkerId&) {
            return run == Run { 1 } ? EndKind::Failed : EndKind::Done;
        };
        takeOver(fleet);
        submitWithLateOrder(fleet, FakeFleet::job("j", 1));
        fleet.run(Duration(4500));
        fleet.addWorker("b");
        fleet.takeOver();
        fleet.run(Duration(500));
        restartBehindACut(fleet);
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
    }

    // The owner ends while the store is down, so its successor does not know of the start.
    void repeatsAStartOfWhichNoSuccessorKnows()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        takeOver(fleet);
        fleet.storeDown = true;
        submitWithLateOrder(fleet, FakeFleet::job("j", 1));
        fleet.run(Duration(3500));
        fleet.storeDown = false;
        fleet.takeOver();
        fleet.run(Duration(1000));
        restartBehindACut(fleet);
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
    }

    void acknowledgesAFailureBeforeTheLastAttemptIsOver()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        fleet.config->routes.at(FakeFleet::routeOf(1)).maxAttempts = 1;
        fleet.outcome = [](const TaskId&, Run, const WorkerId&) { return EndKind::Failed; };
        takeOver(fleet);
        submitWithLateOrder(fleet, FakeFleet::job("j", 1));
        fleet.run(Duration(10'000));
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), at(fleet, "a").ended.size());
    }

    // The end of one member stands for all.
    void acknowledgesAGangWhileAMemberMayStart()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        fleet.addWorker("b");
        takeOver(fleet);
        auto job = FakeFleet::job("j", 2, { 1000, 1000, 8 });
        job.spec.steps[0].gang = true;
        submitWithLateOrder(fleet, job);
        fleet.run(Duration(10'000));
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), at(fleet, "a").ended.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), at(fleet, "b").ended.size());
    }

    void withholdsAcknowledgementsForGood()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        takeOver(fleet);
        submitWithLateOrder(fleet, FakeFleet::job("j", 1));
        fleet.run(Duration(4000));
        fleet.submit(FakeFleet::job("later", 1));
        fleet.run(Duration(6000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), at(fleet, "a").ended.size());
        CPPUNIT_ASSERT(fleet.savedState("later") == JobState::Completed);
        fleet.run(Duration(4000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), at(fleet, "a").ended.size());
    }

    // Only the answer was lost: a list shows that the order has been executed, before the store answers.
    void withholdsTheEndOfAListedStart()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        takeOver(fleet);
        fleet.storeLatency = Duration(400);
        at(fleet, "a").answersLost = true;
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(10));
        at(fleet, "a").answersLost = false;
        fleet.run(Duration(4500));
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(1, fleet.observed.startCalls);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), at(fleet, "a").ended.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepeatedStartTest);
