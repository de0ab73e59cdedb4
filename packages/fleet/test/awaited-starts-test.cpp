// How long a new owner waits for starts of the previous one that got no answer.
#include "fake-fleet.h"

using namespace jujubereach;
using namespace jujubereach::fleet;

class AwaitedStartsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AwaitedStartsTest);
    CPPUNIT_TEST(awaitsAnOldStartLikeANewOne);
    CPPUNIT_TEST(awaitsAnOldStartAgainAfterASecondTakeover);
    CPPUNIT_TEST(startsATaskBeforeItsLateStartOfAnEarlierBuild);
    CPPUNIT_TEST(startsATaskBeforeItsLateStart);
    CPPUNIT_TEST(sendsARepeatedStartBeforeItIsStored);
    CPPUNIT_TEST(sendsAStartThatWasStoredLongAgo);
    CPPUNIT_TEST_SUITE_END();

    static TaskId taskOf(const std::string& job) { return { JobId(job), 0, 0, 0 }; }

    // All attempts to start "j" at "a" take effect `delay` late. Returns the time of the first one.
    static TimePoint orderLateStart(FakeFleet& fleet, Duration delay)
    {
        fleet.workTime = [](const TaskId& task) { return Duration(task.job == JobId("j") ? 20'000 : 500); };
        auto& late = fleet.addWorker("a");
        fleet.takeOver();
        fleet.run(Duration(30'000)); // The clocks of later incarnations are behind.
        late.callDelay = delay;
        const auto begin = fleet.now();
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(2500));
        late.callDelay = Duration(0);
        fleet.owner->workerReported(fleet.addWorker("b").report);
        return begin;
    }

    // Other jobs end meanwhile, and their progress is stored.
    static void work(FakeFleet& fleet, TimePoint until)
    {
        static int jobs = 0;
        while (fleet.now() < until) {
            fleet.submit(FakeFleet::job("other" + std::to_string(++jobs), 1));
            fleet.run(Duration(500));
        }
    }

    static bool isStartedBy(FakeFleet& fleet, TimePoint time)
    {
        fleet.run(time - fleet.now());
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        return fleet.observed.starts[taskOf("j")] > 0;
    }

    // An order is carried out 12 s late at most, whenever the owner changes.
    void awaitsAnOldStartLikeANewOne()
    {
        FakeFleet fleet;
        const auto begin = orderLateStart(fleet, Duration(11'900));
        work(fleet, begin + Duration(9000));
        fleet.takeOver();
        CPPUNIT_ASSERT(isStartedBy(fleet, begin + Duration(15'000)));
    }

    void awaitsAnOldStartAgainAfterASecondTakeover()
    {
        FakeFleet fleet;
        const auto begin = orderLateStart(fleet, Duration(11'900));
        work(fleet, begin + Duration(6000));
        fleet.takeOver();
        work(fleet, begin + Duration(11'000));
        fleet.takeOver();
        CPPUNIT_ASSERT(isStartedBy(fleet, begin + Duration(27'500)));
    }

    // Earlier builds do not record when they started a task.
    void startsATaskBeforeItsLateStartOfAnEarlierBuild()
    {
        FakeFleet fleet;
        const auto begin = orderLateStart(fleet, Duration(11'900));
        work(fleet, begin + Duration(9000));
        for (auto& [key, item] : fleet.store) {
            if (!key.starts_with(keys::progressPrefix))
                continue;
            auto progress = *decodeProgress(item.first);
            progress.writer = {};
            for (auto& task : progress.tasks) {
                if (task.start)
                    task.start->allSentBy.reset();
            }
            item.first = encode(progress);
        }
        fleet.takeOver();
        CPPUNIT_ASSERT(!isStartedBy(fleet, begin + Duration(20'000)));
        CPPUNIT_ASSERT(isStartedBy(fleet, begin + Duration(30'000)));
    }

    // The worker restarts after the first poll of the new owner, and is cut off: nothing refuses the order.
    void startsATaskBeforeItsLateStart()
    {
        for (int delay = 7000; delay < 12'000; delay += 100) {
            FakeFleet fleet;
            const auto begin = orderLateStart(fleet, Duration(delay));
            work(fleet, begin + Duration(6000));
            fleet.takeOver();
            fleet.run(Duration(500));
            fleet.restartWorker("a");
            fleet.workers.at(WorkerId("a")).reachable = false;
            fleet.run(Duration(60'000));
            CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
            CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
        }
    }

    // A new owner takes the start that it finds for the last one.
    void sendsARepeatedStartBeforeItIsStored()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        fleet.workTime = [](const TaskId&) { return Duration(1000); };
        fleet.outcome = [](const TaskId&, Run run, const WorkerId&) {
            return run.value == 1 ? EndKind::Failed : EndKind::Done;
        };
        fleet.takeOver();
        fleet.run(Duration(500));
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(500));
        fleet.storeDown = true;
        fleet.run(Duration(2000));
        CPPUNIT_ASSERT_EQUAL(1, fleet.observed.startCalls);
        fleet.storeDown = false;
        fleet.run(Duration(8000));
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
    }

    // The stored start says until when its orders are sent.
    void sendsAStartThatWasStoredLongAgo()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        fleet.workTime = [](const TaskId&) { return Duration(1000); };
        fleet.outcome = [](const TaskId&, Run run, const WorkerId&) {
            return run.value == 1 ? EndKind::Failed : EndKind::Done;
        };
        fleet.takeOver();
        fleet.run(Duration(500));
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(1020));
        fleet.storeAnswersLost = true; // The second start is stored, but the owner does not learn of it.
        fleet.run(Duration(4000));
        CPPUNIT_ASSERT_EQUAL(1, fleet.observed.startCalls);
        fleet.storeAnswersLost = false;
        fleet.run(Duration(10'000));
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AwaitedStartsTest);
