// What a new owner must know of the starts, crashes and orders under way of the previous one.
#include "fake-fleet.h"

using namespace jujubereach;
using namespace jujubereach::fleet;

class SuccessorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SuccessorTest);
    CPPUNIT_TEST(startsATaskAgainAfterCrashesHiddenByTakeovers);
    CPPUNIT_TEST(startsATaskAgainAfterCrashesHiddenByTakeoversAndNewIds);
    CPPUNIT_TEST(startsATaskElsewhereWhileALateStartMayReachANewIncarnation);
    CPPUNIT_TEST(startsATaskElsewhereWhileALateStartMayReachACutOffIncarnation);
    CPPUNIT_TEST(delaysATaskWhoseRunHasEndedKnown);
    CPPUNIT_TEST(countsARestartAfterTheEndOfARunAsACrash);
    CPPUNIT_TEST(reportsAJobAsBegunWhoseStartsGotNoAnswer);
    CPPUNIT_TEST_SUITE_END();

    static TaskId taskOf(const std::string& job) { return { JobId(job), 0, 0, 0 }; }

    // Each owner starts the task, its worker crashes, and the next owner takes over before the worker is
    // back.
    static void assertGivesUpAcrossTakeovers(FakeFleet& fleet)
    {
        for (int i = 0; i < 8; ++i)
            fleet.addWorker("w" + std::to_string(i), "r" + std::to_string(i / 4));
        fleet.deadlyTasks.insert(taskOf("j"));
        fleet.crashDelay = Duration(200);
        fleet.takeOver();
        fleet.run(Duration(500));
        fleet.submit(FakeFleet::job("j", 1));
        for (int i = 0; i < 12; ++i) {
            const auto crashes = fleet.observed.crashes[taskOf("j")];
            for (int t = 0; t < 300 && fleet.observed.crashes[taskOf("j")] == crashes; ++t)
                fleet.run(Duration(50));
            fleet.run(Duration(1000));
            fleet.takeOver();
        }
        fleet.run(Duration(60'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Failed);
    }

    void startsATaskAgainAfterCrashesHiddenByTakeovers()
    {
        FakeFleet fleet;
        assertGivesUpAcrossTakeovers(fleet);
    }

    void startsATaskAgainAfterCrashesHiddenByTakeoversAndNewIds()
    {
        FakeFleet fleet;
        fleet.restartsUnderNewId = true;
        assertGivesUpAcrossTakeovers(fleet);
    }

    // The start of the previous owner is executed 8 s late, by an incarnation that this owner has not polled.
    static void assertWaitsForALateStart(bool cutOff)
    {
        FakeFleet fleet;
        auto& late = fleet.addWorker("a");
        fleet.workTime = [](const TaskId&) { return Duration(20'000); };
        fleet.takeOver();
        fleet.run(Duration(500));
        late.callDelay = Duration(8000);
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(100));
        late.callDelay = Duration(0);
        fleet.owner->workerReported(fleet.addWorker("A").report); // Comes before "a" in the order of ids.
        fleet.run(Duration(200));
        fleet.takeOver();
        fleet.run(Duration(3000));
        fleet.restartWorker("a");
        fleet.workers.at(WorkerId("a")).reachable = !cutOff;
        fleet.run(Duration(40'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        fleet.run(Duration(40'000));
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
    }

    void startsATaskElsewhereWhileALateStartMayReachANewIncarnation() { assertWaitsForALateStart(false); }
    void startsATaskElsewhereWhileALateStartMayReachACutOffIncarnation() { assertWaitsForALateStart(true); }

    // "urgent" stops the task of "victim" at the only worker.
    static void preemptVictim(FakeFleet& fleet)
    {
        fleet.addWorker("a");
        fleet.workTime = [](const TaskId&) { return Duration(5000); };
        fleet.takeOver();
        fleet.run(Duration(500));
        fleet.submit(FakeFleet::job("victim", 1, { 64'000, 1000, 8 }, 2));
        fleet.run(Duration(300));
        fleet.submit(FakeFleet::job("urgent", 1, { 64'000, 1000, 8 }, 0));
        fleet.run(Duration(1500));
    }

    // A run that the previous owner stopped is no start under way.
    void delaysATaskWhoseRunHasEndedKnown()
    {
        FakeFleet fleet;
        preemptVictim(fleet);
        CPPUNIT_ASSERT_EQUAL(1, fleet.observed.starts[taskOf("urgent")]);
        fleet.takeOver();
        fleet.run(Duration(6000));
        CPPUNIT_ASSERT_EQUAL(2, fleet.observed.starts[taskOf("victim")]);
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
    }

    // The worker of a stopped task restarts after the takeover: no crash under that task.
    void countsARestartAfterTheEndOfARunAsACrash()
    {
        FakeFleet fleet;
        preemptVictim(fleet);
        fleet.restartWorker("a");
        fleet.takeOver();
        fleet.run(Duration(20'000));
        CPPUNIT_ASSERT(fleet.savedState("victim") == JobState::Completed);
        const auto isSuspect = [](const std::string& line) {
            return line.find("crash-") == 0 && line.find("victim") != std::string::npos;
        };
        CPPUNIT_ASSERT(std::none_of(fleet.log.begin(), fleet.log.end(), isSuspect));
    }

    static std::int64_t pendingJobs(const FakeFleet& fleet)
    {
        const auto summary = decodeSummary(fleet.store.at(keys::summary).first);
        CPPUNIT_ASSERT(summary);
        std::int64_t jobs = 0;
        for (const auto& [route, count] : summary->pending)
            jobs += count;
        return jobs;
    }

    // Its task waits until the start can no longer be executed, also after a takeover.
    void reportsAJobAsBegunWhoseStartsGotNoAnswer()
    {
        FakeFleet fleet;
        auto& worker = fleet.addWorker("a");
        fleet.takeOver();
        fleet.run(Duration(500));
        worker.reachable = false;
        fleet.submit(FakeFleet::job("j", 1));
        fleet.submit(FakeFleet::job("k", 1, { 64'000, 1000, 8 }));
        fleet.run(Duration(5000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), pendingJobs(fleet));
        fleet.takeOver();
        fleet.run(Duration(3000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), pendingJobs(fleet));
        worker.reachable = true;
        fleet.run(Duration(60'000));
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), pendingJobs(fleet));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuccessorTest);
