// Workers that leave the list, return or restart while plans or orders of the owner still refer to them.
#include "fake-fleet.h"

using namespace jujubereach;
using namespace jujubereach::fleet;

class ReturningTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ReturningTest);
    CPPUNIT_TEST(overbooksAWorkerThatReturnsWhileAPlanWaitsForIt);
    CPPUNIT_TEST(startsATaskOfAPlanThatRunsAlready);
    CPPUNIT_TEST(restartsATaskWhoseLeaseALateRenewalHasExtended);
    CPPUNIT_TEST(restartsATaskWhoseLateStartALateRenewalHasExtended);
    CPPUNIT_TEST(restartsATaskElsewhereWhileItsLateStartMayReachANewIncarnation);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Resources wholeWorker { 64'000, 262'144, 8 };

    // A plan waits for a stop at "b" while "a", which it also names, leaves and returns.
    void overbooksAWorkerThatReturnsWhileAPlanWaitsForIt()
    {
        FakeFleet fleet;
        fleet.addWorker("b");
        fleet.stopTime = Duration(600);
        fleet.workTime = [](const TaskId&) { return Duration(5000); };
        fleet.takeOver();
        fleet.run(Duration(200));
        fleet.submit(FakeFleet::job("victim", 1, wholeWorker, 2));
        fleet.run(Duration(200));
        const auto& worker = fleet.addWorker("a", "r2");
        fleet.owner->workerReported(worker.report);
        fleet.run(Duration(200));
        auto gang = FakeFleet::job("gang", 2, wholeWorker, 0);
        gang.spec.steps[0].gang = true;
        fleet.submit(gang);
        fleet.run(Duration(100));
        fleet.owner->workerUnlisted(WorkerId("a"));
        fleet.run(Duration(55)); // Less than until the next pass.
        fleet.owner->workerReported(worker.report);
        fleet.run(Duration(1000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
    }

    // "a" executes a start of the previous owner late and reports it while a plan for the same task waits.
    void startsATaskOfAPlanThatRunsAlready()
    {
        FakeFleet fleet;
        fleet.addWorker("b");
        fleet.addWorker("c");
        fleet.stopTime = Duration(1500);
        fleet.workTime = [](const TaskId&) { return Duration(20'000); };
        fleet.takeOver();
        fleet.run(Duration(200));
        fleet.submit(FakeFleet::job("victims", 2, wholeWorker, 2));
        fleet.run(Duration(200));
        auto& late = fleet.addWorker("a");
        fleet.owner->workerReported(late.report);
        fleet.run(Duration(200));
        late.callDelay = Duration(500);
        fleet.submit(FakeFleet::job("urgent", 2, wholeWorker, 0));
        fleet.run(Duration(20));
        late.callDelay = Duration(0);
        fleet.unlisted.insert(WorkerId("a"));
        fleet.takeOver();
        fleet.run(Duration(100));
        fleet.restartWorker("a");
        fleet.run(Duration(500));
        fleet.owner->workerReported(late.report);
        fleet.run(Duration(3000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
    }

    // The last renewal before the restart is executed 9 s after the worker has been cut off.
    void restartsATaskWhoseLeaseALateRenewalHasExtended()
    {
        FakeFleet fleet;
        auto& worker = fleet.addWorker("a");
        fleet.workTime = [](const TaskId&) { return Duration(60'000); };
        fleet.takeOver();
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(20'000));
        worker.callDelay = Duration(11'000);
        fleet.run(Duration(1600));
        fleet.restartWorker("a");
        fleet.owner->workerReported(worker.report);
        fleet.run(Duration(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), worker.live.size());
        worker.reachable = false;
        fleet.owner->workerReported(fleet.addWorker("b").report);
        fleet.run(Duration(30'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.workers.at(WorkerId("b")).live.size());
    }

    // The first attempt of the start and the last renewals are executed after an unseen restart.
    void restartsATaskWhoseLateStartALateRenewalHasExtended()
    {
        FakeFleet fleet;
        auto& worker = fleet.addWorker("a");
        fleet.workTime = [](const TaskId&) { return Duration(60'000); };
        fleet.takeOver();
        fleet.run(Duration(20'000));
        worker.callDelay = Duration(11'900);
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(20));
        worker.callDelay = Duration(0);
        fleet.run(Duration(8000));
        worker.callDelay = Duration(10'000);
        fleet.run(Duration(1600));
        worker.reachable = false;
        fleet.run(Duration(1000));
        fleet.restartWorker("a");
        worker.reachable = false;
        fleet.owner->workerReported(fleet.addWorker("b").report);
        fleet.run(Duration(40'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.workers.at(WorkerId("b")).live.size());
    }

    // The stop of the unanswered start is confirmed by an incarnation that ends before the start arrives.
    void restartsATaskElsewhereWhileItsLateStartMayReachANewIncarnation()
    {
        FakeFleet fleet;
        auto& worker = fleet.addWorker("a");
        fleet.workTime = [](const TaskId&) { return Duration(20'000); };
        fleet.takeOver();
        fleet.run(Duration(500));
        worker.callDelay = Duration(8000);
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(100));
        worker.callDelay = Duration(0);
        worker.reachable = false;
        fleet.owner->workerReported(fleet.addWorker("A").report);
        fleet.run(Duration(2800));
        worker.reachable = true;
        fleet.run(Duration(4500));
        fleet.restartWorker("a");
        fleet.workers.at(WorkerId("a")).reachable = false;
        fleet.run(Duration(50'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReturningTest);
