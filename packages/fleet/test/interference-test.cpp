// Latency-sensitive and best-effort tasks on the same workers, with the owner and fake workers: starts in
// both directions, paces that keep tails below their targets, and failures while tasks are paced.
#include "fake-fleet.h"

using namespace jujubereach;
using namespace jujubereach::fleet;

namespace {

constexpr Duration target { 100 };

/// Workers whose tails depend on load, speed and the best-effort tasks beside.
class Shared {
public:
    explicit Shared(int workers)
    {
        for (int i = 0; i < workers; ++i)
            fleet.addWorker("w" + std::to_string(i));
        fleet.workTime = [](const TaskId&) { return Duration(3'600'000); };
        fleet.tailOf
            = [this](const FakeWorker& worker, const TaskId& task) { return tail(worker, task, true); };
        fleet.takeOver();
        fleet.run(Duration(500));
    }

    static JobRecord filler(const std::string& id, int count, const std::string& image, int priority = 2)
    {
        auto record = FakeFleet::job(id, count, { 8000, 1000, 0 }, priority);
        auto& step = record.spec.steps[0];
        step.bestEffort = step.longRunning = true;
        step.image = image;
        step.maxPerWorker = 1;
        step.maxUnavailable = count;
        return record;
    }

    static JobRecord server(const std::string& id, int count = 1)
    {
        auto record = FakeFleet::job(id, count, { 4000, 1000, 0 }, 0);
        auto& step = record.spec.steps[0];
        step.longRunning = true;
        step.tailTarget = target;
        step.image = "server";
        step.maxPerWorker = 1;
        return record;
    }

    /// Checks the bound on the time over the target every 100 ms.
    void run(Duration time)
    {
        for (Duration passed { 0 }; passed < time; passed += Duration(100)) {
            fleet.run(Duration(100));
            for (const auto& [id, worker] : fleet.workers) {
                for (const auto& [task, live] : worker.live) {
                    const auto isOver = tail(worker, task, true) > static_cast<double>(target.count())
                        && tail(worker, task, false) <= static_cast<double>(target.count());
                    auto& over = m_over[task];
                    over = isOver ? over + Duration(100) : Duration(0);
                    longestOver = std::max(longestOver, over);
                }
            }
        }
    }

    int paceOf(const std::string& job, int index = 0) const
    {
        for (const auto& [id, worker] : fleet.workers) {
            const auto found = worker.live.find({ JobId(job), 0, 0, index });
            if (found != worker.live.end())
                return found->second.pace;
        }
        return -1;
    }

    WorkerId workerOf(const std::string& job, int index = 0) const
    {
        for (const auto& [id, worker] : fleet.workers) {
            if (worker.live.contains({ JobId(job), 0, 0, index }))
                return id;
        }
        return {};
    }

    bool logged(const std::string& text) const
    {
        return std::any_of(fleet.log.begin(), fleet.log.end(),
            [&](const std::string& line) { return line.find(text) != std::string::npos; });
    }

    FakeFleet fleet;
    double load = 50; ///< Tail without neighbours, on a worker of normal speed.
    std::map<std::string, double> harm; ///< Factor on the tail beside a task of the job at full pace.
    std::map<WorkerId, double> slowness;
    Duration longestOver { 0 };

private:
    double tail(const FakeWorker& worker, const TaskId& task, bool withFillers) const
    {
        if (task.job.str()[0] != 's')
            return 0;
        auto tail = load;
        if (const auto found = slowness.find(worker.id()); found != slowness.end())
            tail *= found->second;
        for (const auto& [other, live] : worker.live) {
            const auto found = harm.find(other.job.str());
            if (withFillers && found != harm.end())
                tail *= 1 + (found->second - 1) * live.pace / 100;
        }
        return tail;
    }

    std::map<TaskId, Duration> m_over;
};

} // namespace

class InterferenceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(InterferenceTest);
    CPPUNIT_TEST(anUrgentServerStartsAmongFillers);
    CPPUNIT_TEST(withoutTheFeatureTheClassesStayApart);
    CPPUNIT_TEST(fillersTakeNoProcessorsFromServers);
    CPPUNIT_TEST(aFillerStartsOnlyWithHeadroom);
    CPPUNIT_TEST(pacesOnlyTheInterferingImage);
    CPPUNIT_TEST(aSlowWorkerDoesNotStopItsFillers);
    CPPUNIT_TEST(keepsKnownPairsApart);
    CPPUNIT_TEST(aSuccessorSetsThePaceAnew);
    CPPUNIT_TEST(repeatsCallsWithoutAnAnswer);
    CPPUNIT_TEST(stopsFillersOfWorkersThatCannotPace);
    CPPUNIT_TEST(aRestartedWorkerIsLearnedAnew);
    CPPUNIT_TEST(pacesWhileTimePassesInTheOwner);
    CPPUNIT_TEST(pacesNoMoreTasksThanTheStepAllows);
    CPPUNIT_TEST(aFillerWaitsForAnotherWorkerThanItsVictims);
    CPPUNIT_TEST(holdsUnderChangingInterferenceAndTakeovers);
    CPPUNIT_TEST(aPausedTaskIsNotTakenForStalled);
    CPPUNIT_TEST(aWorkerThatHasLeftIsNoPlaceForPausedTasks);
    CPPUNIT_TEST(oneFreePlaceStopsOnePausedTask);
    CPPUNIT_TEST(aSuccessorPacesNoMoreTasksThanTheStepAllows);
    CPPUNIT_TEST(aClearedPairIsNotKeptApart);
    CPPUNIT_TEST(preemptsNothingThatFreesNoProcessors);
    CPPUNIT_TEST(aMissingTailIsNoHeadroom);
    CPPUNIT_TEST_SUITE_END();

    // The case of review/10: the server waited for ever, as the exclusion held for preemption as well.
    void anUrgentServerStartsAmongFillers()
    {
        Shared shared(6);
        shared.fleet.submit(Shared::filler("f", 6, "batch"));
        shared.run(Duration(2000));
        shared.fleet.submit(Shared::server("s"));
        shared.run(Duration(2000));
        CPPUNIT_ASSERT(!shared.workerOf("s").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), shared.fleet.liveRuns());
        CPPUNIT_ASSERT_EQUAL(0, shared.fleet.paceCalls);
        CPPUNIT_ASSERT_EQUAL(std::string(), shared.fleet.firstViolation());
    }

    void withoutTheFeatureTheClassesStayApart()
    {
        Shared shared(2);
        shared.fleet.settings.features.interference = false;
        shared.fleet.takeOver();
        shared.fleet.submit(Shared::filler("f", 2, "batch"));
        shared.run(Duration(2000));
        shared.fleet.submit(Shared::server("s"));
        shared.harm["f"] = 3;
        shared.run(Duration(5000));
        CPPUNIT_ASSERT(shared.workerOf("s").empty());
        CPPUNIT_ASSERT_EQUAL(0, shared.fleet.paceCalls);
    }

    // Fillers on all processors of the fleet would make the server wait for one of them to be stopped.
    void fillersTakeNoProcessorsFromServers()
    {
        Shared shared(2);
        for (int i = 0; i < 8; ++i)
            shared.fleet.submit(Shared::filler("f" + std::to_string(i), 2, "batch"));
        shared.run(Duration(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(16), shared.fleet.liveRuns());
        shared.fleet.submit(Shared::filler("g", 1, "batch"));
        shared.fleet.submit(Shared::server("s", 2));
        shared.run(Duration(2000));
        CPPUNIT_ASSERT(!shared.workerOf("s", 0).empty() && !shared.workerOf("s", 1).empty());
        CPPUNIT_ASSERT(shared.workerOf("g").empty()); // No idle processors are left for it.
        CPPUNIT_ASSERT_EQUAL(std::string(), shared.fleet.firstViolation());
    }

    // Started together beside a server, several fillers would exceed its target before any tail shows it.
    void aFillerStartsOnlyWithHeadroom()
    {
        Shared shared(1);
        shared.load = 75;
        shared.fleet.submit(Shared::server("s"));
        shared.run(Duration(1000));
        auto several = Shared::filler("f1", 2, "batch");
        several.spec.steps[0].maxPerWorker = 0;
        shared.fleet.submit(several);
        shared.fleet.submit(Shared::filler("f2", 1, "batch"));
        shared.run(Duration(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), shared.fleet.liveRuns());
        shared.load = 50;
        auto seen = shared.fleet.liveRuns();
        for (int i = 0; i < 8; ++i) {
            shared.run(Duration(900));
            CPPUNIT_ASSERT(shared.fleet.liveRuns() <= seen + 1);
            seen = shared.fleet.liveRuns();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), seen);
    }

    void pacesOnlyTheInterferingImage()
    {
        Shared shared(1);
        shared.harm["loud"] = 3;
        shared.fleet.submit(Shared::filler("loud", 1, "loud"));
        shared.fleet.submit(Shared::filler("quiet", 1, "quiet"));
        shared.run(Duration(500));
        shared.fleet.submit(Shared::server("s"));
        shared.run(Duration(40'000));
        CPPUNIT_ASSERT(shared.longestOver < shared.fleet.settings.interferenceBound);
        CPPUNIT_ASSERT(shared.paceOf("loud") < 80);
        CPPUNIT_ASSERT_EQUAL(100, shared.paceOf("quiet"));
        CPPUNIT_ASSERT(shared.logged("pace ") && shared.logged(R"("reason":"pressure")"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), shared.fleet.owner->figures().pacedTasks);
        CPPUNIT_ASSERT(shared.fleet.counts["jujubereach_tail_over_target_total"] >= 1);
    }

    // On the slow worker the server is over its target with and without its neighbour.
    void aSlowWorkerDoesNotStopItsFillers()
    {
        Shared shared(2);
        shared.slowness[WorkerId("w0")] = 2.5;
        shared.fleet.submit(Shared::filler("f", 2, "batch"));
        shared.run(Duration(500));
        shared.fleet.submit(Shared::server("s", 2));
        shared.run(Duration(20'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), shared.fleet.liveRuns());
        CPPUNIT_ASSERT(shared.logged("not-the-cause"));
        CPPUNIT_ASSERT(!shared.logged("kept-apart"));
    }

    // The interfering image is learned on one worker; a third server then has the choice between both
    // fillers.
    void keepsKnownPairsApart()
    {
        Shared shared(3);
        shared.harm["loud"] = shared.harm["other"] = 3;
        shared.fleet.submit(Shared::filler("loud", 1, "loud"));
        shared.run(Duration(1000));
        shared.fleet.submit(Shared::filler("other", 1, "loud"));
        shared.fleet.submit(Shared::filler("quiet", 1, "quiet"));
        shared.run(Duration(1000));
        shared.fleet.submit(Shared::server("s", 3));
        shared.run(Duration(6000));
        shared.fleet.cancel("s");
        shared.run(Duration(1000));
        shared.fleet.log.clear();
        shared.fleet.submit(Shared::server("s2"));
        shared.run(Duration(1000));
        CPPUNIT_ASSERT(!shared.workerOf("quiet").empty());
        CPPUNIT_ASSERT_EQUAL(shared.workerOf("quiet").str(), shared.workerOf("s2").str());
        CPPUNIT_ASSERT(shared.logged("kept-apart"));
    }

    // Without a call by the successor, a filler that the previous owner has paced would stay so for ever.
    void aSuccessorSetsThePaceAnew()
    {
        Shared shared(1);
        shared.harm["f"] = 3;
        shared.fleet.submit(Shared::filler("f", 1, "batch"));
        shared.fleet.submit(Shared::server("s"));
        shared.run(Duration(4000));
        CPPUNIT_ASSERT(shared.paceOf("f") < 100);
        shared.harm.clear();
        shared.fleet.takeOver();
        shared.run(Duration(1500));
        CPPUNIT_ASSERT_EQUAL(100, shared.paceOf("f"));
        shared.harm["f"] = 3;
        shared.run(Duration(4000));
        const auto paced = shared.paceOf("f");
        CPPUNIT_ASSERT(paced < 100);
        shared.fleet.takeOver(); // While it is paced, and the tail is below the target for that reason.
        shared.run(Duration(10'000));
        CPPUNIT_ASSERT(shared.longestOver < shared.fleet.settings.interferenceBound);
        CPPUNIT_ASSERT_EQUAL(std::string(), shared.fleet.firstViolation());
    }

    // A lost call may be executed up to 12 s later, after a call with another pace.
    void repeatsCallsWithoutAnAnswer()
    {
        Shared shared(1);
        shared.fleet.submit(Shared::filler("f", 1, "batch"));
        shared.fleet.submit(Shared::server("s"));
        shared.run(Duration(2000));
        shared.harm["f"] = 3;
        shared.fleet.losesPaces = true;
        shared.run(Duration(1000));
        CPPUNIT_ASSERT(shared.fleet.paceCalls > 0);
        shared.fleet.losesPaces = false;
        shared.harm.clear();
        shared.run(Duration(8000));
        CPPUNIT_ASSERT_EQUAL(100, shared.paceOf("f"));
        shared.fleet.workers.at(WorkerId("w0")).live.at({ JobId("f"), 0, 0, 0 }).pace = 0; // The late call.
        shared.run(Duration(1000));
        CPPUNIT_ASSERT_EQUAL(100, shared.paceOf("f"));
        shared.run(Duration(12'000));
        const auto calls = shared.fleet.paceCalls;
        shared.run(Duration(5000));
        CPPUNIT_ASSERT_EQUAL(calls, shared.fleet.paceCalls);
    }

    void stopsFillersOfWorkersThatCannotPace()
    {
        Shared shared(1);
        shared.fleet.refusesPaces = true;
        shared.fleet.submit(Shared::filler("f", 1, "batch"));
        shared.fleet.submit(Shared::server("s"));
        shared.run(Duration(2000));
        shared.harm["f"] = 3;
        shared.run(Duration(5000));
        CPPUNIT_ASSERT(shared.longestOver < shared.fleet.settings.interferenceBound);
        CPPUNIT_ASSERT(shared.logged("cannot-pace"));
    }

    // The means of the former machine would make the neighbour of the slower one look harmful.
    void aRestartedWorkerIsLearnedAnew()
    {
        Shared shared(1);
        shared.load = 30;
        shared.fleet.submit(Shared::server("s"));
        shared.run(Duration(5000));
        shared.fleet.restartWorker("w0");
        shared.slowness[WorkerId("w0")] = 2.2;
        shared.fleet.report(WorkerId("w0"));
        shared.fleet.submit(Shared::filler("f", 1, "batch"));
        for (int i = 0; i < 10; ++i) {
            shared.run(Duration(2000));
            shared.fleet.submit(Shared::filler("f" + std::to_string(i), 1, "batch"));
        }
        shared.run(Duration(2000));
        CPPUNIT_ASSERT(!shared.workerOf("f").empty() && !shared.logged("kept-apart"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), shared.fleet.liveRuns()); // As many as there are processors for.
    }

    // A tail that is told from an older one by the time at which it was recorded would never be used.
    void pacesWhileTimePassesInTheOwner()
    {
        Shared shared(1);
        shared.fleet.clockTicks = true;
        shared.fleet.submit(Shared::filler("f", 1, "batch"));
        shared.run(Duration(1000));
        shared.fleet.submit(Shared::server("s"));
        shared.harm["f"] = 3;
        shared.run(Duration(6000));
        CPPUNIT_ASSERT(shared.paceOf("f") < 100);
        CPPUNIT_ASSERT(shared.longestOver < shared.fleet.settings.interferenceBound);
    }

    // Each paced task counts as unavailable. The servers beside the others stay over their targets.
    void pacesNoMoreTasksThanTheStepAllows()
    {
        Shared shared(3);
        auto record = Shared::filler("f", 3, "batch");
        record.spec.steps[0].maxUnavailable = 1;
        shared.fleet.submit(record);
        shared.run(Duration(1000));
        shared.fleet.submit(Shared::server("s", 3));
        shared.harm["f"] = 3;
        auto mostPaced = 0;
        for (int i = 0; i < 100; ++i) {
            shared.run(Duration(100));
            auto paced = 0;
            for (int index = 0; index < 3; ++index)
                paced += shared.paceOf("f", index) < 100;
            mostPaced = std::max(mostPaced, paced);
        }
        CPPUNIT_ASSERT_EQUAL(1, mostPaced);
    }

    // With headroom alone, the known image would start beside the next server and be paced again.
    void aFillerWaitsForAnotherWorkerThanItsVictims()
    {
        Shared shared(1);
        shared.harm["loud"] = shared.harm["loud2"] = 3;
        shared.fleet.submit(Shared::filler("loud", 1, "loud"));
        shared.run(Duration(1000));
        shared.fleet.submit(Shared::server("s"));
        shared.run(Duration(8000));
        shared.fleet.cancel("loud");
        shared.run(Duration(1500));
        shared.fleet.submit(Shared::filler("loud2", 1, "loud"));
        shared.fleet.submit(Shared::filler("quiet", 1, "quiet"));
        shared.run(Duration(2000));
        CPPUNIT_ASSERT(!shared.workerOf("quiet").empty());
        CPPUNIT_ASSERT(shared.workerOf("loud2").empty() && shared.logged("kept-apart"));
        shared.fleet.addWorker("free");
        shared.fleet.report(WorkerId("free"));
        shared.run(Duration(2000));
        CPPUNIT_ASSERT(shared.workerOf("loud2") == WorkerId("free"));
    }

    void holdsUnderChangingInterferenceAndTakeovers()
    {
        Shared shared(4);
        shared.fleet.submit(Shared::filler("f", 4, "batch"));
        shared.fleet.submit(Shared::filler("g", 4, "index"));
        shared.fleet.submit(Shared::server("s", 4));
        for (int second = 0; second < 120; second += 2) {
            shared.harm["f"] = second % 6 == 0 ? 3 : 1;
            shared.harm["g"] = second % 10 == 0 ? 2.5 : 1;
            shared.load = second % 14 == 0 ? 90 : 45;
            if (second % 22 == 0)
                shared.fleet.takeOver();
            shared.run(Duration(2000));
        }
        CPPUNIT_ASSERT(shared.longestOver < shared.fleet.settings.interferenceBound);
        CPPUNIT_ASSERT(!shared.workerOf("s", 0).empty() && !shared.workerOf("s", 3).empty());
        CPPUNIT_ASSERT_EQUAL(std::string(), shared.fleet.firstViolation());
    }

    // At pace 0 the percentage stands still. The owner stopped such tasks and quarantined their workers.
    void aPausedTaskIsNotTakenForStalled()
    {
        Shared shared(1);
        shared.fleet.workTime = [](const TaskId&) { return Duration(100'000); };
        auto record = Shared::filler("f", 1, "batch");
        record.spec.steps[0].longRunning = false;
        shared.fleet.submit(record);
        shared.run(Duration(1500));
        shared.load = 95; // Needs pace 0, and is then below its target.
        shared.harm["f"] = 3;
        shared.fleet.submit(Shared::server("s"));
        shared.run(Duration(9000));
        CPPUNIT_ASSERT_EQUAL(0, shared.paceOf("f"));
        CPPUNIT_ASSERT(!shared.logged("stalled "));
        shared.load = 60; // Works at a low pace.
        shared.run(Duration(20'000));
        CPPUNIT_ASSERT(shared.paceOf("f") > 0);
        CPPUNIT_ASSERT(!shared.logged("stalled "));
    }

    // The decision to move a task was made with the views of the last pass: of a worker that had left, too.
    // It leaves 5 ms before the list that makes the decision.
    void aWorkerThatHasLeftIsNoPlaceForPausedTasks()
    {
        const WorkerId free("free");
        const auto play = [&free](Shared& shared, Duration time) {
            shared.fleet.submit(Shared::filler("f", 1, "batch"));
            shared.run(Duration(1500));
            shared.load = 95; // Needs pace 0.
            shared.harm["f"] = 3;
            shared.fleet.submit(Shared::server("s"));
            shared.run(Duration(6000));
            shared.fleet.addWorker("free");
            shared.fleet.report(free);
            shared.fleet.run(time);
        };
        Duration stoppedAfter { 0 };
        for (Shared shared(1); !shared.logged("too-long"); ++stoppedAfter) {
            if (stoppedAfter.count() == 0)
                play(shared, Duration(0));
            CPPUNIT_ASSERT(stoppedAfter < Duration(20'000));
            shared.fleet.run(Duration(1));
        }
        Shared shared(1);
        play(shared, stoppedAfter - Duration(5));
        CPPUNIT_ASSERT(!shared.logged("too-long"));
        shared.fleet.unlisted.insert(free);
        shared.fleet.owner->workerUnlisted(free);
        shared.run(Duration(5000));
        CPPUNIT_ASSERT_EQUAL(0, shared.paceOf("f"));
        CPPUNIT_ASSERT(!shared.logged("too-long"));
        shared.fleet.unlisted.erase(free);
        shared.fleet.restartWorker("free");
        shared.fleet.report(free);
        shared.run(Duration(4000));
        CPPUNIT_ASSERT(shared.workerOf("f") == free);
    }

    // All tasks at pace 0 were stopped for one free place, and all but one of them then had none.
    void oneFreePlaceStopsOnePausedTask()
    {
        Shared shared(1);
        for (int i = 0; i < 3; ++i) {
            auto record = Shared::filler("f" + std::to_string(i), 1, "batch");
            record.spec.steps[0].resources.milliCores = 16'000;
            shared.fleet.submit(record);
            shared.harm["f" + std::to_string(i)] = 3;
        }
        shared.run(Duration(1500));
        shared.load = 95;
        shared.fleet.submit(Shared::server("s"));
        shared.run(Duration(6000));
        shared.fleet.addWorker("free").report.capacity = { 16'000, 262'144, 0 };
        shared.fleet.report(WorkerId("free"));
        shared.run(Duration(15'000));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1),
            std::count_if(shared.fleet.log.begin(), shared.fleet.log.end(), [](const std::string& line) {
                return line.find(R"("reason":"too-long")") != std::string::npos;
            }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), shared.fleet.liveRuns());
    }

    // The paces of adopted tasks are unknown: all of them were set to 0 at once.
    void aSuccessorPacesNoMoreTasksThanTheStepAllows()
    {
        Shared shared(3);
        auto record = Shared::filler("f", 3, "batch");
        record.spec.steps[0].maxUnavailable = 1;
        shared.fleet.submit(record);
        shared.run(Duration(1000));
        shared.fleet.submit(Shared::server("s", 3));
        shared.harm["f"] = 3;
        auto mostPaced = 0;
        for (int i = 0; i < 200; ++i) {
            if (i % 50 == 49)
                shared.fleet.takeOver();
            shared.run(Duration(100));
            auto paced = 0;
            for (int index = 0; index < 3; ++index)
                paced += shared.paceOf("f", index) < 100;
            mostPaced = std::max(mostPaced, paced);
        }
        CPPUNIT_ASSERT_EQUAL(1, mostPaced);
    }

    // When the last pair was cleared, the copy that placement uses kept it for ever.
    void aClearedPairIsNotKeptApart()
    {
        Shared shared(1);
        shared.harm["loud"] = 3;
        shared.fleet.submit(Shared::filler("loud", 1, "loud"));
        shared.run(Duration(1000));
        shared.load = 98; // Needs pace 0.
        shared.fleet.submit(Shared::server("s"));
        shared.run(Duration(6000));
        shared.fleet.submit(Shared::filler("waiting", 1, "loud"));
        shared.run(Duration(1000));
        CPPUNIT_ASSERT(shared.logged("kept-apart"));
        shared.load = 102; // Over the target also without the neighbour.
        for (int i = 0; i < 100 && !shared.logged("not-the-cause"); ++i)
            shared.run(Duration(100));
        CPPUNIT_ASSERT(shared.logged("not-the-cause"));
        shared.fleet.cancel("loud"); // No further list teaches anything.
        shared.fleet.cancel("s");
        shared.fleet.cancel("waiting");
        shared.load = 40;
        shared.run(Duration(1000));
        shared.fleet.unlisted.insert(WorkerId("w0"));
        shared.fleet.owner->workerUnlisted(WorkerId("w0"));
        shared.fleet.addWorker("w1"); // Nothing was learned there.
        shared.fleet.report(WorkerId("w1"));
        shared.fleet.submit(Shared::server("s2"));
        shared.run(Duration(2000));
        shared.fleet.submit(Shared::filler("loud2", 1, "loud"));
        shared.run(Duration(3000));
        CPPUNIT_ASSERT(!shared.workerOf("loud2").empty());
    }

    // A best-effort task takes no processors from others, so that its stop gives none back.
    void preemptsNothingThatFreesNoProcessors()
    {
        Shared shared(1);
        auto filler = Shared::filler("f", 1, "batch");
        filler.spec.steps[0].longRunning = false;
        filler.spec.steps[0].estimate = Duration(100'000);
        shared.fleet.submit(filler);
        auto bulk = FakeFleet::job("b", 1, { 56'000, 1000, 0 }, 2);
        bulk.spec.steps[0].estimate = Duration(100'000);
        shared.fleet.submit(bulk);
        shared.run(Duration(1500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), shared.fleet.liveRuns());
        auto urgent = FakeFleet::job("u", 1, { 60'000, 1000, 0 }, 0);
        urgent.spec.steps[0].estimate = Duration(1'000'000);
        shared.fleet.submit(urgent);
        shared.run(Duration(3000));
        CPPUNIT_ASSERT(!shared.workerOf("u").empty());
        CPPUNIT_ASSERT(!shared.workerOf("f").empty());
    }

    // The row of the task that needs pace 0 cannot be decoded; the other one has headroom.
    void aMissingTailIsNoHeadroom()
    {
        Shared shared(1);
        shared.fleet.tailOf = [&shared](const FakeWorker&, const TaskId& task) {
            if (task.job == JobId("near"))
                return 95.0 * (1 + shared.paceOf("f") / 50.0);
            return task.job == JobId("s") ? 40.0 : 0.0;
        };
        shared.fleet.submit(Shared::filler("f", 1, "batch"));
        shared.run(Duration(1500));
        shared.fleet.submit(Shared::server("s"));
        shared.fleet.submit(Shared::server("near"));
        shared.run(Duration(5000));
        CPPUNIT_ASSERT_EQUAL(0, shared.paceOf("f"));
        shared.fleet.unreadableRows.insert({ JobId("near"), 0, 0, 0 });
        shared.run(Duration(3000));
        CPPUNIT_ASSERT_EQUAL(0, shared.paceOf("f"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InterferenceTest);
