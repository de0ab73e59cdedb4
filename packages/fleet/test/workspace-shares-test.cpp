// Fair shares of scarce capacity between workspaces.
#include "jujubereach/fleet/workspace-shares.h"

#include "fake-fleet.h"

using namespace jujubereach;
using namespace jujubereach::fleet;

class WorkspaceSharesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkspaceSharesTest);
    CPPUNIT_TEST(sharesNotRequestedGoToTheOthers);
    CPPUNIT_TEST(nothingChangesUnlessWorkspacesCompete);
    CPPUNIT_TEST(aDebtExpiresWithinAMinute);
    CPPUNIT_TEST(anInactiveWorkspaceGainsNoCredit);
    CPPUNIT_TEST(aFloodLeavesTheOthersWhatTheyHad);
    CPPUNIT_TEST(doesNotPreemptBecauseOfShares);
    CPPUNIT_TEST(doesNotStopWhatSharesHaveStarted);
    CPPUNIT_TEST_SUITE_END();

    static constexpr TimePoint start { Duration(100'000) };

    static WorkspaceDemand demand(const char* workspace, double use, double waiting, double weight = 1)
    {
        WorkspaceDemand row { WorkspaceId(workspace), weight, use, waiting, waiting > 0, {} };
        if (waiting > 0)
            row.waitingSince = start - Duration(1000);
        return row;
    }

    static WorkspaceShare shareAfter(Duration time, WorkspaceShares& shares,
        const std::vector<WorkspaceDemand>& demands, const char* workspace, TimePoint from = start)
    {
        for (Duration passed { 0 }; passed <= time; passed += Duration(100))
            shares.update(from + passed, demands);
        return shares.of(WorkspaceId(workspace));
    }

    void sharesNotRequestedGoToTheOthers()
    {
        auto parts = fairShares(1, { demand("a", 0.1, 0), demand("b", 0.4, 5), demand("c", 0.5, 5) });
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.45, parts[1], 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.45, parts[0], 1e-9);
        parts = fairShares(1, { demand("a", 0.5, 5, 3), demand("b", 0.5, 5) });
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.75, parts[0], 1e-9);
    }

    // Without competition every decision must be as without shares.
    void nothingChangesUnlessWorkspacesCompete()
    {
        WorkspaceShares shares;
        const auto alone
            = shareAfter(Duration(30'000), shares, { demand("a", 0.9, 5), demand("b", 0.1, 0) }, "a");
        CPPUNIT_ASSERT(!shares.competes());
        CPPUNIT_ASSERT_EQUAL(1.0, alone.factor);
        auto recent = demand("b", 0.1, 1);
        recent.waitingSince = start + Duration(29'900);
        auto waiting = demand("a", 0.9, 5);
        waiting.waitingSince = recent.waitingSince;
        shares.update(start + Duration(30'100), { waiting, recent });
        CPPUNIT_ASSERT(!shares.competes());
        shares.update(start + Duration(30'500), { waiting, recent });
        CPPUNIT_ASSERT(shares.competes());
        CPPUNIT_ASSERT(shares.of(WorkspaceId("a")).factor < 1);
        CPPUNIT_ASSERT_EQUAL(4.0, shares.of(WorkspaceId("b")).factor);
    }

    void aDebtExpiresWithinAMinute()
    {
        WorkspaceShares shares;
        shareAfter(Duration(60'000), shares, { demand("a", 1, 5) }, "a");
        const auto equal = std::vector { demand("a", 0.5, 5), demand("b", 0.5, 5) };
        CPPUNIT_ASSERT(shareAfter(Duration(5000), shares, equal, "a", start + Duration(60'100)).factor < 0.9);
        const auto later = shareAfter(Duration(60'000), shares, equal, "a", start + Duration(65'200));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, later.factor, 0.05);
    }

    // A workspace that comes back must not take the whole fleet for the time that it was idle.
    void anInactiveWorkspaceGainsNoCredit()
    {
        WorkspaceShares shares;
        const auto both = std::vector { demand("a", 0.5, 5), demand("b", 0.5, 5) };
        shareAfter(Duration(30'000), shares, both, "a");
        shareAfter(Duration(30'000), shares, { demand("b", 0.5, 5) }, "a", start + Duration(30'100));
        const auto back = shareAfter(Duration(100), shares, both, "a", start + Duration(60'200));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, back.factor, 0.05);
        // After a minute it is as new: with its share, not with a credit.
        shareAfter(Duration(70'000), shares, { demand("b", 1, 5) }, "a", start + Duration(60'400));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), shares.size());
        const auto fresh = std::vector { demand("a", 0, 5), demand("b", 1, 5) };
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            1, shareAfter(Duration(0), shares, fresh, "a", start + Duration(130'500)).factor, 0.05);
    }

    struct Served {
        int jobs = 0; ///< Completed.
        double meanMs = 0;
    };

    /// What 60 jobs of the workspaces "b" and "c", which use a quarter each, get if "a" submits `factor`
    /// times as much.
    static Served serve(int factor, bool enabled, bool takeover, bool weighted = true)
    {
        FakeFleet fleet;
        fleet.logHook = [](const char*, const boost::json::object&) {};
        fleet.settings.features.workspaceShares = enabled;
        if (weighted)
            fleet.config->workspaces[WorkspaceId("a")].weight = 1;
        for (int i = 0; i < 4; ++i)
            fleet.addWorker("w" + std::to_string(i));
        fleet.takeOver();
        fleet.run(Duration(500));
        int jobs = 0;
        const auto submit = [&](const char* workspace) {
            auto job = FakeFleet::job(workspace + std::to_string(++jobs), 4, { 4000, 1000, 1 }, 1);
            job.workspace = WorkspaceId(workspace);
            fleet.submit(job);
        };
        constexpr int rounds = 30;
        for (int round = 0; round < rounds; ++round) { // 32 tasks run at once, 2 s each.
            submit("b");
            submit("c");
            for (int i = 0; i < factor; ++i)
                submit("a");
            fleet.run(Duration(1000));
            if (takeover && round == rounds / 2)
                fleet.takeOver();
        }
        fleet.run(Duration(3000));
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.firstViolation());
        Served served;
        for (const auto& [series, times] : fleet.durations) {
            if (series.find("jujubereach_job_ms") != 0 || series.find(" a") != std::string::npos)
                continue;
            for (const auto& time : times)
                served.meanMs += static_cast<double>(time.count());
            served.jobs += static_cast<int>(times.size());
        }
        served.meanMs /= std::max(1, served.jobs);
        return served;
    }

    // Steps of equal rank were started in any order, so that the others waited as long as the flood.
    void aFloodLeavesTheOthersWhatTheyHad()
    {
        const auto before = serve(1, true, false);
        CPPUNIT_ASSERT_EQUAL(60, before.jobs);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(serve(1, false, false).meanMs, before.meanMs, 1e-9);
        const auto flooded = serve(10, true, false);
        CPPUNIT_ASSERT_EQUAL(60, flooded.jobs);
        CPPUNIT_ASSERT(flooded.meanMs < before.meanMs + 1000);
        CPPUNIT_ASSERT(serve(10, false, false).jobs < 30);
        const auto unweighted
            = serve(10, true, false, false); // Without weights the order is by utility alone.
        CPPUNIT_ASSERT_EQUAL(serve(10, false, false).jobs, unweighted.jobs);
        CPPUNIT_ASSERT(serve(10, true, true).jobs >= 55); // The successor starts without the use until then.
    }

    // The factor alone must not stop anything: two workspaces would preempt each other in turn. The urgent
    // job of "b" takes twice as long as the jobs of "a", so that only its factor lifts it above these.
    void doesNotPreemptBecauseOfShares()
    {
        FakeFleet fleet;
        fleet.config->workspaces.clear();
        fleet.config->workspaces[WorkspaceId("a")].weight = 1;
        for (auto& [id, route] : fleet.config->routes)
            route.objective = Duration(1'000'000);
        fleet.addWorker("w");
        fleet.workTime = [](const TaskId&) { return Duration(20'000); };
        fleet.takeOver();
        fleet.run(Duration(500));
        for (const auto* id : { "a1", "a2", "b" }) {
            auto job = FakeFleet::job(id, 1, { 64'000, 1000, 8 }, id[0] == 'b' ? 0 : 1);
            job.workspace = WorkspaceId(std::string(1, id[0]));
            job.spec.steps[0].checkpointing = true; // A stop would cost little.
            job.spec.steps[0].estimate = Duration(id[0] == 'b' ? 40'000 : 20'000);
            fleet.submit(job);
            fleet.run(Duration(100));
        }
        fleet.run(Duration(18'000));
        const auto lifted = std::any_of(fleet.log.begin(), fleet.log.end(), [](const std::string& line) {
            return line.find("workspace-waits") == 0 && line.find("\"workspace\":\"b\"") != std::string::npos
                && line.find("\"factor\":4E0") != std::string::npos;
        });
        CPPUNIT_ASSERT_EQUAL(1, fleet.observed.startCalls);
        CPPUNIT_ASSERT(lifted);
    }

    // The factors placed bulk work of "b" first, and the urgent job of "a" stopped it by rank in the same
    // pass.
    void doesNotStopWhatSharesHaveStarted()
    {
        FakeFleet fleet;
        fleet.config->workspaces.clear();
        fleet.config->workspaces[WorkspaceId("a")].weight = 1;
        for (auto& [id, route] : fleet.config->routes)
            route.objective = Duration(1'000'000);
        fleet.addWorker("w");
        fleet.workTime = [](const TaskId&) { return Duration(5000); };
        fleet.takeOver();
        fleet.run(Duration(500));
        for (const auto* id : { "a1", "a2", "b1", "b2", "b3" }) {
            auto job = FakeFleet::job(id, 1, { 64'000, 1000, 8 }, id[0] == 'a' ? 0 : 1);
            job.workspace = WorkspaceId(std::string(1, id[0]));
            job.spec.steps[0].estimate = Duration(5000);
            fleet.submit(job);
            fleet.run(Duration(100));
        }
        fleet.run(Duration(9000));
        CPPUNIT_ASSERT_EQUAL(2, fleet.observed.startCalls);
        const auto stopped = std::any_of(fleet.log.begin(), fleet.log.end(),
            [](const std::string& line) { return line.find("displace") == 0; });
        CPPUNIT_ASSERT(!stopped);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkspaceSharesTest);
