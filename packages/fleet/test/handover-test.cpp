// Starts, crashes and late orders of one owner, seen by the owners after it.
#include "fake-fleet.h"

using namespace jujubereach;
using namespace jujubereach::fleet;

class HandoverTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HandoverTest);
    CPPUNIT_TEST(forgetsALateStartAtASecondTakeover);
    CPPUNIT_TEST(startsATaskElsewhereWhileAWorkerThatLeftTheListMayRunIt);
    CPPUNIT_TEST(startsATaskElsewhereAfterPassesWereHeldUpDuringTheWait);
    CPPUNIT_TEST(forgetsALateStartAfterItsStopWasConfirmed);
    CPPUNIT_TEST(startsATaskElsewhereWhileItsStoppedStartMayStillCome);
    CPPUNIT_TEST(waitsForTheStartOfARunThatWasConfirmed);
    CPPUNIT_TEST(waitsForAStartThatIsTooOldToCome);
    CPPUNIT_TEST(hidesACrashOfAnAdoptedRunThatIsNotStored);
    CPPUNIT_TEST(countsARestartAfterAnExpiredStartAsACrash);
    CPPUNIT_TEST(countsARestartAfterAPollThatDidNotListTheRunAsACrash);
    CPPUNIT_TEST(countsTheExitOfADrainedWorkerAsACrash);
    CPPUNIT_TEST(givesUpAJobBecauseOfAStartThatNeverArrived);
    CPPUNIT_TEST_SUITE_END();

    static TaskId taskOf(const std::string& job, int index = 0) { return { JobId(job), 0, 0, index }; }

    static bool isSuspect(const FakeFleet& fleet, const std::string& job)
    {
        return std::any_of(fleet.log.begin(), fleet.log.end(), [&](const std::string& line) {
            return line.find("crash-") == 0 && line.find('"' + job + '.') != std::string::npos;
        });
    }

    // Orders a start at "a" that is executed `delay` late; "b" is added for all later starts.
    static FakeWorker& orderLateStart(FakeFleet& fleet, Duration delay, JobRecord job)
    {
        auto& late = fleet.addWorker("a");
        fleet.takeOver();
        fleet.run(Duration(30'000)); // The clocks of later incarnations are behind.
        late.callDelay = delay;
        fleet.submit(std::move(job));
        fleet.run(Duration(100));
        late.callDelay = Duration(0);
        fleet.owner->workerReported(fleet.addWorker("b").report);
        fleet.run(Duration(200));
        return late;
    }

    // The second owner stores another start of the job during the wait; the third one takes over.
    void forgetsALateStartAtASecondTakeover()
    {
        FakeFleet fleet;
        fleet.workTime = [](const TaskId&) { return Duration(20'000); };
        auto& late = fleet.addWorker("a");
        fleet.takeOver();
        fleet.run(Duration(30'000)); // The clocks of later incarnations are behind.
        late.callDelay = Duration(11'000);
        fleet.submit(FakeFleet::job("j", 2, { 40'000, 1000, 1 }));
        fleet.run(Duration(100));
        late.callDelay = Duration(0);
        fleet.takeOver();
        fleet.run(Duration(2000));
        fleet.owner->workerReported(fleet.addWorker("b").report);
        fleet.owner->workerReported(fleet.addWorker("c").report);
        fleet.run(Duration(1000));
        fleet.takeOver();
        fleet.run(Duration(2000));
        fleet.restartWorker("a");
        late.reachable = false;
        fleet.run(Duration(60'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
    }

    // The worker restarts while it is cut off, and its entry expires.
    void startsATaskElsewhereWhileAWorkerThatLeftTheListMayRunIt()
    {
        FakeFleet fleet;
        fleet.workTime = [](const TaskId&) { return Duration(20'000); };
        auto& late = orderLateStart(fleet, Duration(11'000), FakeFleet::job("j", 1));
        fleet.takeOver();
        fleet.run(Duration(1000));
        fleet.restartWorker("a");
        late.reachable = false;
        fleet.unlisted.insert(late.id());
        fleet.owner->workerUnlisted(late.id());
        fleet.run(Duration(60'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
    }

    // The new owner may not start anything at first, because it does not know the closed zones.
    void startsATaskElsewhereAfterPassesWereHeldUpDuringTheWait()
    {
        FakeFleet fleet;
        fleet.settings.closeZoneBound = Duration(4000);
        fleet.workTime = [](const TaskId&) { return Duration(20'000); };
        auto& late = orderLateStart(fleet, Duration(11'500), FakeFleet::job("j", 1));
        fleet.restartWorker("a");
        late.reachable = false;
        fleet.takeOver();
        fleet.run(Duration(500));
        fleet.confirmsClosedZones = false;
        fleet.run(Duration(15'600));
        fleet.confirmsClosedZones = true;
        fleet.run(Duration(60'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
    }

    // Only the last attempts of the start are answered or stopped; the first one is still under way.
    static void assertAwaitsStoppedStart(bool takeOver)
    {
        FakeFleet fleet;
        fleet.workTime = [](const TaskId&) { return Duration(20'000); };
        auto& late = fleet.addWorker("a");
        fleet.takeOver();
        fleet.run(Duration(500));
        late.callDelay = Duration(8000);
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(2300)); // All three attempts.
        late.callDelay = Duration(0);
        fleet.owner->workerReported(fleet.addWorker("b").report);
        fleet.run(Duration(1500));
        if (takeOver)
            fleet.takeOver();
        fleet.run(Duration(1500));
        fleet.restartWorker("a");
        late.reachable = false;
        fleet.run(Duration(60'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
    }

    void forgetsALateStartAfterItsStopWasConfirmed() { assertAwaitsStoppedStart(true); }
    void startsATaskElsewhereWhileItsStoppedStartMayStillCome() { assertAwaitsStoppedStart(false); }

    // The worker restarts together with the owner, a minute after it has confirmed the run.
    static void assertStartsAgainAtOnce(FakeFleet& fleet, Duration age = Duration(60'000))
    {
        fleet.run(age);
        const auto before = fleet.observed.starts[taskOf("j")];
        CPPUNIT_ASSERT_EQUAL(1, before);
        fleet.restartWorker("a");
        fleet.takeOver();
        fleet.run(Duration(3000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        CPPUNIT_ASSERT_EQUAL(2, fleet.observed.starts[taskOf("j")]);
    }

    // So many jobs start at once that their starts are stored before they are answered.
    void waitsForTheStartOfARunThatWasConfirmed()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        fleet.workTime = [](const TaskId&) { return Duration(200'000); };
        fleet.takeOver();
        fleet.run(Duration(500));
        for (int i = 0; i < 20; ++i) {
            auto job = FakeFleet::job(i == 0 ? "j" : "other" + std::to_string(i), 1, { 1000, 1000, 0 });
            job.spec.steps[0].longRunning = true;
            fleet.submit(std::move(job));
        }
        assertStartsAgainAtOnce(fleet);
    }

    // The answer to the first attempt of the start was lost.
    void waitsForAStartThatIsTooOldToCome()
    {
        FakeFleet fleet;
        auto& worker = fleet.addWorker("a");
        fleet.workTime = [](const TaskId&) { return Duration(200'000); };
        fleet.takeOver();
        fleet.run(Duration(500));
        worker.answersLost = true;
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(100));
        worker.answersLost = false;
        assertStartsAgainAtOnce(fleet);
    }

    // The store refuses each start; the next owner adopts the run and is replaced right after the crash.
    void hidesACrashOfAnAdoptedRunThatIsNotStored()
    {
        FakeFleet fleet;
        for (int i = 0; i < 8; ++i)
            fleet.addWorker("w" + std::to_string(i), "r" + std::to_string(i / 4));
        fleet.workTime = [](const TaskId&) { return Duration(20'000); };
        fleet.crashDelay = Duration(1500);
        fleet.takeOver();
        fleet.run(Duration(500));
        fleet.submit(FakeFleet::job("j", 2));
        fleet.run(Duration(500));
        fleet.deadlyTasks.insert(taskOf("j"));
        for (auto& [id, worker] : fleet.workers) {
            if (worker.live.contains(taskOf("j")))
                fleet.crashWorker(id); // The job is running from now on.
        }
        for (int i = 0; i < 8; ++i) {
            const auto starts = fleet.observed.starts[taskOf("j")];
            fleet.storeDown = true;
            for (int t = 0; t < 3000 && fleet.observed.starts[taskOf("j")] == starts; ++t) {
                fleet.storeDown = false;
                fleet.run(Duration(10));
            }
            fleet.storeDown = true;
            fleet.run(Duration(300));
            fleet.storeDown = false;
            fleet.takeOver();
            fleet.run(Duration(2000)); // Adopts the run; the worker crashes.
            fleet.takeOver();
        }
        fleet.run(Duration(60'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Failed);
    }

    // No attempt of the start has reached the worker; it restarts a minute later, and then the owner changes.
    void countsARestartAfterAnExpiredStartAsACrash()
    {
        FakeFleet fleet;
        auto& worker = fleet.addWorker("a");
        fleet.takeOver();
        fleet.run(Duration(500));
        worker.answersLost = true;
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(10));
        worker.reachable = false;
        fleet.run(Duration(60'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.liveRuns());
        fleet.owner->workerUnlisted(WorkerId("a"));
        fleet.run(Duration(1000));
        fleet.restartWorker("a");
        fleet.takeOver();
        fleet.run(Duration(5000));
        CPPUNIT_ASSERT(!isSuspect(fleet, "j"));
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
    }

    // The start never reaches the worker, which restarts after its first answer to the new owner.
    void countsARestartAfterAPollThatDidNotListTheRunAsACrash()
    {
        FakeFleet fleet;
        auto& worker = fleet.addWorker("a");
        auto& silent = fleet.addWorker("b");
        fleet.takeOver();
        fleet.run(Duration(500));
        silent.reachable = false;
        worker.callDelay = Duration(11'900);
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(100));
        worker.callDelay = Duration(0);
        fleet.takeOver();
        fleet.run(Duration(1000)); // Polls "a" and waits for "b".
        fleet.restartWorker("a");
        fleet.owner->workerReported(worker.report);
        fleet.run(Duration(60'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        CPPUNIT_ASSERT(!isSuspect(fleet, "j"));
    }

    // A long-running task runs until its drained worker exits, and the owner changes meanwhile.
    void countsTheExitOfADrainedWorkerAsACrash()
    {
        FakeFleet fleet;
        auto& worker = fleet.addWorker("a");
        fleet.workTime = [](const TaskId&) { return Duration(600'000); };
        fleet.takeOver();
        fleet.run(Duration(500));
        auto job = FakeFleet::job("j", 1);
        job.spec.steps[0].longRunning = true;
        fleet.submit(job);
        fleet.run(Duration(5000));
        worker.report.draining = true;
        fleet.owner->workerReported(worker.report);
        fleet.run(Duration(3000));
        worker.report.draining = false;
        fleet.restartWorker("a");
        fleet.takeOver();
        fleet.run(Duration(20'000));
        CPPUNIT_ASSERT(!isSuspect(fleet, "j"));
    }

    // Two workers have crashed beside the task; its third start is still under way when its worker restarts.
    void givesUpAJobBecauseOfAStartThatNeverArrived()
    {
        FakeFleet fleet;
        for (int i = 0; i < 6; ++i)
            fleet.addWorker("w" + std::to_string(i));
        fleet.workTime = [](const TaskId&) { return Duration(8000); };
        fleet.takeOver();
        fleet.run(Duration(500));
        fleet.submit(FakeFleet::job("j", 1));
        fleet.submit(FakeFleet::job("other", 12));
        for (int i = 0; i < 2; ++i) {
            fleet.run(Duration(1500));
            for (auto& [id, worker] : fleet.workers) {
                if (worker.live.contains(taskOf("j")))
                    fleet.crashWorker(id);
            }
            if (i == 1) {
                for (auto& [id, worker] : fleet.workers)
                    worker.callDelay = Duration(11'900);
            }
            fleet.run(fleet.restartTime + Duration(100));
        }
        const auto& lines = fleet.log;
        const auto start = std::find_if(lines.rbegin(), lines.rend(), [](const std::string& line) {
            return line.find("start ") == 0 && line.find("\"j.") != std::string::npos;
        });
        const auto name = start->substr(start->find("\"worker\":\"") + 10, 2);
        fleet.run(Duration(100));
        for (auto& [id, worker] : fleet.workers)
            worker.callDelay = Duration(0);
        fleet.restartWorker(name);
        fleet.takeOver();
        fleet.run(Duration(60'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HandoverTest);
