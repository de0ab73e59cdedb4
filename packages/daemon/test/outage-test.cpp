// Answers to submissions while the service is down and memory is full.
#include "domain.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace jujubereach;
using namespace jujubereach::daemon;

class OutageTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OutageTest);
    CPPUNIT_TEST(aJobWhoseRecordMayBeWrittenIsNotRefused);
    CPPUNIT_TEST_SUITE_END();

    void aJobWhoseRecordMayBeWrittenIsNotRefused()
    {
        using journal::CommitStatus;
        CPPUNIT_ASSERT(refusedInOutage(CommitStatus::Unknown).ran == Ran::Unknown);
        CPPUNIT_ASSERT_EQUAL(504, refusedInOutage(CommitStatus::Unknown).status);
        CPPUNIT_ASSERT(refusedInOutage(CommitStatus::NotWritten).ran == Ran::No);
        CPPUNIT_ASSERT_EQUAL(503, refusedInOutage(CommitStatus::NotWritten).status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutageTest);
