// Scenario files: what is read, and which mistakes are refused with their place.
#include "fields.h"
#include "report.h"
#include "scenario.h"

#include <Poco/TemporaryFile.h>
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

using namespace jujubereach;
using namespace jujubereach::scenarios;

namespace {

const std::string small = R"(name: small
failure: killed-host
invariants: [2, 5]
seed: 7
bounds: { partialGangMs: 16000 }
topology:
  zones:
    - { id: z1, region: r1, hosts: [h1], racks: [{ id: k1, workers: 2 }, { id: k2, workers: 1 }], upstreams: [u1] }
  manifest: { classes: [{ id: c1, rank: 0, urgent: true }] }
steps:
  - start: all
---
counterOf: small
name: small-counter
counter: once-record
)";

Outcome<std::vector<Scenario>> readText(const std::string& text)
{
    const Poco::TemporaryFile file;
    std::ofstream(file.path()) << text;
    return outcomeOf([&] { return readScenarios(file.path()); });
}

std::string linesOf(const Verdict& verdict)
{
    std::ostringstream out;
    report(verdict, out);
    return out.str();
}

} // namespace

class ScenarioTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ScenarioTest);
    CPPUNIT_TEST(fieldsAreRead);
    CPPUNIT_TEST(counterCheckIsTwin);
    CPPUNIT_TEST(mistakesAreRefused);
    CPPUNIT_TEST(acceleratorsStandInLine);
    CPPUNIT_TEST(manifestHasZonesAndChange);
    CPPUNIT_TEST(passIsReported);
    CPPUNIT_TEST(failedStepIsReported);
    CPPUNIT_TEST(counterCheckMustBreak);
    CPPUNIT_TEST(knownRedIsRead);
    CPPUNIT_TEST_SUITE_END();

    void fieldsAreRead()
    {
        const auto scenario = readText(small).value.value().at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("killed-host"), scenario.failure);
        CPPUNIT_ASSERT(scenario.invariants == (std::vector { Invariant::WholeGang, Invariant::AtMostOnce }));
        CPPUNIT_ASSERT(scenario.bounds.partialGang == Duration(16'000));
        CPPUNIT_ASSERT(scenario.topology.zoneOf(HostId("h1"))->id == ZoneId("z1"));
        CPPUNIT_ASSERT(!scenario.isCounterCheck());
    }

    void counterCheckIsTwin()
    {
        const auto twin = readText(small).value.value().at(1);
        CPPUNIT_ASSERT_EQUAL(std::string("small-counter"), twin.name);
        CPPUNIT_ASSERT_EQUAL(std::string("once-record"), twin.brokenMechanism);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), twin.steps.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), twin.seed);
    }

    void mistakesAreRefused()
    {
        CPPUNIT_ASSERT(readText("name: x\nstep: []\n").error.what == "no such field");
        CPPUNIT_ASSERT(!readText("name: x\n"));
        CPPUNIT_ASSERT(!readText("counterOf: nobody\nname: x\n"));
        CPPUNIT_ASSERT(!readText("name: [\n"));
        CPPUNIT_ASSERT(!readText("name: x\ninvariants: [9]\n"));
    }

    void acceleratorsStandInLine()
    {
        const auto first = readText(small).value.value().at(0).topology.firstAccelerators();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), first.size());
        CPPUNIT_ASSERT_EQUAL(8U, first.at(WorkerId("k1/1")));
        CPPUNIT_ASSERT_EQUAL(16U, first.at(WorkerId("k2/0")));
    }

    void manifestHasZonesAndChange()
    {
        const auto scenario = readText(small).value.value().at(0);
        const auto json
            = scenario.topology.manifestJson("doc-1", YAML::Load("{ workspaces: [{ id: w, weight: 2 }] }"));
        const auto object = platform::parseObject(json).value();
        CPPUNIT_ASSERT_EQUAL(std::string("doc-1"), object->getValue<std::string>("name"));
        const auto domain = object->getArray("regions")
                                ->getObject(0)
                                ->getArray("zones")
                                ->getObject(0)
                                ->getArray("domains")
                                ->getObject(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), domain->getArray("racks")->size());
        CPPUNIT_ASSERT(json.find(R"("urgent":true)") != std::string::npos);
        CPPUNIT_ASSERT(json.find(R"("weight":2)") != std::string::npos);
    }

    void passIsReported()
    {
        Verdict verdict;
        verdict.scenario = readText(small).value.value().at(0);
        const auto lines = linesOf(verdict);
        CPPUNIT_ASSERT(
            lines.find("SCENARIO name=small invariant=2 failure=killed-host result=pass seed=7") == 0);
        CPPUNIT_ASSERT(lines.find("invariant=5 failure=killed-host result=pass") != std::string::npos);
        CPPUNIT_ASSERT(verdict.isGood());
    }

    void failedStepIsReported()
    {
        Verdict verdict;
        verdict.scenario = readText(small).value.value().at(0);
        verdict.failedStep = "did not come true";
        verdict.logFolder = "/";
        CPPUNIT_ASSERT(!verdict.isGood());
        verdict.failedStep.clear();
        verdict.violations = { { Invariant::Other, "call limits" } };
        CPPUNIT_ASSERT(!verdict.isGood());
    }

    void counterCheckMustBreak()
    {
        Verdict verdict;
        verdict.scenario = readText(small).value.value().at(1);
        verdict.failedStep = "a step that needs the mechanism";
        CPPUNIT_ASSERT(!verdict.isGood());
        verdict.violations = { { Invariant::ManifestInForce, "not under proof" } };
        CPPUNIT_ASSERT(!verdict.isGood());
        verdict.violations = { { Invariant::AtMostOnce, "ran twice" } };
        CPPUNIT_ASSERT(verdict.isGood());
        const auto lines = linesOf(verdict);
        CPPUNIT_ASSERT(lines.find("invariant=5 failure=killed-host result=broken seed=7 counter=yes")
            != std::string::npos);
    }

    void knownRedIsRead()
    {
        const Poco::TemporaryFile file;
        std::ofstream(file.path())
            << "# A comment: not an entry.\nscenario small: seen once\ntest other: seen\n";
        CPPUNIT_ASSERT(readKnownRed(file.path()) == std::set<std::string> { "small" });
        CPPUNIT_ASSERT(readKnownRed("/nowhere").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScenarioTest);
