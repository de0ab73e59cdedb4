// Finished jobs whose records are reported again, and stored progress that the owner has never read.
#include "fake-fleet.h"

using namespace jujubereach;
using namespace jujubereach::fleet;

class FinishedJobsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FinishedJobsTest);
    CPPUNIT_TEST(aReplayedRecordStartsAFinishedJobAgain);
    CPPUNIT_TEST(aConflictReplacesAStoredEnd);
    CPPUNIT_TEST(aConflictReplacesStoredProgress);
    CPPUNIT_TEST(aConflictReplacesAnUnknownRoster);
    CPPUNIT_TEST(aLateWriteOfThisOwnerEndsItsOwnership);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration untilForgotten {
        160'000
    }; // Exceeds 1.25 times the retention of finished jobs.

    // A listing shows a record that is newer than its revision; the watch from there on reports it once more.
    void aReplayedRecordStartsAFinishedJobAgain()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        fleet.takeOver();
        fleet.reportsJobs = false;
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(untilForgotten);
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
        fleet.owner->jobWritten(fleet.accepted[0]);
        fleet.run(Duration(5000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
    }

    static void store(FakeFleet& fleet, const std::string& key, const std::string& value)
    {
        fleet.store[key] = { value, { ++fleet.storeRevision.value } };
    }

    // The owner takes the job for a new one, although its progress is stored.
    static void submitWithProgress(FakeFleet& fleet, const ProgressRecord& progress)
    {
        fleet.addWorker("a");
        fleet.workTime = [](const TaskId&) { return Duration(60'000); };
        fleet.takeOver();
        fleet.run(Duration(500));
        store(fleet, keys::progress(JobId("j")), encode(progress));
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(2000));
    }

    void aConflictReplacesAStoredEnd()
    {
        FakeFleet fleet;
        submitWithProgress(fleet, { JobState::Completed, 0, {} });
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.liveRuns());
        CPPUNIT_ASSERT(!fleet.ownershipLost);
        fleet.submit(FakeFleet::job("k", 1));
        fleet.run(Duration(1000));
        CPPUNIT_ASSERT(fleet.savedState("k") == JobState::Running);
    }

    // What else this owner does not know of is read by the next one.
    void aConflictReplacesStoredProgress()
    {
        FakeFleet fleet;
        ProgressRecord progress;
        progress.state = JobState::Running;
        progress.tasks.push_back({ 0, 0, 0, true, Run { 7 }, {}, "" });
        submitWithProgress(fleet, progress);
        CPPUNIT_ASSERT(fleet.ownershipLost);
        CPPUNIT_ASSERT_EQUAL(encode(progress), fleet.store.at(keys::progress(JobId("j"))).first);
    }

    void aConflictReplacesAnUnknownRoster()
    {
        FakeFleet fleet;
        fleet.takeOver();
        fleet.run(Duration(500));
        store(fleet, keys::roster, "[]");
        fleet.addWorker("a");
        fleet.owner->workerReported(fleet.workers.begin()->second.report);
        fleet.run(Duration(2000));
        CPPUNIT_ASSERT(fleet.ownershipLost);
        CPPUNIT_ASSERT_EQUAL(std::string("[]"), fleet.store.at(keys::roster).first);
    }

    // Guards the tests above: a write without an answer that is carried out late causes the same conflict.
    void aLateWriteOfThisOwnerEndsItsOwnership()
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        fleet.takeOver();
        fleet.run(Duration(500));
        fleet.storeWriteDelay = Duration(1900);
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(100));
        fleet.storeWriteDelay = Duration(0);
        fleet.run(Duration(10'000));
        CPPUNIT_ASSERT(!fleet.ownershipLost);
        CPPUNIT_ASSERT(fleet.savedState("j") == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FinishedJobsTest);
