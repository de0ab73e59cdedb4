// Guards against tasks that run twice because an owner used updates from the store after its lease may have
// ended: a successor assumes that its predecessor does not know them.
#include "fake-fleet.h"

using namespace jujubereach;
using namespace jujubereach::fleet;

class HeldUpdatesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HeldUpdatesTest);
    CPPUNIT_TEST(aJobReceivedAfterTheLeaseStarts);
    CPPUNIT_TEST(aWorkerEntryReceivedAfterTheLeaseIsUsed);
    CPPUNIT_TEST(aRecoveryThatEndsAfterTheLeaseStartsJobs);
    CPPUNIT_TEST(aRenewalSentBeforeTheUpdateReleasesIt);
    CPPUNIT_TEST(aHeldCancelIsLost);
    CPPUNIT_TEST(anEarlierEntryReplacesADrain);
    CPPUNIT_TEST(aSupersededOwnerAppliesHeldUpdates);
    CPPUNIT_TEST(unconfirmedUpdatesFillTheMemory);
    CPPUNIT_TEST(anOwnerStopsWorkingOnKnownJobs);
    CPPUNIT_TEST(aJobAcceptedAfterATakeoverFromAnEarlierBuildStartsAtOnce);
    CPPUNIT_TEST(aJobAcceptedAfterATakeoverWaitsForASilentWorker);
    CPPUNIT_TEST_SUITE_END();

    FakeFleet m_fleet;

    // From now on renewals are not answered. Returns after the lease has ended.
    void outliveLease()
    {
        m_fleet.confirmsOwnership = false;
        m_fleet.run(m_fleet.settings.ownerLease + Duration(50));
    }

    void startOwner()
    {
        m_fleet.takeOver();
        m_fleet.run(Duration(500));
    }

    bool hasLogged(const std::string& event) const
    {
        return std::any_of(m_fleet.log.begin(), m_fleet.log.end(),
            [&](const std::string& line) { return line.starts_with(event + ' '); });
    }

    void aJobReceivedAfterTheLeaseStarts()
    {
        m_fleet.addWorker("a");
        startOwner();
        outliveLease();
        m_fleet.submit(FakeFleet::job("j", 1));
        m_fleet.run(Duration(3000)); // The owner may still order workers.
        CPPUNIT_ASSERT_EQUAL(0, m_fleet.observed.startCalls);
        m_fleet.confirmsOwnership = true;
        m_fleet.run(Duration(3000));
        CPPUNIT_ASSERT(m_fleet.savedState("j") == JobState::Completed);
    }

    // The successor may have fenced the former incarnation, but not this one.
    void aWorkerEntryReceivedAfterTheLeaseIsUsed()
    {
        m_fleet.addWorker("a");
        startOwner();
        m_fleet.submit(FakeFleet::job("j", 2, { 64'000, 1000, 8 }));
        m_fleet.workTime = [](const TaskId&) { return Duration(20'000); };
        m_fleet.run(Duration(300));
        CPPUNIT_ASSERT_EQUAL(1, m_fleet.observed.startCalls);
        outliveLease();
        m_fleet.restartWorker("a");
        m_fleet.owner->workerReported(m_fleet.workers.at(WorkerId("a")).report);
        m_fleet.run(Duration(3000));
        CPPUNIT_ASSERT_EQUAL(1, m_fleet.observed.startCalls);
        m_fleet.confirmsOwnership = true;
        m_fleet.run(Duration(3000));
        CPPUNIT_ASSERT(m_fleet.observed.startCalls > 1);
    }

    void aRecoveryThatEndsAfterTheLeaseStartsJobs()
    {
        m_fleet.addWorker("a");
        startOwner();
        m_fleet.submit(FakeFleet::job("j", 1, { 64'000, 1000, 8 }));
        m_fleet.submit(FakeFleet::job("k", 1, { 64'000, 1000, 8 }));
        m_fleet.run(Duration(300));
        m_fleet.confirmsOwnership = false;
        m_fleet.recoveryDelay = m_fleet.settings.ownerLease + Duration(50);
        m_fleet.takeOver();
        m_fleet.run(Duration(4000));
        CPPUNIT_ASSERT_EQUAL(1, m_fleet.observed.startCalls);
        m_fleet.confirmsOwnership = true;
        m_fleet.run(Duration(10));
        m_fleet.run(Duration(6000));
        CPPUNIT_ASSERT(m_fleet.savedState("k") == JobState::Completed);
    }

    // Its answer comes late: the lease may have ended between the renewal and the update.
    void aRenewalSentBeforeTheUpdateReleasesIt()
    {
        m_fleet.addWorker("a");
        startOwner();
        outliveLease();
        const auto sentAt = m_fleet.now();
        m_fleet.run(m_fleet.settings.ownerLease);
        m_fleet.submit(FakeFleet::job("j", 1));
        m_fleet.owner->confirmOwnership(sentAt);
        m_fleet.run(Duration(1000));
        CPPUNIT_ASSERT_EQUAL(0, m_fleet.observed.startCalls);
        m_fleet.owner->confirmOwnership(sentAt + Duration(100));
        m_fleet.run(Duration(1000));
        CPPUNIT_ASSERT_EQUAL(1, m_fleet.observed.startCalls);
    }

    void aHeldCancelIsLost()
    {
        m_fleet.addWorker("a");
        startOwner();
        outliveLease();
        m_fleet.submit(FakeFleet::job("j", 1));
        m_fleet.cancel("j");
        m_fleet.run(Duration(500));
        m_fleet.confirmsOwnership = true;
        m_fleet.run(Duration(3000));
        CPPUNIT_ASSERT_EQUAL(0, m_fleet.observed.startCalls);
        CPPUNIT_ASSERT(m_fleet.savedState("j") == JobState::Cancelled);
    }

    void anEarlierEntryReplacesADrain()
    {
        auto& worker = m_fleet.addWorker("a");
        startOwner();
        outliveLease();
        m_fleet.owner->workerReported(worker.report);
        m_fleet.run(Duration(2 * m_fleet.settings.ownerLease));
        worker.report.draining = true;
        m_fleet.owner->workerReported(worker.report);
        m_fleet.submit(FakeFleet::job("j", 1));
        m_fleet.confirmsOwnership = true;
        m_fleet.run(Duration(3000));
        CPPUNIT_ASSERT_EQUAL(0, m_fleet.observed.startCalls);
    }

    void aSupersededOwnerAppliesHeldUpdates()
    {
        auto& worker = m_fleet.addWorker("a");
        m_fleet.addWorker("b");
        startOwner();
        m_fleet.submit(FakeFleet::job("j", 4, { 64'000, 1000, 8 }));
        m_fleet.run(Duration(300));
        outliveLease();
        m_fleet.submit(FakeFleet::job("k", 1));
        worker.fence = { m_fleet.fence.value + 1 };
        m_fleet.run(Duration(2500)); // A poll is refused.
        CPPUNIT_ASSERT(m_fleet.ownershipLost);
        m_fleet.confirmsOwnership = true;
        m_fleet.run(Duration(1000));
        CPPUNIT_ASSERT_EQUAL(0, m_fleet.observed.starts[(TaskId { JobId("k"), 0, 0, 0 })]);
    }

    void unconfirmedUpdatesFillTheMemory()
    {
        m_fleet.addWorker("a");
        startOwner();
        outliveLease();
        for (int i = 0; i < 20'000; ++i)
            m_fleet.owner->jobsReported({ 1 });
        CPPUNIT_ASSERT(m_fleet.ownershipLost);
        CPPUNIT_ASSERT(hasLogged("ownership-given-up"));
    }

    // "a" does not answer the successor. Returns the starts of a job that is accepted after the takeover.
    int startsBesideASilentWorker(bool earlierBuild)
    {
        auto& silent = m_fleet.addWorker("a");
        m_fleet.addWorker("b");
        startOwner();
        silent.reachable = false;
        m_fleet.takeOver();
        if (earlierBuild)
            m_fleet.owner->expectUnheldUpdates();
        m_fleet.submit(FakeFleet::job("j", 1));
        m_fleet.run(Duration(1000));
        const auto starts = m_fleet.observed.startCalls;
        m_fleet.run(Duration(20'000));
        CPPUNIT_ASSERT(m_fleet.savedState("j") == JobState::Completed);
        return starts;
    }

    void aJobAcceptedAfterATakeoverFromAnEarlierBuildStartsAtOnce()
    {
        CPPUNIT_ASSERT_EQUAL(0, startsBesideASilentWorker(true));
    }

    // Guards the fix: with a former owner of this build there is no reason to wait.
    void aJobAcceptedAfterATakeoverWaitsForASilentWorker()
    {
        CPPUNIT_ASSERT_EQUAL(1, startsBesideASilentWorker(false));
    }

    // Guards the fix: an outage of the store stops neither the start of known tasks nor their leases.
    void anOwnerStopsWorkingOnKnownJobs()
    {
        m_fleet.addWorker("a");
        startOwner();
        m_fleet.submit(FakeFleet::job("j", 2, { 64'000, 1000, 8 }));
        m_fleet.run(Duration(300));
        outliveLease();
        m_fleet.run(Duration(2000));
        CPPUNIT_ASSERT_EQUAL(1, m_fleet.observed.starts[(TaskId { JobId("j"), 0, 0, 1 })]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldUpdatesTest);
