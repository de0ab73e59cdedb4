// Takeovers amid racks whose workers restart under their ids and are cut off soon after.
#include "takeover-soak.h"

using namespace jujubereach::fleet;

class TakeoverRestartsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TakeoverRestartsTest);
    CPPUNIT_TEST(runsTasksTwiceThatNewIncarnationsExecute);
    CPPUNIT_TEST_SUITE_END();

    void runsTasksTwiceThatNewIncarnationsExecute()
    {
        SoakFaults faults;
        faults.rackRestarts = true;
        CPPUNIT_ASSERT_EQUAL(std::string(), TakeoverSoak::failingSeeds(faults));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverRestartsTest);
