// Safety properties of ownership while hosts, workers, links and the journal fail. For each safety mechanism,
// a counter-test disables it and must find a violation, which shows that the property test can fail.
#include "fake-fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

using namespace jujubereach;
using namespace jujubereach::jobs;
using namespace jujubereach::jobs::test;

namespace {

constexpr std::uint64_t seeds = 30;
constexpr std::uint64_t maxViolationSeeds = 200;

Faults allFaults()
{
    return { true, true, true, true, true, true, 0.05 };
}

} // namespace

class OwnershipTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OwnershipTest);
    CPPUNIT_TEST(faultFreeFleetCompletesEverything);
    CPPUNIT_TEST(killedHosts);
    CPPUNIT_TEST(frozenHosts);
    CPPUNIT_TEST(killedWorkers);
    CPPUNIT_TEST(lostReplies);
    CPPUNIT_TEST(cutLinks);
    CPPUNIT_TEST(conflictingOwners);
    CPPUNIT_TEST(journalOutages);
    CPPUNIT_TEST(allTogether);
    CPPUNIT_TEST(allTogetherWithRealScheduler);
    CPPUNIT_TEST(violationWithoutMajority);
    CPPUNIT_TEST(violationWithoutHolds);
    CPPUNIT_TEST(violationWithoutWaitingForReports);
    CPPUNIT_TEST(violationWithoutClaims);
    CPPUNIT_TEST(violationWhenForgettingBeforeCommit);
    CPPUNIT_TEST_SUITE_END();

    /// Runs all seeds. Returns each violation with the first seed that shows it.
    std::map<std::string, std::uint64_t> violations(FleetConfig config)
    {
        std::map<std::string, std::uint64_t> found;
        m_accepted = 0;
        m_completed = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            config.seed = seed;
            FakeFleet fleet(config);
            for (const auto& violation : fleet.run())
                found.try_emplace(violation, seed);
            m_completed += fleet.completed;
            m_accepted += fleet.accepted;
        }
        return found;
    }

    void expectNoViolation(const Faults& faults, const SchedulerFactory& makeScheduler = {})
    {
        FleetConfig config;
        config.faults = faults;
        config.makeScheduler = makeScheduler;
        std::string text;
        for (const auto& [violation, seed] : violations(config))
            text += violation + ", first with seed " + std::to_string(seed) + "; ";
        CPPUNIT_ASSERT_EQUAL(std::string(), text);
        CPPUNIT_ASSERT(m_completed > 0);
    }

    /// Asserts that some seed finds the violation.
    void expectViolationWithout(
        const OwnerSwitches& switches, const Faults& faults, const std::string& violation)
    {
        FleetConfig config;
        config.faults = faults;
        config.switches = switches;
        bool found = false;
        for (config.seed = 1; !found && config.seed <= maxViolationSeeds; ++config.seed)
            found = FakeFleet(config).run().contains(violation);
        CPPUNIT_ASSERT_MESSAGE(violation, found);
    }

    void faultFreeFleetCompletesEverything()
    {
        expectNoViolation({});
        CPPUNIT_ASSERT_EQUAL(m_accepted, m_completed);
    }

    void killedHosts() { expectNoViolation({ .killHosts = true }); }
    void frozenHosts() { expectNoViolation({ .freezeHosts = true }); }
    void killedWorkers() { expectNoViolation({ .killWorkers = true }); }
    void lostReplies() { expectNoViolation({ .lostReplies = 0.2 }); }
    void cutLinks() { expectNoViolation({ .cutLinks = true }); }
    void conflictingOwners() { expectNoViolation({ .conflictingOwners = true }); }
    void journalOutages() { expectNoViolation({ .killHosts = true, .journalOutages = true }); }
    void allTogether() { expectNoViolation(allFaults()); }

    void allTogetherWithRealScheduler()
    {
        manifest::Manifest manifest;
        manifest.zones = { { ZoneId("z"), RegionId("g"), { { DomainId("d"), { { RackId("r"), 6, 2 } } } } } };
        manifest.classes = { { ClassId("k") } };
        manifest.workspaces = { { WorkspaceId("w"), 1, 0, {} } };
        expectNoViolation(allFaults(), [manifest] {
            return hooksOf(std::make_shared<scheduling::Scheduler>(manifest, ZoneId("z"), DomainId("d")));
        });
    }

    void violationWithoutMajority()
    {
        OwnerSwitches switches;
        switches.majority = false;
        expectViolationWithout(
            switches, { .cutLinks = true, .conflictingOwners = true }, "a job runs twice at the same time");
    }

    void violationWithoutHolds()
    {
        OwnerSwitches switches;
        switches.holdBeforeStart = false;
        expectViolationWithout(switches, allFaults(), "a task started before its whole gang was held");
    }

    void violationWithoutWaitingForReports()
    {
        OwnerSwitches switches;
        switches.waitForReports = false;
        expectViolationWithout(
            switches, { .killHosts = true, .cutLinks = true }, "a job runs twice at the same time");
    }

    void violationWithoutClaims()
    {
        OwnerSwitches switches;
        switches.claimBeforeStart = false;
        expectViolationWithout(switches, { .killHosts = true, .killWorkers = true },
            "a job that is not restartable started twice");
    }

    void violationWhenForgettingBeforeCommit()
    {
        OwnerSwitches switches;
        switches.forgetAfterCommit = false;
        expectViolationWithout(
            switches, { .killHosts = true, .journalOutages = true }, "a job completed twice");
    }

    std::uint32_t m_completed = 0;
    std::uint32_t m_accepted = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnershipTest);
