// Tests the refusal ledger by example and under a burst of refusals with a faulty service.
#include "jujubereach/base/random.h"
#include "jujubereach/ledger/ledger.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace jujubereach;
using namespace jujubereach::ledger;

namespace {

/// In-memory service. While down, no call has an effect; a share of `lostReplies` of the write replies is
/// lost.
struct FakeService {
    platform::KvReply call(const journal::KvCall& call)
    {
        using platform::KvStatus;
        if (isDown)
            return { KvStatus::Unreachable, {}, {} };
        auto& entry = values[call.key];
        if (call.kind == journal::CallKind::Read)
            return entry.revision.value == 0 ? platform::KvReply { KvStatus::NotFound, {}, {} }
                                             : platform::KvReply { KvStatus::Ok, { entry }, {} };
        if (call.expected != entry.revision)
            return { KvStatus::Conflict, {}, {} };
        entry = { call.key, call.value, Revision { ++revision } };
        bool lost = random.unit() < lostReplies;
        return lost ? platform::KvReply {} : platform::KvReply { KvStatus::Ok, {}, entry.revision };
    }

    /// Every entry stored in the service.
    std::vector<RefusalEntry> entries() const
    {
        std::vector<RefusalEntry> all;
        for (const auto& [key, entry] : values) {
            auto segment = *decodeSegment(entry.value);
            all.insert(all.end(), segment.begin(), segment.end());
        }
        return all;
    }

    std::map<std::string, platform::KvEntry> values;
    std::uint64_t revision = 0;
    double lostReplies = 0;
    bool isDown = false;
    Random random { 1 };
};

Refusal refusalOf(const std::string& caller, WallTime at)
{
    return { WorkspaceId("peachtree"), CallerId(caller), ClassId("proof"), "queue_full", "no", at };
}

RefusalQuery byReference(const std::string& reference)
{
    RefusalQuery query;
    query.reference = reference;
    return query;
}

std::uint64_t countOf(const std::vector<RefusalEntry>& entries)
{
    std::uint64_t count = 0;
    for (const auto& entry : entries)
        count += entry.count;
    return count;
}

} // namespace

class LedgerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LedgerTest);
    CPPUNIT_TEST(referenceRoundTripsThroughText);
    CPPUNIT_TEST(equalRefusalsOfASecondShareAnEntry);
    CPPUNIT_TEST(queryFindsByEachField);
    CPPUNIT_TEST(floodLosesNoCount);
    CPPUNIT_TEST(copiesHoldEntriesThatAreNotDurable);
    CPPUNIT_TEST(oldSegmentsExpire);
    CPPUNIT_TEST_SUITE_END();

    LedgerConfig m_config { ZoneId("z"), HostId("10.0.0.7"), Incarnation { 3 } };
    FakeService m_service;
    TimePoint m_now { Duration(1'000) };
    journal::CallBudget m_budget { {}, 8, m_now };

    WallTime wall() const { return WallTime { 1'700'000'000'000 + m_now.time_since_epoch().count() }; }

    void runFor(RefusalLedger& ledger, Duration time)
    {
        for (auto end = m_now + time; m_now < end; m_now += Duration(10)) {
            if (auto call = ledger.nextCall(m_now, m_budget))
                ledger.onReply(m_service.call(*call), m_now);
        }
    }

    void referenceRoundTripsThroughText()
    {
        auto reference = *parseReference("z/10.0.0.7.3/4/17");
        CPPUNIT_ASSERT_EQUAL(HostId("10.0.0.7"), reference.host);
        CPPUNIT_ASSERT_EQUAL(std::string("z/10.0.0.7.3/4/17"), textOf(reference));
        CPPUNIT_ASSERT_EQUAL(std::string("refusals/z/10.0.0.7#3/4"), segmentKey(reference));
        for (const char* wrong : { "", "z/h/1/2", "z/h.1/2", "z/h.x/1/2", "z/.1/1/2", "z/h.1/1/-2" })
            CPPUNIT_ASSERT(!outcomeOf([&] { return parseReference(wrong); }));
    }

    void equalRefusalsOfASecondShareAnEntry()
    {
        RefusalLedger ledger(m_config);
        auto first = ledger.record(refusalOf("bank", wall()), m_now);
        CPPUNIT_ASSERT_EQUAL(first, ledger.record(refusalOf("bank", wall()), m_now));
        CPPUNIT_ASSERT(first != ledger.record(refusalOf("printer", wall()), m_now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), ledger.pending(byReference(first))[0].count);
        runFor(ledger, Duration(3'000));
        CPPUNIT_ASSERT(ledger.pending({}).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), merge(m_service.entries(), byReference(first))[0].count);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), ledger.stats().durable);
    }

    void queryFindsByEachField()
    {
        RefusalEntry entry { "z/h.1/0/0", WorkspaceId("w"), CallerId("c"), ClassId("k"), "quota", "no",
            WallTime { 5'000 }, Duration(1'000), 7 };
        RefusalQuery query;
        CPPUNIT_ASSERT(matches(query, entry));
        query.workspace = WorkspaceId("w");
        query.workClass = ClassId("k");
        query.reason = "quota";
        query.from = WallTime { 5'500 };
        query.until = WallTime { 5'600 };
        CPPUNIT_ASSERT(matches(query, entry));
        query.caller = CallerId("x");
        CPPUNIT_ASSERT(!matches(query, entry));
        entry.caller = CallerId(wildcardId);
        CPPUNIT_ASSERT(matches(query, entry));
        query.from = WallTime { 6'000 };
        CPPUNIT_ASSERT(!matches(query, entry));
        query.from.reset();
        query.workspace = WorkspaceId("x");
        CPPUNIT_ASSERT(!matches(query, entry));
    }

    // 60 s of 2,000 refusals per second by 500 callers; the service is down for half of the time.
    void floodLosesNoCount()
    {
        m_config.maxEntries = 2'000;
        m_service.lostReplies = 0.1;
        RefusalLedger ledger(m_config);
        Random random(7);
        std::vector<std::string> references;
        std::size_t mostEntries = 0;
        for (int step = 0; step < 6'000; ++step) {
            m_service.isDown = step > 1'000 && step < 4'000;
            for (int i = 0; i < 20; ++i)
                references.push_back(
                    ledger.record(refusalOf("caller" + std::to_string(random.below(500)), wall()), m_now));
            runFor(ledger, Duration(10));
            mostEntries = std::max(mostEntries, ledger.stats().entries);
        }
        runFor(ledger, Duration(60'000));
        auto entries = m_service.entries();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(120'000), countOf(entries));
        CPPUNIT_ASSERT(mostEntries <= m_config.maxEntries);
        std::set<std::string> stored;
        for (const auto& entry : entries)
            CPPUNIT_ASSERT(stored.insert(entry.reference).second);
        for (const auto& reference : references)
            CPPUNIT_ASSERT(stored.contains(reference));
        for (const auto& [key, value] : m_service.values)
            CPPUNIT_ASSERT(value.value.size() < platform::maxValueBytes);
    }

    void copiesHoldEntriesThatAreNotDurable()
    {
        m_service.isDown = true;
        RefusalLedger ledger(m_config);
        auto reference = ledger.record(refusalOf("bank", wall()), m_now);
        runFor(ledger, Duration(2'000));
        auto copies = ledger.dueCopies(m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), copies.size());
        // The host fails here. Two peers that hold the copy write it; the entry must be stored once.
        m_service.isDown = false;
        for (const char* peer : { "p#1", "q#1" }) {
            journal::GroupCommitter committer({ copies[0].key, peer }, applyEntries);
            committer.add(copies[0].records[0], m_now);
            for (auto end = m_now + Duration(1'000); m_now < end; m_now += Duration(10)) {
                if (auto call = committer.nextCall(m_now, m_budget))
                    committer.onReply(m_service.call(*call), m_now);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), countOf(merge(m_service.entries(), byReference(reference))));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), countOf(m_service.entries()));
    }

    void oldSegmentsExpire()
    {
        RefusalLedger ledger(m_config);
        ledger.record(refusalOf("bank", wall()), m_now);
        runFor(ledger, Duration(3'000));
        std::vector<platform::KvEntry> segments { m_service.values.begin()->second };
        CPPUNIT_ASSERT(expiredSegments(segments, wall(), Duration(60'000)).empty());
        m_now += Duration(120'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), expiredSegments(segments, wall(), Duration(60'000)).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);
