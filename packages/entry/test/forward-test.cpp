// Calls that a host cannot decide itself: it reads the store again, then forwards them to another host.
#include "fake-host.h"

using namespace jujubereach;
using namespace jujubereach::entry;

class ForwardTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ForwardTest);
    CPPUNIT_TEST(forwardsCallsWhileTheStoreIsUnreachable);
    CPPUNIT_TEST(prefersThePeerThatAnsweredLast);
    CPPUNIT_TEST(aHostWithAnOlderConfigurationDecidesNothing);
    CPPUNIT_TEST(anUnansweredSubmissionIsUndecided);
    CPPUNIT_TEST(anUnansweredCancelIsUndecided);
    CPPUNIT_TEST(limitsForwardsDuringAStoreOutage);
    CPPUNIT_TEST(readsAStaleConfigurationInsteadOfForwarding);
    CPPUNIT_TEST(refusesAtOnceWithoutPeers);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration staleAfter {
        4000
    }; // Above the age at which a host's configuration counts as stale.

    FakeTime m_time;
    FakeStore m_store { m_time };

    struct HostPair {
        FakeHost isolated;
        FakeHost other;

        HostPair(FakeTime& time, FakeStore& store)
            : isolated(time, store, "h1")
            , other(time, store, "h2")
        {
            isolated.peers["h2:1"] = &other;
            time.run(Duration(3000)); // Both are registered and have read the list of hosts.
        }
    };

    void forwardsCallsWhileTheStoreIsUnreachable()
    {
        m_store.put(FakeHost::configKey, "1 key");
        HostPair hosts(m_time, m_store);
        hosts.isolated.storeUnreachable = hosts.isolated.watchesUnreachable = true;
        m_time.run(staleAfter);
        CPPUNIT_ASSERT(hosts.isolated.call(CallKind::Submit, "a", "key")->outcome == CallOutcome::Accepted);
        CPPUNIT_ASSERT(m_store.contains(fleet::keys::job(JobId("a"))));
        CPPUNIT_ASSERT(hosts.isolated.call(CallKind::Query, "a", "key")->outcome == CallOutcome::State);
        CPPUNIT_ASSERT(hosts.isolated.call(CallKind::Cancel, "a", "key")->outcome == CallOutcome::Cancelled);
        CPPUNIT_ASSERT(hosts.isolated.call(CallKind::Query, "b", "key")->outcome == CallOutcome::NoSuchJob);
        CPPUNIT_ASSERT(
            hosts.isolated.call(CallKind::Submit, "c", "other")->outcome == CallOutcome::UnknownKey);
    }

    void prefersThePeerThatAnsweredLast()
    {
        m_store.put(FakeHost::configKey, "1 key");
        HostPair hosts(m_time, m_store);
        FakeHost gone(m_time, m_store, "h0");
        m_time.run(Duration(6000));
        hosts.isolated.storeUnreachable = hosts.isolated.watchesUnreachable = true;
        m_time.run(staleAfter);
        hosts.isolated.call(CallKind::Submit, "a", "key");
        hosts.isolated.call(CallKind::Submit, "b", "key");
        hosts.isolated.forwards.clear();
        hosts.isolated.call(CallKind::Query, "a", "key");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), hosts.isolated.forwards.size());
        CPPUNIT_ASSERT_EQUAL(std::string("h2:1"), hosts.isolated.forwards.front());
    }

    void aHostWithAnOlderConfigurationDecidesNothing()
    {
        m_store.put(FakeHost::configKey, "1 key");
        HostPair hosts(m_time, m_store);
        hosts.other.watchesUnreachable = true;
        m_time.run(Duration(2000)); // Lets the watch in progress end.
        m_store.put(FakeHost::configKey, "2 key");
        std::optional<CallerAnswer> answer;
        hosts.other.forwarded(FakeHost::requestOf(CallKind::Query, "a", "key"), 2,
            [&](const ForwardResult& result) { answer = result.answer; });
        m_time.run(Duration(100));
        CPPUNIT_ASSERT(answer && answer->outcome == CallOutcome::Unavailable);
        hosts.other.forwarded(FakeHost::requestOf(CallKind::Query, "a", "key"), 1,
            [&](const ForwardResult& result) { answer = result.answer; });
        m_time.run(Duration(100));
        CPPUNIT_ASSERT(answer->outcome == CallOutcome::NoSuchJob);
    }

    CallOutcome outcomeWithASilentPeer(CallKind kind)
    {
        m_store.put(FakeHost::configKey, "1 key");
        HostPair hosts(m_time, m_store);
        hosts.isolated.peers["h2:1"] = nullptr;
        hosts.isolated.storeUnreachable = hosts.isolated.watchesUnreachable = true;
        m_time.run(staleAfter);
        return hosts.isolated.call(kind, "a", "key")->outcome;
    }

    void anUnansweredSubmissionIsUndecided()
    {
        CPPUNIT_ASSERT(outcomeWithASilentPeer(CallKind::Submit) == CallOutcome::Undecided);
    }

    void anUnansweredCancelIsUndecided()
    {
        CPPUNIT_ASSERT(outcomeWithASilentPeer(CallKind::Cancel) == CallOutcome::Undecided);
    }

    void limitsForwardsDuringAStoreOutage()
    {
        m_store.put(FakeHost::configKey, "1 key");
        HostPair hosts(m_time, m_store);
        for (auto* host : { &hosts.isolated, &hosts.other })
            host->storeUnreachable = host->watchesUnreachable = true;
        m_time.run(staleAfter);
        for (int i = 0; i < 10; ++i) {
            const auto sentAt = m_time.now();
            CPPUNIT_ASSERT(hosts.isolated.call(CallKind::Submit, "a", "key", Duration(1000))->outcome
                == CallOutcome::Unavailable);
            CPPUNIT_ASSERT(hosts.isolated.answeredAt - sentAt < Duration(1000));
        }
        CPPUNIT_ASSERT(hosts.isolated.forwards.size() <= 10);
    }

    void readsAStaleConfigurationInsteadOfForwarding()
    {
        m_store.put(FakeHost::configKey, "1 key");
        FakeHost host(m_time, m_store);
        m_time.run(Duration(1000));
        host.watchesUnreachable = true;
        m_time.run(staleAfter);
        CPPUNIT_ASSERT(host.call(CallKind::Submit, "a", "key")->outcome == CallOutcome::Accepted);
        CPPUNIT_ASSERT(host.forwards.empty());
    }

    void refusesAtOnceWithoutPeers()
    {
        m_store.put(FakeHost::configKey, "1 key");
        FakeHost host(m_time, m_store);
        m_time.run(Duration(1000));
        host.storeUnreachable = host.watchesUnreachable = true;
        m_time.run(staleAfter);
        const auto sentAt = m_time.now();
        CPPUNIT_ASSERT(host.call(CallKind::Submit, "a", "key")->outcome == CallOutcome::Unavailable);
        CPPUNIT_ASSERT(host.answeredAt - sentAt < Duration(500));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardTest);
