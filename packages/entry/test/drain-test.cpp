// A host that is stopped while callers go on sending requests to it.
#include "fake-host.h"
#include "jujubereach/entry/drain.h"

using namespace jujubereach;
using namespace jujubereach::entry;
using fleet::JobState;

class DrainTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DrainTest);
    CPPUNIT_TEST(stopsWhileRequestsAreInProgress);
    CPPUNIT_TEST(stopsBeforeAConnectionIsRead);
    CPPUNIT_TEST(waitsForARequestOfWhichOnlyAPartComes);
    CPPUNIT_TEST(stopsBeforeThePlatformSendsCallersElsewhere);
    CPPUNIT_TEST(holdsAQueryBeyondTheEnd);
    CPPUNIT_TEST(keepsCallsThatAwaitASilentStore);
    CPPUNIT_TEST(writesAJobThatItHasRefused);
    CPPUNIT_TEST(hidesAStateThatIsKnown);
    CPPUNIT_TEST(decidesCallsAfterTheEnd);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration stopBound { 6000 };

    FakeTime m_time;
    FakeStore m_store { m_time };

    // Counts the requests that a server has read and not answered.
    struct Server {
        FakeTime& time;
        std::multiset<TimePoint> endsAt; ///< Of each request in progress.
        bool accepting = true;
        std::optional<TimePoint> stoppedAt;
        std::size_t cut = 0; ///< Requests in progress at the stop.

        std::size_t inProgress()
        {
            endsAt.erase(endsAt.begin(), endsAt.upper_bound(time.now()));
            return endsAt.size();
        }

        DrainHooks hooks()
        {
            DrainHooks hooks;
            hooks.clock = [this] { return time.now(); };
            hooks.after = [this](Duration delay, auto run) { time.after(delay, std::move(run)); };
            hooks.requestsInProgress = [this] { return inProgress(); };
            hooks.stopAccepting = [this] { accepting = false; };
            hooks.answerOpenCalls = [this] { endsAt.clear(); };
            hooks.stop = [this] {
                stoppedAt = time.now();
                cut = inProgress();
            };
            hooks.log = [](const char*, const boost::json::object&) {};
            return hooks;
        }
    };

    // Sends a request every `interval` on new connections, each in progress for `work`.
    void sendRequests(Server& server, Duration interval, Duration work)
    {
        m_time.after(interval, [this, &server, interval, work] {
            if (!server.accepting || server.stoppedAt)
                return;
            server.endsAt.insert(m_time.now() + work);
            sendRequests(server, interval, work);
        });
    }

    void stopsWhileRequestsAreInProgress()
    {
        for (int i = 0; i < 50; ++i) {
            Server server { m_time, {}, true, {}, 0 };
            sendRequests(server, Duration(7 + 3 * i), Duration(250));
            Drain drain(stopBound, server.hooks());
            const auto begin = m_time.now();
            drain.start();
            m_time.run(stopBound);
            CPPUNIT_ASSERT(server.stoppedAt && *server.stoppedAt - begin < stopBound);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.cut);
        }
    }

    // A connection that was accepted just before sends its request while the open ones are awaited.
    void stopsBeforeAConnectionIsRead()
    {
        Server server { m_time, {}, true, {}, 0 };
        server.endsAt.insert(m_time.now() + Duration(10'000));
        Drain drain(stopBound, server.hooks());
        drain.start();
        m_time.after(Duration(5290), [&] { server.endsAt.insert(m_time.now() + Duration(60)); });
        m_time.run(stopBound);
        CPPUNIT_ASSERT(server.stoppedAt);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.cut);
    }

    void waitsForARequestOfWhichOnlyAPartComes()
    {
        Server server { m_time, {}, true, {}, 0 };
        auto hooks = server.hooks();
        hooks.answerOpenCalls = [] {};
        server.endsAt.insert(m_time.now() + Duration(60'000));
        Drain drain(stopBound, hooks);
        drain.start();
        m_time.run(stopBound - Duration(1));
        CPPUNIT_ASSERT(server.stoppedAt);
    }

    void stopsBeforeThePlatformSendsCallersElsewhere()
    {
        Server server { m_time, {}, true, {}, 0 };
        Drain drain(stopBound, server.hooks());
        drain.start();
        m_time.run(Duration(2400));
        CPPUNIT_ASSERT(server.accepting);
        m_time.run(Duration(500));
        CPPUNIT_ASSERT(server.stoppedAt);
    }

    // Queries come every 10 ms; each is to be answered by the end of the drain.
    void holdsAQueryBeyondTheEnd()
    {
        auto host = startHost();
        addRunningJob("a");
        host->host->drain(m_time.now() + Duration(1000));
        std::size_t sent = 0;
        std::size_t answered = 0;
        for (int i = 0; i < 100; ++i) {
            m_time.run(Duration(10));
            ++sent;
            host->host->handle(
                FakeHost::requestOf(CallKind::Query, "a", "key"), [&](const CallerAnswer&) { ++answered; });
        }
        host->host->answerOpenCalls();
        CPPUNIT_ASSERT_EQUAL(sent, answered);
        CPPUNIT_ASSERT(host->requests["w state in the store"] > 90);
    }

    // The outcome of a write without an answer is not known; a query may be repeated elsewhere.
    void keepsCallsThatAwaitASilentStore()
    {
        auto host = startHost();
        addRunningJob("a");
        host->storeUnreachable = true;
        const auto end = m_time.now() + Duration(500);
        std::vector<CallOutcome> outcomes;
        for (const auto kind : { CallKind::Submit, CallKind::Query, CallKind::Cancel })
            host->host->handle(FakeHost::requestOf(kind, kind == CallKind::Submit ? "b" : "a", "key"),
                [&](const CallerAnswer& answer) { outcomes.push_back(answer.outcome); });
        m_time.run(Duration(100));
        host->host->drain(end);
        m_time.run(Duration(400));
        host->host->answerOpenCalls();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), outcomes.size());
        CPPUNIT_ASSERT(std::count(outcomes.begin(), outcomes.end(), CallOutcome::Undecided) >= 1);
        for (const auto outcome : outcomes)
            CPPUNIT_ASSERT(outcome == CallOutcome::Undecided || outcome == CallOutcome::Unavailable);
        m_time.run(Duration(5000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), outcomes.size());
    }

    // The submission waits for the configuration when the host answers it.
    void writesAJobThatItHasRefused()
    {
        auto host = startHost();
        host->watchesUnreachable = host->readsUnreachable = true;
        m_time.run(Duration(5000)); // The configuration is no longer fresh.
        host->readsUnreachable = false;
        std::optional<CallerAnswer> answer;
        host->host->handle(FakeHost::requestOf(CallKind::Submit, "b", "key"),
            [&](const CallerAnswer& got) { answer = got; });
        host->host->drain(m_time.now());
        host->host->answerOpenCalls();
        CPPUNIT_ASSERT(answer && answer->outcome == CallOutcome::Unavailable);
        CPPUNIT_ASSERT(answer->retryAfter > Duration(0));
        m_time.run(Duration(3000));
        CPPUNIT_ASSERT(!m_store.contains(fleet::keys::job(JobId("b"))));
    }

    void hidesAStateThatIsKnown()
    {
        auto host = startHost();
        addRunningJob("a");
        std::optional<CallerAnswer> answer;
        host->host->handle(
            FakeHost::requestOf(CallKind::Query, "a", "key"), [&](const CallerAnswer& got) { answer = got; });
        m_time.run(Duration(50));
        CPPUNIT_ASSERT(!answer);
        host->host->answerOpenCalls();
        CPPUNIT_ASSERT(answer && answer->outcome == CallOutcome::State);
        CPPUNIT_ASSERT(answer->state == JobState::Running);
    }

    void decidesCallsAfterTheEnd()
    {
        auto host = startHost();
        host->host->drain(m_time.now() + Duration(100));
        m_time.run(Duration(100));
        std::optional<CallerAnswer> answer;
        host->host->handle(FakeHost::requestOf(CallKind::Submit, "b", "key"),
            [&](const CallerAnswer& got) { answer = got; });
        CPPUNIT_ASSERT(answer && answer->outcome == CallOutcome::Unavailable);
        m_time.run(Duration(1000));
        CPPUNIT_ASSERT(!m_store.contains(fleet::keys::job(JobId("b"))));
    }

    std::unique_ptr<FakeHost> startHost()
    {
        m_store.put(FakeHost::configKey, "1 key");
        auto host = std::make_unique<FakeHost>(m_time, m_store);
        m_time.run(Duration(1000));
        return host;
    }

    void addRunningJob(const std::string& id)
    {
        fleet::JobRecord record;
        record.id = JobId(id);
        record.route = RouteId("queue");
        m_store.put(fleet::keys::job(record.id), fleet::encode(record));
        fleet::ProgressRecord progress;
        progress.state = JobState::Running;
        m_store.put(fleet::keys::progress(record.id), fleet::encode(progress));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainTest);
