// Decisions between stopping runs for an urgent step and waiting for runs that end by themselves.
#include "jujubereach/fleet/preemption-cost.h"

#include "fake-fleet.h"

using namespace jujubereach;
using namespace jujubereach::fleet;

class PreemptionCostTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PreemptionCostTest);
    CPPUNIT_TEST(countsTheWorkSinceTheLastCheckpoint);
    CPPUNIT_TEST(waitsOnlyAsLongAsAStopWouldTake);
    CPPUNIT_TEST(holdsNoCapacityOfUrgentRuns);
    CPPUNIT_TEST(aStepThatIsTooLatePreemptsNothing);
    CPPUNIT_TEST(stopsAGangJustAfterItsCheckpoint);
    CPPUNIT_TEST(urgentGangsAwaitRunsThatEndSoon);
    CPPUNIT_TEST(aRunThatLastsLongerDelaysAnUrgentGangOnlyBriefly);
    CPPUNIT_TEST(guaranteedWorkWaitsForHalfASecondAtMost);
    CPPUNIT_TEST(aSuccessorPlacesTheUrgentGangOfAWait);
    CPPUNIT_TEST(unboundedObjectivesDoNotOverflow);
    CPPUNIT_TEST(awaitsRunsThatEndSlightlyLate);
    CPPUNIT_TEST(limitsTheWaitOfGuaranteedWork);
    CPPUNIT_TEST(awaitsCheckpointsOnlyOnce);
    CPPUNIT_TEST(tellsWhatFitsNow);
    CPPUNIT_TEST(adoptedRunsAreNotFreeToStop);
    CPPUNIT_TEST_SUITE_END();

    static constexpr TimePoint start { Duration(100'000) };

    /// An urgent task of a whole worker and one worker that is full of `victims`.
    struct Case {
        Case()
        {
            spec.resources = { 8000, 1000, 8 };
            request.spec = &spec;
            request.service = ServiceId("s");
            request.rank = 1;
            request.maxLoss = 100;
            WorkerView view;
            view.id = WorkerId("a");
            view.service = ServiceId("s");
            view.capacity = { 64'000, 262'144, 8 };
            view.free = { 56'000, 262'144, 0 };
            views.push_back(view);
            need.now = start;
            need.stopTime = timeOfStop(Duration(200));
            need.runTime = Duration(2000);
            need.inTimeBy = start + Duration(5000);
            need.usefulBy = start + Duration(15'000);
            need.utility = 10;
        }

        PreemptionCandidate& addVictim(Duration endsIn)
        {
            const TaskId task { JobId("v"), 0, 0, static_cast<int>(views[0].preemptible.size()) };
            PreemptionCandidate victim { task, { 1000, 1000, 4 }, 2, 0.1, 5, false };
            victim.endsAt = start + endsIn;
            views[0].preemptible.push_back(victim);
            return views[0].preemptible.back();
        }

        PreemptionDecision decide() const { return decidePreemption(request, views, need); }

        StepSpec spec;
        PlaceRequest request;
        std::vector<WorkerView> views;
        UrgentNeed need;
    };

    static void assertOutcome(const char* expected, const PreemptionDecision& decision)
    {
        CPPUNIT_ASSERT_EQUAL(std::string(expected), std::string(nameOf(decision.outcome)));
    }

    // An average loss of half an interval hid that a gang just before its checkpoint loses most.
    void countsTheWorkSinceTheLastCheckpoint()
    {
        VictimRun run { Duration(3900), true, true, true, Duration(2000), Duration(250) };
        CPPUNIT_ASSERT(lostTime(run) == Duration(2150));
        run.elapsed = Duration(4100);
        CPPUNIT_ASSERT(lostTime(run) == Duration(350));
        run.startKnown = false;
        CPPUNIT_ASSERT(lostTime(run) == Duration(1250));
        run.gang = false;
        CPPUNIT_ASSERT(lostTime(run) == Duration(250));
        run.checkpointing = false;
        CPPUNIT_ASSERT(lostTime(run) == Duration(4100));
    }

    // Waiting must not make a step late that a stop would have kept in time.
    void waitsOnlyAsLongAsAStopWouldTake()
    {
        Case soon;
        soon.addVictim(Duration(300));
        soon.addVictim(Duration(400));
        const auto decision = soon.decide();
        assertOutcome("wait", decision);
        CPPUNIT_ASSERT(decision.until == start + Duration(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), decision.found.awaited.size());
        soon.need.awaitsSince = start - Duration(600); // It has waited in vain.
        assertOutcome("stop", soon.decide());
        soon.need.awaitsSince = {};
        soon.need.inTimeBy = start + Duration(2700); // No time is left for a stop after the wait.
        assertOutcome("stop", soon.decide());

        Case mixed;
        mixed.addVictim(Duration(300));
        mixed.addVictim(Duration(3000));
        const auto partly = mixed.decide();
        assertOutcome("stop", partly);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), partly.found.victims.size());
        CPPUNIT_ASSERT_EQUAL(1, partly.found.victims.front().index);
    }

    // Holds for the ends of urgent runs kept other urgent steps waiting in an urgent flood.
    void holdsNoCapacityOfUrgentRuns()
    {
        Case both;
        both.addVictim(Duration(300));
        both.addVictim(Duration(300)).priority = 0;
        assertOutcome("give-up", both.decide());
        both.views[0].preemptible[1].priority = 1;
        assertOutcome("wait", both.decide());
    }

    void aStepThatIsTooLatePreemptsNothing()
    {
        Case late;
        late.addVictim(Duration(3000));
        late.addVictim(Duration(4000));
        late.need.inTimeBy = start;
        late.need.usefulBy = start + Duration(2300);
        assertOutcome("give-up", late.decide());
        late.need.guaranteed = true;
        assertOutcome("stop", late.decide());
    }

    void stopsAGangJustAfterItsCheckpoint()
    {
        Case gang;
        gang.addVictim(Duration(3000)).nextCheckpoint = start + Duration(300);
        gang.addVictim(Duration(4000));
        assertOutcome("wait", gang.decide());
        gang.need.inTimeBy = start + Duration(2600);
        assertOutcome("stop", gang.decide());
    }

    // Two workers of four bulk tasks each, then an urgent gang that needs all of both workers.
    static void fill(FakeFleet& fleet, Duration estimate, Duration actual, Duration before)
    {
        fleet.addWorker("a");
        fleet.addWorker("b");
        fleet.stopTime = Duration(150);
        fleet.workTime
            = [=](const TaskId& task) { return task.job.str()[0] == 'b' ? actual : Duration(2000); };
        fleet.takeOver();
        fleet.run(Duration(500));
        auto bulk = FakeFleet::job("bulk", 8, { 1000, 1000, 1 }, 2);
        bulk.spec.steps[0].maxPerWorker = 4;
        bulk.spec.steps.push_back(bulk.spec.steps[0]); // Its work keeps the rank below that of the gang.
        bulk.spec.steps[0].estimate = estimate;
        bulk.spec.steps[1].after = { 0 };
        fleet.submit(bulk);
        fleet.run(before);
        auto urgent = FakeFleet::job("urgent", 2, { 64'000, 1000, 8 }, 0);
        urgent.spec.steps[0].gang = true;
        fleet.submit(urgent);
    }

    static int startsOf(const FakeFleet& fleet, const std::string& job)
    {
        int starts = 0;
        for (const auto& [task, count] : fleet.observed.starts)
            starts += task.job.str() == job ? count : 0;
        return starts;
    }

    // Bulk runs with 0.3 s left were stopped unsaved, and ran again from their start.
    void urgentGangsAwaitRunsThatEndSoon()
    {
        for (const auto enabled : { true, false }) {
            FakeFleet fleet;
            fleet.settings.features.preemptionCost = enabled;
            fleet.config->workspaces.clear();
            fill(fleet, Duration(2000), Duration(2000), Duration(1700));
            fleet.run(Duration(700));
            CPPUNIT_ASSERT_EQUAL(2, startsOf(fleet, "urgent"));
            fleet.run(Duration(20'000));
            CPPUNIT_ASSERT_EQUAL(enabled ? 16 : 24, startsOf(fleet, "bulk"));
            CPPUNIT_ASSERT_EQUAL(enabled ? 1 : 0,
                static_cast<int>(fleet.counts["jujubereach_preemptions_total wait runs end soon w"]));
            CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        }
    }

    // Estimates are off: runs that were expected to end are still running, and are stopped after all.
    void aRunThatLastsLongerDelaysAnUrgentGangOnlyBriefly()
    {
        FakeFleet fleet;
        fleet.settings.features.preemptionCost = true;
        fleet.config->workspaces.clear();
        fill(fleet, Duration(700), Duration(4000), Duration(400));
        fleet.run(Duration(900));
        CPPUNIT_ASSERT_EQUAL(2, startsOf(fleet, "urgent"));
        CPPUNIT_ASSERT_EQUAL(1.0, fleet.counts["jujubereach_preemptions_total wait runs end soon w"]);
        CPPUNIT_ASSERT_EQUAL(1.0, fleet.counts["jujubereach_preemptions_total stop urgent w"]);
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
    }

    void guaranteedWorkWaitsForHalfASecondAtMost()
    {
        FakeFleet fleet;
        fleet.settings.features.preemptionCost = true;
        fleet.settings.stopTimeout = Duration(1000);
        fill(fleet, Duration(700), Duration(4000), Duration(400));
        const auto stops = [&] { return fleet.counts["jujubereach_preemptions_total stop urgent w"]; };
        fleet.run(Duration(250));
        CPPUNIT_ASSERT_EQUAL(0.0, stops());
        fleet.run(Duration(400));
        CPPUNIT_ASSERT_EQUAL(1.0, stops());
        fleet.run(Duration(250));
        CPPUNIT_ASSERT_EQUAL(1.0, fleet.counts["jujubereach_preemptions_total wait runs end soon w"]);
        CPPUNIT_ASSERT_EQUAL(2, startsOf(fleet, "urgent"));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
    }

    // The plan to wait is not stored: a successor must decide anew, with adopted runs of unknown start.
    void aSuccessorPlacesTheUrgentGangOfAWait()
    {
        FakeFleet fleet;
        fleet.settings.features.preemptionCost = true;
        fill(fleet, Duration(2000), Duration(2000), Duration(1700));
        fleet.run(Duration(100));
        fleet.takeOver();
        fleet.run(Duration(1500));
        CPPUNIT_ASSERT_EQUAL(2, startsOf(fleet, "urgent"));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        fleet.run(Duration(20'000));
        CPPUNIT_ASSERT(fleet.savedState("bulk") == JobState::Completed);
    }

    // The bound overflowed to a time in the past, so that the route preempted nothing.
    void unboundedObjectivesDoNotOverflow()
    {
        FakeFleet fleet;
        fleet.settings.features.preemptionCost = true;
        fleet.config->workspaces.clear();
        for (auto& [id, route] : fleet.config->routes)
            route.objective = Duration::max();
        fill(fleet, Duration(9000), Duration(9000), Duration(400));
        fleet.run(Duration(1500));
        CPPUNIT_ASSERT_EQUAL(2, startsOf(fleet, "urgent"));
    }

    // A run of 6 s was stopped when it ended 50 ms late, since it was taken to last 1.2 s longer.
    void awaitsRunsThatEndSlightlyLate()
    {
        const auto end = correctedEnd(start - Duration(50), Duration(6000), start);
        CPPUNIT_ASSERT(end > start && end <= start + Duration(200));
        CPPUNIT_ASSERT(correctedEnd(start - Duration(300), Duration(6000), start) == start + Duration(1200));
    }

    // Guaranteed steps must start within seconds, also where a stop may take longer.
    void limitsTheWaitOfGuaranteedWork()
    {
        Case soon;
        soon.need.guaranteed = true;
        soon.need.stopTime = Duration(1200);
        CPPUNIT_ASSERT(awaitLimit(soon.need) == start + Duration(500));
        soon.need.awaitsSince = start - Duration(500);
        CPPUNIT_ASSERT(awaitLimit(soon.need) == TimePoint {});
    }

    // If the interval is shorter than a stop, a checkpoint is always due: the step waited until it was late.
    void awaitsCheckpointsOnlyOnce()
    {
        Case gang;
        gang.addVictim(Duration(3000)).nextCheckpoint = start + Duration(100);
        gang.addVictim(Duration(4000));
        CPPUNIT_ASSERT_EQUAL(std::string("a checkpoint is due"), std::string(gang.decide().why));
        gang.need.awaitsSince = start - Duration(350);
        assertOutcome("stop", gang.decide());
    }

    // A placement that needs no end of a run was counted as a wait for one.
    void tellsWhatFitsNow()
    {
        Case now;
        now.views[0].free = now.views[0].capacity;
        CPPUNIT_ASSERT_EQUAL(std::string("fits now"), std::string(now.decide().why));
    }

    // Adopted runs seemed to have lost nothing in the first second after a takeover.
    void adoptedRunsAreNotFreeToStop()
    {
        VictimRun run { Duration(100), false, true, true, Duration(2000), Duration(250) };
        CPPUNIT_ASSERT(lostTime(run) == Duration(1250));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PreemptionCostTest);
