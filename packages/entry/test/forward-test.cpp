// What a host does with calls that it cannot decide itself: it asks the store again, then another host.
#include "fake-host.h"

using namespace jujubereach;
using namespace jujubereach::entry;

class ForwardTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ForwardTest);
    CPPUNIT_TEST(aHostCutFromTheStoreAsksAnother);
    CPPUNIT_TEST(aCallGoesToTheHostThatServedTheLastOne);
    CPPUNIT_TEST(aHostWithAnOlderConfigurationDecidesNothing);
    CPPUNIT_TEST(anUnansweredSubmissionIsNeverSaidToBeNotAccepted);
    CPPUNIT_TEST(anUnansweredCancelIsNeverSaidToHaveDoneNothing);
    CPPUNIT_TEST(aStoreThatFailsForAllCostsFewTries);
    CPPUNIT_TEST(lateNewsCostsOneReadForAllCallsThatWait);
    CPPUNIT_TEST(aHostThatIsAloneRefusesAtOnce);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration untilStale {
        4000
    }; // Above the age up to which a host trusts its configuration.

    FakeTime m_time;
    FakeStore m_store { m_time };

    struct Pair {
        FakeHost cut;
        FakeHost other;

        Pair(FakeTime& time, FakeStore& store)
            : cut(time, store, "h1")
            , other(time, store, "h2")
        {
            cut.peers["h2:1"] = &other;
            time.run(Duration(3000)); // Both are listed and have read the list.
        }
    };

    void aHostCutFromTheStoreAsksAnother()
    {
        m_store.put(FakeHost::configKey, "1 key");
        Pair hosts(m_time, m_store);
        hosts.cut.isCut = hosts.cut.watchesCut = true;
        m_time.run(untilStale);
        CPPUNIT_ASSERT(hosts.cut.call(CallKind::Submit, "a", "key")->outcome == CallOutcome::Accepted);
        CPPUNIT_ASSERT(m_store.contains(fleet::keys::job(JobId("a"))));
        CPPUNIT_ASSERT(hosts.cut.call(CallKind::Query, "a", "key")->outcome == CallOutcome::State);
        CPPUNIT_ASSERT(hosts.cut.call(CallKind::Cancel, "a", "key")->outcome == CallOutcome::Cancelled);
        CPPUNIT_ASSERT(hosts.cut.call(CallKind::Query, "b", "key")->outcome == CallOutcome::NoSuchJob);
        CPPUNIT_ASSERT(hosts.cut.call(CallKind::Submit, "c", "other")->outcome == CallOutcome::UnknownKey);
    }

    void aCallGoesToTheHostThatServedTheLastOne()
    {
        m_store.put(FakeHost::configKey, "1 key");
        Pair hosts(m_time, m_store);
        FakeHost gone(m_time, m_store, "h0");
        m_time.run(Duration(6000));
        hosts.cut.isCut = hosts.cut.watchesCut = true;
        m_time.run(untilStale);
        hosts.cut.call(CallKind::Submit, "a", "key");
        hosts.cut.call(CallKind::Submit, "b", "key");
        hosts.cut.forwards.clear();
        hosts.cut.call(CallKind::Query, "a", "key");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), hosts.cut.forwards.size());
        CPPUNIT_ASSERT_EQUAL(std::string("h2:1"), hosts.cut.forwards.front());
    }

    void aHostWithAnOlderConfigurationDecidesNothing()
    {
        m_store.put(FakeHost::configKey, "1 key");
        Pair hosts(m_time, m_store);
        hosts.other.watchesCut = true;
        m_time.run(Duration(2000)); // A watch that waits already ends.
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

    CallOutcome outcomeAtAPeerThatNeverAnswers(CallKind kind)
    {
        m_store.put(FakeHost::configKey, "1 key");
        Pair hosts(m_time, m_store);
        hosts.cut.peers["h2:1"] = nullptr;
        hosts.cut.isCut = hosts.cut.watchesCut = true;
        m_time.run(untilStale);
        return hosts.cut.call(kind, "a", "key")->outcome;
    }

    void anUnansweredSubmissionIsNeverSaidToBeNotAccepted()
    {
        CPPUNIT_ASSERT(outcomeAtAPeerThatNeverAnswers(CallKind::Submit) == CallOutcome::Undecided);
    }

    void anUnansweredCancelIsNeverSaidToHaveDoneNothing()
    {
        CPPUNIT_ASSERT(outcomeAtAPeerThatNeverAnswers(CallKind::Cancel) == CallOutcome::Undecided);
    }

    void aStoreThatFailsForAllCostsFewTries()
    {
        m_store.put(FakeHost::configKey, "1 key");
        Pair hosts(m_time, m_store);
        for (auto* host : { &hosts.cut, &hosts.other })
            host->isCut = host->watchesCut = true;
        m_time.run(untilStale);
        for (int i = 0; i < 10; ++i) {
            const auto sentAt = m_time.now();
            CPPUNIT_ASSERT(hosts.cut.call(CallKind::Submit, "a", "key", Duration(1000))->outcome
                == CallOutcome::Unavailable);
            CPPUNIT_ASSERT(hosts.cut.answeredAt - sentAt < Duration(1000));
        }
        CPPUNIT_ASSERT(hosts.cut.forwards.size() <= 10);
    }

    void lateNewsCostsOneReadForAllCallsThatWait()
    {
        m_store.put(FakeHost::configKey, "1 key");
        FakeHost host(m_time, m_store);
        m_time.run(Duration(1000));
        host.watchesCut = true;
        m_time.run(untilStale);
        CPPUNIT_ASSERT(host.call(CallKind::Submit, "a", "key")->outcome == CallOutcome::Accepted);
        CPPUNIT_ASSERT(host.forwards.empty());
    }

    void aHostThatIsAloneRefusesAtOnce()
    {
        m_store.put(FakeHost::configKey, "1 key");
        FakeHost host(m_time, m_store);
        m_time.run(Duration(1000));
        host.isCut = host.watchesCut = true;
        m_time.run(untilStale);
        const auto sentAt = m_time.now();
        CPPUNIT_ASSERT(host.call(CallKind::Submit, "a", "key")->outcome == CallOutcome::Unavailable);
        CPPUNIT_ASSERT(host.answeredAt - sentAt < Duration(500));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardTest);
