// Who is admitted, who runs next and who is refused, by example.
#include "jujubereach/admission/queue.h"
#include "jujubereach/base/random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

using namespace jujubereach;
using namespace jujubereach::admission;

namespace {

manifest::Manifest shop()
{
    manifest::Manifest manifest;
    manifest.classes = {
        { ClassId("check"), 0, true, 0 },
        { ClassId("proof"), 1, false, 0.2 },
        { ClassId("bulk"), 2, false, 0.1 },
    };
    manifest.workspaces = { { WorkspaceId("foil"), 1, 0, {} }, { WorkspaceId("tissue"), 3, 0, {} } };
    return manifest;
}

struct Offers {
    AdmissionQueue queue { shop(), Bounds { 100, 60, 40 }, 1 };
    TimePoint now { Duration(1000) };
    int number = 0;

    Offers() { queue.setSlots(10, now); }

    std::optional<Refusal> offer(const std::string& workspace, const std::string& workClass,
        const std::string& caller, Duration within = Duration(60'000))
    {
        Request request { RequestId("r" + std::to_string(++number)), WorkspaceId(workspace),
            ClassId(workClass), CallerId(caller), now + within, 1 };
        return queue.offer(request, now);
    }

    // Serves `count` requests and tells how many each key, made by `keyOf`, got.
    std::map<std::string, int> serve(int count, const std::function<std::string(const Request&)>& keyOf)
    {
        std::map<std::string, int> got;
        for (int i = 0; i < count; ++i) {
            auto request = queue.next(now);
            if (!request)
                break;
            ++got[keyOf(*request)];
            queue.completed(request->id, Duration(50), now);
        }
        return got;
    }
};

std::string callerOf(const Request& request)
{
    return request.caller.str();
}
std::string workspaceOf(const Request& request)
{
    return request.workspace.str();
}
std::string classOf(const Request& request)
{
    return request.workClass.str();
}

} // namespace

class AdmissionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdmissionTest);
    CPPUNIT_TEST(callersTakeTurns);
    CPPUNIT_TEST(workspacesShareByWeight);
    CPPUNIT_TEST(lowerClassesKeepTheirMinimum);
    CPPUNIT_TEST(deadlineThatCannotBeMetIsRefusedAtOnce);
    CPPUNIT_TEST(floodAtABoundGivesWay);
    CPPUNIT_TEST(outageGivesUpEverythingAtOnce);
    CPPUNIT_TEST(returningCallersAreSpread);
    CPPUNIT_TEST(boundWithinOneCallerKeepsTheMoreUrgent);
    CPPUNIT_TEST(cutOffRequestsDoNotShortenTheEstimate);
    CPPUNIT_TEST(debtIsNotMadeByUnwantedSlots);
    CPPUNIT_TEST(removedWorkspaceIsGivenUp);
    CPPUNIT_TEST(everyRequestHasOneEnd);
    CPPUNIT_TEST_SUITE_END();

    void callersTakeTurns()
    {
        Offers offers;
        for (int i = 0; i < 20; ++i)
            offers.offer("foil", "proof", "agency");
        for (int i = 0; i < 3; ++i)
            offers.offer("foil", "proof", "landlord");
        auto got = offers.serve(6, callerOf);
        CPPUNIT_ASSERT_EQUAL(3, got["landlord"]);
    }

    void workspacesShareByWeight()
    {
        Offers offers;
        for (int i = 0; i < 20; ++i) {
            offers.offer("foil", "proof", "a");
            offers.offer("tissue", "proof", "b");
        }
        auto got = offers.serve(20, workspaceOf);
        CPPUNIT_ASSERT_EQUAL(15, got["tissue"]);
    }

    void lowerClassesKeepTheirMinimum()
    {
        Offers offers;
        for (int i = 0; i < 30; ++i) {
            offers.offer("foil", "check", "a");
            offers.offer("tissue", "bulk", "b");
        }
        auto got = offers.serve(30, classOf);
        CPPUNIT_ASSERT(got["bulk"] >= 2 && got["bulk"] <= 4);
    }

    void deadlineThatCannotBeMetIsRefusedAtOnce()
    {
        Offers offers;
        for (int i = 0; i < 30; ++i)
            CPPUNIT_ASSERT(!offers.offer("foil", "proof", "a"));
        auto refusal = offers.offer("foil", "proof", "a", Duration(100));
        CPPUNIT_ASSERT(refusal.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("deadline_too_near"), std::string(nameOf(refusal->reason)));
        CPPUNIT_ASSERT(refusal->retryAfter > Duration(0));
    }

    void floodAtABoundGivesWay()
    {
        Offers offers;
        for (int i = 0; i < 60; ++i)
            offers.offer("foil", "bulk", "flood" + std::to_string(i % 2));
        CPPUNIT_ASSERT(offers.offer("foil", "bulk", "flood0").has_value());
        CPPUNIT_ASSERT(!offers.offer("foil", "bulk", "landlord"));
        auto givenUp = offers.queue.expire(offers.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), givenUp.size());
        CPPUNIT_ASSERT(givenUp[0].request.caller != CallerId("landlord"));
        CPPUNIT_ASSERT(givenUp[0].refusal.reason == RefusalReason::Displaced);
    }

    void outageGivesUpEverythingAtOnce()
    {
        Offers offers;
        offers.offer("foil", "proof", "a");
        offers.queue.setSlots(0, offers.now);
        CPPUNIT_ASSERT(offers.queue.expire(offers.now).empty());
        offers.now += Duration(1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), offers.queue.expire(offers.now).size());
        CPPUNIT_ASSERT(offers.offer("foil", "proof", "a")->reason == RefusalReason::NoUpstream);
    }

    void returningCallersAreSpread()
    {
        Offers offers;
        for (int i = 0; i < 40; ++i)
            offers.offer("foil", "proof", "a");
        auto first = offers.offer("foil", "proof", "a", Duration(60));
        std::optional<Refusal> last;
        for (int i = 0; i < 500; ++i)
            last = offers.offer("foil", "proof", "a", Duration(60));
        CPPUNIT_ASSERT(last->retryAfter > first->retryAfter * 2);
    }

    void boundWithinOneCallerKeepsTheMoreUrgent()
    {
        Offers offers;
        for (int i = 0; i < 40; ++i)
            offers.offer("foil", "bulk", "a");
        CPPUNIT_ASSERT(offers.offer("foil", "bulk", "a")->reason == RefusalReason::CallerBound);
        CPPUNIT_ASSERT(!offers.offer("foil", "check", "a"));
        CPPUNIT_ASSERT(offers.queue.expire(offers.now).at(0).request.workClass == ClassId("bulk"));
    }

    // Requests that take 400 ms and are cut off after 100 ms.
    void cutOffRequestsDoNotShortenTheEstimate()
    {
        Offers offers;
        for (int i = 0; i < 100; ++i) {
            offers.offer("foil", "proof", "a");
            auto request = offers.queue.next(offers.now);
            offers.now += Duration(10);
            if (i < 50)
                offers.queue.completed(request->id, Duration(400), offers.now);
            else
                offers.queue.unanswered(request->id, Duration(100), offers.now);
        }
        CPPUNIT_ASSERT(offers.queue.snapshot(offers.now).queues.at(0).meanTook >= Duration(390));
    }

    // A class that used idle slots is owed its minimum share at once when a flood comes.
    void debtIsNotMadeByUnwantedSlots()
    {
        Offers offers;
        for (int i = 0; i < 200; ++i) {
            offers.offer("foil", "proof", "a");
            offers.serve(1, classOf);
        }
        for (int i = 0; i < 30; ++i) {
            offers.offer("tissue", "check", "b");
            offers.offer("foil", "proof", "a");
        }
        CPPUNIT_ASSERT(offers.serve(20, classOf)["proof"] >= 3);
    }

    void removedWorkspaceIsGivenUp()
    {
        Offers offers;
        offers.offer("foil", "proof", "a");
        offers.offer("tissue", "proof", "b");
        auto manifest = shop();
        manifest.workspaces.pop_back();
        offers.queue.configure(manifest, offers.now);
        auto givenUp = offers.queue.expire(offers.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), givenUp.size());
        CPPUNIT_ASSERT(givenUp[0].refusal.reason == RefusalReason::UnknownWorkspace);
        CPPUNIT_ASSERT(offers.queue.next(offers.now)->workspace == WorkspaceId("foil"));
    }

    // Random events; each request is refused, given up, abandoned or served, exactly once.
    void everyRequestHasOneEnd()
    {
        for (std::uint64_t seed = 1; seed <= 30; ++seed)
            playRandomly(seed);
    }

    static void playRandomly(std::uint64_t seed)
    {
        Random random(seed);
        Offers offers;
        std::map<RequestId, int> ends;
        std::vector<RequestId> running;
        const char* const workspaces[] = { "foil", "tissue", "nobody" };
        const char* const workClasses[] = { "check", "proof", "bulk" };
        for (int step = 0; step < 3000; ++step) {
            offers.now += Duration(random.below(8));
            RequestId id("r" + std::to_string(offers.number + 1));
            switch (random.below(8)) {
            default:
                ends[id] = offers.offer(workspaces[random.below(20) == 0 ? 2 : random.below(2)],
                               workClasses[random.below(3)], "c" + std::to_string(random.below(5)),
                               Duration(20 + random.below(2000)))
                    ? 1
                    : 0;
                break;
            case 5:
                if (auto request = offers.queue.next(offers.now)) {
                    ++ends.at(request->id);
                    running.push_back(request->id);
                }
                break;
            case 6:
                finishOne(offers, running, random);
                break;
            case 7:
                id = RequestId(
                    "r" + std::to_string(random.below(static_cast<std::uint64_t>(offers.number) + 1)));
                if (random.below(3) == 0)
                    ends[id] += offers.queue.abandon(id) ? 1 : 0;
                else
                    offers.queue.setSlots(static_cast<std::uint32_t>(random.below(12)), offers.now);
            }
            for (const auto& givenUp : offers.queue.expire(offers.now))
                ++ends.at(givenUp.request.id);
            CPPUNIT_ASSERT(offers.queue.waiting() <= 100);
        }
        offers.now += Duration(3000);
        for (const auto& givenUp : offers.queue.expire(offers.now))
            ++ends.at(givenUp.request.id);
        CPPUNIT_ASSERT(offers.queue.empty());
        ends.erase(RequestId("r0")); // never offered
        for (const auto& [id, count] : ends)
            CPPUNIT_ASSERT_EQUAL(1, count);
    }

    static void finishOne(Offers& offers, std::vector<RequestId>& running, Random& random)
    {
        if (running.empty())
            return;
        auto took = Duration(static_cast<Duration::rep>(random.below(200)));
        if (random.below(4) == 0)
            offers.queue.notRun(running.back());
        else if (random.below(4) == 0)
            offers.queue.unanswered(running.back(), took, offers.now);
        else
            offers.queue.completed(running.back(), took, offers.now);
        running.pop_back();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);
