// Hosts take up manifests from peers and the service, in any order, and never go back.
#include "documents.h"

#include "jujubereach/manifest/holder.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

using namespace jujubereach;
using namespace jujubereach::manifest;
using namespace std::chrono_literals;

namespace {

const HostId peerA("a");

/// Answers a fetch from the store, as the daemon does with the service.
void answerFromService(
    ManifestHolder& holder, const FakeStore& store, const ManifestFetch& fetch, TimePoint now)
{
    if (fetch.request.root)
        holder.onServiceRoot(rootOf(store), now);
    if (fetch.request.sections) {
        if (const auto* value = store.value(contentKey(fetch.index)))
            holder.onServiceIndex(*outcomeOf([&] { return decodeIndex(*value); }).value, now);
    }
    std::vector<Content> contents;
    for (const auto& name : fetch.request.contents) {
        if (const auto* value = store.value(contentKey(name)))
            contents.push_back({ name, *value });
    }
    if (!contents.empty())
        holder.onServiceContents(contents, now);
}

void fetchAll(ManifestHolder& holder, const FakeStore& store, TimePoint now)
{
    while (auto fetch = holder.tick(now))
        answerFromService(holder, store, *fetch, now);
}

Manifest version(std::uint32_t number)
{
    auto manifest = smallManifest();
    manifest.workspaces[number % 4].quota = 16 + number;
    return manifest;
}

} // namespace

class ManifestHolderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ManifestHolderTest);
    CPPUNIT_TEST(serviceFillsAnEmptyHost);
    CPPUNIT_TEST(pushBringsTheNextOneAtOnce);
    CPPUNIT_TEST(hostBehindAsksPeersFirst);
    CPPUNIT_TEST(deadPeersAreGivenUpForTheService);
    CPPUNIT_TEST(notReadyWithoutManifest);
    CPPUNIT_TEST(staleRootsAreIgnored);
    CPPUNIT_TEST(damagedSectionsAreRefused);
    CPPUNIT_TEST(anyOrderOfMessagesConverges);
    CPPUNIT_TEST_SUITE_END();

    FakeStore m_store;
    TimePoint m_now {};

    void apply(std::uint32_t number)
    {
        applyAll(m_store, requestFor(version(number), "op" + std::to_string(number)));
    }

    void serviceFillsAnEmptyHost()
    {
        apply(1);
        ManifestHolder holder({}, m_now);
        holder.onServiceRoot(rootOf(m_store), m_now);
        fetchAll(holder, m_store, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), holder.counter());
        CPPUNIT_ASSERT_EQUAL(toJson(version(1)), toJson(*holder.manifest()));
        CPPUNIT_ASSERT(holder.ready(m_now));
    }

    ManifestHolder filled()
    {
        ManifestHolder holder({}, m_now);
        holder.onServiceRoot(rootOf(m_store), m_now);
        fetchAll(holder, m_store, m_now);
        return holder;
    }

    void pushBringsTheNextOneAtOnce()
    {
        apply(1);
        auto first = filled();
        auto second = filled();
        apply(2);
        first.onServiceRoot(rootOf(m_store), m_now);
        fetchAll(first, m_store, m_now);
        auto update = first.takeUpdate();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), update->root.counter);
        second.onPeerReply(peerA, update->push, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), second.counter());
        CPPUNIT_ASSERT(!second.tick(m_now));
        CPPUNIT_ASSERT_EQUAL(toJson(*first.manifest()), toJson(*second.manifest()));
    }

    void hostBehindAsksPeersFirst()
    {
        apply(1);
        auto behind = filled();
        for (std::uint32_t number : { 2, 3, 4 })
            apply(number);
        auto ahead = filled();
        behind.onPeerCounter(peerA, ahead.counter(), m_now);
        CPPUNIT_ASSERT(!behind.tick(m_now));
        auto now = m_now + 500ms;
        while (auto fetch = behind.tick(now)) {
            CPPUNIT_ASSERT(fetch->peer == peerA);
            behind.onPeerReply(peerA, ahead.answer(fetch->request), now);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), behind.counter());
    }

    void deadPeersAreGivenUpForTheService()
    {
        apply(1);
        auto behind = filled();
        apply(2);
        behind.onPeerCounter(peerA, 2, m_now);
        bool askedService = false;
        for (auto now = m_now; now < m_now + 2s; now += 50ms) {
            auto fetch = behind.tick(now);
            if (!fetch || fetch->peer)
                continue;
            askedService = true;
            answerFromService(behind, m_store, *fetch, now);
        }
        CPPUNIT_ASSERT(askedService);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), behind.counter());
    }

    void notReadyWithoutManifest()
    {
        ManifestHolder holder({}, m_now);
        CPPUNIT_ASSERT(!holder.ready(m_now + 1h));
        apply(1);
        auto peer = filled();
        // A peer may be behind the service, so the service is awaited for a while.
        holder.onPeerReply(peerA, peer.answer({ true, true, 0, {} }), m_now);
        while (auto fetch = holder.tick(m_now))
            holder.onPeerReply(peerA, peer.answer(fetch->request), m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), holder.counter());
        CPPUNIT_ASSERT(!holder.ready(m_now + 1s));
        CPPUNIT_ASSERT(holder.ready(m_now + 2s));
        holder.onServiceRoot(rootOf(m_store), m_now);
        CPPUNIT_ASSERT(holder.ready(m_now + 1s));
    }

    // The service was restored from an older state, and a peer is behind.
    void staleRootsAreIgnored()
    {
        apply(1);
        auto stale = filled();
        auto oldRoot = rootOf(m_store);
        apply(2);
        auto holder = filled();
        holder.onServiceRoot(oldRoot, m_now);
        holder.onServiceRoot(std::nullopt, m_now);
        holder.onPeerReply(peerA, stale.answer({ true, true, 0, {} }), m_now);
        fetchAll(holder, m_store, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), holder.counter());
    }

    void damagedSectionsAreRefused()
    {
        apply(1);
        auto holder = filled();
        auto root = holder.root();
        root.counter = 2;
        root.base = 1;
        auto damaged = makeContent("{ damaged");
        root.changes = { { SectionName("classes"), damaged.name } };
        auto sections = holder.sections();
        applyChanges(sections, root.changes);
        root.sections = nameOfSections(sections);
        holder.onPeerReply(peerA, { root, {}, { damaged } }, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), holder.counter());
        CPPUNIT_ASSERT(!holder.tick(m_now + 1s));
        apply(2);
        apply(3);
        holder.onServiceRoot(rootOf(m_store), m_now);
        fetchAll(holder, m_store, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), holder.counter());
    }

    // Pushes, answers and counters between five hosts, kept, repeated, dropped and mixed up at random.
    void anyOrderOfMessagesConverges()
    {
        for (std::uint64_t seed = 0; seed < 60; ++seed) {
            Random random(seed);
            FakeStore store;
            applyAll(store, requestFor(version(0), "first"));
            std::vector<ManifestHolder> holders(5, ManifestHolder({}, m_now));
            std::vector<ManifestReply> messages;
            auto now = m_now;
            for (std::uint32_t step = 1; step < 400; ++step, now += 20ms) {
                if (step % 20 == 0 && step < 300)
                    applyAll(store, requestFor(version(step), "op" + std::to_string(step)));
                auto& holder = holders[random.below(holders.size())];
                auto before = holder.root().rank();
                disturb(holder, store, messages, random, now);
                CPPUNIT_ASSERT(holder.root().rank() >= before);
            }
            for (auto& holder : holders) {
                holder.onServiceRoot(rootOf(store), now);
                for (int i = 0; i < 100 && holder.counter() < rootOf(store).counter; ++i, now += 400ms) {
                    if (auto fetch = holder.tick(now); fetch && !fetch->peer)
                        answerFromService(holder, store, *fetch, now);
                }
                CPPUNIT_ASSERT_EQUAL(rootOf(store).counter, holder.counter());
                CPPUNIT_ASSERT(indexOf(store).sections == holder.sections());
            }
        }
    }

    static void disturb(ManifestHolder& holder, const FakeStore& store, std::vector<ManifestReply>& messages,
        Random& random, TimePoint now)
    {
        auto choice = random.below(4);
        if (choice == 0)
            holder.onServiceRoot(rootOf(store), now);
        if (choice == 1 && !messages.empty())
            holder.onPeerReply(peerA, messages[random.below(messages.size())], now);
        if (choice == 2)
            holder.onPeerCounter(peerA, random.below(20), now);
        if (auto fetch = holder.tick(now); fetch && random.below(3) > 0)
            answerFromService(holder, store, *fetch, now);
        messages.push_back(holder.answer({ true, random.below(2) == 0, random.below(16), {} }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManifestHolderTest);
