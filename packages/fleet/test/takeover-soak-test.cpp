// Takeovers amid restarts and cuts of workers.
#include "takeover-soak.h"

using namespace jujubereach::fleet;

class TakeoverSoakTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TakeoverSoakTest);
    CPPUNIT_TEST(holdsInvariantsAmidTakeovers);
    CPPUNIT_TEST_SUITE_END();

    void holdsInvariantsAmidTakeovers()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), TakeoverSoak::failingSeeds({}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverSoakTest);
