// Checks the scheduler's invariants under thousands of random events. Runs with a broken policy check that
// each violation is detected.
#include "randomrun.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace jujubereach;
using namespace jujubereach::scheduling;

class InvariantsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(InvariantsTest);
    CPPUNIT_TEST(holdWithoutOutages);
    CPPUNIT_TEST(holdWithOutages);
    CPPUNIT_TEST(overlapIsFound);
    CPPUNIT_TEST(blockedShapeIsFound);
    CPPUNIT_TEST(lostJobIsFound);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int steps = 3000;

    static std::string faultOf(std::uint64_t seed, bool outages, const Policy& policy = {})
    {
        return RandomRun(seed, outages, policy).run(steps);
    }

    void holdWithoutOutages()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed)
            CPPUNIT_ASSERT_EQUAL(std::string(), faultOf(seed, false));
    }

    void holdWithOutages()
    {
        for (std::uint64_t seed = 11; seed <= 15; ++seed)
            CPPUNIT_ASSERT_EQUAL(std::string(), faultOf(seed, true));
    }

    void overlapIsFound()
    {
        Policy broken;
        broken.occupyRuns = false;
        CPPUNIT_ASSERT_EQUAL(std::string("accelerator in two gangs"), faultOf(1, false, broken));
    }

    void blockedShapeIsFound()
    {
        Policy broken;
        broken.protectShapes = false;
        CPPUNIT_ASSERT_EQUAL(std::string("shape can't be reclaimed"), faultOf(1, false, broken));
    }

    void lostJobIsFound()
    {
        Policy broken;
        broken.requeue = false;
        CPPUNIT_ASSERT_EQUAL(std::string("accepted job lost"), faultOf(1, false, broken));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InvariantsTest);
