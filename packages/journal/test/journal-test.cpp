// Tests the job journal, the outage buffer and the call budget.
#include "fake-service.h"

#include "jujubereach/journal/job-journal.h"
#include "jujubereach/journal/outage-buffer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <numeric>

using namespace jujubereach;
using namespace jujubereach::journal;
using namespace jujubereach::journal::test;

namespace {

constexpr std::int64_t hour = 3'600'000;

JobRecord recordOf(JobRecordKind kind, const std::string& job, std::uint64_t term, std::int64_t at = 1'000)
{
    JobRecord record;
    record.kind = kind;
    record.job = JobId(job);
    record.term = term;
    record.at = WallTime { at };
    return record;
}

JobRecord accept(const std::string& job, const std::string& key, std::uint64_t term = 1)
{
    auto record = recordOf(JobRecordKind::Accept, job, term);
    record.key = key;
    record.spec = R"({"id":"x"})";
    return record;
}

JobRecord claim(const std::string& job, const std::string& gang, std::uint64_t term)
{
    auto record = recordOf(JobRecordKind::Claim, job, term);
    record.gang = gang;
    return record;
}

JobRecord endOf(const std::string& job, std::int64_t at)
{
    auto record = recordOf(JobRecordKind::End, job, 1, at);
    record.end = JobEnd { "completed", "yes", {}, "The job completed.", WallTime { at } };
    return record;
}

std::string apply(JobJournal& journal, const JobRecord& record)
{
    return applyRecord(journal, record, {});
}

} // namespace

class JournalTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JournalTest);
    CPPUNIT_TEST(recordsShareOneWrite);
    CPPUNIT_TEST(textSurvivesEncoding);
    CPPUNIT_TEST(retriedSubmitFindsItsJob);
    CPPUNIT_TEST(olderOwnerIsFenced);
    CPPUNIT_TEST(claimIsGrantedOnce);
    CPPUNIT_TEST(replayChangesNothing);
    CPPUNIT_TEST(oldEndsMakeRoom);
    CPPUNIT_TEST(durabilityIsReported);
    CPPUNIT_TEST(copiesAreFlushedOnceAfterAnOutage);
    CPPUNIT_TEST(copiesExpireBeforeEnds);
    CPPUNIT_TEST(hostsTogetherStayWithinLimits);
    CPPUNIT_TEST(highPriorityCallsGoFirst);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now { Duration(1'000) };

    /// Makes the committer's calls for one second. Returns their number.
    int runDueCalls(GroupCommitter& committer, FakeService& service, CallBudget& budget)
    {
        int calls = 0;
        for (auto end = m_now + Duration(1'000); m_now < end; m_now += Duration(10)) {
            auto call = committer.nextCall(m_now, budget);
            if (!call)
                continue;
            committer.onReply(service.call(*call, m_now), m_now);
            ++calls;
        }
        return calls;
    }

    void recordsShareOneWrite()
    {
        FakeService service(1, {});
        CallBudget budget({}, 8, m_now);
        GroupCommitter committer({ journalKey(ZoneId("z"), DomainId("d")), "h#1" }, jobJournalApply());
        for (const char* job : { "a", "b", "c" })
            committer.add(encodeRecord(job, accept(job, {})), m_now);
        CPPUNIT_ASSERT_EQUAL(2, runDueCalls(committer, service, budget)); // One read, one write.
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), committer.takeCompletions().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), decodeJournal(*committer.payload())->jobs.size());
    }

    void textSurvivesEncoding()
    {
        JobJournal journal;
        apply(journal, accept("z/d/1-1", "ws/a key \"quoted\"\nwith a line"));
        apply(journal, endOf("z/d/1-2", 5'000));
        auto text = encodeJournal(journal);
        CPPUNIT_ASSERT_EQUAL(text, encodeJournal(*decodeJournal(text)));
        CPPUNIT_ASSERT(!outcomeOf([] { return decodeJournal("[]"); }));
        CPPUNIT_ASSERT(!outcomeOf([] { return decodeRecord("{"); }));
        auto refused = jobJournalApply()("not a journal", { encodeRecord("1", accept("a", {})) });
        CPPUNIT_ASSERT_EQUAL(
            std::string("not a journal"), refused.payload); // An unreadable journal is not overwritten.
        CPPUNIT_ASSERT(!refused.rejections[0].empty());
    }

    void retriedSubmitFindsItsJob()
    {
        JobJournal journal;
        CPPUNIT_ASSERT_EQUAL(std::string(), apply(journal, accept("a", "ws/k1")));
        CPPUNIT_ASSERT_EQUAL(std::string("duplicate key of a"), apply(journal, accept("b", "ws/k1")));
        CPPUNIT_ASSERT_EQUAL(JobId("a"), *journal.findKey("ws/k1"));
        apply(journal, endOf("a", 2'000));
        CPPUNIT_ASSERT_EQUAL(std::string("duplicate key of a"), apply(journal, accept("b", "ws/k1")));
        CPPUNIT_ASSERT(!journal.findKey({}));
    }

    void olderOwnerIsFenced()
    {
        JobJournal journal;
        apply(journal, accept("a", {}, 3));
        apply(journal, recordOf(JobRecordKind::Fence, {}, 5));
        CPPUNIT_ASSERT(!apply(journal, accept("b", {}, 3)).empty());
        CPPUNIT_ASSERT(!apply(journal, claim("a", "a/3.1", 3)).empty());
        CPPUNIT_ASSERT(!apply(journal, recordOf(JobRecordKind::Fence, {}, 4)).empty());
        CPPUNIT_ASSERT_EQUAL(
            std::string(), apply(journal, endOf("a", 2'000))); // An end is accepted from any term.
        auto copied = accept("b", {}, 3);
        copied.copied = true;
        CPPUNIT_ASSERT_EQUAL(std::string(), apply(journal, copied));
    }

    void claimIsGrantedOnce()
    {
        JobJournal journal;
        apply(journal, accept("a", {}));
        CPPUNIT_ASSERT_EQUAL(std::string(), apply(journal, claim("a", "a/1.1", 1)));
        CPPUNIT_ASSERT_EQUAL(std::string(), apply(journal, claim("a", "a/1.1", 1)));
        CPPUNIT_ASSERT_EQUAL(std::string("claimed by a/1.1"), apply(journal, claim("a", "a/2.1", 2)));
        auto unclaim = recordOf(JobRecordKind::Unclaim, "a", 1);
        unclaim.gang = "a/1.1";
        CPPUNIT_ASSERT_EQUAL(std::string(), apply(journal, unclaim));
        CPPUNIT_ASSERT_EQUAL(std::string(), apply(journal, claim("a", "a/2.1", 2)));
        apply(journal, endOf("a", 2'000));
        CPPUNIT_ASSERT(!apply(journal, claim("a", "a/3.1", 3)).empty());
    }

    void replayChangesNothing()
    {
        JobJournal journal;
        std::vector<JobRecord> records { accept("a", "ws/k"), claim("a", "a/1.1", 1), endOf("a", 2'000) };
        for (const auto& record : records)
            apply(journal, record);
        auto text = encodeJournal(journal);
        for (const auto& record : records)
            apply(journal, record);
        CPPUNIT_ASSERT_EQUAL(text, encodeJournal(journal));
    }

    void oldEndsMakeRoom()
    {
        JobJournal journal;
        JournalLimits limits;
        limits.maxBytes = 4'000;
        for (int i = 0; i < 15; ++i) {
            applyRecord(journal, accept("old" + std::to_string(i), {}), limits);
            applyRecord(journal, endOf("old" + std::to_string(i), 1'000 + i), limits);
        }
        auto young = recordOf(JobRecordKind::Accept, "young", 1, 1'000 + hour / 2);
        young.spec = std::string(3'000, 'x');
        CPPUNIT_ASSERT_EQUAL(
            std::string("the domain's journal is full"), applyRecord(journal, young, limits));
        young.at = WallTime { 2'000 + hour };
        CPPUNIT_ASSERT_EQUAL(std::string(), applyRecord(journal, young, limits));
        CPPUNIT_ASSERT(!journal.jobs.contains(JobId("old0")));
        CPPUNIT_ASSERT(journal.jobs.contains(JobId("old14")));
        applyRecord(journal, recordOf(JobRecordKind::Update, "young", 1, 30 * hour), limits);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), journal.jobs.size());
    }

    void durabilityIsReported()
    {
        OutageBuffer buffer("h#1", {});
        CPPUNIT_ASSERT(buffer.add("jobs/z/d", { "1", "body" }));
        CPPUNIT_ASSERT(buffer.durabilityOf("jobs/z/d", "1") == Durability::Memory);
        auto copies = buffer.dueCopies(m_now);
        CPPUNIT_ASSERT(buffer.dueCopies(m_now).empty());
        buffer.onCopied(copies[0]);
        CPPUNIT_ASSERT(buffer.durabilityOf("jobs/z/d", "1") == Durability::Peer);
        buffer.onPeersLost();
        CPPUNIT_ASSERT(buffer.durabilityOf("jobs/z/d", "1") == Durability::Memory);
        buffer.onJournaled("jobs/z/d", "1");
        CPPUNIT_ASSERT(buffer.durabilityOf("jobs/z/d", "1") == Durability::Journal);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), buffer.dueCopies(m_now)[0].journaled[0]);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), buffer.size());
    }

    // Two peers flush copies of the same accepted job; it must be written only once.
    void copiesAreFlushedOnceAfterAnOutage()
    {
        PeerCopy copy { "h#1", "jobs/z/d", { encodeRecord("a/accept", accept("a", "ws/k")) }, {} };
        FakeService service(1, {});
        CallBudget budget({}, 8, m_now);
        for (const char* name : { "p#1", "q#1" }) {
            PeerCopies copies({}, 1);
            CPPUNIT_ASSERT(copies.store(copy, m_now));
            CPPUNIT_ASSERT(copies.takeFlush(true, 100, m_now).empty()); // Its holder is alive.
            copies.onHolderGone("h#1", m_now);
            CPPUNIT_ASSERT(copies.takeFlush(false, 100, m_now + Duration(4'000)).empty()); // Outage.
            m_now += Duration(5'000);
            copies.takeFlush(true, 100, m_now);
            auto flush = copies.takeFlush(true, 100, m_now + Duration(3'001));
            CPPUNIT_ASSERT(copies.takeFlush(true, 100, m_now + Duration(4'000)).empty());
            GroupCommitter committer({ copy.key, name }, jobJournalApply());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), flush.size());
            for (const auto& each : flush)
                committer.add(asCopied(each.records[0]), m_now);
            runDueCalls(committer, service, budget);
            auto completions = committer.takeCompletions();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), completions.size());
            CPPUNIT_ASSERT(completions[0].status == CommitStatus::Committed);
            copies.onJournaled(copy.key, "a/accept");
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), copies.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), decodeJournal(*committer.payload())->jobs.size());
        }
        CPPUNIT_ASSERT_EQUAL(1U, service.writes);
    }

    void copiesExpireBeforeEnds()
    {
        CPPUNIT_ASSERT(BufferLimits().copyExpiry < JournalLimits().minEndRetention);
        PeerCopies copies({}, 1);
        copies.store({ "h#1", "k", { { "1", "body" } }, {} }, m_now);
        copies.expire(m_now + BufferLimits().copyExpiry);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), copies.size());
    }

    // Every host starts with a full bucket and makes as many calls as it may.
    void hostsTogetherStayWithinLimits()
    {
        for (std::uint32_t hosts : { 1, 8, 64, 300 }) {
            std::vector<CallBudget> budgets(hosts, CallBudget({}, hosts, m_now));
            std::vector<int> calls; ///< Calls of all hosts in each step of 10 ms.
            for (int step = 0; step < 500; ++step) {
                int taken = 0;
                for (auto& budget : budgets) {
                    while (budget.take(CallKind::Write, CallPriority::Claims, m_now + step * Duration(10)))
                        ++taken;
                }
                calls.push_back(taken);
            }
            for (std::size_t first = 0; first + 100 <= calls.size(); ++first) {
                int second = std::accumulate(calls.begin() + static_cast<int>(first),
                    calls.begin() + static_cast<int>(first) + 100, 0);
                CPPUNIT_ASSERT(second <= 500);
            }
        }
    }

    void highPriorityCallsGoFirst()
    {
        CallBudget budget({}, 1, m_now);
        while (budget.take(CallKind::Write, CallPriority::Background, m_now)) { }
        CPPUNIT_ASSERT(budget.take(CallKind::Write, CallPriority::Refusals, m_now));
        CPPUNIT_ASSERT(budget.take(CallKind::Write, CallPriority::Claims, m_now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalTest);
