// Tests single behaviours of a domain's owner.
#include "fake-scheduler.h"
#include "fake-worker.h"

#include "jujubereach/jobs/owner.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace jujubereach;
using namespace jujubereach::jobs;
using namespace jujubereach::jobs::test;

namespace {

constexpr std::uint32_t workerCount = 4;
constexpr std::uint32_t perWorker = 2;

scheduling::JobSpec jobOf(const char* id, std::uint32_t accelerators, bool restartable = true)
{
    scheduling::JobSpec job;
    job.id = JobId(id);
    job.accelerators = accelerators;
    job.declaredRunTime = Duration(1'000);
    job.restartable = restartable;
    return job;
}

/// An owner whose syncs are answered by the workers without delay.
struct OwnerFixture {
    explicit OwnerFixture(const std::string& holder = "h#1")
        : owner(configOf(holder), [] { return FakeScheduler::hooks(workerCount, perWorker); })
    {
    }

    static OwnerConfig configOf(const std::string& holder)
    {
        OwnerConfig config;
        config.zone = ZoneId("z");
        config.domain = DomainId("d");
        config.holder = holder;
        for (std::uint32_t i = 0; i < workerCount; ++i)
            config.workers.emplace_back("r/" + std::to_string(i));
        config.acceleratorsPerWorker = perWorker;
        return config;
    }

    void runFor(Duration time, std::vector<FakeWorker>& workers, TimePoint& now)
    {
        for (auto end = now + time; now < end; now += Duration(10)) {
            owner.tick(now);
            for (const auto& out : owner.dueSyncs(now))
                owner.onSyncReply(out.workerIndex, workers[out.workerIndex].sync(out.sync, now), now);
            for (auto& event : owner.takeEvents()) {
                if (commits)
                    owner.onEventCommitted(event.number, now);
                events.push_back(std::move(event));
            }
        }
    }

    DomainOwner owner;
    std::vector<JobEvent> events;
    bool commits = true;
};

} // namespace

class JobsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobsTest);
    CPPUNIT_TEST(labelSurvivesEncoding);
    CPPUNIT_TEST(jobRunsOnEveryMember);
    CPPUNIT_TEST(startWaitsForClaimCommit);
    CPPUNIT_TEST(nextOwnerAdoptsRunningGang);
    CPPUNIT_TEST(handOverTakesLessThanASecond);
    CPPUNIT_TEST(minorityIsNotOwner);
    CPPUNIT_TEST(lateRenewalIsDropped);
    CPPUNIT_TEST(refusedFenceRaisesTheTerm);
    CPPUNIT_TEST(endedAttemptWaitsForTheJournal);
    CPPUNIT_TEST(deferredJobStartsWhenJournalIsAvailable);
    CPPUNIT_TEST(cancelledJobEndsOnce);
    CPPUNIT_TEST(lostWorkerEndsTheGang);
    CPPUNIT_TEST_SUITE_END();

    /// An owner freezes with a renewal ready to send. The next owner cannot reach that worker and restarts
    /// the job after the task lease and the recovery margin. A renewal sent after that would extend the lease
    /// of the old task, and the job would run twice. Returns the number of workers that hold a task.
    std::ptrdiff_t runsAfterLateRenewal(bool dropsLateSyncs)
    {
        OwnerFixture first("a#1");
        first.owner.setOwning(true, m_now);
        first.runFor(Duration(200), m_workers, m_now);
        auto job = jobOf("j", 2);
        job.declaredRunTime = Duration(60'000);
        first.owner.submit(job, m_now);
        first.runFor(Duration(6'000), m_workers, m_now);
        auto late = nextRenewal(first);
        OwnerFixture second("b#1");
        second.owner.setReachable(0, false, m_now);
        second.owner.setOwning(true, m_now);
        second.runFor(Duration(5'000), m_workers, m_now);
        second.owner.onJournaledJobs({ { job, false, false } }, m_now);
        second.runFor(Duration(6'000), m_workers, m_now);
        if (!dropsLateSyncs || m_now <= late.sendBy)
            m_workers[0].sync(late.sync, m_now);
        second.runFor(Duration(10'000), m_workers, m_now);
        return std::ranges::count_if(m_workers, [&](FakeWorker& worker) {
            worker.advance(m_now);
            return worker.isHeld();
        });
    }

    /// Runs until a sync contains a command and returns that sync unsent. Earlier syncs are sent.
    OutgoingSync nextRenewal(OwnerFixture& fixture)
    {
        while (true) {
            m_now += Duration(10);
            fixture.owner.tick(m_now);
            for (auto& out : fixture.owner.dueSyncs(m_now)) {
                if (!out.sync.commands.empty())
                    return std::move(out);
                fixture.owner.onSyncReply(
                    out.workerIndex, m_workers[out.workerIndex].sync(out.sync, m_now), m_now);
            }
        }
    }

    void lateRenewalIsDropped()
    {
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), runsAfterLateRenewal(true));
        m_workers = std::vector<FakeWorker>(workerCount);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(2), runsAfterLateRenewal(false)); // Without the check.
    }

    std::vector<FakeWorker> m_workers { workerCount };
    TimePoint m_now { Duration(100'000) };

    void labelSurvivesEncoding()
    {
        auto job = jobOf("z/d/1-1", 3, false);
        job.shape = ShapeId("foil");
        auto label = decodeLabel(encodeLabel({ job, { 2, 3 } }));
        CPPUNIT_ASSERT(label->run == (scheduling::Run { 2, 3 }));
        CPPUNIT_ASSERT_EQUAL(encodeJob(job), encodeJob(label->job));
        CPPUNIT_ASSERT(!outcomeOf([] { return decodeLabel("{}"); }));
    }

    void jobRunsOnEveryMember()
    {
        OwnerFixture fixture;
        fixture.owner.setOwning(true, m_now);
        fixture.runFor(Duration(200), m_workers, m_now);
        CPPUNIT_ASSERT(fixture.owner.isOwner(m_now));
        fixture.owner.submit(jobOf("j", 5), m_now);
        fixture.runFor(Duration(500), m_workers, m_now);
        for (int worker : { 0, 1, 2 })
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_workers[worker].tasks.size());
        fixture.runFor(Duration(2'500), m_workers, m_now);
        CPPUNIT_ASSERT(fixture.events.back().kind == JobEventKind::Ended);
        CPPUNIT_ASSERT(fixture.events.back().end == scheduling::EndKind::Completed);
        CPPUNIT_ASSERT(m_workers[0].tasks.empty()); // Dropped, since the end is committed.
    }

    void startWaitsForClaimCommit()
    {
        OwnerFixture fixture;
        fixture.commits = false;
        fixture.owner.setOwning(true, m_now);
        fixture.runFor(Duration(200), m_workers, m_now);
        fixture.owner.submit(jobOf("j", 2, false), m_now);
        fixture.runFor(Duration(1'000), m_workers, m_now);
        CPPUNIT_ASSERT(m_workers[0].tasks.begin()->second.state == TaskState::Held);
        fixture.owner.onEventCommitted(fixture.events.front().number, m_now);
        fixture.runFor(Duration(100), m_workers, m_now);
        CPPUNIT_ASSERT(m_workers[0].tasks.begin()->second.state == TaskState::Running);
    }

    void nextOwnerAdoptsRunningGang()
    {
        OwnerFixture first("a#1");
        first.owner.setOwning(true, m_now);
        first.runFor(Duration(200), m_workers, m_now);
        auto job = jobOf("j", 5);
        job.declaredRunTime = Duration(8'000);
        first.owner.submit(job, m_now);
        first.runFor(Duration(500), m_workers, m_now);
        OwnerFixture second("b#1");
        second.owner.setOwning(true, m_now);
        second.runFor(Duration(2'500), m_workers, m_now);
        CPPUNIT_ASSERT(second.owner.recovered());
        CPPUNIT_ASSERT(!first.owner.isOwner(m_now));
        second.runFor(Duration(6'500), m_workers, m_now);
        CPPUNIT_ASSERT(second.events.back().end == scheduling::EndKind::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), second.events.size()); // Adopted and ended, not started again.
    }

    void refusedFenceRaisesTheTerm()
    {
        OwnerFixture fixture;
        fixture.owner.setOwning(true, m_now);
        fixture.runFor(Duration(200), m_workers, m_now);
        fixture.owner.onFenceRefused(40, m_now);
        CPPUNIT_ASSERT(!fixture.owner.isOwner(m_now));
        fixture.runFor(Duration(200), m_workers, m_now);
        CPPUNIT_ASSERT(fixture.owner.term() > 40);
    }

    /// A new owner finds a task whose lease has lapsed. It must not restart the job, since the journal may
    /// hold its end.
    void endedAttemptWaitsForTheJournal()
    {
        OwnerFixture first("a#1");
        first.owner.setOwning(true, m_now);
        first.runFor(Duration(200), m_workers, m_now);
        auto job = jobOf("j", 2);
        job.declaredRunTime = Duration(60'000);
        first.owner.submit(job, m_now);
        first.runFor(Duration(500), m_workers, m_now);
        m_now += Duration(20'000);
        OwnerFixture second("b#1");
        second.owner.setOwning(true, m_now);
        second.runFor(Duration(500), m_workers, m_now);
        CPPUNIT_ASSERT(second.owner.recovered());
        CPPUNIT_ASSERT_EQUAL(std::string("queued"), second.owner.explain(job.id, m_now).state);
        CPPUNIT_ASSERT(!m_workers[0].isHeld());
        second.owner.onJournaledJobs({ { job, false, true } }, m_now, JournalView::Complete);
        second.runFor(Duration(1'000), m_workers, m_now);
        CPPUNIT_ASSERT(second.events.empty()); // The journal has the job's end.
        CPPUNIT_ASSERT(m_workers[0].tasks.empty());
    }

    void deferredJobStartsWhenJournalIsAvailable()
    {
        OwnerFixture fixture;
        fixture.owner.setOwning(true, m_now);
        fixture.runFor(Duration(200), m_workers, m_now);
        fixture.owner.setJournalAvailable(false, m_now);
        fixture.owner.submit(jobOf("once", 2, false), m_now);
        fixture.owner.submit(jobOf("again", 2, true), m_now);
        fixture.runFor(Duration(4'000), m_workers, m_now);
        CPPUNIT_ASSERT_EQUAL(JobId("again"), fixture.events.back().job.id);
        CPPUNIT_ASSERT(fixture.events.back().end == scheduling::EndKind::Completed);
        CPPUNIT_ASSERT_EQUAL(std::string("queued"), fixture.owner.explain(JobId("once"), m_now).state);
        fixture.owner.setJournalAvailable(true, m_now);
        fixture.runFor(Duration(2'000), m_workers, m_now);
        CPPUNIT_ASSERT_EQUAL(JobId("once"), fixture.events.back().job.id);
        CPPUNIT_ASSERT(fixture.events.back().ran == Ran::Yes);
    }

    void cancelledJobEndsOnce()
    {
        OwnerFixture fixture;
        fixture.owner.setOwning(true, m_now);
        fixture.runFor(Duration(200), m_workers, m_now);
        fixture.owner.submit(jobOf("running", 8), m_now);
        fixture.owner.submit(jobOf("waiting", 8), m_now);
        fixture.runFor(Duration(300), m_workers, m_now);
        for (const char* job : { "running", "waiting", "running", "unknown" })
            fixture.owner.cancel(JobId(job), m_now);
        fixture.runFor(Duration(2'000), m_workers, m_now); // The second sync from now drops the task.
        std::map<JobId, Ran> ends;
        for (const auto& event : fixture.events) {
            if (event.kind == JobEventKind::Ended)
                CPPUNIT_ASSERT(ends.emplace(event.job.id, event.ran).second);
        }
        CPPUNIT_ASSERT(ends.at(JobId("running")) == Ran::Yes);
        CPPUNIT_ASSERT(ends.at(JobId("waiting")) == Ran::No);
        CPPUNIT_ASSERT(m_workers[0].tasks.empty());
    }

    void lostWorkerEndsTheGang()
    {
        OwnerFixture fixture;
        fixture.owner.setOwning(true, m_now);
        fixture.runFor(Duration(200), m_workers, m_now);
        auto job = jobOf("j", 6, false);
        job.declaredRunTime = Duration(60'000);
        fixture.owner.submit(job, m_now);
        fixture.runFor(Duration(500), m_workers, m_now);
        fixture.owner.setReachable(2, false, m_now);
        fixture.runFor(Duration(3'600), m_workers, m_now);
        CPPUNIT_ASSERT(!m_workers[0].isHeld() && !m_workers[1].isHeld());
        CPPUNIT_ASSERT(fixture.events.back().kind == JobEventKind::Started); // Worker 2 may still run it.
        fixture.runFor(Duration(17'000), m_workers, m_now);
        CPPUNIT_ASSERT(fixture.events.back().end == scheduling::EndKind::WorkerLost);
    }

    void handOverTakesLessThanASecond()
    {
        OwnerFixture first("a#1");
        OwnerFixture second("b#1");
        first.owner.setOwning(true, m_now);
        first.runFor(Duration(1'000), m_workers, m_now);
        auto term = first.owner.term();
        first.owner.setOwning(false, m_now);
        second.owner.setOwning(true, m_now);
        auto from = m_now;
        while (!second.owner.isOwner(m_now) && m_now < from + Duration(5'000)) {
            auto now = m_now;
            first.runFor(Duration(10), m_workers, now);
            second.runFor(Duration(10), m_workers, m_now);
        }
        CPPUNIT_ASSERT(m_now - from < Duration(1'000));
        CPPUNIT_ASSERT(second.owner.term() > term);
        CPPUNIT_ASSERT(first.owner.released());
    }

    void minorityIsNotOwner()
    {
        OwnerFixture fixture;
        for (std::uint32_t worker : { 1, 2 })
            fixture.owner.setReachable(worker, false, m_now);
        fixture.owner.setOwning(true, m_now);
        fixture.runFor(Duration(1'000), m_workers, m_now);
        CPPUNIT_ASSERT(fixture.owner.isOwner(m_now)); // Worker 0 counts twice.
        fixture.owner.setReachable(0, false, m_now);
        fixture.runFor(Duration(2'100), m_workers, m_now);
        CPPUNIT_ASSERT(!fixture.owner.isOwner(m_now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), fixture.owner.term());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobsTest);
