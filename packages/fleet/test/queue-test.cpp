// Placement, displacement, reservation and queue order.
#include "jujubereach/fleet/placement.h"
#include "jujubereach/fleet/queue-order.h"
#include "jujubereach/fleet/reservation.h"
#include "jujubereach/fleet/reserve.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace jujubereach;
using namespace jujubereach::fleet;

class QueueTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(QueueTest);
    CPPUNIT_TEST(smallTasksLeaveWholeWorkersFree);
    CPPUNIT_TEST(aGangTakesOneRackOrNothing);
    CPPUNIT_TEST(respectsLabelsRacksAndSpread);
    CPPUNIT_TEST(fillersKeepAwayFromTailTargets);
    CPPUNIT_TEST(prefersWorkersWithoutFailures);
    CPPUNIT_TEST(tasksCostlyToStopGoToTheLastRacks);
    CPPUNIT_TEST(displacesTheLeastWorkLost);
    CPPUNIT_TEST(displacesNothingMoreUrgent);
    CPPUNIT_TEST(displacesNothingOfHigherRank);
    CPPUNIT_TEST(displacesWithinTheMaximumLoss);
    CPPUNIT_TEST(reservesTheShareThatUrgentWorkUses);
    CPPUNIT_TEST(reservesNothingWithoutUrgentWork);
    CPPUNIT_TEST(reservesWholeRacksForUrgentWork);
    CPPUNIT_TEST(ordersByUtility);
    CPPUNIT_TEST(guaranteedWorkComesFirst);
    CPPUNIT_TEST(theBaselineIsFirstComeFirstServed);
    CPPUNIT_TEST(reservesTheRackThatIsAvailableSoonest);
    CPPUNIT_TEST(onlyTasksThatEndInTimeStartOnAReservedWorker);
    CPPUNIT_TEST_SUITE_END();

    static WorkerView worker(const std::string& name, const std::string& rack, std::int64_t accelerators = 8)
    {
        WorkerView view;
        view.id = WorkerId(name);
        view.service = ServiceId("s");
        view.rack = rack;
        view.capacity = { 64'000, 262'144, 8 };
        view.free = { 8000 * accelerators, 32'768 * accelerators, accelerators };
        return view;
    }

    static PlaceRequest ask(const StepSpec& spec, int count)
    {
        PlaceRequest request;
        request.spec = &spec;
        request.service = ServiceId("s");
        request.count = count;
        return request;
    }

    static StepSpec step(std::int64_t accelerators)
    {
        StepSpec spec;
        spec.resources = { 1000 * accelerators, 1000, accelerators };
        return spec;
    }

    void smallTasksLeaveWholeWorkersFree()
    {
        std::vector<WorkerView> fleet { worker("a", "r"), worker("b", "r", 3), worker("c", "r") };
        const auto small = step(1);
        for (const auto i : place(ask(small, 3), fleet))
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), i);
        const auto whole = step(8);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), place(ask(whole, 2), fleet).size());
    }

    void aGangTakesOneRackOrNothing()
    {
        std::vector<WorkerView> fleet { worker("a", "r1"), worker("b", "r2"), worker("c", "r2", 4) };
        auto gang = step(8);
        gang.gang = gang.sameRack = true;
        CPPUNIT_ASSERT(place(ask(gang, 2), fleet).empty());
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(8), fleet[0].free.accelerators); // The failed attempt takes nothing.
        auto smaller = step(4);
        smaller.gang = smaller.sameRack = true;
        const auto placement = place(ask(smaller, 3), fleet);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), placement.size());
        for (const auto i : placement)
            CPPUNIT_ASSERT_EQUAL(std::string("r2"), fleet[i].rack);
    }

    void respectsLabelsRacksAndSpread()
    {
        const std::vector<std::string> labels { "fast" };
        std::vector<WorkerView> fleet { worker("a", "r1"), worker("b", "r2") };
        fleet[1].labels = &labels;
        auto labelled = step(1);
        labelled.label = "fast";
        CPPUNIT_ASSERT(place(ask(labelled, 1), fleet) == Placement { 1 });
        auto near = step(1);
        near.rack = "r1";
        CPPUNIT_ASSERT(place(ask(near, 1), fleet) == Placement { 0 });
        auto spread = step(1);
        spread.maxPerWorker = 1;
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), place(ask(spread, 5), fleet).size());
        auto again = ask(spread, 5);
        const std::map<WorkerId, int> running { { WorkerId("a"), 1 } };
        again.onWorker = &running;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), place(again, fleet).size());
    }

    void fillersKeepAwayFromTailTargets()
    {
        std::vector<WorkerView> fleet { worker("a", "r1") };
        fleet[0].latencySensitive = true;
        auto filler = step(1);
        filler.bestEffort = true;
        CPPUNIT_ASSERT(place(ask(filler, 1), fleet).empty());
        fleet[0].latencySensitive = false;
        fleet[0].bestEffort = true;
        auto latencySensitiveStep = step(1);
        latencySensitiveStep.tailTarget = Duration(50);
        CPPUNIT_ASSERT(place(ask(latencySensitiveStep, 1), fleet).empty());
    }

    void prefersWorkersWithoutFailures()
    {
        std::vector<WorkerView> fleet { worker("a", "r1", 1), worker("b", "r1") };
        fleet[0].failurePenalty = 1;
        const auto small = step(1);
        CPPUNIT_ASSERT(place(ask(small, 1), fleet) == Placement { 1 });
        auto request = ask(small, 1);
        const std::set<WorkerId> failed { WorkerId("b") };
        request.avoid = &failed;
        CPPUNIT_ASSERT(place(request, fleet) == Placement { 0 });
    }

    // Urgent gangs amid much bulk work are placed on the first racks. Only tasks that are cheap to stop run
    // there, so that no work is displaced that cannot be saved.
    void tasksCostlyToStopGoToTheLastRacks()
    {
        std::vector<WorkerView> fleet { worker("a", "r1"), worker("b", "r2") };
        fleet[1].rackOrder = 0.5;
        const auto bulk = step(1);
        auto costly = ask(bulk, 1);
        costly.costlyToStop = true;
        CPPUNIT_ASSERT(place(costly, fleet) == Placement { 1 });
        CPPUNIT_ASSERT(place(ask(bulk, 1), fleet) == Placement { 0 });
    }

    static void fill(WorkerView& view, int priority, double loss, bool gang = false, double rank = 0)
    {
        for (int i = 0; i < 8; ++i)
            view.preemptible.push_back(
                { TaskId { JobId(view.id.str()), 0, 0, i }, { 8000, 1000, 1 }, priority, rank, loss, gang });
        view.free = {};
    }

    void displacesTheLeastWorkLost()
    {
        std::vector<WorkerView> fleet { worker("a", "r1"), worker("b", "r2") };
        fill(fleet[0], 2, 40);
        fill(fleet[1], 2, 5);
        auto urgent = step(4);
        urgent.gang = urgent.sameRack = true;
        auto request = ask(urgent, 1);
        request.maxLoss = 1000;
        const auto found = placeByPreemption(request, fleet);
        CPPUNIT_ASSERT(found.placement == Placement { 1 });
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), found.victims.size());
    }

    void displacesNothingMoreUrgent()
    {
        std::vector<WorkerView> fleet { worker("a", "r1") };
        fill(fleet[0], 0, 1);
        const auto urgent = step(1);
        auto request = ask(urgent, 1);
        request.maxLoss = 1000;
        CPPUNIT_ASSERT(placeByPreemption(request, fleet).placement.empty());
    }

    // Late jobs of an urgent burst rank below running tasks. If they displaced these, the two would displace
    // each other in alternating passes.
    void displacesNothingOfHigherRank()
    {
        std::vector<WorkerView> fleet { worker("a", "r"), worker("b", "r") };
        fill(fleet[0], 2, 1, false, 0.5);
        fill(fleet[1], 2, 9, false, 0.1);
        const auto whole = step(8);
        auto request = ask(whole, 1);
        request.maxLoss = 100;
        request.rank = 0.3;
        const auto found = placeByPreemption(request, fleet);
        CPPUNIT_ASSERT(found.placement == Placement { 1 });
    }

    void displacesWithinTheMaximumLoss()
    {
        std::vector<WorkerView> fleet { worker("a", "r1") };
        fill(fleet[0], 2, 30);
        const auto urgent = step(2);
        auto request = ask(urgent, 1);
        request.maxLoss = 59;
        CPPUNIT_ASSERT(placeByPreemption(request, fleet).placement.empty());
        request.maxLoss = 60;
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), placeByPreemption(request, fleet).victims.size());
    }

    static WaitingStep waiting(int priority, double work)
    {
        WaitingStep step;
        step.priority = priority;
        step.idealDuration = step.remaining = Duration(5000);
        step.stretch = 3;
        step.work = step.remainingWork = work;
        step.meanWork = 100;
        return step;
    }

    static TimePoint at(std::int64_t seconds) { return TimePoint(Duration(1'000'000 + 1000 * seconds)); }

    void reservesTheShareThatUrgentWorkUses()
    {
        UrgentReserve reserve;
        for (int i = 0; i < 60; ++i)
            reserve.recordDemand(at(i), 0.2);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.2, reserve.share(), 0.02);
        UrgentReserve swinging;
        for (int i = 0; i < 60; ++i)
            swinging.recordDemand(at(i), i % 4 < 2 ? 0.1 : 0.3);
        CPPUNIT_ASSERT(swinging.share() > 0.25);
        CPPUNIT_ASSERT(swinging.share() < 0.35);
        for (int i = 60; i < 90; ++i)
            swinging.recordDemand(at(i), 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, swinging.share(), 0.001); // Capped, so that other work runs too.
    }

    void reservesNothingWithoutUrgentWork()
    {
        UrgentReserve reserve;
        for (int i = 0; i < 10; ++i)
            reserve.recordDemand(at(i), 0.4);
        for (int i = 10; i < 60; ++i)
            reserve.recordDemand(at(i), 0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, reserve.share(), 0.01);
    }

    void reservesWholeRacksForUrgentWork()
    {
        std::vector<WorkerView> fleet { worker("a", "r1"), worker("b", "r2"), worker("c", "r3"),
            worker("d", "r4") };
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet[i].rackOrder = 0.25 * static_cast<double>(i);
        reserveRacks(ServiceId("s"), 0.3, fleet);
        CPPUNIT_ASSERT(
            fleet[0].reservedForUrgent && !fleet[1].reservedForUrgent && !fleet[3].reservedForUrgent);
        const auto whole = step(8);
        auto bulk = ask(whole, 4);
        bulk.priority = 2;
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), place(bulk, fleet).size());
        CPPUNIT_ASSERT(place(ask(whole, 1), fleet) == Placement { 0 });
    }

    // In a burst far beyond the capacity, small and urgent jobs come first, then those that can still be in
    // time.
    void ordersByUtility()
    {
        CPPUNIT_ASSERT(rankOf(waiting(0, 100)) > rankOf(waiting(1, 100)));
        CPPUNIT_ASSERT(rankOf(waiting(1, 100)) > rankOf(waiting(2, 100)));
        CPPUNIT_ASSERT(rankOf(waiting(2, 20)) > rankOf(waiting(2, 200)));
        auto late = waiting(1, 100);
        late.age = Duration(20'000);
        CPPUNIT_ASSERT(rankOf(waiting(1, 100)) > rankOf(late));
        auto hopeless = late;
        hopeless.age = Duration(60'000);
        CPPUNIT_ASSERT(rankOf(late) > rankOf(hopeless));
    }

    void guaranteedWorkComesFirst()
    {
        auto guaranteed = waiting(0, 400);
        guaranteed.guaranteed = true;
        guaranteed.age = Duration(60'000);
        CPPUNIT_ASSERT(rankOf(guaranteed) > rankOf(waiting(0, 1)));
    }

    void theBaselineIsFirstComeFirstServed()
    {
        WaitingStep late;
        late.priority = 2;
        late.age = Duration(900);
        late.work = late.remainingWork = 1000;
        WaitingStep urgent;
        urgent.age = Duration(100);
        urgent.work = urgent.remainingWork = 10;
        CPPUNIT_ASSERT(rankOf(urgent) > rankOf(late));
        CPPUNIT_ASSERT(rankOf(urgent, QueueOrder::ByArrival) < rankOf(late, QueueOrder::ByArrival));
        urgent.guaranteed = true;
        CPPUNIT_ASSERT(rankOf(urgent, QueueOrder::ByArrival) > rankOf(late, QueueOrder::ByArrival));
    }

    void reservesTheRackThatIsAvailableSoonest()
    {
        std::vector<WorkerView> fleet { worker("a", "r1", 0), worker("b", "r1", 0), worker("c", "r2", 4),
            worker("d", "r2", 8) };
        auto gang = step(8);
        gang.gang = gang.sameRack = true;
        const auto request = ask(gang, 2);
        const auto after = [](int ms, std::int64_t accelerators) {
            return ExpectedEnd { TimePoint(Duration(ms)),
                { 8000 * accelerators, 32'768 * accelerators, accelerators } };
        };
        const std::vector<std::vector<ExpectedEnd>> ends { { after(500, 8) }, { after(4000, 8) },
            { after(3000, 2), after(2000, 2) }, {} };
        CPPUNIT_ASSERT(needsReservation(request, fleet));
        const auto found = chooseReservation(request, fleet, ends, TimePoint(Duration(100)));
        CPPUNIT_ASSERT((found.views == std::vector<std::size_t> { 2, 3 }));
        CPPUNIT_ASSERT(found.freeAt == TimePoint(Duration(3000)));
        CPPUNIT_ASSERT(!needsReservation(ask(step(1), 3), fleet));
    }

    void onlyTasksThatEndInTimeStartOnAReservedWorker()
    {
        std::vector<WorkerView> fleet { worker("a", "r1") };
        fleet[0].reservedBy = reinterpret_cast<const Step*>(&fleet);
        fleet[0].reservedUntil = TimePoint(Duration(3000));
        const auto small = step(1);
        auto request = ask(small, 1);
        request.priority = 1;
        request.expectedEnd = TimePoint(Duration(3500));
        CPPUNIT_ASSERT(place(request, fleet).empty());
        request.expectedEnd = TimePoint(Duration(2500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), place(request, fleet).size());
        request.expectedEnd = TimePoint(Duration(3500));
        request.priority = 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), place(request, fleet).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueueTest);
