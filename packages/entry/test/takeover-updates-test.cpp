// Guards against a job that is accepted after a takeover and started by the former owner too, whose open
// watch still reports it (review/6).
#include "fake-host.h"

using namespace jujubereach;
using namespace jujubereach::entry;

class TakeoverUpdatesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TakeoverUpdatesTest);
    CPPUNIT_TEST(aJobAcceptedAfterATakeoverRunsTwice);
    CPPUNIT_TEST(aWatchReportsJobsOfAnUnconfirmedOwner);
    CPPUNIT_TEST(aListingReportsJobsOfAnUnconfirmedOwner);
    CPPUNIT_TEST(aSuccessorTrustsAnEarlierBuild);
    CPPUNIT_TEST_SUITE_END();

    FakeTime m_time;
    FakeStore m_store { m_time };

    static std::string jobValue(const std::string& id)
    {
        fleet::JobRecord record;
        record.id = JobId(id);
        record.route = RouteId("queue");
        record.workspace = WorkspaceId("w");
        record.spec.steps.emplace_back();
        record.spec.steps[0].count = 1;
        return fleet::encode(record);
    }

    void addJob(const std::string& id) { m_store.put(fleet::keys::job(JobId(id)), jobValue(id)); }

    std::unique_ptr<FakeHost> startOwner()
    {
        m_store.put(FakeHost::configKey, "1 key");
        m_store.put("workers/a", "ready");
        auto host = std::make_unique<FakeHost>(m_time, m_store);
        host->workersAnswer = true;
        m_time.run(Duration(2000));
        CPPUNIT_ASSERT(host->host->ownsFleet());
        return host;
    }

    void aJobAcceptedAfterATakeoverRunsTwice()
    {
        const auto former = startOwner();
        FakeHost successor(m_time, m_store, "h2");
        successor.workersAnswer = true;
        m_time.run(Duration(1000));
        const auto watches = m_store.watches["job/"];
        while (m_store.watches["job/"] == watches)
            m_time.run(Duration(10));
        former->storeUnreachable = former->renewalsUnreachable = true;
        m_store.put("news/other", ""); // Ends the former owner's watch of the owner's key.
        m_time.run(Duration(1050));
        m_store.remove(fleet::keys::owner); // Its lease expires.
        m_time.run(Duration(200));
        CPPUNIT_ASSERT(successor.host->ownsFleet());
        addJob("j");
        m_time.run(Duration(3000));
        CPPUNIT_ASSERT(successor.started == std::vector<std::string> { "j" });
        CPPUNIT_ASSERT(former->started.empty());
    }

    // The owner's lease is not renewed, but nobody takes over: the job starts once it is.
    void aWatchReportsJobsOfAnUnconfirmedOwner()
    {
        const auto host = startOwner();
        host->renewalsUnreachable = true;
        m_time.run(Duration(1300));
        addJob("j");
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT(host->started.empty());
        host->renewalsUnreachable = false;
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT(host->started == std::vector<std::string> { "j" });
    }

    void aListingReportsJobsOfAnUnconfirmedOwner()
    {
        const auto host = startOwner();
        host->renewalsUnreachable = true;
        m_time.run(Duration(1300));
        addJob("j");
        m_store.dropHistory();
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT(m_store.ranges["job/"] > 1);
        CPPUNIT_ASSERT(host->started.empty());
        host->renewalsUnreachable = false;
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT(host->started == std::vector<std::string> { "j" });
    }

    // The owner's key of an earlier build ends with a time. One of its workers does not answer.
    void aSuccessorTrustsAnEarlierBuild()
    {
        for (const auto earlierBuild : { true, false }) {
            FakeTime time;
            FakeStore store(time);
            store.put(FakeHost::configKey, "1 key");
            store.put("workers/a", "ready");
            store.put(fleet::keys::roster, R"([["a","10.0.0.1:1"],["silent","10.0.0.2:1"]])");
            store.put(fleet::keys::owner, earlierBuild ? "h0 h0:1 17" : "h0 h0:1 17 holds-updates");
            FakeHost host(time, store);
            host.workersAnswer = true;
            host.silentWorker = "silent";
            time.run(Duration(1000));
            store.remove(fleet::keys::owner);
            time.run(Duration(500));
            CPPUNIT_ASSERT(host.host->ownsFleet());
            store.put(fleet::keys::job(JobId("j")), jobValue("j"));
            time.run(Duration(1000));
            CPPUNIT_ASSERT_EQUAL(std::size_t(earlierBuild ? 0 : 1), host.started.size());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverUpdatesTest);
