// At most once, by example and over random orders of events.
#include "jujubereach/base/random.h"
#include "jujubereach/dispatch/once.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace jujubereach;
using namespace jujubereach::dispatch;

namespace {

const OnceLimits limits;

OnceRecord recordOf(const std::string& request, const std::string& host, const std::string& key = "cut-7")
{
    OnceRecord record;
    record.key = onceKey(WorkspaceId("foil"), key);
    record.digest = bodyDigest("body");
    record.request = RequestId(request);
    record.host = HostId(host);
    record.incarnation = Incarnation { 1 };
    return record;
}

OnceRecord outcome(OnceRecord record, OnceState state, const std::string& body = {})
{
    record.state = state;
    record.body = body;
    return record;
}

} // namespace

class OnceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OnceTest);
    CPPUNIT_TEST(firstCreatesAndOthersFindTheRecord);
    CPPUNIT_TEST(lostReplyIsResolvedByApplyingAgain);
    CPPUNIT_TEST(keyThatDidNotRunMayBeUsedAgain);
    CPPUNIT_TEST(goneHolderMeansUnknown);
    CPPUNIT_TEST(fullShardRefuses);
    CPPUNIT_TEST(recordsAreDroppedAfterRetention);
    CPPUNIT_TEST(damagedRecordIsNeverRunAgain);
    CPPUNIT_TEST(anyOrderDispatchesAtMostOnce);
    CPPUNIT_TEST(withoutCompareAndSwapBothDispatch);
    CPPUNIT_TEST_SUITE_END();

    void firstCreatesAndOthersFindTheRecord()
    {
        auto first = createOnce("", recordOf("r1", "a"), { 5 }, limits);
        CPPUNIT_ASSERT(decideOnce(first, HolderState::Self) == OnceAction::Dispatch);
        auto second = createOnce(*first.value, recordOf("r2", "b"), { 6 }, limits);
        CPPUNIT_ASSERT(decideOnce(second, HolderState::Alive) == OnceAction::FetchFromHolder);
        auto done = completeOnce(
            *first.value, outcome(recordOf("r1", "a"), OnceState::Done, "cut \"7\"\nok"), limits);
        auto third = createOnce(*done.value, recordOf("r3", "c"), { 7 }, limits);
        CPPUNIT_ASSERT(decideOnce(third, HolderState::Gone) == OnceAction::AnswerFromRecord);
        CPPUNIT_ASSERT_EQUAL(std::string("cut \"7\"\nok"), third.record->body);
        auto other = recordOf("r4", "c");
        other.digest = bodyDigest("another body");
        CPPUNIT_ASSERT(createOnce(*done.value, other, { 8 }, limits).verdict == OnceVerdict::Mismatch);
    }

    void lostReplyIsResolvedByApplyingAgain()
    {
        auto first = createOnce("", recordOf("r1", "a"), { 5 }, limits);
        CPPUNIT_ASSERT(
            createOnce(*first.value, recordOf("r1", "a"), { 6 }, limits).verdict == OnceVerdict::Created);
        auto restarted = recordOf("r1", "a");
        restarted.incarnation = Incarnation { 2 };
        CPPUNIT_ASSERT(createOnce(*first.value, restarted, { 6 }, limits).verdict == OnceVerdict::Exists);
    }

    void keyThatDidNotRunMayBeUsedAgain()
    {
        auto first = createOnce("", recordOf("r1", "a"), { 5 }, limits);
        auto notRun = completeOnce(*first.value, outcome(recordOf("r1", "a"), OnceState::NotRun), limits);
        auto second = createOnce(*notRun.value, recordOf("r2", "b"), { 6 }, limits);
        CPPUNIT_ASSERT(second.verdict == OnceVerdict::Created);
        auto late = completeOnce(*second.value, outcome(recordOf("r1", "a"), OnceState::NotRun), limits);
        CPPUNIT_ASSERT(late.verdict == OnceVerdict::NotHeld && !late.value);
    }

    void goneHolderMeansUnknown()
    {
        auto first = createOnce("", recordOf("r1", "a"), { 5 }, limits);
        auto second = createOnce(*first.value, recordOf("r2", "b"), { 6 }, limits);
        CPPUNIT_ASSERT(decideOnce(second, HolderState::Gone) == OnceAction::MarkUnknown);
        CPPUNIT_ASSERT(decideOnce(second, HolderState::NotReached) == OnceAction::AskLater);
        auto marked = abandonOnce(*first.value, recordOf("", "").key, RequestId("r1"));
        auto third = createOnce(*marked.value, recordOf("r3", "b"), { 7 }, limits);
        CPPUNIT_ASSERT(decideOnce(third, HolderState::Gone) == OnceAction::AnswerUnknown);
        // The holder was alive after all.
        auto late = completeOnce(*marked.value, outcome(recordOf("r1", "a"), OnceState::Done), limits);
        CPPUNIT_ASSERT(late.verdict == OnceVerdict::Changed);
    }

    void fullShardRefuses()
    {
        OnceLimits small;
        small.shardBytes = 600;
        std::string value;
        OnceVerdict verdict = OnceVerdict::Created;
        for (int i = 0; i < 10 && verdict == OnceVerdict::Created; ++i) {
            auto change = createOnce(value, recordOf("r", "a", std::to_string(i)), { i }, small);
            verdict = change.verdict;
            value = change.value.value_or(value);
        }
        CPPUNIT_ASSERT(verdict == OnceVerdict::ShardFull);
        CPPUNIT_ASSERT(value.size() <= small.shardBytes);
    }

    void recordsAreDroppedAfterRetention()
    {
        auto first = createOnce("", recordOf("r1", "a"), { 5 }, limits);
        WallTime later { 6 + limits.retention.count() };
        auto other = createOnce(*first.value, recordOf("r2", "a", "cut-8"), later, limits);
        CPPUNIT_ASSERT(!findOnce(*other.value, recordOf("", "").key));
    }

    void damagedRecordIsNeverRunAgain()
    {
        std::string value = *createOnce("", recordOf("r1", "a"), { 5 }, limits).value;
        value.replace(value.find("request"), 7, "xequest");
        auto again = createOnce(value, recordOf("r2", "b"), { 6 }, limits);
        CPPUNIT_ASSERT(decideOnce(again, HolderState::Gone) == OnceAction::AnswerUnknown);
        CPPUNIT_ASSERT(
            createOnce("noise", recordOf("r3", "b"), { 6 }, limits).verdict == OnceVerdict::Corrupt);
    }

    // Why the value must go through a compare-and-swap.
    void withoutCompareAndSwapBothDispatch()
    {
        const std::string readByBoth;
        for (const char* host : { "a", "b" }) {
            auto change = createOnce(readByBoth, recordOf(std::string("r-") + host, host), { 5 }, limits);
            CPPUNIT_ASSERT(decideOnce(change, HolderState::Self) == OnceAction::Dispatch);
        }
    }

    // Hosts create, complete, abandon and lose replies in a random order; a model counts what ran.
    void anyOrderDispatchesAtMostOnce()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            Random random(seed);
            std::string value;
            std::map<std::string, int> runs; // of each key
            for (int step = 0; step < 60; ++step) {
                std::string key = "k" + std::to_string(random.below(3));
                std::string host = "h" + std::to_string(random.below(3));
                auto record = recordOf("r" + std::to_string(step), host, key);
                auto created = createOnce(value, record, { step }, limits);
                value = created.value.value_or(value);
                if (random.below(3) == 0) // reply lost
                    created = createOnce(value, record, { step }, limits);
                if (decideOnce(created, HolderState::Alive) != OnceAction::Dispatch)
                    continue;
                auto end = random.below(4);
                if (end == 0) { // holder gone after it sent
                    ++runs[key];
                    value = abandonOnce(value, record.key, record.request).value.value_or(value);
                } else if (end == 1) { // provably not sent
                    value = completeOnce(value, outcome(record, OnceState::NotRun), limits)
                                .value.value_or(value);
                } else {
                    ++runs[key];
                    value
                        = completeOnce(value, outcome(record, OnceState::Done), limits).value.value_or(value);
                }
            }
            for (const auto& [key, count] : runs)
                CPPUNIT_ASSERT_EQUAL(1, count);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OnceTest);
