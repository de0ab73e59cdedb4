// Plays workers with latency-sensitive and best-effort tasks on plain data: what the model learns of them,
// and whether a tail is brought below its target within the bound without slowing harmless neighbours for
// long.
#include "jujubereach/fleet/pace.h"

#include "jujubereach/base/random.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>

using namespace jujubereach;
using namespace jujubereach::fleet;

namespace {

constexpr Duration bound { 4000 };
constexpr Duration paceDelay { 150 }; // Of a call and of the worker.

/// One worker with one latency-sensitive task and some best-effort ones, by lists of 500 ms.
struct Bench {
    struct Filler {
        std::string image;
        std::function<double(Duration)> harm; ///< Factor on the tail at full pace, at a time.
        PacedTask state {};
        double working = 1; ///< Pace at the worker.
    };

    explicit Bench(std::vector<Filler> them, double base)
        : baseTail(base)
        , fillers(std::move(them))
    {
        for (std::size_t i = 0; i < fillers.size(); ++i) {
            fillers[i].state.task = { JobId("filler"), 0, 0, static_cast<int>(i) };
            fillers[i].state.kind = model.kindOf(fillers[i].image);
            fillers[i].state.settledAt = now;
        }
    }

    Duration elapsed() const { return now - TimePoint(Duration(1'000'000)); }

    double tailBeside(double share) const
    {
        auto tail = baseTail;
        for (const auto& filler : fillers)
            tail *= 1 + (filler.harm(elapsed()) - 1) * filler.working * share;
        return tail;
    }

    void list()
    {
        now += Duration(500);
        for (auto& filler : fillers)
            filler.working = filler.state.settledAt ? filler.state.percent / 100.0 : filler.working;
        const auto tail = tailBeside(1) * (0.95 + 0.1 * random.unit());
        const auto isViolation = tail > target && tailBeside(0) <= target;
        violation = isViolation ? violation + Duration(500) : Duration(0);
        longestViolation = std::max(longestViolation, violation);
        SlowdownObservation seen { model.kindOf("server"), WorkerId("w"), {}, std::log(tail), 1 };
        std::vector<PacedTask> tasks;
        for (auto& filler : fillers) {
            pacedTime += Duration(static_cast<std::int64_t>(500 * (1 - filler.working)));
            seen.neighbours.push_back({ filler.state.kind, filler.working });
            tasks.push_back(filler.state);
        }
        model.observe(seen, now);
        for (const auto& filler : fillers) {
            if (model.isKnown(seen.affected, filler.state.kind, now))
                found.insert(filler.image);
        }
        const TailReading reading { seen.affected, Duration(static_cast<std::int64_t>(tail)),
            Duration(static_cast<std::int64_t>(target)) };
        for (const auto& decision : controller.decide(WorkerId("w"), { reading }, tasks, model, now)) {
            auto& filler = fillers[static_cast<std::size_t>(decision.task.index)];
            stops += decision.stop;
            filler.state.percent = decision.percent;
            filler.state.known = true;
            filler.state.settledAt = now + paceDelay;
        }
    }

    void run(Duration time)
    {
        for (const auto end = now + time; now < end;)
            list();
    }

    double target = 100;
    double baseTail;
    std::vector<Filler> fillers;
    InterferenceModel model;
    PaceController controller { bound };
    Random random { 7 };
    TimePoint now { Duration(1'000'000) };
    Duration violation { 0 };
    Duration longestViolation { 0 };
    Duration pacedTime { 0 }; ///< Lost by all best-effort tasks.
    int stops = 0;
    std::set<std::string> found; ///< Images that were known to interfere at some time.

    bool knows(const char* image) { return model.isKnown(model.kindOf("server"), model.kindOf(image), now); }
};

double always(double factor, Duration)
{
    return factor;
}

Bench::Filler filler(const char* image, double factor)
{
    return { image, [factor](Duration at) { return always(factor, at); } };
}

} // namespace

class PaceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PaceTest);
    CPPUNIT_TEST(learnsWhichImageInterferes);
    CPPUNIT_TEST(aSlowWorkerIsNotAttributedToItsNeighbour);
    CPPUNIT_TEST(aWorkerWideResidualIsAttributedToNoKind);
    CPPUNIT_TEST(forgetsWhatHasChanged);
    CPPUNIT_TEST(aLoadPeakDoesNotKeepNeighboursPaced);
    CPPUNIT_TEST(aNeighbourThatBecomesTheCauseIsPacedInTime);
    CPPUNIT_TEST(changesOfInterferenceAreFollowedInTime);
    CPPUNIT_TEST(aKnownSourceDoesNotHideAnother);
    CPPUNIT_TEST(aTaskAtFullPaceIsNotClearedByTheOthers);
    CPPUNIT_TEST(aRefusedStopDoesNotBlockTheOthers);
    CPPUNIT_TEST_SUITE_END();

    // Without pairs that are told apart, the harmless neighbour would be paced as long as the other one.
    void learnsWhichImageInterferes()
    {
        Bench bench({ filler("loud", 2.2), filler("quiet", 1) }, 60);
        bench.run(Duration(60'000));
        CPPUNIT_ASSERT(bench.longestViolation < bound);
        CPPUNIT_ASSERT(bench.found == std::set<std::string> { "loud" });
        CPPUNIT_ASSERT(bench.fillers[0].working < 0.9);
        CPPUNIT_ASSERT(bench.fillers[1].working > 0.9);
        CPPUNIT_ASSERT_EQUAL(0, bench.stops);
    }

    // Comparing tails between workers would blame the neighbour for the slow worker.
    void aSlowWorkerIsNotAttributedToItsNeighbour()
    {
        InterferenceModel model;
        Random random(3);
        const auto server = model.kindOf("server");
        TimePoint now { Duration(1'000'000) };
        for (int i = 0; i < 60; ++i) {
            now += Duration(500);
            model.observe({ server, WorkerId("fast"), {}, std::log(50) + 0.1 * random.unit(), 1 }, now);
            model.observe({ server, WorkerId("slow"), { { model.kindOf("image"), 1 } },
                              std::log(90) + 0.1 * random.unit(), 1 },
                now);
        }
        CPPUNIT_ASSERT(model.knownPairs(now).empty());
    }

    // Residuals of the speed model have no place; one kind that comes and goes explains them, another does
    // not.
    void aWorkerWideResidualIsAttributedToNoKind()
    {
        InterferenceModel model;
        Random random(5);
        const auto kind = [&](const char* name) { return model.kindOf(name); };
        TimePoint now { Duration(1'000'000) };
        for (int i = 0; i < 80; ++i) {
            now += Duration(200);
            const auto loud = i % 2 == 0;
            std::vector<Neighbour> beside;
            if (loud)
                beside.push_back({ kind("loud"), 1 });
            if (i % 3 == 0)
                beside.push_back({ kind("quiet"), 1 });
            model.observe(
                { kind("batch"), WorkerId(), beside, (loud ? 0.6 : 0) + 0.3 * (random.unit() - 0.5), 1 },
                now);
        }
        CPPUNIT_ASSERT(model.isKnown(kind("batch"), kind("loud"), now));
        CPPUNIT_ASSERT(!model.isKnown(kind("batch"), kind("quiet"), now));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.6, model.effectOf(kind("batch"), kind("loud"), now).mean, 0.15);
        CPPUNIT_ASSERT(model.knownPairs(now).at(kind("loud")).contains(kind("batch")));
    }

    void forgetsWhatHasChanged()
    {
        Bench bench({ { "image", [](Duration at) { return at < Duration(10'000) ? 2.5 : 1.0; } } }, 60);
        bench.run(Duration(10'000));
        CPPUNIT_ASSERT(bench.knows("image"));
        bench.run(Duration(30'000));
        CPPUNIT_ASSERT(!bench.knows("image"));
        CPPUNIT_ASSERT_EQUAL(100, bench.fillers[0].state.percent);
    }

    // The tail is over its target with and without the neighbour. At pace 0 for good, the neighbour would
    // lose its whole work for nothing.
    void aLoadPeakDoesNotKeepNeighboursPaced()
    {
        Bench bench({ filler("quiet", 1), filler("calm", 1) }, 140);
        bench.run(Duration(30'000));
        CPPUNIT_ASSERT(bench.pacedTime < Duration(30'000)); // Half of the time of both.
        CPPUNIT_ASSERT(bench.found.empty());
        bench.baseTail = 50;
        bench.run(Duration(6'000));
        CPPUNIT_ASSERT_EQUAL(100, bench.fillers[0].state.percent);
    }

    // A neighbour that a test has cleared must not stay cleared for longer than the bound.
    void aNeighbourThatBecomesTheCauseIsPacedInTime()
    {
        for (Duration offset { 10'000 }; offset < Duration(14'000); offset += Duration(500)) {
            Bench bench({ { "image", [offset](Duration at) { return at < offset ? 1.0 : 2.0; } } }, 140);
            bench.run(offset);
            bench.baseTail = 70;
            bench.run(Duration(10'000));
            CPPUNIT_ASSERT(bench.longestViolation < bound);
            CPPUNIT_ASSERT(bench.fillers[0].working < 1);
        }
    }

    void changesOfInterferenceAreFollowedInTime()
    {
        const auto wave = [](Duration at) { return at.count() / 3000 % 2 == 0 ? 1.0 : 3.0; };
        Bench bench({ { "image", wave }, { "other", wave }, filler("quiet", 1) }, 45);
        bench.run(Duration(120'000));
        CPPUNIT_ASSERT(bench.longestViolation < bound);
    }

    // Lowering only the known image first would take the whole bound when another one has become the cause.
    void aKnownSourceDoesNotHideAnother()
    {
        Bench bench({ filler("known", 2.2), filler("new", 1) }, 60);
        bench.run(Duration(10'000));
        CPPUNIT_ASSERT(bench.knows("known"));
        std::vector<PacedTask> tasks { bench.fillers[0].state, bench.fillers[1].state };
        for (auto& task : tasks)
            task.percent = fullPace;
        const TailReading over { bench.model.kindOf("server"), Duration(150), Duration(100) };
        for (Duration passed { 0 }; passed <= bound / 2; passed += tailWindow) {
            bench.now += tailWindow;
            for (const auto& decision :
                bench.controller.decide(WorkerId("w"), { over }, tasks, bench.model, bench.now)) {
                auto& task = tasks[static_cast<std::size_t>(decision.task.index)];
                task.percent = decision.percent;
                task.settledAt = bench.now;
            }
        }
        CPPUNIT_ASSERT_EQUAL(0, tasks[0].percent);
        CPPUNIT_ASSERT_EQUAL(0, tasks[1].percent);
    }

    // The pace of the second must not be lowered, so that no test at pace 0 covers it.
    void aTaskAtFullPaceIsNotClearedByTheOthers()
    {
        Bench bench({ filler("loud", 2.2), filler("fixed", 2.5) }, 60);
        bench.fillers[1].state.mayReduce = false;
        bench.run(Duration(4000));
        for (int i = 0; i < 10; ++i) {
            bench.list();
            CPPUNIT_ASSERT_EQUAL(0, bench.fillers[0].state.percent);
        }
    }

    // The owner may refuse a stop for as long as there is no other place.
    void aRefusedStopDoesNotBlockTheOthers()
    {
        Bench bench({ filler("a", 2), filler("b", 2) }, 60);
        std::vector<PacedTask> tasks { bench.fillers[0].state, bench.fillers[1].state };
        tasks[0].percent = 0;
        tasks[1].percent = 50;
        bench.now += Duration(20'000);
        const TailReading reading { bench.model.kindOf("server"), Duration(75), Duration(100) };
        const auto decisions
            = bench.controller.decide(WorkerId("w"), { reading }, tasks, bench.model, bench.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), decisions.size());
        CPPUNIT_ASSERT(decisions[0].stop && decisions[0].task.index == 0);
        CPPUNIT_ASSERT(!decisions[1].stop && decisions[1].task.index == 1);
        CPPUNIT_ASSERT_EQUAL(60, decisions[1].percent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PaceTest);
