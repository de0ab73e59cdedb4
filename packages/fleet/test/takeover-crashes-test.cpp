// Takeovers amid restarts and cuts of workers and tasks that crash them.
#include "takeover-soak.h"

using namespace jujubereach::fleet;

class TakeoverCrashesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TakeoverCrashesTest);
    CPPUNIT_TEST(holdsInvariantsAmidTakeoversAndCrashingTasks);
    CPPUNIT_TEST_SUITE_END();

    void holdsInvariantsAmidTakeoversAndCrashingTasks()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), TakeoverSoak::failingSeeds({ false, true }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverCrashesTest);
