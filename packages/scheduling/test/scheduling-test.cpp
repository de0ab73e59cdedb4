// Tests the scheduler's decisions by example.
#include "fixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace jujubereach;
using namespace jujubereach::scheduling;

class SchedulingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SchedulingTest);
    CPPUNIT_TEST(jobStartsOnAdjacentAccelerators);
    CPPUNIT_TEST(nothingStartsOnWorkersThatHaveNotReported);
    CPPUNIT_TEST(secondSubmitChangesNothing);
    CPPUNIT_TEST(impossibleJobsAreRefusedAtOnce);
    CPPUNIT_TEST(urgentClassGoesFirst);
    CPPUNIT_TEST(quotaLimitsAWorkspace);
    CPPUNIT_TEST(cancelledInQueueNeverRan);
    CPPUNIT_TEST(cancelledWhileRunningIsStopped);
    CPPUNIT_TEST(shapeIsReclaimedFromOtherWorkspaces);
    CPPUNIT_TEST(nonRevocableJobsStayOutsideShapes);
    CPPUNIT_TEST(shapeMovesWhenItsWorkerGoesDown);
    CPPUNIT_TEST(urgentJobPreemptsLentCapacity);
    CPPUNIT_TEST(slowCheckpointIsStoppedAtTheBound);
    CPPUNIT_TEST(checkpointedJobResumesFromItsProgress);
    CPPUNIT_TEST(lostWorkerRestartsOnlyRestartableJobs);
    CPPUNIT_TEST(unknownOutcomeIsNeverStartedAgain);
    CPPUNIT_TEST(failingWorkerIsQuarantinedAndProbed);
    CPPUNIT_TEST(jobThatFailsEverywhereEnds);
    CPPUNIT_TEST(jobWithTooManyLostWorkersIsNotQueuedAgain);
    CPPUNIT_TEST(failedWorkerIsAvoidedWhileOthersHaveNotReported);
    CPPUNIT_TEST(jobThatFailsOnAllRemainingWorkersEnds);
    CPPUNIT_TEST(adoptedGangKeepsItsRun);
    CPPUNIT_TEST(newManifestKeepsRunningGangs);
    CPPUNIT_TEST(shortDeclaredRunTimeDoesNotEnterAReservedRun);
    CPPUNIT_TEST(migrationMergesFreeRuns);
    CPPUNIT_TEST_SUITE_END();

    void jobStartsOnAdjacentAccelerators()
    {
        Fixture f;
        f.submit(f.job("a", 16));
        f.decide();
        CPPUNIT_ASSERT_EQUAL(16u, f.runOf("a").count);
        CPPUNIT_ASSERT_EQUAL(0u, f.runOf("a").first % 8);
    }

    void nothingStartsOnWorkersThatHaveNotReported()
    {
        Fixture f(smallManifest(), {}, 0);
        f.submit(f.job("a", 8));
        f.decide();
        CPPUNIT_ASSERT(!f.runs("a"));
        f.scheduler.workerUp(5, f.now);
        f.decide();
        CPPUNIT_ASSERT(f.runOf("a") == (Run { 40, 8 }));
    }

    void secondSubmitChangesNothing()
    {
        Fixture f;
        f.submit(f.job("a", 8));
        f.submit(f.job("a", 8));
        f.decide();
        f.end("a", EndKind::Completed);
        f.submit(f.job("a", 8));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), f.decide().size() - 1); // only the end of "a" is reported
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), f.scheduler.usage().running);
    }

    void impossibleJobsAreRefusedAtOnce()
    {
        Fixture f;
        auto reasonOf
            = [&](const JobSpec& spec) { return f.scheduler.submit(spec, f.now).value().refusal.value(); };
        CPPUNIT_ASSERT(reasonOf(f.job("big", 129)) == RefusalReason::NeverFits);
        // The shape takes 32 of the 128 accelerators.
        CPPUNIT_ASSERT(reasonOf(f.nonRevocableJob("wide", 97)) == RefusalReason::NeverFits);
        auto unknownWorkspace = f.job("s", 1);
        unknownWorkspace.workspace = WorkspaceId("nobody");
        CPPUNIT_ASSERT(reasonOf(unknownWorkspace) == RefusalReason::UnknownWorkspace);
        auto unknownClass = f.job("c", 1);
        unknownClass.workClass = ClassId("none");
        CPPUNIT_ASSERT(reasonOf(unknownClass) == RefusalReason::UnknownClass);
        auto unknownShape = f.job("x", 1);
        unknownShape.shape = ShapeId("none");
        CPPUNIT_ASSERT(reasonOf(unknownShape) == RefusalReason::UnknownShape);
        CPPUNIT_ASSERT(reasonOf(f.shapeJob("wide", 33)) == RefusalReason::NeverFits);
        CPPUNIT_ASSERT(f.scheduler.submit(f.job("b2", 129), f.now).value().neverRan);
    }

    void urgentClassGoesFirst()
    {
        Fixture f;
        f.submit(f.nonRevocableJob("filler", 96));
        f.decide();
        f.submit(f.nonRevocableJob("bulk", 96));
        f.submit(f.nonRevocableJob("check", 96, "checks"));
        f.decide();
        f.end("filler", EndKind::Completed);
        f.decide();
        CPPUNIT_ASSERT(f.runs("check"));
        CPPUNIT_ASSERT(!f.runs("bulk"));
    }

    void quotaLimitsAWorkspace()
    {
        auto manifest = smallManifest();
        manifest.workspaces[1].quota = 24;
        Fixture f(manifest);
        f.submit(f.job("a", 16));
        f.submit(f.job("b", 16));
        f.decide();
        CPPUNIT_ASSERT(f.runs("a") != f.runs("b"));
        auto waiting = f.runs("a") ? "b" : "a";
        CPPUNIT_ASSERT(f.textOf(waiting).find("may use 24") != std::string::npos);
    }

    void cancelledInQueueNeverRan()
    {
        Fixture f(smallManifest(), {}, 0);
        f.submit(f.job("a", 8));
        f.scheduler.cancel(JobId("a"), f.now);
        f.decide();
        CPPUNIT_ASSERT(f.endOf("a").neverRan);
        CPPUNIT_ASSERT(f.endOf("a").refusal == RefusalReason::Cancelled);
    }

    void cancelledWhileRunningIsStopped()
    {
        Fixture f;
        f.submit(f.job("a", 8));
        f.decide();
        f.scheduler.cancel(JobId("a"), f.now);
        f.decide();
        CPPUNIT_ASSERT(f.preempted("a") && !f.preempted("a")->checkpoint);
        f.end("a", EndKind::Stopped);
        f.decide();
        CPPUNIT_ASSERT(!f.endOf("a").neverRan);
        CPPUNIT_ASSERT(f.endOf("a").refusal == RefusalReason::Cancelled);
    }

    void shapeIsReclaimedFromOtherWorkspaces()
    {
        Fixture f;
        for (int i = 0; i < 16; ++i)
            f.submit(f.job("b" + std::to_string(i), 8));
        f.decide();
        CPPUNIT_ASSERT_EQUAL(128u, f.scheduler.usage().used); // the shape's run is in use by guest jobs
        f.submit(f.shapeJob("call", 32));
        f.decide();
        f.endPreempted(); // the preempted gangs release the run
        f.decide();
        CPPUNIT_ASSERT(f.runOf("call") == (Run { 0, 32 }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), f.scheduler.usage().queued);
    }

    void nonRevocableJobsStayOutsideShapes()
    {
        Fixture f;
        for (int i = 0; i < 16; ++i)
            f.submit(f.nonRevocableJob("b" + std::to_string(i), 8));
        f.decide();
        CPPUNIT_ASSERT_EQUAL(96u, f.scheduler.usage().used);
        f.submit(f.shapeJob("call", 32));
        f.decide();
        CPPUNIT_ASSERT(f.runOf("call") == (Run { 0, 32 }));
    }

    void shapeMovesWhenItsWorkerGoesDown()
    {
        Fixture f;
        f.scheduler.workerDown(2, f.now);
        f.submit(f.shapeJob("call", 32));
        f.decide();
        CPPUNIT_ASSERT_EQUAL(32u, f.runOf("call").count);
        CPPUNIT_ASSERT(f.runOf("call").first >= 24u);
    }

    void urgentJobPreemptsLentCapacity()
    {
        Fixture f;
        for (int i = 0; i < 16; ++i)
            f.submit(f.job("b" + std::to_string(i), 8));
        f.decide();
        f.submit(f.job("check", 16, "checks"));
        f.decide();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), f.endPreempted());
        f.decide();
        CPPUNIT_ASSERT(f.runs("check"));
    }

    void slowCheckpointIsStoppedAtTheBound()
    {
        Fixture f;
        f.submit(f.job("slow", 128));
        f.decide();
        f.submit(f.shapeJob("call", 32));
        f.decide();
        CPPUNIT_ASSERT(f.preempted("slow")->checkpoint);
        f.now += Duration { 3000 };
        f.decide();
        CPPUNIT_ASSERT(!f.preempted("slow")->checkpoint);
    }

    void checkpointedJobResumesFromItsProgress()
    {
        Fixture f;
        f.submit(f.job("a", 8));
        f.decide();
        f.end("a", EndKind::Checkpointed, Duration { 7000 });
        f.decide();
        CPPUNIT_ASSERT(f.startOf("a").job.progress == Duration { 7000 });
        CPPUNIT_ASSERT_EQUAL(GangId("a/2"), f.startOf("a").gang);
    }

    void lostWorkerRestartsOnlyRestartableJobs()
    {
        Fixture f;
        auto again = f.nonRevocableJob("again", 8);
        again.restartable = true;
        f.submit(again);
        f.submit(f.nonRevocableJob("once", 8));
        f.decide();
        f.end("again", EndKind::WorkerLost);
        f.end("once", EndKind::WorkerLost);
        f.decide();
        CPPUNIT_ASSERT_EQUAL(2u, f.startOf("again").job.attempt);
        CPPUNIT_ASSERT(f.endOf("once").kind == EndKind::WorkerLost);
        CPPUNIT_ASSERT(!f.endOf("once").neverRan);
    }

    void unknownOutcomeIsNeverStartedAgain()
    {
        Fixture f;
        auto again = f.job("again", 8);
        again.restartable = true;
        f.submit(again);
        f.decide();
        f.end("again", EndKind::Unknown);
        f.decide();
        CPPUNIT_ASSERT(f.endOf("again").refusal == RefusalReason::OutcomeUnknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), f.scheduler.usage().running);
    }

    void failingWorkerIsQuarantinedAndProbed()
    {
        Fixture f;
        int starts = 0;
        auto failOn = [&](std::uint32_t worker) {
            for (const auto& gang : f.gangsOn(worker)) {
                ++starts;
                f.endGang(gang, EndKind::Failed, { worker });
            }
        };
        for (int i = 0; i < 200; ++i) {
            auto spec = f.job("j" + std::to_string(i), 8);
            spec.restartable = true;
            f.submit(spec);
            f.decide();
            failOn(0);
            f.now += Duration { 1 };
            if (i % 3 == 0)
                f.endAll(EndKind::Completed);
        }
        CPPUNIT_ASSERT_EQUAL(3, starts);
        f.now += Duration { 31'000 };
        f.submit(f.restartable("probe", 8));
        f.decide();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.gangsOn(0).size()); // a single probe
    }

    void jobThatFailsEverywhereEnds()
    {
        Fixture f;
        f.submit(f.restartable("bad", 8));
        std::set<std::uint32_t> tried;
        for (int i = 0; i < 20 && !f.ended("bad"); ++i) {
            f.decide();
            if (!f.runs("bad"))
                continue;
            tried.insert(f.runOf("bad").first);
            f.end("bad", EndKind::Failed);
        }
        f.decide();
        CPPUNIT_ASSERT(f.endOf("bad").refusal == RefusalReason::FailsEverywhere);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), tried.size()); // each attempt on a different worker
        CPPUNIT_ASSERT_EQUAL(0u, f.scheduler.usage().down); // no worker is quarantined
    }

    void jobWithTooManyLostWorkersIsNotQueuedAgain()
    {
        Fixture f;
        f.submit(f.restartable("deadly", 8));
        for (std::uint32_t losses = 1; losses <= 3; ++losses) {
            f.decide();
            CPPUNIT_ASSERT(f.runs("deadly"));
            f.endGang(f.startOf("deadly").gang, EndKind::WorkerLost, { 0 }, {}, losses);
        }
        f.decide();
        CPPUNIT_ASSERT(f.endOf("deadly").kind == EndKind::WorkerLost);
        CPPUNIT_ASSERT(f.endOf("deadly").refusal == RefusalReason::WorkersLost);
        CPPUNIT_ASSERT_EQUAL(
            std::string("3 times in a row a worker was lost while the job ran; it is not started again."),
            f.textOf("deadly"));
        auto found = f.restartable("found", 8); // As restored from the journal by the next owner.
        found.workerLosses = 3;
        auto end = f.scheduler.submit(found, f.now);
        CPPUNIT_ASSERT(end && end->refusal == RefusalReason::WorkersLost && !end->neverRan);
    }

    // After a change of owner, workers report one by one. A job that fails on the first ones to report must
    // not end with FailsEverywhere.
    void failedWorkerIsAvoidedWhileOthersHaveNotReported()
    {
        Fixture f(smallManifest(), {}, 2);
        f.submit(f.restartable("wide", 16));
        f.decide();
        f.endGang(f.startOf("wide").gang, EndKind::StartFailed, { 1 });
        f.decide();
        f.now += Duration { 35 };
        f.decide();
        CPPUNIT_ASSERT(!f.runs("wide"));
        CPPUNIT_ASSERT(!f.ended("wide"));
        f.scheduler.workerUp(2, f.now);
        f.scheduler.workerUp(3, f.now);
        f.decide();
        CPPUNIT_ASSERT(f.runOf("wide") == (Run { 16, 16 }));
        f.end("wide", EndKind::Completed);
    }

    void jobThatFailsOnAllRemainingWorkersEnds()
    {
        Fixture f(smallManifest(), {}, 2);
        f.submit(f.restartable("wide", 16));
        int starts = 0;
        for (int i = 0; i < 120 && !f.ended("wide"); ++i) {
            f.decide();
            if (f.runs("wide")) {
                ++starts;
                f.endGang(f.startOf("wide").gang, EndKind::StartFailed, { 1 });
            }
            f.now += Duration { 1000 };
        }
        f.decide();
        CPPUNIT_ASSERT(f.endOf("wide").refusal == RefusalReason::FailsEverywhere);
        CPPUNIT_ASSERT_EQUAL(2, starts);
    }

    void adoptedGangKeepsItsRun()
    {
        Fixture f;
        auto spec = f.shapeJob("a", 32);
        f.scheduler.submit(spec, f.now); // as restored from the journal
        f.scheduler.adopt(spec, GangId("a/1"), { 40, 32 }, Duration { 5000 }, f.now);
        f.submit(f.nonRevocableJob("b", 48));
        f.decide();
        CPPUNIT_ASSERT(!f.runs("a")); // not started again
        CPPUNIT_ASSERT(!f.runOf("b").overlaps({ 40, 32 }));
        CPPUNIT_ASSERT(f.scheduler.explain(JobId("a"), f.now).run == (Run { 40, 32 }));
    }

    void newManifestKeepsRunningGangs()
    {
        Fixture f;
        f.submit(f.nonRevocableJob("a", 96));
        f.decide();
        auto runBefore = f.runOf("a");
        auto manifest = smallManifest();
        manifest.workspaces[0].shapes[0].accelerators = 48;
        f.scheduler.reconfigure(manifest);
        f.submit(f.shapeJob("call", 48));
        f.decide();
        CPPUNIT_ASSERT(f.scheduler.explain(JobId("a"), f.now).run == runBefore);
        CPPUNIT_ASSERT(!f.runs("call"));
        f.end("a", EndKind::Completed);
        f.decide();
        CPPUNIT_ASSERT_EQUAL(48u, f.runOf("call").count);
    }

    // A non-revocable job must not start in a reserved run because its declared run time is short: the
    // declaration may be wrong and the job would then delay the reservation.
    void shortDeclaredRunTimeDoesNotEnterAReservedRun()
    {
        Fixture f;
        f.submit(f.nonRevocableJob("a", 48));
        f.submit(f.nonRevocableJob("b", 48));
        f.decide();
        f.submit(f.nonRevocableJob("large", 96));
        f.now += Duration { 300'000 };
        f.decide();
        CPPUNIT_ASSERT(f.textOf("large").find("reserved") != std::string::npos);
        f.end("a", EndKind::Completed);
        auto underdeclared = f.nonRevocableJob("short", 8);
        underdeclared.declaredRunTime = Duration { 1000 };
        f.submit(underdeclared);
        f.decide();
        CPPUNIT_ASSERT(!f.runs("short"));
        f.end("b", EndKind::Completed);
        f.decide();
        CPPUNIT_ASSERT(f.runs("large"));
    }

    void migrationMergesFreeRuns()
    {
        Fixture f;
        for (int i = 0; i < 16; ++i)
            f.submit(f.job("j" + std::to_string(i), 8));
        f.decide();
        f.now += Duration { 600'000 };
        for (std::uint32_t worker = 0; worker < 16; worker += 2)
            f.endGang(f.gangsOn(worker).front(), EndKind::Completed); // frees every second worker
        f.decide();
        f.submit(f.job("large", 32));
        f.decide();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), f.endPreempted());
        f.decide();
        CPPUNIT_ASSERT_EQUAL(32u, f.runOf("large").count);
        CPPUNIT_ASSERT_EQUAL(std::size_t(9), f.gangs.size()); // the preempted gangs run elsewhere
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulingTest);
