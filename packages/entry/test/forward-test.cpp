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
    CPPUNIT_TEST(aSubmissionOfUnknownOutcomeIsNotRefused);
    CPPUNIT_TEST(aCancelOfUnknownOutcomeIsNotRefused);
    CPPUNIT_TEST(aCallThatAnotherHostMayHaveCarriedOutIsNotRefused);
    CPPUNIT_TEST(aRetriedCancelThatHasTakenEffectIsNotRefused);
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

    static bool isRefusal(CallOutcome outcome)
    {
        return outcome != CallOutcome::Accepted && outcome != CallOutcome::Cancelled
            && outcome != CallOutcome::Undecided;
    }

    static bool hasTakenEffect(const FakeStore& store, CallKind kind)
    {
        const auto key = fleet::keys::job(JobId("a"));
        if (!store.contains(key))
            return false;
        return kind == CallKind::Submit || fleet::decodeJob(JobId("a"), store.value(key))->cancelled;
    }

    struct UnansweredWrite {
        std::optional<Duration> delay; ///< Empty if the write is never carried out.
        bool readsReturn = false; ///< When the call is forwarded; until then, reads get no answer.
        bool keyRevoked = false; ///< After the write was sent; the host does not learn of it by its watch.
    };

    struct Result {
        CallOutcome outcome;
        bool tookEffect;
    };

    // The outcome of a call whose write gets no answer, and which another host then answers with `peer`.
    Result afterUnansweredWrite(CallKind kind, const UnansweredWrite& write, CallOutcome peer)
    {
        FakeTime time;
        FakeStore store { time };
        store.put(FakeHost::configKey, "1 key");
        HostPair hosts(time, store);
        auto& host = hosts.isolated;
        if (kind == CallKind::Cancel)
            CPPUNIT_ASSERT(host.call(CallKind::Submit, "a", "key")->outcome == CallOutcome::Accepted);
        host.watchesUnreachable = true;
        time.run(Duration(1000));
        host.writesUnanswered = true;
        host.writeDelay = write.delay;
        host.forwardAnswers = [&] {
            host.readsUnreachable = !write.readsReturn;
            return ForwardResult { true, CallerAnswer { peer } };
        };
        const Duration sent { 3 * FakeStore::latency }; // A cancel reads the job before it writes.
        time.after(sent, [&] { host.readsUnreachable = true; });
        if (write.keyRevoked)
            time.after(2 * sent, [&] { store.put(FakeHost::configKey, "2 other"); });
        const auto answer = host.call(kind, "a", "key");
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT(!host.forwards.empty());
        time.run(Duration(3000));
        return { answer->outcome, hasTakenEffect(store, kind) };
    }

    void anUnknownOutcomeIsNotRefused(CallKind kind)
    {
        const auto done = kind == CallKind::Submit ? CallOutcome::Accepted : CallOutcome::Cancelled;
        for (const auto peer : { CallOutcome::UnknownKey, CallOutcome::NoSuchRoute, CallOutcome::Malformed,
                 CallOutcome::NoSuchJob, CallOutcome::NotAccepted, CallOutcome::Unavailable,
                 CallOutcome::Undecided }) {
            for (const std::optional<Duration> delay :
                { std::optional(Duration(0)), std::optional(Duration(3500)), std::optional<Duration>() }) {
                for (const auto readsReturn : { false, true }) {
                    for (const auto keyRevoked : { false, true }) {
                        const auto got = afterUnansweredWrite(kind, { delay, readsReturn, keyRevoked }, peer);
                        const auto what = std::string(nameOf(kind)) + ", another host answers " + nameOf(peer)
                            + (delay ? ", write after " + std::to_string(delay->count()) : ", no write")
                            + (readsReturn ? ", reads return" : "") + (keyRevoked ? ", key revoked" : "")
                            + ": " + nameOf(got.outcome);
                        CPPUNIT_ASSERT_MESSAGE(what, !isRefusal(got.outcome) || !got.tookEffect);
                        CPPUNIT_ASSERT_MESSAGE(what, got.outcome != done || got.tookEffect);
                        CPPUNIT_ASSERT_MESSAGE(what, readsReturn || got.outcome == CallOutcome::Undecided);
                        const auto decided = peer != CallOutcome::NotAccepted
                            && peer != CallOutcome::Unavailable && peer != CallOutcome::Undecided;
                        if (!readsReturn || !decided)
                            continue;
                        if (delay == Duration(0))
                            CPPUNIT_ASSERT_MESSAGE(what, got.outcome == done);
                        else if (keyRevoked) // The write's condition no longer holds.
                            CPPUNIT_ASSERT_MESSAGE(what, got.outcome == peer);
                        else
                            CPPUNIT_ASSERT_MESSAGE(what, got.outcome == CallOutcome::Undecided);
                    }
                }
            }
        }
    }

    void aSubmissionOfUnknownOutcomeIsNotRefused() { anUnknownOutcomeIsNotRefused(CallKind::Submit); }

    void aCancelOfUnknownOutcomeIsNotRefused() { anUnknownOutcomeIsNotRefused(CallKind::Cancel); }

    void aCallThatAnotherHostMayHaveCarriedOutIsNotRefused()
    {
        m_store.put(FakeHost::configKey, "1 key");
        HostPair hosts(m_time, m_store);
        FakeHost third(m_time, m_store, "h3");
        m_time.run(Duration(6000));
        auto& host = hosts.isolated;
        host.storeUnreachable = host.watchesUnreachable = true;
        m_time.run(staleAfter);
        for (const auto kind : { CallKind::Submit, CallKind::Cancel }) {
            host.forwards.clear();
            host.forwardAnswers = [&] {
                if (host.forwards.size() == 1)
                    return ForwardResult { true, {} };
                return ForwardResult { true, CallerAnswer { CallOutcome::UnknownKey } };
            };
            CPPUNIT_ASSERT(host.call(kind, "a", "key")->outcome == CallOutcome::Undecided);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), host.forwards.size());
        }
    }

    // The first write is carried out between the read and the write of the retry, and the key is revoked
    // then.
    void aRetriedCancelThatHasTakenEffectIsNotRefused()
    {
        constexpr Duration writeTimeout { 1200 };
        m_store.put(FakeHost::configKey, "1 key");
        FakeHost host(m_time, m_store);
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT(host.call(CallKind::Submit, "a", "key")->outcome == CallOutcome::Accepted);
        host.writesUnanswered = true;
        host.writeDelay = writeTimeout + FakeStore::latency + Duration(2);
        m_time.after(writeTimeout, [&] { host.writesUnanswered = false; });
        const auto retried = 2 * FakeStore::latency + writeTimeout + 2 * FakeStore::latency;
        m_time.after(
            retried + FakeStore::latency - Duration(1), [&] { m_store.put(FakeHost::configKey, "2 other"); });
        CPPUNIT_ASSERT(host.call(CallKind::Cancel, "a", "key")->outcome == CallOutcome::Cancelled);
        CPPUNIT_ASSERT(hasTakenEffect(m_store, CallKind::Cancel));
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
