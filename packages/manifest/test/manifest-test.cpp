// Documents: both examples, every kind of fault with its place, the canonical form.
#include "jujubereach/manifest/manifest.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace jujubereach;
using namespace jujubereach::manifest;

namespace {

std::string readExample(const std::string& name)
{
    std::ifstream in(JUJUBEREACH_EXAMPLES "/" + name);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

const std::string smallDocument = R"({"name": "small",
  "regions": [{"id": "r1", "zones": [{"id": "z1", "domains": [{"id": "d1",
      "racks": [{"id": "k1", "workers": 2, "acceleratorsPerWorker": 8}]}]}]}],
  "classes": [{"id": "urgent", "rank": 0, "urgent": true, "minimumShare": 0.5}],
  "workspaces": [{"id": "w1", "shapes": [{"id": "s1", "zone": "z1", "accelerators": 8}]}]})";

std::string changed(const std::string& from, const std::string& to)
{
    auto text = smallDocument;
    auto place = text.find(from);
    CPPUNIT_ASSERT_MESSAGE(from, place != std::string::npos);
    return text.replace(place, from.size(), to);
}

void assertFault(const std::string& json, const std::string& where, const std::string& what)
{
    auto faults = parse(json).faults;
    std::string seen;
    for (const auto& fault : faults)
        seen += "\n" + fault.where + ": " + fault.what;
    auto isMeant = [&](const Fault& fault) {
        return fault.where == where && fault.what.find(what) != std::string::npos;
    };
    auto found = std::any_of(faults.begin(), faults.end(), isMeant);
    CPPUNIT_ASSERT_MESSAGE("no fault at " + where + " with: " + what + seen, found);
}

void assertCanonical(const std::string& document)
{
    auto first = toJson(parse(document).manifest);
    auto again = parse(first);
    CPPUNIT_ASSERT(again.faults.empty());
    CPPUNIT_ASSERT_EQUAL(first, toJson(again.manifest));
}

} // namespace

class ManifestTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ManifestTest);
    CPPUNIT_TEST(examplesAreValid);
    CPPUNIT_TEST(canonicalFormIsStable);
    CPPUNIT_TEST(defaultsFillOptionalFields);
    CPPUNIT_TEST(faultsNameTheirPlace);
    CPPUNIT_TEST(syntaxFaultsNameTheLine);
    CPPUNIT_TEST(everyFaultIsReported);
    CPPUNIT_TEST(workersAreNamedByRack);
    CPPUNIT_TEST_SUITE_END();

    void examplesAreValid()
    {
        for (const auto* name : { "peachtree.json", "armor.json" }) {
            auto parsed = parse(readExample(name));
            for (const auto& fault : parsed.faults)
                CPPUNIT_FAIL(std::string(name) + " " + fault.where + ": " + fault.what);
            CPPUNIT_ASSERT_EQUAL(std::size_t(4), parsed.manifest.workspaces.size());
            std::uint32_t workers = 0;
            for (const auto& zone : parsed.manifest.zones)
                for (const auto& domain : zone.domains)
                    workers += workersOf(domain);
            CPPUNIT_ASSERT(workers >= 48 && workers <= 52);
        }
    }

    void canonicalFormIsStable()
    {
        assertCanonical(smallDocument);
        assertCanonical(readExample("peachtree.json"));
    }

    void defaultsFillOptionalFields()
    {
        auto manifest = parse(smallDocument).manifest;
        CPPUNIT_ASSERT_EQUAL(1.0, manifest.workspaces[0].weight);
        CPPUNIT_ASSERT_EQUAL(1u, manifest.workspaces[0].shapes[0].count);
        CPPUNIT_ASSERT_EQUAL(128u, manifest.limits.maxGang);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3000), std::int64_t(manifest.limits.reclaimBound.count()));
    }

    void faultsNameTheirPlace()
    {
        const std::string shape = "workspaces[0].shapes[0]";
        assertFault(
            changed("\"accelerators\": 8", "\"accelerators\": 0"), shape + ".accelerators", "from 1 to 128");
        assertFault(changed("\"accelerators\": 8", "\"accelerators\": 99"), shape + ".accelerators",
            "largest domain");
        assertFault(
            changed("\"accelerators\": 8", "\"accelerators\": 1.5"), shape + ".accelerators", "whole number");
        assertFault(changed("\"zone\": \"z1\"", "\"zone\": \"z2\""), shape + ".zone", "did you mean \"z1\"");
        assertFault(changed("\"accelerators\"", "\"acelerators\""), shape + ".acelerators",
            "did you mean \"accelerators\"");
        assertFault(changed("\"id\": \"k1\"", "\"id\": \"K 1\""),
            "regions[0].zones[0].domains[0].racks[0].id", "[a-z0-9-]");
        assertFault(changed("\"workers\": 2", "\"workers\": true"),
            "regions[0].zones[0].domains[0].racks[0].workers", "whole number");
        assertFault(changed("0.5", "1.5"), "classes[0].minimumShare", "from 0 to 1");
        assertFault(changed("\"rank\": 0", "\"rank\": -1"), "classes[0].rank", "is -1");
        assertFault(changed("\"urgent\": true", "\"urgent\": 1"), "classes[0].urgent", "true or false");
        assertFault(
            changed("\"id\": \"w1\"", "\"id\": \"w1\", \"id\": \"w2\""), "workspaces[0].id", "stands twice");
        assertFault(
            changed("\"id\": \"w1\"", "\"id\": \"w1\", \"quota\": 4"), "workspaces[0].quota", "below the 8");
        assertFault(changed("\"name\": \"small\",", ""), "name", "is missing");
        assertFault(changed("\"small\"", "null"), "name", "not null");
        assertFault("[]", "document", "must be an object");
    }

    void syntaxFaultsNameTheLine()
    {
        assertFault(changed("\"workers\": 2", "\"workers\" 2"), "line 3", "not valid JSON");
        assertFault("", "document", "must be a JSON object");
        assertFault("7", "document", "must be a JSON object");
        assertFault(smallDocument + "x", "line 5", "not valid JSON");
    }

    void everyFaultIsReported()
    {
        auto faults = parse(R"({"name": "", "regions": [], "clases": 1})").faults;
        CPPUNIT_ASSERT(faults.size() >= 4);
    }

    void workersAreNamedByRack()
    {
        Domain domain { DomainId("d"), { { RackId("a"), 2, 8 }, { RackId("b"), 3, 8 } } };
        CPPUNIT_ASSERT_EQUAL(40u, acceleratorsOf(domain));
        CPPUNIT_ASSERT_EQUAL(5u, workersOf(domain));
        CPPUNIT_ASSERT_EQUAL(WorkerId("b/2"), workerAt(domain, 4));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManifestTest);
