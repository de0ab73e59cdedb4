// What an entry host tells callers and how it follows the store, without a network.
#include "fake-host.h"

using namespace jujubereach;
using namespace jujubereach::entry;

class EntryHostTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EntryHostTest);
    CPPUNIT_TEST(acceptsWhatIsStored);
    CPPUNIT_TEST(acceptsAfterTheConfigurationIsWrittenAgain);
    CPPUNIT_TEST(refusesARevokedKeyBeforeItsNewsArrives);
    CPPUNIT_TEST(saysOnlyWhatItKnowsOfAnUnansweredWrite);
    CPPUNIT_TEST(namesTheJobOfARequestThatItRefusesUnread);
    CPPUNIT_TEST(hostsClaimAtDifferentMoments);
    CPPUNIT_TEST(largeHostsClaimBeforeSmallOnes);
    CPPUNIT_TEST(readsOnAtOnceWhenNewsIsMany);
    CPPUNIT_TEST_SUITE_END();

    FakeTime m_time;
    FakeStore m_store { m_time };

    void acceptsWhatIsStored()
    {
        m_store.put(FakeHost::configKey, "1 key");
        FakeHost host(m_time, m_store);
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT(host.call(CallKind::Submit, "a", "key")->outcome == CallOutcome::Accepted);
        CPPUNIT_ASSERT(m_store.contains(fleet::keys::job(JobId("a"))));
        CPPUNIT_ASSERT(host.call(CallKind::Submit, "a", "key")->outcome == CallOutcome::Accepted);
        CPPUNIT_ASSERT(host.call(CallKind::Submit, "b", "other")->outcome == CallOutcome::UnknownKey);
        CPPUNIT_ASSERT(!m_store.contains(fleet::keys::job(JobId("b"))));
        CPPUNIT_ASSERT_EQUAL(1.0, host.requests["w accepted stored before"]);
        CPPUNIT_ASSERT_EQUAL(1.0, host.requests[" unknown-key no workspace has this key"]);
    }

    void acceptsAfterTheConfigurationIsWrittenAgain()
    {
        m_store.put(FakeHost::configKey, "1 key");
        FakeHost host(m_time, m_store);
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT(host.call(CallKind::Submit, "a", "key")->outcome == CallOutcome::Accepted);
        m_store.put(FakeHost::configKey, "1 key");
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT(host.call(CallKind::Submit, "b", "key")->outcome == CallOutcome::Accepted);
        CPPUNIT_ASSERT(host.call(CallKind::Cancel, "b", "key")->outcome == CallOutcome::Cancelled);
    }

    void refusesARevokedKeyBeforeItsNewsArrives()
    {
        m_store.put(FakeHost::configKey, "1 key");
        FakeHost host(m_time, m_store);
        m_time.run(Duration(1000));
        m_store.put(FakeHost::configKey, "2 other"); // No time passes before the request.
        CPPUNIT_ASSERT(host.call(CallKind::Submit, "a", "key")->outcome == CallOutcome::UnknownKey);
        CPPUNIT_ASSERT(!m_store.contains(fleet::keys::job(JobId("a"))));
    }

    void saysOnlyWhatItKnowsOfAnUnansweredWrite()
    {
        m_store.put(FakeHost::configKey, "1 key");
        FakeHost host(m_time, m_store);
        m_time.run(Duration(1000));
        m_store.answersLost = true;
        CPPUNIT_ASSERT(host.call(CallKind::Submit, "a", "key")->outcome == CallOutcome::Undecided);
        m_store.answersLost = false;
        m_store.writesRefused = true;
        CPPUNIT_ASSERT(host.call(CallKind::Submit, "b", "key")->outcome == CallOutcome::NotAccepted);
    }

    void namesTheJobOfARequestThatItRefusesUnread()
    {
        FakeHost host(m_time, m_store); // There is no configuration yet.
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT(host.call(CallKind::Submit, "5c0e", "key")->outcome == CallOutcome::Unavailable);
        CPPUNIT_ASSERT(host.log.back().starts_with("call {\"id\":\"5c0e\""));
    }

    // Claims at the same moment would leave all but one of many hosts without their calls' worth.
    void hostsClaimAtDifferentMoments()
    {
        m_store.put(FakeHost::configKey, "1 key");
        std::set<Duration> delays;
        for (const auto* name : { "h1", "h2", "h3", "h4", "h5" }) {
            FakeHost host(m_time, m_store, name);
            m_time.run(2 * FakeStore::latency);
            CPPUNIT_ASSERT(!host.delays.empty());
            delays.insert(host.delays.front());
        }
        CPPUNIT_ASSERT(delays.size() > 2);
    }

    // The load: 350 workers and 15 jobs a second, on hosts of which most have an eighth of a core.
    void largeHostsClaimBeforeSmallOnes()
    {
        m_store.put(FakeHost::configKey, "1 key");
        std::vector<std::unique_ptr<FakeHost>> hosts;
        constexpr int small = 24;
        hosts.reserve(small + 1);
        for (int i = 0; i < small; ++i)
            hosts.push_back(std::make_unique<FakeHost>(m_time, m_store, "small-" + std::to_string(i), 0.12));
        hosts.push_back(std::make_unique<FakeHost>(m_time, m_store, "large", 0.5));
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT(hosts.back()->host->ownsFleet());
    }

    void readsOnAtOnceWhenNewsIsMany()
    {
        constexpr int many = 1000;
        m_store.put(FakeHost::configKey, "1 key");
        FakeHost host(m_time, m_store);
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT(host.host->ownsFleet());
        const auto before = m_store.watches["workers/"];
        for (int i = 0; i < many; ++i)
            m_store.put("workers/" + std::to_string(i), "up");
        m_time.run(Duration(50));
        CPPUNIT_ASSERT(m_store.watches["workers/"] > before);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryHostTest);
