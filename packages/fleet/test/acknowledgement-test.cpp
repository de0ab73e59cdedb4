// Acknowledgements that reach a later incarnation of their worker.
#include "fake-fleet.h"

using namespace jujubereach;
using namespace jujubereach::fleet;

class AcknowledgementTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AcknowledgementTest);
    CPPUNIT_TEST(dropsAnEndOfANewIncarnationThatNoListHasShown);
    CPPUNIT_TEST_SUITE_END();

    // The former incarnation's end 1 is acknowledged to the new one, whose end 1 is another task's.
    void dropsAnEndOfANewIncarnationThatNoListHasShown()
    {
        for (std::int64_t work = 1; work < 20; work += 3) {
            for (std::int64_t pause = 0; pause < 60; ++pause)
                restartBeforeAnAcknowledgement(Duration(work), Duration(pause));
        }
    }

    static void restartBeforeAnAcknowledgement(Duration work, Duration pause)
    {
        FakeFleet fleet;
        fleet.addWorker("a");
        fleet.workTime = [work](const TaskId& task) {
            return task.job == JobId("first") ? Duration(1000)
                : task.job == JobId("long")   ? Duration(60'000)
                                              : work;
        };
        fleet.takeOver();
        fleet.run(Duration(20'000));
        fleet.submit(FakeFleet::job("first", 1));
        fleet.submit(FakeFleet::job("long", 1));
        fleet.run(Duration(1000) + pause);
        fleet.restartWorker("a");
        fleet.submit(FakeFleet::job("j", 1));
        fleet.run(Duration(10'000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AcknowledgementTest);
