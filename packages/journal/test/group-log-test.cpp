// Several writers commit to one value of a faulty service. Each record must be stored at most once, and in
// agreement with the outcome that its writer was given.
#include "fake-service.h"

#include "jujubereach/journal/backlog.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <set>
#include <sstream>

using namespace jujubereach;
using namespace jujubereach::journal;
using namespace jujubereach::journal::test;

namespace {

/// Deliberately not idempotent: a record that is applied twice is stored twice. Rejects records with body
/// "bad".
AppliedRecords append(const std::string& payload, const std::vector<Record>& records)
{
    AppliedRecords applied { payload, {} };
    for (const auto& record : records) {
        bool bad = record.body == "bad";
        applied.rejections.emplace_back(bad ? "bad" : "");
        if (!bad)
            applied.payload += record.id + " ";
    }
    return applied;
}

struct Outcome {
    std::map<std::string, CommitStatus> reported;
    std::vector<std::string> stored; ///< Record ids in the order of the value.
    std::size_t pending = 0;
    std::uint32_t writes = 0;
};

constexpr std::uint32_t writers = 3;
constexpr std::uint32_t records = 60; ///< Records per writer.

Outcome run(std::uint64_t seed, const ServiceFaults& faults)
{
    FakeService service(seed, faults);
    Random random(seed);
    TimePoint now { Duration(1'000) };
    CallBudget budget({}, 1, now);
    std::vector<std::unique_ptr<GroupCommitter>> committers;
    for (std::uint32_t i = 0; i < writers; ++i) {
        CommitterConfig config { "log", "h" + std::to_string(i) + "#1" };
        config.maxBackoff = Duration(1'000);
        committers.push_back(std::make_unique<GroupCommitter>(config, append));
    }
    Outcome outcome;
    for (std::uint32_t step = 0; step < 12'000; ++step, now += Duration(10)) {
        service.isDown = step > 200 && step < 700;
        for (std::uint32_t i = 0; i < writers; ++i) {
            auto& committer = *committers[i];
            auto id = std::to_string(i) + "." + std::to_string(step / 20);
            if (step % 20 == 0 && step / 20 < records)
                committer.add({ id, random.below(10) == 0 ? "bad" : "good" }, now);
            if (step % 20 == 5 && step / 20 < records && random.below(10) == 0 && committer.pending() > 0)
                outcome.reported.emplace(id, committer.withdraw(id));
            if (auto call = committer.nextCall(now, budget))
                committer.onReply(service.call(*call, now), now);
            for (const auto& completion : committer.takeCompletions())
                outcome.reported.emplace(completion.id, completion.status);
        }
    }
    for (const auto& committer : committers)
        outcome.pending += committer->pending();
    std::string value = service.values["log"].value;
    std::istringstream stored(value.substr(value.find('\n') + 1));
    for (std::string id; stored >> id;)
        outcome.stored.push_back(id);
    outcome.writes = service.writes;
    return outcome;
}

std::set<std::string> violations(const Outcome& outcome)
{
    std::set<std::string> found;
    std::map<std::string, std::uint32_t> counts;
    for (const auto& id : outcome.stored) {
        if (++counts[id] > 1)
            found.insert("a record is stored twice");
    }
    for (const auto& [id, status] : outcome.reported) {
        bool stored = counts.contains(id);
        if (status == CommitStatus::Committed && !stored)
            found.insert("a committed record is missing");
        if ((status == CommitStatus::Rejected || status == CommitStatus::NotWritten) && stored)
            found.insert("a record reported as not written is stored");
    }
    if (outcome.pending > 0)
        found.insert("a record is pending at the end");
    return found;
}

} // namespace

class GroupLogTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GroupLogTest);
    CPPUNIT_TEST(recordsAreStoredOnceUnderFaults);
    CPPUNIT_TEST(recordsAreDuplicatedWithoutOperationIds);
    CPPUNIT_TEST(pendingIsBounded);
    CPPUNIT_TEST(aWithdrawnRecordIsNotWrittenLater);
    CPPUNIT_TEST(largeValueIsSplitThenRefused);
    CPPUNIT_TEST_SUITE_END();

    void recordsAreStoredOnceUnderFaults()
    {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            auto outcome = run(seed, { 0.1, 0.1, 0.1, 0.1 });
            for (const auto& violation : violations(outcome))
                CPPUNIT_FAIL(violation + ", seed " + std::to_string(seed));
            CPPUNIT_ASSERT(outcome.reported.size() >= writers * records * 9 / 10);
        }
    }

    void recordsAreDuplicatedWithoutOperationIds()
    {
        auto found = violations(run(1, { 0, 0.2, 0, 0, true }));
        CPPUNIT_ASSERT(found.contains("a record is stored twice"));
    }

    void pendingIsBounded()
    {
        CommitterConfig config { "log", "h#1" };
        config.maxPending = 2;
        GroupCommitter committer(config, append);
        CPPUNIT_ASSERT(committer.add({ "1", {} }, TimePoint()));
        CPPUNIT_ASSERT(committer.add({ "2", {} }, TimePoint()));
        CPPUNIT_ASSERT(!committer.add({ "3", {} }, TimePoint()));
        CPPUNIT_ASSERT(committer.withdraw("1") == CommitStatus::NotWritten);
        CPPUNIT_ASSERT(committer.add({ "3", {} }, TimePoint()));
    }

    // The submission of a withdrawn record is answered as refused.
    void aWithdrawnRecordIsNotWrittenLater()
    {
        FakeService service(1, {});
        TimePoint now { Duration(1'000) };
        CallBudget budget({}, 1, now);
        CommitterConfig config { "log", "h#1" };
        config.maxPending = 1;
        GroupCommitter committer(config, append);
        Backlog backlog({ [&](const Record& record) { return committer.add(record, now); },
            [&](const std::string& id) { return committer.withdraw(id); } });
        service.isDown = true;
        const auto run = [&] {
            for (int step = 0; step < 100; ++step, now += Duration(200)) {
                backlog.pump();
                if (auto call = committer.nextCall(now, budget))
                    committer.onReply(service.call(*call, now), now);
            }
        };
        for (const auto* id : { "1", "2", "3" })
            backlog.add({ id, {} });
        run();
        CPPUNIT_ASSERT(backlog.withdraw("2") == CommitStatus::NotWritten);
        service.isDown = false;
        run();
        CPPUNIT_ASSERT_EQUAL(std::string("1 3 "), payloadOf(service.values["log"].value));
    }

    void largeValueIsSplitThenRefused()
    {
        FakeService service(1, {});
        TimePoint now { Duration(1'000) };
        CallBudget budget({}, 1, now);
        auto concatenate = [](const std::string& payload, const std::vector<Record>& batch) {
            AppliedRecords applied { payload, {} };
            for (const auto& record : batch)
                applied.payload += record.body;
            return applied;
        };
        GroupCommitter committer({ "log", "h#1" }, concatenate);
        for (const char* id : { "1", "2", "3" })
            committer.add({ id, std::string(400'000, 'x') }, now);
        for (int i = 0; i < 20; ++i, now += Duration(100)) {
            if (auto call = committer.nextCall(now, budget))
                committer.onReply(service.call(*call, now), now);
        }
        auto completions = committer.takeCompletions();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), completions.size());
        CPPUNIT_ASSERT(completions[1].status == CommitStatus::Committed);
        CPPUNIT_ASSERT(completions[2].status == CommitStatus::Rejected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupLogTest);
