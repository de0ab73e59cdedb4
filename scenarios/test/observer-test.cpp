// Each check of the observer on records written by hand: it passes where it should and fails where it should.
#include "check.h"
#include "observer.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace jujubereach;
using namespace jujubereach::scenarios;

namespace {

const JobId job("z-1");

WorkerEvent workerEvent(const std::string& kind, const std::string& worker, std::int64_t at,
    const std::string& gang = "z-1/1", const std::string& reason = "completed")
{
    const std::vector<std::uint32_t> all { 0, 1, 2, 3, 4, 5, 6, 7 };
    return { kind, WorkerId(worker), GangId(gang), all, kind == "end" ? reason : std::string(), "h#1",
        { at } };
}

UpstreamEvent upstreamEvent(const std::string& kind, std::int64_t at, const std::string& body = "work")
{
    return { kind, UpstreamId("u1"), RequestId("r"), body, { at } };
}

JobCall jobCall()
{
    JobCall call;
    call.host = HostId("h1");
    call.sentAt = { 0 };
    call.answeredAt = { 100 };
    call.connected = call.answered = true;
    call.status = 201;
    call.ran = Ran::Yes;
    call.job = job;
    call.accelerators = 16;
    return call;
}

RequestCall requestCall(Ran ran, std::int64_t sentAt = 0, std::int64_t answeredAt = 100)
{
    RequestCall call;
    call.host = HostId("h1");
    call.sentAt = { sentAt };
    call.answeredAt = { answeredAt };
    call.connected = call.answered = true;
    call.status = ran == Ran::Yes ? 200 : 503;
    call.ran = ran;
    call.payload = "work";
    call.body = ran == Ran::Yes ? "answer to work" : "";
    return call;
}

ManifestChange change(const std::string& document, std::uint64_t revision, std::int64_t answeredAt)
{
    ManifestChange result;
    result.document = document;
    result.revision = Revision { revision };
    result.ran = Ran::Yes;
    result.answeredAt = { answeredAt };
    return result;
}

ManifestRead read(const std::string& document, std::int64_t at)
{
    return { HostId("h1"), document, { at } };
}

// A job of 16 accelerators that ran whole on two workers from 1000 to 3000.
Evidence wholeGang()
{
    Evidence evidence;
    evidence.firstAccelerator = { { WorkerId("k/0"), 0 }, { WorkerId("k/1"), 8 }, { WorkerId("k/2"), 16 } };
    evidence.jobs = { jobCall() };
    evidence.workers = { workerEvent("start", "k/0", 1000), workerEvent("start", "k/1", 1010),
        workerEvent("end", "k/0", 3000), workerEvent("end", "k/1", 3010) };
    return evidence;
}

Evidence answeredRequest()
{
    Evidence evidence;
    evidence.requests = { requestCall(Ran::Yes) };
    evidence.upstreams = { upstreamEvent("start", 20), upstreamEvent("end", 40) };
    return evidence;
}

} // namespace

class ObserverTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ObserverTest);
    CPPUNIT_TEST(goodEvidenceHasNoViolation);
    CPPUNIT_TEST(lateShapeIsSeen);
    CPPUNIT_TEST(partialGangIsSeen);
    CPPUNIT_TEST(sharedAcceleratorIsSeen);
    CPPUNIT_TEST(gapBetweenAcceleratorsIsSeen);
    CPPUNIT_TEST(jobRunAgainIsSeen);
    CPPUNIT_TEST(jobInTwoGangsIsSeen);
    CPPUNIT_TEST(restartAfterFailureIsAllowed);
    CPPUNIT_TEST(refusedJobThatRanIsSeen);
    CPPUNIT_TEST(foreignAnswerIsSeen);
    CPPUNIT_TEST(untruthfulRefusalIsSeen);
    CPPUNIT_TEST(refusalBeforeSuccessfulRetryIsAllowed);
    CPPUNIT_TEST(secondRunIsSeen);
    CPPUNIT_TEST(repeatableMayRunTwice);
    CPPUNIT_TEST(workForLeavingUpstreamIsSeen);
    CPPUNIT_TEST(callCutOffByStopIsSeen);
    CPPUNIT_TEST(badExitStatusIsSeen);
    CPPUNIT_TEST(revertedManifestIsSeen);
    CPPUNIT_TEST(lateManifestIsSeen);
    CPPUNIT_TEST(disturbedHostMayBeLate);
    CPPUNIT_TEST(refusedManifestInForceIsSeen);
    CPPUNIT_TEST(callsAboveLimitAreSeen);
    CPPUNIT_TEST(recordsAreRead);
    CPPUNIT_TEST_SUITE_END();

    static void assertViolated(const Evidence& evidence, Invariant invariant)
    {
        const auto violations = observe(evidence);
        CPPUNIT_ASSERT(!violations.empty());
        for (const auto& violation : violations)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                violation.what, static_cast<int>(invariant), static_cast<int>(violation.invariant));
    }

    static void assertGood(const Evidence& evidence)
    {
        for (const auto& violation : observe(evidence))
            CPPUNIT_FAIL(violation.what);
    }

    void goodEvidenceHasNoViolation()
    {
        assertGood(wholeGang());
        assertGood(answeredRequest());
    }

    void lateShapeIsSeen()
    {
        auto evidence = wholeGang();
        evidence.jobs[0].runsWithin = Duration(910);
        assertGood(evidence);
        evidence.jobs[0].runsWithin = Duration(909);
        assertViolated(evidence, Invariant::GuaranteedShape);
        evidence.workers.clear();
        assertViolated(evidence, Invariant::GuaranteedShape);
    }

    void partialGangIsSeen()
    {
        auto evidence = wholeGang();
        evidence.workers[3].at = { 3000 + evidence.bounds.partialGang.count() };
        assertGood(evidence);
        evidence.workers[3].at.milliseconds += 1;
        assertViolated(evidence, Invariant::WholeGang);
    }

    void sharedAcceleratorIsSeen()
    {
        auto evidence = wholeGang();
        auto other = jobCall();
        other.job = JobId("z-2");
        other.accelerators = 8;
        evidence.jobs.push_back(other);
        evidence.workers.push_back(workerEvent("start", "k/0", 2000, "z-2/1"));
        evidence.workers.push_back(workerEvent("end", "k/0", 2500, "z-2/1"));
        assertViolated(evidence, Invariant::WholeGang);
    }

    void gapBetweenAcceleratorsIsSeen()
    {
        auto evidence = wholeGang();
        evidence.workers[1].worker = evidence.workers[3].worker = WorkerId("k/2");
        assertViolated(evidence, Invariant::Other);
    }

    void jobRunAgainIsSeen()
    {
        auto evidence = wholeGang();
        for (auto event : wholeGang().workers) {
            event.gang = GangId("z-1/2");
            event.at.milliseconds += 5000;
            evidence.workers.push_back(event);
        }
        assertViolated(evidence, Invariant::AtMostOnce);
    }

    void jobInTwoGangsIsSeen()
    {
        auto evidence = wholeGang();
        evidence.workers[2].reason = evidence.workers[3].reason = "lapsed";
        evidence.jobs[0].accelerators = 8;
        evidence.workers.push_back(workerEvent("start", "k/2", 2900, "z-1/2"));
        evidence.workers.push_back(workerEvent("end", "k/2", 4000, "z-1/2"));
        assertViolated(evidence, Invariant::WholeGang);
    }

    void restartAfterFailureIsAllowed()
    {
        auto evidence = wholeGang();
        evidence.workers[2].reason = evidence.workers[3].reason = "stopped";
        for (auto event : wholeGang().workers) {
            event.gang = GangId("z-1/2");
            event.at.milliseconds += 5000;
            evidence.workers.push_back(event);
        }
        assertGood(evidence);
        evidence.jobs[0].restartable = false;
        assertViolated(evidence, Invariant::AtMostOnce);
    }

    void refusedJobThatRanIsSeen()
    {
        auto evidence = wholeGang();
        evidence.jobs[0].job = {};
        evidence.jobs[0].ran = Ran::Unknown;
        evidence.bounds.partialGang = Duration(60'000); // The size is not known without an answer.
        assertGood(evidence);
        evidence.jobs[0].ran = Ran::No;
        assertViolated(evidence, Invariant::TruthfulRefusal);
    }

    void foreignAnswerIsSeen()
    {
        auto evidence = answeredRequest();
        evidence.requests[0].body = "answer to other work";
        assertViolated(evidence, Invariant::OwnAnswer);
    }

    void untruthfulRefusalIsSeen()
    {
        auto evidence = answeredRequest();
        evidence.requests[0] = requestCall(Ran::No);
        assertViolated(evidence, Invariant::TruthfulRefusal);
        evidence.upstreams.clear();
        assertGood(evidence);
    }

    void refusalBeforeSuccessfulRetryIsAllowed()
    {
        auto evidence = answeredRequest();
        evidence.requests = { requestCall(Ran::No, 0, 10), requestCall(Ran::Yes, 15, 100) };
        assertGood(evidence);
        evidence.upstreams[0].at = { 5 };
        assertViolated(evidence, Invariant::TruthfulRefusal);
    }

    void secondRunIsSeen()
    {
        auto evidence = answeredRequest();
        evidence.upstreams.push_back(upstreamEvent("start", 60));
        assertViolated(evidence, Invariant::AtMostOnce);
        evidence.upstreams.pop_back();
        auto other = requestCall(Ran::Yes);
        other.status = 201;
        other.body = "another answer";
        evidence.requests.push_back(other);
        assertViolated(evidence, Invariant::AtMostOnce);
    }

    void repeatableMayRunTwice()
    {
        auto evidence = answeredRequest();
        evidence.requests[0].repeatable = true;
        evidence.upstreams.push_back(upstreamEvent("start", 60));
        assertGood(evidence);
    }

    void workForLeavingUpstreamIsSeen()
    {
        auto evidence = answeredRequest();
        evidence.upstreams.push_back(upstreamEvent("leaving", 10, ""));
        assertGood(evidence);
        evidence.upstreams.push_back(
            upstreamEvent("refuse", 10 + evidence.bounds.leavingUpstream.count() + 1, "x"));
        assertViolated(evidence, Invariant::LeavingUpstream);
    }

    void callCutOffByStopIsSeen()
    {
        auto evidence = answeredRequest();
        evidence.stops = { { HostId("h1"), { 50 }, { 200 }, 0 } };
        assertGood(evidence);
        evidence.requests[0].answered = false;
        evidence.requests[0].ran = Ran::Unknown;
        assertViolated(evidence, Invariant::GracefulStop);
        evidence.requests[0].connected = false;
        assertGood(evidence);
    }

    void badExitStatusIsSeen()
    {
        Evidence evidence;
        evidence.stops = { { HostId("h1"), { 50 }, { 200 }, 139 } };
        assertViolated(evidence, Invariant::GracefulStop);
        evidence.stops[0].exitStatus = -1;
        assertViolated(evidence, Invariant::GracefulStop);
    }

    void revertedManifestIsSeen()
    {
        Evidence evidence;
        evidence.manifestChanges = { change("a", 1, 0), change("b", 2, 100) };
        evidence.manifestReads = { read("a", 50), read("b", 150) };
        assertGood(evidence);
        evidence.manifestReads.push_back(read("a", 200));
        assertViolated(evidence, Invariant::ManifestInForce);
    }

    void lateManifestIsSeen()
    {
        Evidence evidence;
        evidence.manifestChanges = { change("a", 1, 0), change("b", 2, 100) };
        evidence.manifestReads = { read("a", 99 + evidence.bounds.manifestInForce.count()) };
        assertGood(evidence);
        evidence.manifestReads[0].at.milliseconds += 1;
        assertViolated(evidence, Invariant::ManifestInForce);
    }

    void disturbedHostMayBeLate()
    {
        Evidence evidence;
        evidence.manifestChanges = { change("a", 1, 0), change("b", 2, 10'000) };
        evidence.disturbances = { { HostId("h1"), { 9000 }, { 20'000 } } };
        evidence.manifestReads = { read("a", 19'000), read("a", 24'999) };
        assertGood(evidence);
        evidence.manifestReads.push_back(read("a", 25'000));
        assertViolated(evidence, Invariant::ManifestInForce);
    }

    void refusedManifestInForceIsSeen()
    {
        Evidence evidence;
        evidence.manifestChanges = { change("a", 0, 0) };
        evidence.manifestChanges[0].ran = Ran::No;
        evidence.manifestReads = { read("a", 10) };
        assertViolated(evidence, Invariant::ManifestInForce);
        evidence.manifestChanges[0].ran = Ran::Unknown;
        assertGood(evidence);
    }

    void callsAboveLimitAreSeen()
    {
        Evidence evidence;
        evidence.platformCalls = { { 1, "h1", 100, 10, 0 } };
        assertGood(evidence);
        evidence.platformCalls[0].refused = 1;
        assertViolated(evidence, Invariant::Other);
    }

    void recordsAreRead()
    {
        Evidence evidence;
        const auto added = outcomeOf([&]() -> Result<bool> {
            JUJUBEREACH_CHECK(addWorkerRecord(evidence,
                R"({"events":[{"event":"start","worker":"k/0","gang":"z-1/1","accelerators":[0,1],"at":5,"seq":1}]})"));
            JUJUBEREACH_CHECK(addUpstreamRecord(evidence,
                R"({"events":[{"event":"start","upstream":"u","request":"r","body":"b","at":6,"seq":1}]})"));
            JUJUBEREACH_CHECK(addPlatformRecord(evidence,
                R"({"events":[],"calls":{"seconds":[{"second":1,"caller":"h","reads":2,"writes":3,"refused":4}]}})"));
            return true;
        });
        CPPUNIT_ASSERT(added);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), evidence.workers.at(0).accelerators.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), evidence.upstreams.at(0).at.milliseconds);
        CPPUNIT_ASSERT_EQUAL(4U, evidence.platformCalls.at(0).refused);
        CPPUNIT_ASSERT(!outcomeOf([&]() -> Result<bool> {
            JUJUBEREACH_CHECK(addWorkerRecord(evidence, R"({"events":[1]})"));
            return true;
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObserverTest);
