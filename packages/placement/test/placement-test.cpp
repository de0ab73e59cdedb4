// Tests the index of free runs and the packing of shapes, by example and against a bitmap.
#include "jujubereach/base/random.h"
#include "jujubereach/placement/freeruns.h"
#include "jujubereach/placement/pack.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace jujubereach;
using namespace jujubereach::placement;

namespace {

manifest::Manifest twoDomains(std::vector<manifest::Shape> shapes)
{
    manifest::Manifest m;
    auto rack = [](const char* id) { return manifest::Rack { RackId(id), 8, 8 }; };
    m.zones = { { ZoneId("z"), RegionId("r"),
        { { DomainId("d1"), { rack("r1"), rack("r2") } }, { DomainId("d2"), { rack("r3") } } } } };
    m.workspaces = { { WorkspaceId("w"), 1, 0, std::move(shapes) } };
    return m;
}

manifest::Shape shape(const char* id, std::uint32_t accelerators, std::uint32_t count = 1)
{
    return { ShapeId(id), ZoneId("z"), accelerators, count };
}

} // namespace

class PlacementTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(smallRunsFillAPartlyUsedWorkerFirst);
    CPPUNIT_TEST(runsAreAlignedToWorkersWherePossible);
    CPPUNIT_TEST(indexAgreesWithABitmap);
    CPPUNIT_TEST(shapeMayCrossRacksOfADomain);
    CPPUNIT_TEST(errorNamesTheShapeThatDoesNotFit);
    CPPUNIT_TEST(denseOrderIsTriedWhenEvenOrderFails);
    CPPUNIT_TEST(packedRunsNeverOverlap);
    CPPUNIT_TEST_SUITE_END();

    void smallRunsFillAPartlyUsedWorkerFirst()
    {
        FreeRuns free(8);
        free.add({ 0, 32 });
        free.remove({ 8, 2 }); // worker 1 is partly used
        CPPUNIT_ASSERT(free.bestFit(4).value() == (Run { 0, 4 }));
        free.remove({ 0, 8 });
        CPPUNIT_ASSERT(free.bestFit(4).value() == (Run { 12, 4 }));
    }

    void runsAreAlignedToWorkersWherePossible()
    {
        FreeRuns free(8);
        free.add({ 3, 20 }); // 3..22, whole worker 8..15
        CPPUNIT_ASSERT(free.bestFit(8).value() == (Run { 8, 8 }));
        CPPUNIT_ASSERT(free.bestFit(16).value() == (Run { 3, 16 })); // no aligned position
        CPPUNIT_ASSERT(!free.bestFit(21));
    }

    void indexAgreesWithABitmap()
    {
        Random random(11);
        std::vector<bool> line(256, false);
        FreeRuns free(8);
        for (int step = 0; step < 4000; ++step) {
            auto first = static_cast<std::uint32_t>(random.below(256));
            bool value = line[first];
            auto end = first;
            while (end < 256 && line[end] == value && end - first < 24)
                ++end;
            Run run { first, end - first };
            value ? free.remove(run) : free.add(run);
            std::fill(line.begin() + first, line.begin() + end, !value);
            CPPUNIT_ASSERT_EQUAL(
                static_cast<std::uint32_t>(std::count(line.begin(), line.end(), true)), free.total());
            std::uint32_t longest = 0;
            std::uint32_t current = 0;
            for (bool each : line)
                longest = std::max(longest, current = each ? current + 1 : 0);
            CPPUNIT_ASSERT_EQUAL(longest, free.largest());
            CPPUNIT_ASSERT_EQUAL(longest >= 16, free.bestFit(16).has_value());
        }
    }

    void shapeMayCrossRacksOfADomain()
    {
        auto packing = outcomeOf([] { return packShapes(twoDomains({ shape("wide", 100) })); });
        CPPUNIT_ASSERT(packing);
        CPPUNIT_ASSERT_EQUAL(DomainId("d1"), packing.value->front().domain);
    }

    void errorNamesTheShapeThatDoesNotFit()
    {
        auto packing = outcomeOf([] { return packShapes(twoDomains({ shape("a", 64), shape("b", 129) })); });
        CPPUNIT_ASSERT(!packing);
        CPPUNIT_ASSERT_EQUAL(std::string("workspaces[0].shapes[1]"), packing.error.where);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), packing.error.input);
    }

    // Three shapes of 64: Even leaves no room for the third one, Dense fits all three.
    void denseOrderIsTriedWhenEvenOrderFails()
    {
        auto packing = outcomeOf([] { return packShapes(twoDomains({ shape("a", 64, 3) })); });
        CPPUNIT_ASSERT(packing);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), packing.value->size());
    }

    void packedRunsNeverOverlap()
    {
        Random random(3);
        for (int round = 0; round < 300; ++round) {
            std::vector<manifest::Shape> shapes;
            for (std::uint64_t i = 0; i <= random.below(6); ++i)
                shapes.push_back(
                    shape(std::to_string(i).c_str(), static_cast<std::uint32_t>(1 + random.below(48)),
                        static_cast<std::uint32_t>(1 + random.below(3))));
            auto packing = outcomeOf([&] { return packShapes(twoDomains(shapes)); });
            if (!packing)
                continue;
            for (const auto& a : *packing.value) {
                CPPUNIT_ASSERT(a.run.end() <= (a.domain == DomainId("d1") ? 128u : 64u));
                for (const auto& b : *packing.value)
                    CPPUNIT_ASSERT(&a == &b || a.domain != b.domain || !a.run.overlaps(b.run));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
