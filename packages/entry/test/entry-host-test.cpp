// An entry host's answers to callers and its use of the store, without a network.
#include "fake-host.h"

#include <algorithm>

using namespace jujubereach;
using namespace jujubereach::entry;

class EntryHostTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EntryHostTest);
    CPPUNIT_TEST(acceptsStoredSubmissions);
    CPPUNIT_TEST(acceptsAfterAConfigurationRewrite);
    CPPUNIT_TEST(refusesARevokedKeyBeforeTheWatchReportsIt);
    CPPUNIT_TEST(refusesACancelWhoseKeyIsRevokedWhileTheJobIsRead);
    CPPUNIT_TEST(reportsAnUnansweredWriteAsUndecided);
    CPPUNIT_TEST(logsTheJobIdWhenThereIsNoConfiguration);
    CPPUNIT_TEST(claimsAreSpreadOverTime);
    CPPUNIT_TEST(largeHostsClaimBeforeSmallOnes);
    CPPUNIT_TEST(watchesWithoutPauseAfterManyEvents);
    CPPUNIT_TEST(aQueryWaitsForACompletionInProgress);
    CPPUNIT_TEST(aQueryOfARunningJobIsAnsweredWithinTheWait);
    CPPUNIT_TEST(aRestartedOwnerReleasesItsKey);
    CPPUNIT_TEST(theKeyOfAnotherHostIsNotReleased);
    CPPUNIT_TEST(aLostRenewalDoesNotDelayTheNextOnes);
    CPPUNIT_TEST(closedZonesReachTheOwner);
    CPPUNIT_TEST(aNewOwnerKnowsTheClosedZones);
    CPPUNIT_TEST(readsClosedZonesAgainWhenTheHistoryIsGone);
    CPPUNIT_TEST(oddEntriesDoNotStopTheHost);
    CPPUNIT_TEST(logsAnUnreadableEntryOnce);
    CPPUNIT_TEST_SUITE_END();

    FakeTime m_time;
    FakeStore m_store { m_time };

    void acceptsStoredSubmissions()
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

    void acceptsAfterAConfigurationRewrite()
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

    void refusesARevokedKeyBeforeTheWatchReportsIt()
    {
        m_store.put(FakeHost::configKey, "1 key");
        FakeHost host(m_time, m_store);
        m_time.run(Duration(1000));
        m_store.put(FakeHost::configKey, "2 other"); // Not yet reported by the watch.
        CPPUNIT_ASSERT(host.call(CallKind::Submit, "a", "key")->outcome == CallOutcome::UnknownKey);
        CPPUNIT_ASSERT(!m_store.contains(fleet::keys::job(JobId("a"))));
    }

    void refusesACancelWhoseKeyIsRevokedWhileTheJobIsRead()
    {
        m_store.put(FakeHost::configKey, "1 key");
        FakeHost host(m_time, m_store);
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT(host.call(CallKind::Submit, "a", "key")->outcome == CallOutcome::Accepted);
        host.readsUnreachable = true;
        m_time.after(Duration(100), [&] {
            m_store.put(FakeHost::configKey, "2 other");
            host.readsUnreachable = false;
        });
        CPPUNIT_ASSERT(host.call(CallKind::Cancel, "a", "key")->outcome == CallOutcome::UnknownKey);
        const auto& value = m_store.value(fleet::keys::job(JobId("a")));
        CPPUNIT_ASSERT(!fleet::decodeJob(JobId("a"), value)->cancelled);
    }

    void reportsAnUnansweredWriteAsUndecided()
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

    void logsTheJobIdWhenThereIsNoConfiguration()
    {
        FakeHost host(m_time, m_store); // There is no configuration yet.
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT(host.call(CallKind::Submit, "5c0e", "key")->outcome == CallOutcome::Unavailable);
        CPPUNIT_ASSERT(host.log.back().starts_with("call {\"id\":\"5c0e\""));
    }

    // With simultaneous claims, the store calls of all hosts but one would be wasted.
    void claimsAreSpreadOverTime()
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

    // Guards against a small host owning 350 workers with 15 jobs/s; most hosts have 1/8 of a core.
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

    void watchesWithoutPauseAfterManyEvents()
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

    static std::string progressIn(JobState state)
    {
        fleet::ProgressRecord progress;
        progress.state = state;
        return encode(progress);
    }

    // Callers query as the last task ends; its end is stored up to 200 ms later.
    void aQueryWaitsForACompletionInProgress()
    {
        m_store.put(FakeHost::configKey, "1 key");
        FakeHost host(m_time, m_store);
        m_time.run(Duration(1000));
        const auto key = fleet::keys::progress(JobId("a"));
        m_store.put(key, progressIn(JobState::Running));
        m_time.after(Duration(100), [&] { m_store.put(key, progressIn(JobState::Running)); });
        m_time.after(Duration(150), [&] { m_store.put(key, progressIn(JobState::Completed)); });
        const auto askedAt = m_time.now();
        const auto answer = host.call(CallKind::Query, "a", "key");
        CPPUNIT_ASSERT(answer->state == JobState::Completed);
        CPPUNIT_ASSERT(host.answeredAt - askedAt < Duration(200));
    }

    void aQueryOfARunningJobIsAnsweredWithinTheWait()
    {
        m_store.put(FakeHost::configKey, "1 key");
        FakeHost host(m_time, m_store);
        m_time.run(Duration(1000));
        m_store.put(fleet::keys::progress(JobId("a")), progressIn(JobState::Running));
        const auto askedAt = m_time.now();
        CPPUNIT_ASSERT(host.call(CallKind::Query, "a", "key")->state == JobState::Running);
        CPPUNIT_ASSERT(host.answeredAt - askedAt < Duration(300));
    }

    // Until the old lease expired, the fleet would have no owner; leases of the fake store never expire.
    void aRestartedOwnerReleasesItsKey()
    {
        m_store.put(FakeHost::configKey, "1 key");
        auto first = std::make_unique<FakeHost>(m_time, m_store);
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT(first->host->ownsFleet());
        first->host.reset();
        FakeHost other(m_time, m_store, "h2");
        FakeHost second(m_time, m_store);
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT(other.host->ownsFleet() || second.host->ownsFleet());
    }

    void theKeyOfAnotherHostIsNotReleased()
    {
        m_store.put(FakeHost::configKey, "1 key");
        FakeHost owner(m_time, m_store, "h1");
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT(owner.host->ownsFleet());
        FakeHost other(m_time, m_store, "h11");
        m_time.run(Duration(3000));
        CPPUNIT_ASSERT(owner.host->ownsFleet());
        CPPUNIT_ASSERT(!other.host->ownsFleet());
    }

    // At most two renewals may be lost before the owner's key expires.
    void aLostRenewalDoesNotDelayTheNextOnes()
    {
        m_store.put(FakeHost::configKey, "1 key");
        FakeHost host(m_time, m_store);
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT(host.host->ownsFleet());
        m_store.answersLost = true;
        const auto before = m_store.renewals;
        m_time.run(fleet::OwnerSettings {}.ownerLease);
        CPPUNIT_ASSERT(m_store.renewals - before >= 3);
    }

    static std::size_t closedZones(const FakeHost& host) { return host.host->ownerFigures().closedZones; }

    // The key alone closes the zone; its value may be unreadable.
    void closedZonesReachTheOwner()
    {
        m_store.put(FakeHost::configKey, "1 key");
        FakeHost owner(m_time, m_store);
        m_time.run(Duration(1000));
        m_store.put("closed/a", std::string("\xff\0{", 3));
        m_store.put("closed/b", {});
        m_time.run(Duration(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), closedZones(owner));
        m_store.put("closed/a", "again");
        m_store.put("closed/", {}); // Names no zone.
        m_store.remove("closed/b");
        m_time.run(Duration(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), closedZones(owner));
        m_store.remove("closed/a");
        m_store.remove("closed/never");
        m_time.run(Duration(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), closedZones(owner));
    }

    void aNewOwnerKnowsTheClosedZones()
    {
        m_store.put(FakeHost::configKey, "1 key");
        FakeHost first(m_time, m_store);
        m_time.run(Duration(1000));
        FakeHost second(m_time, m_store, "h2");
        m_store.put("closed/a", {});
        m_time.run(Duration(1000));
        first.host->drain();
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT(second.host->ownsFleet());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), closedZones(second));
        FakeHost third(m_time, m_store, "h3"); // Starts while the zone is closed.
        m_time.run(Duration(1000));
        second.host->drain();
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), closedZones(third));
    }

    void readsClosedZonesAgainWhenTheHistoryIsGone()
    {
        m_store.put(FakeHost::configKey, "1 key");
        FakeHost owner(m_time, m_store);
        m_store.put("closed/a", {});
        m_time.run(Duration(1000));
        owner.watchesUnreachable = true;
        m_time.run(Duration(2000));
        m_store.remove("closed/a");
        m_store.put("closed/b", {});
        m_store.put("closed/c", {});
        m_store.dropHistory();
        owner.watchesUnreachable = false;
        m_time.run(Duration(4000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), closedZones(owner));
    }

    static std::size_t usableWorkers(const FakeHost& host) { return host.host->ownerFigures().usableWorkers; }

    static std::ptrdiff_t linesAbout(const FakeHost& host, const std::string& event)
    {
        return std::count_if(host.log.begin(), host.log.end(),
            [&](const std::string& line) { return line.starts_with(event + ' '); });
    }

    void oddEntriesDoNotStopTheHost()
    {
        constexpr int many = 2000;
        m_store.put(FakeHost::configKey, "1 key");
        for (int i = 0; i < many; ++i)
            m_store.put("workers/" + std::to_string(i), "odd");
        m_store.put("workers/good", "up"); // Listed after the odd ones.
        FakeHost host(m_time, m_store);
        host.workersAnswer = true;
        m_time.run(Duration(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), usableWorkers(host));
        m_store.put("workers/late-odd", "odd");
        m_store.put("workers/late", "up");
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), usableWorkers(host));
        m_store.put("workers/late", "odd");
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), usableWorkers(host));
        m_store.put("workers/late", "up");
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), usableWorkers(host));
        FakeHost next(m_time, m_store, "h2");
        next.workersAnswer = true;
        m_time.run(Duration(1000));
        host.host->drain();
        m_time.run(Duration(3000));
        CPPUNIT_ASSERT(next.host->ownsFleet());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), usableWorkers(next));
    }

    // Operators saw no line about an entry that could not be read from the start.
    void logsAnUnreadableEntryOnce()
    {
        m_store.put(FakeHost::configKey, "1 key");
        m_store.put("workers/a", "odd");
        m_store.put("workers/b", "up");
        FakeHost host(m_time, m_store);
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), linesAbout(host, "worker-unreadable"));
        const auto writeAll = [&](const char* value) {
            for (const auto* key : { "workers/a", "workers/b", "workers/c" })
                m_store.put(key, value);
            m_time.run(Duration(1000));
        };
        writeAll("odd");
        writeAll("odd");
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(3), linesAbout(host, "worker-unreadable"));
        host.watchesUnreachable = true;
        m_time.run(Duration(2000));
        m_store.dropHistory();
        host.watchesUnreachable = false;
        m_time.run(Duration(4000)); // Reads the list again.
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(3), linesAbout(host, "worker-unreadable"));
        writeAll("up");
        writeAll("odd");
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(6), linesAbout(host, "worker-unreadable"));
        m_store.remove("workers/a");
        m_time.run(Duration(1000));
        m_store.put("workers/a", "odd");
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(7), linesAbout(host, "worker-unreadable"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryHostTest);
