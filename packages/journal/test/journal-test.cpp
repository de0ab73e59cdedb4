// Group commit and the job journal, by example.
#include "jujubereach/journal/group-log.h"
#include "jujubereach/journal/job-journal.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace jujubereach;
using namespace jujubereach::journal;
using platform::KvReply;
using platform::KvStatus;

namespace {

/// One value of the service, as in memory.
struct FakeValue {
    std::string value;
    Revision revision;

    KvReply call(const KvCall& call)
    {
        KvReply reply { KvStatus::Ok, {}, {} };
        if (call.kind == CallKind::Read && revision.value == 0)
            reply.status = KvStatus::NotFound;
        else if (call.kind == CallKind::Read)
            reply.entries.push_back({ call.key, value, revision });
        else if (call.expected != revision)
            reply.status = KvStatus::Conflict;
        else {
            value = call.value;
            reply.revision = Revision { ++revision.value };
        }
        return reply;
    }
};

JobRecord accept(const std::string& job, const std::string& key, std::uint64_t term = 1)
{
    return { JobRecordKind::Accept, term, JobId(job), key, "{}", {}, {}, WallTime { 1'000 }, false };
}

} // namespace

class JournalTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JournalTest);
    CPPUNIT_TEST(recordsShareOneWrite);
    CPPUNIT_TEST(retriedSubmitFindsItsJob);
    CPPUNIT_TEST_SUITE_END();

    void recordsShareOneWrite()
    {
        FakeValue service;
        TimePoint now { Duration(1'000) };
        CallBudget budget({}, 8, now);
        GroupCommitter committer({ "jobs/z/d", "h#1" }, jobJournalApply());
        for (const char* job : { "a", "b", "c" })
            committer.add(encodeRecord(job, accept(job, {})), now);
        int calls = 0;
        while (auto call = committer.next(now, budget)) {
            committer.onReply(service.call(*call), now);
            ++calls;
        }
        CPPUNIT_ASSERT_EQUAL(2, calls); // One read, one write.
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), committer.takeCompletions().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), decodeJournal(*committer.payload())->jobs.size());
    }

    void retriedSubmitFindsItsJob()
    {
        JobJournal journal;
        CPPUNIT_ASSERT_EQUAL(std::string(), applyRecord(journal, accept("a", "ws/k1"), {}));
        CPPUNIT_ASSERT_EQUAL(
            std::string("duplicate key of a"), applyRecord(journal, accept("b", "ws/k1"), {}));
        CPPUNIT_ASSERT_EQUAL(JobId("a"), *journal.findKey("ws/k1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalTest);
