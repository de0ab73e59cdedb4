// The owner of a domain, by example.
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

/// One owner and its workers without delays.
struct Rig {
    explicit Rig(const std::string& holder = "h#1")
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
    CPPUNIT_TEST(ownerAloneWaitsForClaim);
    CPPUNIT_TEST(nextOwnerAdoptsRunningGang);
    CPPUNIT_TEST(handOverTakesLessThanASecond);
    CPPUNIT_TEST(minorityOwnsNothing);
    CPPUNIT_TEST(lateRenewIsDropped);
    CPPUNIT_TEST(refusedFenceRaisesTheTerm);
    CPPUNIT_TEST(endedAttemptWaitsForTheJournal);
    CPPUNIT_TEST(parkedJobStartsWhenTheJournalIsBack);
    CPPUNIT_TEST(cancelledJobEndsOnce);
    CPPUNIT_TEST(lostWorkerEndsTheGang);
    CPPUNIT_TEST_SUITE_END();

    /// A frozen owner wakes up with a renewal in hand. The next owner, which can't see that worker, has
    /// restarted the job once the task's lease and a margin had passed.
    std::ptrdiff_t runsAfterLateRenewal(bool dropsLateSyncs)
    {
        Rig first("a#1");
        first.owner.setOwning(true, m_now);
        first.runFor(Duration(200), m_workers, m_now);
        auto job = jobOf("j", 2);
        job.declaredRunTime = Duration(60'000);
        first.owner.submit(job, m_now);
        first.runFor(Duration(6'000), m_workers, m_now);
        auto late = nextRenewal(first);
        Rig second("b#1");
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

    /// The next sync to worker 0 that carries a command; the others are carried out.
    OutgoingSync nextRenewal(Rig& rig)
    {
        while (true) {
            m_now += Duration(10);
            rig.owner.tick(m_now);
            for (auto& out : rig.owner.dueSyncs(m_now)) {
                if (!out.sync.commands.empty())
                    return std::move(out);
                rig.owner.onSyncReply(
                    out.workerIndex, m_workers[out.workerIndex].sync(out.sync, m_now), m_now);
            }
        }
    }

    void lateRenewIsDropped()
    {
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), runsAfterLateRenewal(true));
        m_workers = std::vector<FakeWorker>(workerCount);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(2), runsAfterLateRenewal(false)); // The twin without the check.
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
        Rig rig;
        rig.owner.setOwning(true, m_now);
        rig.runFor(Duration(200), m_workers, m_now);
        CPPUNIT_ASSERT(rig.owner.isOwner(m_now));
        rig.owner.submit(jobOf("j", 5), m_now);
        rig.runFor(Duration(500), m_workers, m_now);
        for (int worker : { 0, 1, 2 })
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_workers[worker].tasks.size());
        rig.runFor(Duration(2'500), m_workers, m_now);
        CPPUNIT_ASSERT(rig.events.back().kind == JobEventKind::Ended);
        CPPUNIT_ASSERT(rig.events.back().end == scheduling::EndKind::Completed);
        CPPUNIT_ASSERT(m_workers[0].tasks.empty()); // Forgotten, since the end is committed.
    }

    void ownerAloneWaitsForClaim()
    {
        Rig rig;
        rig.commits = false;
        rig.owner.setOwning(true, m_now);
        rig.runFor(Duration(200), m_workers, m_now);
        rig.owner.submit(jobOf("j", 2, false), m_now);
        rig.runFor(Duration(1'000), m_workers, m_now);
        CPPUNIT_ASSERT(m_workers[0].tasks.begin()->second.state == TaskState::Held);
        rig.owner.onEventCommitted(rig.events.front().number, m_now);
        rig.runFor(Duration(100), m_workers, m_now);
        CPPUNIT_ASSERT(m_workers[0].tasks.begin()->second.state == TaskState::Running);
    }

    void nextOwnerAdoptsRunningGang()
    {
        Rig first("a#1");
        first.owner.setOwning(true, m_now);
        first.runFor(Duration(200), m_workers, m_now);
        auto job = jobOf("j", 5);
        job.declaredRunTime = Duration(8'000);
        first.owner.submit(job, m_now);
        first.runFor(Duration(500), m_workers, m_now);
        Rig second("b#1");
        second.owner.setOwning(true, m_now);
        second.runFor(Duration(2'500), m_workers, m_now);
        CPPUNIT_ASSERT(second.owner.recovered());
        CPPUNIT_ASSERT(!first.owner.isOwner(m_now));
        second.runFor(Duration(6'500), m_workers, m_now);
        CPPUNIT_ASSERT(second.events.back().end == scheduling::EndKind::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), second.events.size()); // Adopted and ended, never started again.
    }

    void refusedFenceRaisesTheTerm()
    {
        Rig rig;
        rig.owner.setOwning(true, m_now);
        rig.runFor(Duration(200), m_workers, m_now);
        rig.owner.onFenceRefused(40, m_now);
        CPPUNIT_ASSERT(!rig.owner.isOwner(m_now));
        rig.runFor(Duration(200), m_workers, m_now);
        CPPUNIT_ASSERT(rig.owner.term() > 40);
    }

    /// A new owner finds a task whose lease lapsed; the journal may hold the job's end.
    void endedAttemptWaitsForTheJournal()
    {
        Rig first("a#1");
        first.owner.setOwning(true, m_now);
        first.runFor(Duration(200), m_workers, m_now);
        auto job = jobOf("j", 2);
        job.declaredRunTime = Duration(60'000);
        first.owner.submit(job, m_now);
        first.runFor(Duration(500), m_workers, m_now);
        m_now += Duration(20'000);
        Rig second("b#1");
        second.owner.setOwning(true, m_now);
        second.runFor(Duration(500), m_workers, m_now);
        CPPUNIT_ASSERT(second.owner.recovered());
        CPPUNIT_ASSERT_EQUAL(std::string("queued"), second.owner.explain(job.id, m_now).state);
        CPPUNIT_ASSERT(!m_workers[0].isHeld());
        second.owner.onJournaledJobs({ { job, false, true } }, m_now, JournalView::Complete);
        second.runFor(Duration(1'000), m_workers, m_now);
        CPPUNIT_ASSERT(second.events.empty()); // It had ended.
        CPPUNIT_ASSERT(m_workers[0].tasks.empty());
    }

    void parkedJobStartsWhenTheJournalIsBack()
    {
        Rig rig;
        rig.owner.setOwning(true, m_now);
        rig.runFor(Duration(200), m_workers, m_now);
        rig.owner.setJournalAvailable(false, m_now);
        rig.owner.submit(jobOf("once", 2, false), m_now);
        rig.owner.submit(jobOf("again", 2, true), m_now);
        rig.runFor(Duration(4'000), m_workers, m_now);
        CPPUNIT_ASSERT_EQUAL(JobId("again"), rig.events.back().job.id);
        CPPUNIT_ASSERT(rig.events.back().end == scheduling::EndKind::Completed);
        CPPUNIT_ASSERT_EQUAL(std::string("queued"), rig.owner.explain(JobId("once"), m_now).state);
        rig.owner.setJournalAvailable(true, m_now);
        rig.runFor(Duration(2'000), m_workers, m_now);
        CPPUNIT_ASSERT_EQUAL(JobId("once"), rig.events.back().job.id);
        CPPUNIT_ASSERT(rig.events.back().ran == Ran::Yes);
    }

    void cancelledJobEndsOnce()
    {
        Rig rig;
        rig.owner.setOwning(true, m_now);
        rig.runFor(Duration(200), m_workers, m_now);
        rig.owner.submit(jobOf("running", 8), m_now);
        rig.owner.submit(jobOf("waiting", 8), m_now);
        rig.runFor(Duration(300), m_workers, m_now);
        for (const char* job : { "running", "waiting", "running", "unknown" })
            rig.owner.cancel(JobId(job), m_now);
        rig.runFor(Duration(2'000), m_workers, m_now); // The task is forgotten with the second sync from now.
        std::map<JobId, Ran> ends;
        for (const auto& event : rig.events) {
            if (event.kind == JobEventKind::Ended)
                CPPUNIT_ASSERT(ends.emplace(event.job.id, event.ran).second);
        }
        CPPUNIT_ASSERT(ends.at(JobId("running")) == Ran::Yes);
        CPPUNIT_ASSERT(ends.at(JobId("waiting")) == Ran::No);
        CPPUNIT_ASSERT(m_workers[0].tasks.empty());
    }

    void lostWorkerEndsTheGang()
    {
        Rig rig;
        rig.owner.setOwning(true, m_now);
        rig.runFor(Duration(200), m_workers, m_now);
        auto job = jobOf("j", 6, false);
        job.declaredRunTime = Duration(60'000);
        rig.owner.submit(job, m_now);
        rig.runFor(Duration(500), m_workers, m_now);
        rig.owner.setReachable(2, false, m_now);
        rig.runFor(Duration(3'600), m_workers, m_now);
        CPPUNIT_ASSERT(!m_workers[0].isHeld() && !m_workers[1].isHeld());
        CPPUNIT_ASSERT(rig.events.back().kind == JobEventKind::Started); // Worker 2 may still run it.
        rig.runFor(Duration(17'000), m_workers, m_now);
        CPPUNIT_ASSERT(rig.events.back().end == scheduling::EndKind::WorkerLost);
    }

    void handOverTakesLessThanASecond()
    {
        Rig first("a#1");
        Rig second("b#1");
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

    void minorityOwnsNothing()
    {
        Rig rig;
        for (std::uint32_t worker : { 1, 2 })
            rig.owner.setReachable(worker, false, m_now);
        rig.owner.setOwning(true, m_now);
        rig.runFor(Duration(1'000), m_workers, m_now);
        CPPUNIT_ASSERT(rig.owner.isOwner(m_now)); // Worker 0 counts double.
        rig.owner.setReachable(0, false, m_now);
        rig.runFor(Duration(2'100), m_workers, m_now);
        CPPUNIT_ASSERT(!rig.owner.isOwner(m_now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), rig.owner.term());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobsTest);
