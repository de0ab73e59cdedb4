#include "jujubereach/base/error.h"
#include "jujubereach/base/id.h"
#include "jujubereach/base/random.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace jujubereach;

class BaseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BaseTest);
    CPPUNIT_TEST(sameSeedGivesSameNumbers);
    CPPUNIT_TEST(stableHashNeverChanges);
    CPPUNIT_TEST(errorBecomesValue);
    CPPUNIT_TEST_SUITE_END();

    void sameSeedGivesSameNumbers()
    {
        Random a(7);
        Random b(7);
        for (int i = 0; i < 100; ++i)
            CPPUNIT_ASSERT_EQUAL(a.next(), b.next());
    }

    // Hosts of different versions derive the same owner from the hash.
    void stableHashNeverChanges()
    {
        CPPUNIT_ASSERT_EQUAL(stableHash("domain-a"), stableHash("domain-a"));
        CPPUNIT_ASSERT(stableHash("domain-a") != stableHash("domain-b"));
        CPPUNIT_ASSERT(stableHash("domain-a", 1) != stableHash("domain-a", 2));
    }

    void errorBecomesValue()
    {
        auto outcome = outcomeOf([]() -> Result<int> {
            return fail({ ErrorCode::NotFound, "no such job", "id", "7" });
        });
        CPPUNIT_ASSERT(!outcome);
        CPPUNIT_ASSERT_EQUAL(std::string("no such job"), outcome.error.what);
        CPPUNIT_ASSERT_EQUAL(42, outcomeOf([]() -> Result<int> { return 42; }).value.value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BaseTest);
