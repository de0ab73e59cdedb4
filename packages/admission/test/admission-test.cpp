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
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);
