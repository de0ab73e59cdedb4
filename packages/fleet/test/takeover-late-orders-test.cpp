// Takeovers amid restarts and cuts of workers that execute orders late.
#include "takeover-soak.h"

using namespace jujubereach::fleet;

class TakeoverLateOrdersTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TakeoverLateOrdersTest);
    CPPUNIT_TEST(holdsInvariantsAmidTakeoversAndLateOrders);
    CPPUNIT_TEST_SUITE_END();

    void holdsInvariantsAmidTakeoversAndLateOrders()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), TakeoverSoak::failingSeeds({ true, false }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverLateOrdersTest);
