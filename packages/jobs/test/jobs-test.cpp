// Tests single behaviours of a domain's owner.
#include "fake-journal.h"
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
    job.workspace = WorkspaceId("w");
    job.workClass = ClassId("k");
    job.declaredRunTime = Duration(1'000);
    job.restartable = restartable;
    return job;
}

SchedulerHooks fakeScheduler()
{
    return FakeScheduler::hooks(workerCount, perWorker);
}

SchedulerHooks realScheduler()
{
    manifest::Manifest manifest;
    manifest.zones = { { ZoneId("z"), RegionId("g"),
        { { DomainId("d"), { { RackId("r"), workerCount, perWorker } } } } } };
    manifest.classes = { { ClassId("k") } };
    manifest.workspaces = { { WorkspaceId("w"), 1, 0, {} } };
    return hooksOf(std::make_shared<scheduling::Scheduler>(manifest, ZoneId("z"), DomainId("d")));
}

/// An owner whose syncs are answered by the workers without delay.
struct OwnerFixture {
    explicit OwnerFixture(
        const std::string& holder = "h#1", const SchedulerFactory& makeScheduler = fakeScheduler)
        : owner(configOf(holder), makeScheduler)
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
    CPPUNIT_TEST(jobThatCrashesItsWorkersIsGivenUp);
    CPPUNIT_TEST(takeoversDoNotRestartTheCountOfLostWorkers);
    CPPUNIT_TEST(crashesThatTakeTheMajorityCount);
    CPPUNIT_TEST(lossOfTheMajorityAloneIsNoLoss);
    CPPUNIT_TEST(adoptedGangKeepsTheCountOfLostWorkers);
    CPPUNIT_TEST(lossFoundByTheNextOwnerCounts);
    CPPUNIT_TEST(partlyForgottenAttemptIsNoLoss);
    CPPUNIT_TEST(rackOutageIsOneLoss);
    CPPUNIT_TEST(workerThatStaysAwayIsALoss);
    CPPUNIT_TEST(cutWorkerThatKeepsTheTaskIsNoLoss);
    CPPUNIT_TEST(savedProgressEndsTheRowOfLosses);
    CPPUNIT_TEST(recordWithoutLossesIsReadable);
    CPPUNIT_TEST(repeatsAJobWhoseWorkerRestartedAfterAnUnansweredStart);
    CPPUNIT_TEST(repeatsAJobThatFailedAfterAnUnansweredStart);
    CPPUNIT_TEST(countsNoLossOfAWorkerThatRestartedAfterAnUnansweredStart);
    CPPUNIT_TEST(repeatsAJobWhoseStartWasSentTwiceInOneSync);
    CPPUNIT_TEST(refusedStartThatWasSentOnceIsRepeated);
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

    static scheduling::JobSpec longJob(const char* id, std::uint32_t accelerators)
    {
        auto job = jobOf(id, accelerators);
        job.declaredRunTime = Duration(60'000);
        return job;
    }

    /// Restarts every worker on which the job runs. Returns their number.
    std::uint32_t crashWorkersOf(const JobId& job)
    {
        std::uint32_t crashes = 0;
        for (auto& worker : m_workers) {
            bool runs = std::ranges::any_of(worker.tasks,
                [&](const auto& entry) { return entry.second.job == job && isRunning(entry.second.state); });
            if (runs)
                worker.restart(m_now);
            crashes += runs ? 1 : 0;
        }
        return crashes;
    }

    /// Lets the job crash each worker that runs it, until the limit or the end of the job.
    std::uint32_t crashUntilEnded(OwnerFixture& fixture, const JobId& job, std::uint32_t limit)
    {
        std::uint32_t crashes = 0;
        for (auto end = m_now + Duration(300'000); m_now < end && crashes < limit && !endOf(fixture, job);) {
            fixture.runFor(Duration(100), m_workers, m_now);
            crashes += crashWorkersOf(job);
        }
        return crashes;
    }

    static const JobEvent* endOf(const OwnerFixture& fixture, const JobId& job)
    {
        auto end = std::ranges::find_if(fixture.events,
            [&](const JobEvent& event) { return event.kind == JobEventKind::Ended && event.job.id == job; });
        return end == fixture.events.end() ? nullptr : &*end;
    }

    void jobThatCrashesItsWorkersIsGivenUp()
    {
        OwnerFixture fixture("h#1", realScheduler);
        fixture.owner.setOwning(true, m_now);
        fixture.runFor(Duration(200), m_workers, m_now);
        auto job = longJob("deadly", 2);
        fixture.owner.submit(job, m_now);
        fixture.owner.submit(longJob("beside", 2), m_now);
        CPPUNIT_ASSERT_EQUAL(3u, crashUntilEnded(fixture, job.id, 20));
        fixture.runFor(Duration(1'000), m_workers, m_now);
        const auto* end = endOf(fixture, job.id);
        CPPUNIT_ASSERT(end && end->end == scheduling::EndKind::WorkerLost && end->ran == Ran::Yes);
        CPPUNIT_ASSERT(end->refusal == scheduling::RefusalReason::WorkersLost);
        CPPUNIT_ASSERT_EQUAL(std::string("ended"), fixture.owner.explain(job.id, m_now).state);
        fixture.runFor(Duration(70'000), m_workers, m_now);
        CPPUNIT_ASSERT(endOf(fixture, JobId("beside"))->end == scheduling::EndKind::Completed);
    }

    static void journalEvents(const OwnerFixture& fixture, FakeJournal& journal)
    {
        for (const auto& event : fixture.events) {
            if (event.kind != JobEventKind::Started) // The daemon does not journal it.
                journal.apply(event);
        }
    }

    void takeoversDoNotRestartTheCountOfLostWorkers()
    {
        FakeJournal journal;
        auto job = longJob("deadly", 2);
        journal.accept(job, 0);
        std::uint32_t crashes = 0;
        for (int owner = 0; owner < 8 && !journal.jobs.at(job.id).job.ended; ++owner) {
            OwnerFixture fixture("h#" + std::to_string(owner), realScheduler);
            fixture.owner.setOwning(true, m_now);
            fixture.runFor(Duration(2'500), m_workers, m_now);
            fixture.owner.onJournaledJobs(journal.list(), m_now, JournalView::Complete);
            crashes += crashUntilEnded(fixture, job.id, 1);
            fixture.runFor(Duration(3'500), m_workers, m_now);
            journalEvents(fixture, journal);
        }
        CPPUNIT_ASSERT_EQUAL(3u, crashes);
        CPPUNIT_ASSERT(journal.jobs.at(job.id).end == scheduling::EndKind::WorkerLost);
    }

    void setAllReachable(OwnerFixture& fixture, bool reachable)
    {
        for (std::uint32_t worker = 0; worker < workerCount; ++worker)
            fixture.owner.setReachable(worker, reachable, m_now);
    }

    void crashesThatTakeTheMajorityCount()
    {
        FakeJournal journal;
        auto job = longJob("deadly", 2 * workerCount);
        journal.accept(job, 0);
        OwnerFixture fixture("h#1", realScheduler);
        fixture.owner.setOwning(true, m_now);
        std::uint32_t crashes = 0;
        for (int round = 0; round < 8 && !endOf(fixture, job.id); ++round) {
            setAllReachable(fixture, true);
            fixture.runFor(Duration(3'000), m_workers, m_now);
            journalEvents(fixture, journal);
            fixture.owner.onJournaledJobs(journal.list(), m_now, JournalView::Complete);
            fixture.runFor(Duration(2'000), m_workers, m_now);
            crashes += crashWorkersOf(job.id) > 0 ? 1 : 0;
            setAllReachable(fixture, false);
            fixture.runFor(Duration(5'000), m_workers, m_now);
        }
        CPPUNIT_ASSERT_EQUAL(3u, crashes);
        CPPUNIT_ASSERT(endOf(fixture, job.id)->refusal == scheduling::RefusalReason::WorkersLost);
    }

    void lossOfTheMajorityAloneIsNoLoss()
    {
        for (auto away : { Duration(5'000), Duration(30'000) }) {
            m_workers = std::vector<FakeWorker>(workerCount);
            FakeJournal journal;
            auto job = longJob("j", 2 * workerCount);
            journal.accept(job, 0);
            OwnerFixture fixture;
            start(fixture, job);
            setAllReachable(fixture, false);
            fixture.runFor(away, m_workers, m_now);
            setAllReachable(fixture, true);
            fixture.runFor(Duration(3'000), m_workers, m_now);
            fixture.owner.onJournaledJobs(journal.list(), m_now, JournalView::Complete);
            fixture.runFor(Duration(100'000), m_workers, m_now);
            CPPUNIT_ASSERT(endOf(fixture, job.id)->end == scheduling::EndKind::Completed);
            CPPUNIT_ASSERT_EQUAL(0u, lossesOf(fixture));
        }
    }

    /// Starts the job under a new owner.
    void start(OwnerFixture& fixture, const scheduling::JobSpec& job)
    {
        fixture.owner.setOwning(true, m_now);
        fixture.runFor(Duration(200), m_workers, m_now);
        fixture.owner.submit(job, m_now);
        fixture.runFor(Duration(600), m_workers, m_now);
        CPPUNIT_ASSERT(m_workers[0].isHeld());
    }

    void restartWorkers(const std::vector<std::uint32_t>& workers)
    {
        for (auto worker : workers)
            m_workers[worker].restart(m_now);
    }

    static std::uint32_t lossesOf(const OwnerFixture& fixture)
    {
        return fixture.events.back().job.workerLosses;
    }

    void adoptedGangKeepsTheCountOfLostWorkers()
    {
        OwnerFixture first("a#1");
        auto job = longJob("j", 2);
        job.workerLosses = 2;
        start(first, job);
        OwnerFixture second("b#1", realScheduler);
        second.owner.setOwning(true, m_now);
        second.runFor(Duration(2'500), m_workers, m_now);
        CPPUNIT_ASSERT_EQUAL(1u, crashUntilEnded(second, job.id, 5));
        CPPUNIT_ASSERT(endOf(second, job.id)->end == scheduling::EndKind::WorkerLost);
    }

    void lossFoundByTheNextOwnerCounts()
    {
        OwnerFixture first("a#1");
        auto job = longJob("j", 4);
        start(first, job);
        restartWorkers({ 1 });
        OwnerFixture second("b#1");
        second.owner.setOwning(true, m_now);
        second.runFor(Duration(2'500), m_workers, m_now);
        second.owner.onJournaledJobs({ { job, false, false } }, m_now, JournalView::Complete);
        second.runFor(Duration(1'000), m_workers, m_now);
        CPPUNIT_ASSERT_EQUAL(1u, lossesOf(second));
    }

    void partlyForgottenAttemptIsNoLoss()
    {
        OwnerFixture first("a#1");
        auto job = longJob("j", 4);
        start(first, job);
        m_workers[0].tasks.clear();
        m_workers[1].tasks.begin()->second.state = TaskState::Stopped;
        OwnerFixture second("b#1");
        second.owner.setOwning(true, m_now);
        second.runFor(Duration(2'500), m_workers, m_now);
        second.owner.onJournaledJobs({ { job, false, false } }, m_now, JournalView::Complete);
        second.runFor(Duration(1'000), m_workers, m_now);
        CPPUNIT_ASSERT(second.events.back().kind == JobEventKind::Started);
        CPPUNIT_ASSERT_EQUAL(0u, lossesOf(second));
    }

    void rackOutageIsOneLoss()
    {
        OwnerFixture fixture;
        start(fixture, longJob("j", 6));
        restartWorkers({ 1 });
        fixture.runFor(Duration(300), m_workers, m_now);
        restartWorkers({ 2 });
        fixture.runFor(Duration(4'000), m_workers, m_now);
        CPPUNIT_ASSERT(fixture.events.back().kind == JobEventKind::Started);
        CPPUNIT_ASSERT_EQUAL(1u, lossesOf(fixture));
    }

    void workerThatStaysAwayIsALoss()
    {
        OwnerFixture fixture;
        start(fixture, longJob("j", 6));
        fixture.owner.setReachable(2, false, m_now);
        fixture.runFor(Duration(22'000), m_workers, m_now);
        CPPUNIT_ASSERT_EQUAL(1u, lossesOf(fixture));
    }

    void cutWorkerThatKeepsTheTaskIsNoLoss()
    {
        OwnerFixture fixture;
        start(fixture, longJob("j", 6));
        fixture.owner.setReachable(2, false, m_now);
        fixture.runFor(Duration(5'000), m_workers, m_now);
        CPPUNIT_ASSERT(!m_workers[0].isHeld());
        fixture.owner.setReachable(2, true, m_now);
        fixture.runFor(Duration(4'000), m_workers, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.events.size()); // Started twice.
        CPPUNIT_ASSERT_EQUAL(0u, lossesOf(fixture));
    }

    void savedProgressEndsTheRowOfLosses()
    {
        OwnerFixture fixture;
        auto job = longJob("j", 2);
        job.checkpointable = true;
        job.workerLosses = 2;
        start(fixture, job);
        m_workers[0].tasks.begin()->second.state = TaskState::Checkpointed;
        fixture.runFor(Duration(700), m_workers, m_now);
        CPPUNIT_ASSERT_EQUAL(0u, lossesOf(fixture));
    }

    void recordWithoutLossesIsReadable()
    {
        auto job = jobOf("j", 2);
        auto before = encodeJob(job);
        CPPUNIT_ASSERT(before.find("lost") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0u, decodeJob(before)->workerLosses);
        CPPUNIT_ASSERT(
            outcomeOf([&] { return decodeJob(before.substr(0, before.size() - 1) + R"(,"later":1})"); }));
        job.workerLosses = 2;
        CPPUNIT_ASSERT_EQUAL(2u, decodeJob(encodeJob(job))->workerLosses);
        CPPUNIT_ASSERT_EQUAL(2u, decodeLabel(encodeLabel({ job, { 0, 2 } }))->job.workerLosses);
    }

    /// Submits the job and carries out its start on worker 0, whose reply is lost.
    void startWithoutAnswer(OwnerFixture& fixture, const scheduling::JobSpec& job)
    {
        startUntilRunning(fixture, job, [](const OutgoingSync&) { return platform::WorkerReply {}; });
    }

    void startUntilRunning(OwnerFixture& fixture, const scheduling::JobSpec& job,
        const std::function<platform::WorkerReply(const OutgoingSync&)>& replyToStart)
    {
        fixture.owner.setOwning(true, m_now);
        fixture.runFor(Duration(200), m_workers, m_now);
        fixture.owner.submit(job, m_now);
        fixture.runFor(Duration(10), m_workers, m_now);
        for (bool started = false; !started;) {
            CPPUNIT_ASSERT(m_now < TimePoint { Duration(110'000) });
            m_now += Duration(10);
            fixture.owner.tick(m_now);
            for (const auto& out : fixture.owner.dueSyncs(m_now)) {
                auto reply = m_workers[out.workerIndex].sync(out.sync, m_now);
                if (isRunningOn(0) && out.workerIndex == 0) {
                    started = true;
                    reply = replyToStart(out);
                }
                fixture.owner.onSyncReply(out.workerIndex, reply, m_now);
            }
            for (auto& event : fixture.owner.takeEvents()) {
                fixture.owner.onEventCommitted(event.number, m_now);
                fixture.events.push_back(std::move(event));
            }
        }
    }

    bool isRunningOn(std::size_t worker) const
    {
        return std::ranges::any_of(
            m_workers[worker].tasks, [](const auto& entry) { return isRunning(entry.second.state); });
    }

    /// Number of attempts of any job that have held accelerators.
    std::size_t attempts() const
    {
        std::set<GangId> gangs;
        for (const auto& worker : m_workers)
            gangs.insert(worker.everHeld.begin(), worker.everHeld.end());
        return gangs.size();
    }

    void assertNotRepeated(OwnerFixture& fixture, const JobId& job)
    {
        fixture.runFor(Duration(10'000), m_workers, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), attempts());
        const auto* end = endOf(fixture, job);
        CPPUNIT_ASSERT(end && end->ran != Ran::No);
    }

    void repeatsAJobWhoseWorkerRestartedAfterAnUnansweredStart()
    {
        OwnerFixture fixture;
        startWithoutAnswer(fixture, jobOf("j", 2, false));
        m_workers[0].restartWithLease();
        assertNotRepeated(fixture, JobId("j"));
    }

    void repeatsAJobThatFailedAfterAnUnansweredStart()
    {
        OwnerFixture fixture;
        startWithoutAnswer(fixture, jobOf("j", 2, false));
        m_workers[0].fail();
        assertNotRepeated(fixture, JobId("j"));
    }

    void countsNoLossOfAWorkerThatRestartedAfterAnUnansweredStart()
    {
        OwnerFixture fixture;
        startWithoutAnswer(fixture, longJob("j", 2));
        m_workers[0].restartWithLease();
        fixture.runFor(Duration(4'000), m_workers, m_now);
        CPPUNIT_ASSERT(isRunningOn(0) || isRunningOn(1) || isRunningOn(2) || isRunningOn(3));
        CPPUNIT_ASSERT_EQUAL(1u, lossesOf(fixture));
    }

    void repeatsAJobWhoseStartWasSentTwiceInOneSync()
    {
        OwnerFixture fixture;
        startUntilRunning(fixture, jobOf("j", 2, false), [this](const OutgoingSync& out) {
            m_workers[0].restartWithLease();
            auto reply = m_workers[0].sync(out.sync, m_now);
            reply.repeated = true;
            return reply;
        });
        assertNotRepeated(fixture, JobId("j"));
    }

    void refusedStartThatWasSentOnceIsRepeated()
    {
        OwnerFixture fixture;
        fixture.commits = false;
        fixture.owner.setOwning(true, m_now);
        fixture.runFor(Duration(200), m_workers, m_now);
        fixture.owner.submit(jobOf("j", 2, false), m_now);
        fixture.runFor(Duration(100), m_workers, m_now);
        CPPUNIT_ASSERT(m_workers[0].isHeld());
        m_workers[0].restartWithLease();
        fixture.commits = true;
        fixture.owner.onEventCommitted(fixture.events.front().number, m_now);
        fixture.runFor(Duration(10'000), m_workers, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), attempts());
        CPPUNIT_ASSERT(endOf(fixture, JobId("j"))->end == scheduling::EndKind::Completed);
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
