// The worker's contract in virtual time: leases, epochs, holds, tasks.
#include "worker-machine.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace jujubereach;
using namespace jujubereach::platform;
using jujubereach::standins::WorkerMachine;

namespace {

constexpr Duration leaseTime { 2000 };
const GangId gang("z-d-1/1");

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint(Duration(milliseconds));
}

WorkerCommand command(WorkerOp op, std::vector<std::uint32_t> accelerators = { 0, 1 })
{
    return { op, gang, std::move(accelerators), Duration(5000), Duration(3000), Duration(500), 50, "label" };
}

} // namespace

class WorkerMachineTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkerMachineTest);
    CPPUNIT_TEST(leaseHasOneHolder);
    CPPUNIT_TEST(releasedLeaseNeedsHigherEpoch);
    CPPUNIT_TEST(refusedSyncCarriesOutNothing);
    CPPUNIT_TEST(heldTaskRunsAndCompletes);
    CPPUNIT_TEST(startNeedsHold);
    CPPUNIT_TEST(acceleratorIsHeldOnce);
    CPPUNIT_TEST(holdLapses);
    CPPUNIT_TEST(taskLapsesWithoutRenewal);
    CPPUNIT_TEST(endedGangNeverRunsAgain);
    CPPUNIT_TEST(stopOvertakesHold);
    CPPUNIT_TEST(checkpointKeepsProgress);
    CPPUNIT_TEST(throttledTaskTakesLonger);
    CPPUNIT_TEST(failedStartEndsTask);
    CPPUNIT_TEST(lapseIsRecordedAtItsTime);
    CPPUNIT_TEST_SUITE_END();

    std::vector<std::pair<std::string, TimePoint>> m_events;
    std::unique_ptr<WorkerMachine> m_machine;

    WorkerReply send(std::int64_t time, std::vector<WorkerCommand> commands,
        const std::string& holder = "a#1", std::uint64_t epoch = 1, Duration ttl = leaseTime)
    {
        return m_machine->sync({ holder, Epoch { epoch }, ttl, std::move(commands) }, at(time));
    }

    TaskState stateAt(std::int64_t time) { return send(time, {}).tasks.at(0).state; }

public:
    void setUp() override
    {
        m_events.clear();
        m_machine = std::make_unique<WorkerMachine>(
            WorkerId("r/0"), 8, [this](const platform::JsonObject::Ptr& event, TimePoint time) {
                m_events.emplace_back(event->getValue<std::string>("event"), time);
            });
    }

private:
    void leaseHasOneHolder()
    {
        CPPUNIT_ASSERT(send(0, {}).status == SyncStatus::Granted);
        auto refused = send(1000, {}, "b#1", 2);
        CPPUNIT_ASSERT(refused.status == SyncStatus::Refused);
        CPPUNIT_ASSERT_EQUAL(std::string("a#1"), refused.holder);
        CPPUNIT_ASSERT(refused.leaseLeft == Duration(1000));
        CPPUNIT_ASSERT(send(2000, {}, "b#1", 1).status == SyncStatus::Refused);
        CPPUNIT_ASSERT(send(2000, {}, "b#1", 2).status == SyncStatus::Granted);
        CPPUNIT_ASSERT(send(2100, {}).status == SyncStatus::Refused);
        CPPUNIT_ASSERT(send(9000, {}).status == SyncStatus::Refused);
    }

    void releasedLeaseNeedsHigherEpoch()
    {
        send(0, {});
        CPPUNIT_ASSERT(send(100, {}, "a#1", 1, Duration(0)).status == SyncStatus::Granted);
        CPPUNIT_ASSERT(send(200, {}, "a#1", 1).status == SyncStatus::Refused);
        CPPUNIT_ASSERT(send(200, {}, "b#1", 2).status == SyncStatus::Granted);
    }

    void refusedSyncCarriesOutNothing()
    {
        send(0, {});
        auto reply = send(10, { command(WorkerOp::Hold) }, "b#1", 2);
        CPPUNIT_ASSERT(reply.results.empty() && reply.tasks.empty());
    }

    void heldTaskRunsAndCompletes()
    {
        send(0, { command(WorkerOp::Hold), command(WorkerOp::Start) });
        CPPUNIT_ASSERT(stateAt(2999) == TaskState::Running);
        auto task = send(3000, {}).tasks.at(0);
        CPPUNIT_ASSERT(task.state == TaskState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::string("label"), task.label);
        CPPUNIT_ASSERT(send(3001, { command(WorkerOp::Forget) }).tasks.empty());
    }

    void startNeedsHold()
    {
        auto result = send(0, { command(WorkerOp::Start) }).results.at(0);
        CPPUNIT_ASSERT(result.outcome == CommandOutcome::Refused);
    }

    void acceleratorIsHeldOnce()
    {
        auto other = command(WorkerOp::Hold, { 1, 2 });
        other.gang = GangId("z-d-2/1");
        auto reply = send(0, { command(WorkerOp::Hold), other, command(WorkerOp::Hold) });
        CPPUNIT_ASSERT_EQUAL(std::string("accelerator taken"), reply.results.at(1).reason);
        CPPUNIT_ASSERT(reply.results.at(2).outcome == CommandOutcome::Done);
        other.accelerators = { 8 };
        CPPUNIT_ASSERT_EQUAL(std::string("no such accelerator"), send(1, { other }).results.at(0).reason);
    }

    void holdLapses()
    {
        send(0, { command(WorkerOp::Hold) });
        CPPUNIT_ASSERT(stateAt(5000) == TaskState::Lapsed);
    }

    void taskLapsesWithoutRenewal()
    {
        auto start = command(WorkerOp::Start);
        start.runTime = Duration(60000);
        send(0, { command(WorkerOp::Hold), start });
        send(4000, { command(WorkerOp::Renew) });
        CPPUNIT_ASSERT(stateAt(8999) == TaskState::Running);
        CPPUNIT_ASSERT(stateAt(9000) == TaskState::Lapsed);
    }

    void endedGangNeverRunsAgain()
    {
        send(0, { command(WorkerOp::Hold), command(WorkerOp::Stop), command(WorkerOp::Forget) });
        auto result = send(1, { command(WorkerOp::Hold) }).results.at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("gang ended"), result.reason);
    }

    void stopOvertakesHold()
    {
        send(0, { command(WorkerOp::Stop) });
        CPPUNIT_ASSERT(send(1, { command(WorkerOp::Hold) }).results.at(0).outcome == CommandOutcome::Refused);
    }

    void checkpointKeepsProgress()
    {
        send(0, { command(WorkerOp::Hold), command(WorkerOp::Start) });
        send(1000, { command(WorkerOp::Checkpoint) });
        CPPUNIT_ASSERT(stateAt(1499) == TaskState::Checkpointing);
        auto task = send(1500, {}).tasks.at(0);
        CPPUNIT_ASSERT(task.state == TaskState::Checkpointed);
        CPPUNIT_ASSERT(task.progress == Duration(1000));
    }

    void throttledTaskTakesLonger()
    {
        send(0, { command(WorkerOp::Hold), command(WorkerOp::Start) });
        send(1000, { command(WorkerOp::Throttle) });
        send(4000, { command(WorkerOp::Renew) });
        CPPUNIT_ASSERT(stateAt(4999) == TaskState::Running);
        CPPUNIT_ASSERT(stateAt(5000) == TaskState::Completed);
    }

    void failedStartEndsTask()
    {
        m_machine->setFailStarts(true);
        auto reply = send(0, { command(WorkerOp::Hold), command(WorkerOp::Start) });
        CPPUNIT_ASSERT(reply.tasks.at(0).state == TaskState::Failed);
    }

    // A pause of the stand-in's process must not move what its record says.
    void lapseIsRecordedAtItsTime()
    {
        send(0, { command(WorkerOp::Hold) });
        m_machine->advance(at(60000));
        const std::vector<std::pair<std::string, TimePoint>> expected { { "lease", at(0) }, { "hold", at(0) },
            { "end", at(5000) }, { "lapse", at(2000) } };
        CPPUNIT_ASSERT(m_events == expected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerMachineTest);
