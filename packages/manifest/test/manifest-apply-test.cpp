// Sections, differences and applies: lost replies, races, rebasing, removal of unused texts.
#include "documents.h"

#include "jujubereach/manifest/diff.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

using namespace jujubereach;
using namespace jujubereach::manifest;

namespace {

Manifest withQuota(Manifest manifest, std::size_t workspace, std::uint32_t quota)
{
    manifest.workspaces[workspace].quota = quota;
    return manifest;
}

} // namespace

class ManifestApplyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ManifestApplyTest);
    CPPUNIT_TEST(sectionsMakeTheSameManifest);
    CPPUNIT_TEST(onlyTheChangedSectionIsNew);
    CPPUNIT_TEST(diffNamesPartsAndFields);
    CPPUNIT_TEST(applyMovesTheRoot);
    CPPUNIT_TEST(lostReplyIsResolvedByOperation);
    CPPUNIT_TEST(acceptedStaysKnownAfterLaterApplies);
    CPPUNIT_TEST(racingOperatorIsNamed);
    CPPUNIT_TEST(disjointChangesAreRebased);
    CPPUNIT_TEST(invalidMergeIsRefused);
    CPPUNIT_TEST(counterGoesAboveWhatHostsHaveSeen);
    CPPUNIT_TEST(silentServiceIsReported);
    CPPUNIT_TEST(racesWithLostRepliesAreTruthful);
    CPPUNIT_TEST(unusedTextsAreRemoved);
    CPPUNIT_TEST_SUITE_END();

    void sectionsMakeTheSameManifest()
    {
        auto manifest = smallManifest(40);
        auto parts = split(manifest);
        std::map<SectionName, Manifest> read;
        std::map<SectionName, const Manifest*> pointers;
        for (const auto& [name, content] : parts.sections) {
            const auto& text = parts.texts.at(content);
            read[name] = *outcomeOf([&] { return readSection(text); }).value;
            pointers[name] = &read[name];
        }
        CPPUNIT_ASSERT_EQUAL(toJson(manifest), toJson(assemble(pointers)));
    }

    void onlyTheChangedSectionIsNew()
    {
        auto before = split(smallManifest(40));
        auto after = split(withQuota(smallManifest(40), 7, 32));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), changesBetween(before.sections, after.sections).size());
        auto sections = before.sections;
        applyChanges(sections, changesBetween(before.sections, after.sections));
        CPPUNIT_ASSERT_EQUAL(nameOfSections(after.sections), nameOfSections(sections));
    }

    void diffNamesPartsAndFields()
    {
        auto after = withQuota(smallManifest(), 1, 32);
        after.workspaces.erase(after.workspaces.begin());
        CPPUNIT_ASSERT_EQUAL(std::string("- workspace w0\n~ workspace w1\n    quota: 64 -> 32\n"),
            diffText(diff(smallManifest(), after)));
        CPPUNIT_ASSERT(diff(after, after).empty());
    }

    void applyMovesTheRoot()
    {
        FakeStore store;
        CPPUNIT_ASSERT(ApplyStatus::Accepted == applyAll(store, requestFor(smallManifest(), "a")).status);
        CPPUNIT_ASSERT(ApplyStatus::Unchanged == applyAll(store, requestFor(smallManifest(), "b")).status);
        auto result = applyAll(store, requestFor(withQuota(smallManifest(), 0, 32), "c"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), result.counter);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), rootOf(store).base);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), rootOf(store).changes.size());
    }

    void lostReplyIsResolvedByOperation()
    {
        FakeStore store;
        ApplySession session(requestFor(smallManifest(), "a"), 1);
        int lost = 0;
        while (auto call = session.next()) {
            auto reply = store.call(*call);
            if (call->kind != StoreCall::Kind::Get && lost++ % 2 == 0)
                reply = { StoreStatus::Unknown, {}, {} };
            session.onReply(reply);
        }
        CPPUNIT_ASSERT(ApplyStatus::Accepted == session.result().status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), store.roots().size());
    }

    // The reply of the swap is lost, and other operators' roots follow before it is read back.
    void acceptedStaysKnownAfterLaterApplies()
    {
        for (auto later : { std::size_t(1), maxAcceptedOperations - 1, maxAcceptedOperations + 5 }) {
            FakeStore store;
            ApplySession session(requestFor(smallManifest(), "a"), 1);
            while (auto call = session.next()) {
                auto reply = store.call(*call);
                if (call->key == rootKey && call->kind == StoreCall::Kind::CompareAndSwap) {
                    for (std::size_t i = 0; i < later; ++i)
                        applyAll(store,
                            requestFor(withQuota(smallManifest(), 0, 100 + i), "l" + std::to_string(i)));
                    reply = { StoreStatus::Unknown, {}, {} };
                }
                session.onReply(reply);
            }
            bool isKnown = later < maxAcceptedOperations;
            auto expected = isKnown ? ApplyStatus::Accepted : ApplyStatus::Unknown;
            CPPUNIT_ASSERT(expected == session.result().status);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(isKnown ? 1 : 0), session.result().counter);
        }
    }

    static ApplyResult raceAgainst(FakeStore& store, ApplyRequest request, const Manifest& other)
    {
        applyAll(store, requestFor(smallManifest(), "base"));
        ApplySession session(std::move(request), 1);
        bool raced = false;
        while (auto call = session.next()) {
            if (call->kind == StoreCall::Kind::CompareAndSwap && call->key == rootKey && !raced) {
                raced = true;
                applyAll(store, requestFor(other, "other"));
            }
            session.onReply(store.call(*call));
        }
        return session.result();
    }

    void racingOperatorIsNamed()
    {
        FakeStore store;
        auto result = raceAgainst(
            store, requestFor(withQuota(smallManifest(), 0, 32), "mine"), withQuota(smallManifest(), 0, 48));
        CPPUNIT_ASSERT(ApplyStatus::Conflict == result.status);
        CPPUNIT_ASSERT_EQUAL(OperatorName("operator-other"), result.other.operatorName);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), result.disputed.size());
        CPPUNIT_ASSERT(result.what.find("operator-other came first with revision 2") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(OperationId("other"), rootOf(store).operation);
    }

    void disjointChangesAreRebased()
    {
        for (bool rebase : { false, true }) {
            FakeStore store;
            auto request = requestFor(withQuota(smallManifest(), 0, 32), "mine");
            request.rebase = rebase;
            auto result = raceAgainst(store, request, withQuota(smallManifest(), 1, 48));
            CPPUNIT_ASSERT((rebase ? ApplyStatus::Accepted : ApplyStatus::Conflict) == result.status);
            CPPUNIT_ASSERT_EQUAL(rebase, result.rebased);
            auto both = withQuota(withQuota(smallManifest(), 0, 32), 1, 48);
            CPPUNIT_ASSERT_EQUAL(rebase, indexOf(store).sections == split(both).sections);
        }
    }

    // One operator removes a zone's domain, the other uses it: each alone is valid.
    void invalidMergeIsRefused()
    {
        FakeStore store;
        auto small = smallManifest(0);
        auto zone = small.zones[0];
        zone.id = ZoneId("z2");
        zone.domains[0].racks = { { RackId("r3"), 8, 8 } };
        auto base = small;
        base.zones.push_back(zone);
        applyAll(store, requestFor(base, "base"));
        auto request = requestFor(base, "mine");
        request.wanted.workspaces = { { WorkspaceId("w"), 1, 0, { { ShapeId("s"), ZoneId("z2"), 8, 1 } } } };
        request.base = 1;
        request.baseSections = indexOf(store).sections;
        request.rebase = true;
        applyAll(store, requestFor(small, "other"));
        auto result = applyAll(store, request);
        CPPUNIT_ASSERT(ApplyStatus::Invalid == result.status);
        CPPUNIT_ASSERT_EQUAL(std::string("workspaces[0].shapes[0].zone"), result.faults.at(0).where);
    }

    void counterGoesAboveWhatHostsHaveSeen()
    {
        FakeStore store;
        auto request = requestFor(smallManifest(), "a");
        request.highestSeen = 41;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(42), applyAll(store, request).counter);
    }

    void silentServiceIsReported()
    {
        ApplySession session(requestFor(smallManifest(), "a"), 1);
        while (auto call = session.next())
            session.onReply({ StoreStatus::NotDone, {}, {} });
        CPPUNIT_ASSERT(ApplyStatus::Unavailable == session.result().status);
    }

    struct Racer {
        std::string operation;
        std::unique_ptr<ApplySession> session;
    };

    // Every interleaving of four operators' calls, a third of the replies lost before or after the effect.
    void racesWithLostRepliesAreTruthful()
    {
        for (std::uint64_t seed = 0; seed < 300; ++seed) {
            Random random(seed);
            FakeStore store;
            applyAll(store, requestFor(smallManifest(), "base"));
            std::vector<Racer> racers;
            for (std::size_t i = 0; i < 4; ++i) {
                auto operation = "op" + std::to_string(i);
                auto request = requestFor(withQuota(smallManifest(), random.below(4), 10 + i), operation);
                request.rebase = i % 2 == 0;
                racers.push_back({ operation, std::make_unique<ApplySession>(request, seed) });
            }
            runInterleaved(store, racers, random);
            for (const auto& racer : racers)
                assertTruthful(store, racer);
            assertRootIsWhole(store);
        }
    }

    static void runInterleaved(FakeStore& store, std::vector<Racer>& racers, Random& random)
    {
        for (std::size_t running = racers.size(); running > 0;) {
            running = 0;
            for (auto& racer : racers) {
                auto call = racer.session->next();
                running += call ? 1 : 0;
                if (!call || random.below(2) == 0)
                    continue;
                auto fate = random.below(6);
                if (fate == 0)
                    racer.session->onReply({ StoreStatus::Unknown, {}, {} });
                else {
                    auto reply = store.call(*call);
                    racer.session->onReply(fate == 1 ? StoreReply { StoreStatus::Unknown, {}, {} } : reply);
                }
                assertRootIsWhole(store);
            }
        }
    }

    static void assertTruthful(const FakeStore& store, const Racer& racer)
    {
        int swaps = 0;
        for (const auto& root : store.roots())
            swaps += outcomeOf([&] { return decodeRoot(root); }).value->operation.str() == racer.operation;
        auto status = racer.session->result().status;
        if (status == ApplyStatus::Accepted)
            CPPUNIT_ASSERT_EQUAL(1, swaps);
        else if (status != ApplyStatus::Unknown)
            CPPUNIT_ASSERT_EQUAL(0, swaps);
    }

    // Whatever was removed or is half done, all that the root names is there.
    static void assertRootIsWhole(const FakeStore& store)
    {
        for (const auto& [name, content] : indexOf(store).sections)
            CPPUNIT_ASSERT(store.value(contentKey(content)));
    }

    // Quotas repeat, so that removed texts come into use again.
    void unusedTextsAreRemoved()
    {
        FakeStore store;
        for (int i = 0; i < 400; ++i) {
            auto manifest = withQuota(smallManifest(), static_cast<std::size_t>(i % 4), 16 + i * 7 % 130);
            auto result = applyAll(store, requestFor(manifest, "op" + std::to_string(i)));
            CPPUNIT_ASSERT(ApplyStatus::Accepted == result.status);
            assertRootIsWhole(store);
        }
        CPPUNIT_ASSERT(store.size() < keptRetiredContents + 20);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManifestApplyTest);
