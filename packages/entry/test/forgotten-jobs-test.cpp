// Jobs that an owner has finished and dropped from memory while their records stay in the store.
#include "fake-host.h"

using namespace jujubereach;
using namespace jujubereach::entry;
using fleet::JobState;

class ForgottenJobsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ForgottenJobsTest);
    CPPUNIT_TEST(aLostHistoryStartsFinishedJobsAgain);
    CPPUNIT_TEST(aCancelStartsOrReplacesAFinishedJob);
    CPPUNIT_TEST(aLostHistoryHidesNewJobs);
    CPPUNIT_TEST(aHistoryLostDuringRecoveryLosesProgress);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration untilForgotten {
        160'000
    }; // Exceeds 1.25 times the retention of finished jobs.

    FakeTime m_time;
    FakeStore m_store { m_time };

    void addJob(const std::string& id, std::optional<JobState> state)
    {
        fleet::JobRecord record;
        record.id = JobId(id);
        record.route = RouteId("queue");
        record.workspace = WorkspaceId("w");
        record.spec.steps.emplace_back();
        record.spec.steps[0].count = 1;
        m_store.put(fleet::keys::job(record.id), fleet::encode(record));
        if (!state)
            return;
        fleet::ProgressRecord progress;
        progress.state = *state;
        m_store.put(fleet::keys::progress(record.id), fleet::encode(progress));
    }

    JobState stateOf(const std::string& id) const
    {
        return fleet::decodeProgress(m_store.value(fleet::keys::progress(JobId(id))))->state;
    }

    std::unique_ptr<FakeHost> startHost()
    {
        m_store.put(FakeHost::configKey, "1 key");
        m_store.put("workers/a", "ready");
        auto host = std::make_unique<FakeHost>(m_time, m_store);
        host->workersAnswer = true;
        return host;
    }

    // After 410 the owner reads all records again, including those of jobs it has forgotten.
    void aLostHistoryStartsFinishedJobsAgain()
    {
        addJob("a", JobState::Completed);
        const auto host = startHost();
        m_time.run(untilForgotten);
        m_store.put("job/b", "unreadable");
        m_store.dropHistory();
        m_time.run(Duration(5000));
        CPPUNIT_ASSERT(host->started.empty());
        CPPUNIT_ASSERT(stateOf("a") == JobState::Completed);
    }

    void aCancelStartsOrReplacesAFinishedJob()
    {
        addJob("a", JobState::Completed);
        const auto host = startHost();
        m_time.run(untilForgotten);
        CPPUNIT_ASSERT(host->call(CallKind::Cancel, "a", "key")->outcome == CallOutcome::Cancelled);
        m_time.run(Duration(5000));
        CPPUNIT_ASSERT(host->started.empty());
        CPPUNIT_ASSERT(stateOf("a") == JobState::Completed);
        CPPUNIT_ASSERT(host->call(CallKind::Query, "a", "key")->state == JobState::Completed);
    }

    // Guards the tests above: jobs that are accepted around the loss of the history still start.
    void aLostHistoryHidesNewJobs()
    {
        const auto host = startHost();
        m_time.run(untilForgotten);
        addJob("a", std::nullopt);
        m_store.dropHistory();
        addJob("b", std::nullopt);
        m_time.run(Duration(5000));
        CPPUNIT_ASSERT(host->started == (std::vector<std::string> { "a", "b" }));
    }

    // The list of workers stays unread while the history is lost, so that the jobs are read twice.
    void aHistoryLostDuringRecoveryLosesProgress()
    {
        addJob("a", JobState::Completed);
        addJob("b", JobState::Running);
        const auto host = startHost();
        host->unreadablePrefix = "workers/";
        m_time.run(Duration(3000));
        m_store.put("job/c", "unreadable");
        m_store.dropHistory();
        m_time.run(Duration(3000));
        CPPUNIT_ASSERT(m_store.ranges["job/"] > 1);
        host->unreadablePrefix.clear();
        m_time.run(Duration(5000));
        CPPUNIT_ASSERT(host->started == std::vector<std::string> { "b" });
        CPPUNIT_ASSERT(stateOf("a") == JobState::Completed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForgottenJobsTest);
