// The life of a request: one final answer, "not run" only when it is known.
#include "jujubereach/base/random.h"
#include "jujubereach/dispatch/table.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace jujubereach;
using namespace jujubereach::dispatch;
using platform::UpstreamAnswer;
using platform::UpstreamStatus;

namespace {

RequestInfo infoOf(bool repeatable, const std::string& id = "r1")
{
    return { RequestId(id), WorkspaceId("foil"), ClassId("cut"), CallerId("press-1"), "key", repeatable,
        TimePoint(Duration(10'000)) };
}

UpstreamAnswer answerOf(UpstreamStatus status, int httpStatus = 200)
{
    bool answered = status == UpstreamStatus::Answered;
    return { status, answered ? httpStatus : 0, answered ? "whole" : "", Duration(5) };
}

const TimePoint now { Duration(100) };

} // namespace

class RequestTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RequestTest);
    CPPUNIT_TEST(cutThatMayHaveRunIsNeverSentAgain);
    CPPUNIT_TEST(cutThatProvablyDidNotRunIsSentAgain);
    CPPUNIT_TEST(cutIsDispatchedOnlyWithItsRecord);
    CPPUNIT_TEST(lateAnswerReplacesUnknown);
    CPPUNIT_TEST(retriesAreAShareOfSuccesses);
    CPPUNIT_TEST(answersAreKeptForTheirCaller);
    CPPUNIT_TEST(randomLivesHoldTheInvariants);
    CPPUNIT_TEST_SUITE_END();

    static RequestLife dispatchedLife(bool repeatable)
    {
        RequestLife life(infoOf(repeatable));
        life.admitted();
        if (!repeatable) {
            life.recording();
            life.recorded();
        }
        CPPUNIT_ASSERT(life.dispatched(UpstreamId("u1")));
        return life;
    }

    void cutThatMayHaveRunIsNeverSentAgain()
    {
        RetryPolicy policy({}, 1);
        RequestLife life = dispatchedLife(false);
        auto decision = life.ended(answerOf(UpstreamStatus::Unknown), policy, now);
        CPPUNIT_ASSERT(!decision->again);
        CPPUNIT_ASSERT(life.answer()->ran == Ran::Unknown);
        CPPUNIT_ASSERT_EQUAL(504, httpStatusOf(*life.answer()));
        CPPUNIT_ASSERT(!life.dispatched(UpstreamId("u2")));
    }

    void cutThatProvablyDidNotRunIsSentAgain()
    {
        RetryPolicy policy({}, 1);
        for (auto status : { UpstreamStatus::Busy, UpstreamStatus::Leaving, UpstreamStatus::NotSent }) {
            RequestLife life = dispatchedLife(false);
            CPPUNIT_ASSERT(life.ended(answerOf(status), policy, now)->again);
            CPPUNIT_ASSERT(life.backoffOver());
            CPPUNIT_ASSERT(life.dispatched(UpstreamId("u2")));
        }
        RequestLife life = dispatchedLife(false);
        life.ended(answerOf(UpstreamStatus::Busy), policy, now);
        life.giveUp("deadline_too_near", Duration(50));
        CPPUNIT_ASSERT(life.answer()->ran == Ran::No);
    }

    void cutIsDispatchedOnlyWithItsRecord()
    {
        RequestLife life(infoOf(false));
        life.admitted();
        CPPUNIT_ASSERT(!life.dispatched(UpstreamId("u1")));
        CPPUNIT_ASSERT(life.recording());
        CPPUNIT_ASSERT(!life.dispatched(UpstreamId("u1")));
        CPPUNIT_ASSERT(life.recorded());
        CPPUNIT_ASSERT(life.dispatched(UpstreamId("u1")));
    }

    void lateAnswerReplacesUnknown()
    {
        RequestLife life = dispatchedLife(false);
        life.giveUp("deadline", Duration(50));
        CPPUNIT_ASSERT(life.answer()->ran == Ran::Unknown);
        CPPUNIT_ASSERT_EQUAL(Duration::rep(0), life.answer()->retryAfter.count());
        CPPUNIT_ASSERT(life.lateAnswer(answerOf(UpstreamStatus::Answered)));
        CPPUNIT_ASSERT(life.answer()->ran == Ran::Yes);
        CPPUNIT_ASSERT(!life.lateAnswer(answerOf(UpstreamStatus::Answered)));
    }

    void retriesAreAShareOfSuccesses()
    {
        RetryLimits limits;
        RetryPolicy policy(limits, 1);
        auto attempt = [&](UpstreamStatus status) {
            return policy
                .decide(
                    { WorkspaceId("foil"), true, 1, status, 200, Ran::No, TimePoint(Duration(10'000)) }, now)
                .again;
        };
        int retries = 0;
        for (int i = 0; i < 1000; ++i) {
            attempt(UpstreamStatus::Answered);
            retries += attempt(UpstreamStatus::Unknown) ? 1 : 0;
        }
        CPPUNIT_ASSERT(retries <= 100 + limits.burst);
        CPPUNIT_ASSERT(retries >= 95);
        CPPUNIT_ASSERT(policy.budgetOf(WorkspaceId("other")) > 1);
    }

    void answersAreKeptForTheirCaller()
    {
        RequestTable table({ Duration(600'000), 1000 });
        for (int i = 1; i <= 3; ++i) {
            auto* life = table.add(infoOf(true, "r" + std::to_string(i)));
            life->refused("caller_bound", Duration(10));
            table.keep(life->info().id, now);
        }
        CPPUNIT_ASSERT(!table.add(infoOf(true, "r3")));
        CPPUNIT_ASSERT(table.answerBytes() <= 1000);
        auto fetch = [&](const char* id, const char* caller) {
            return table.fetch(RequestId(id), WorkspaceId("foil"), CallerId(caller)).status;
        };
        CPPUNIT_ASSERT(fetch("r1", "press-1") == FetchStatus::Unknown); // outgrew the bound
        CPPUNIT_ASSERT(fetch("r3", "press-1") == FetchStatus::Found);
        CPPUNIT_ASSERT(fetch("r3", "press-2") == FetchStatus::Unknown);
        table.prune(now + Duration(600'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.kept());
    }

    // Any order of events, most of them out of place.
    void randomLivesHoldTheInvariants()
    {
        RetryPolicy policy({ 1, 1000, 4, Duration(1), Duration(2) }, 1);
        for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
            Random random(seed);
            RequestLife life(infoOf(random.below(2) == 0));
            bool mayHaveRun = false; // what a true upstream would say
            int finals = 0;
            for (int step = 0; step < 30; ++step) {
                bool wasFinal = life.answer().has_value();
                playEvent(life, random, policy, mayHaveRun);
                finals += !wasFinal && life.answer() ? 1 : 0;
                if (life.answer() && life.answer()->ran == Ran::No)
                    CPPUNIT_ASSERT(!mayHaveRun);
            }
            CPPUNIT_ASSERT(finals <= 1);
            life.giveUp("end", Duration(0));
            CPPUNIT_ASSERT(life.answer().has_value());
        }
    }

    static void playEvent(RequestLife& life, Random& random, RetryPolicy& policy, bool& mayHaveRun)
    {
        switch (random.below(7)) {
        case 0:
            life.admitted();
            return;
        case 1:
            life.recording();
            return;
        case 2:
            life.recorded();
            return;
        case 3:
            if (life.dispatched(UpstreamId("u")))
                CPPUNIT_ASSERT(life.info().repeatable || !mayHaveRun);
            return;
        case 4: {
            auto status = static_cast<UpstreamStatus>(random.below(5));
            if (life.ended(answerOf(status, random.below(2) == 0 ? 200 : 500), policy, now))
                mayHaveRun = mayHaveRun || !platform::provablyNotRun(status);
            return;
        }
        case 5:
            life.backoffOver();
            return;
        default:
            if (random.below(8) == 0) {
                mayHaveRun = mayHaveRun || life.state() == RequestState::Dispatched;
                life.giveUp("caller_gone", Duration(0));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTest);
