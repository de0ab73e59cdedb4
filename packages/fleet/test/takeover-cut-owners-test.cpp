// Takeovers from owners that are cut from the store and run on, amid restarts and cuts of workers.
#include "takeover-soak.h"

using namespace jujubereach::fleet;

class TakeoverCutOwnersTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TakeoverCutOwnersTest);
    CPPUNIT_TEST(holdsInvariantsBesideOwnersThatAreCutOff);
    CPPUNIT_TEST_SUITE_END();

    void holdsInvariantsBesideOwnersThatAreCutOff()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), TakeoverSoak::failingSeeds({ false, false, true }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverCutOwnersTest);
