// Guards against steps on queues with advice that wait beside free workers, because the advisory service is
// not asked about them (review/9).
#include "fake-fleet.h"

using namespace jujubereach;
using namespace jujubereach::fleet;

class AdviceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdviceTest);
    CPPUNIT_TEST(aGangThatFoundTooFewFreeWorkersNeverStarts);
    CPPUNIT_TEST(aGangOfMoreThanOneCallNeverStarts);
    CPPUNIT_TEST(aGangAllowedOnHalfOfTheWorkersNeverStarts);
    CPPUNIT_TEST(aGangApprovedOnSeveralRacksNeverStartsOnOne);
    CPPUNIT_TEST(tasksQueueOnTheFirstApprovedWorkers);
    CPPUNIT_TEST(aWorkerThatJoinsLaterIsNeverAskedAbout);
    CPPUNIT_TEST(aTicketOfAFormerIncarnationVoidsTheOthers);
    CPPUNIT_TEST(aForbiddenWorkerIsReserved);
    CPPUNIT_TEST(anUrgentJobNeverPreempts);
    CPPUNIT_TEST(anIsolatedTaskNeverStarts);
    CPPUNIT_TEST(aSuspectTaskNeverStartsBesideOthers);
    CPPUNIT_TEST(eachPassAsksAboutDeniedWorkers);
    CPPUNIT_TEST(waitingStepsOverloadTheService);
    CPPUNIT_TEST(aRefusingServiceIsCalledWithoutPause);
    CPPUNIT_TEST(callsWithoutAnswerBlockOtherSteps);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Resources wholeWorker { 64'000, 1000, 8 };

    FakeFleet m_fleet;

    // Jobs of `priority` need advice; all workers are approved.
    void startOwner(int workers, int perRack = 100, int priority = 1)
    {
        m_fleet.config->routes[FakeFleet::routeOf(priority)].advice
            = AdviceTerms { Duration(50), Duration(1), Duration(3000) };
        for (int i = 0; i < workers; ++i) {
            const auto name = "w" + std::to_string(100 + i);
            m_fleet.addWorker(name, "r" + std::to_string(i / perRack));
            m_fleet.approvedWorkers.insert(WorkerId(name));
        }
        m_fleet.takeOver();
        m_fleet.run(Duration(500));
    }

    // Takes `workers` whole workers for `time`, on a queue without advice.
    void occupy(int workers, Duration time)
    {
        m_fleet.workTime
            = [time](const TaskId& task) { return task.job.str() == "busy" ? time : Duration(2000); };
        m_fleet.submit(FakeFleet::job("busy", workers, wholeWorker, 2));
        m_fleet.run(Duration(300));
    }

    void submitGang(int members, bool sameRack = false)
    {
        auto job = FakeFleet::job("gang", members, wholeWorker);
        job.spec.steps[0].gang = true;
        job.spec.steps[0].sameRack = sameRack;
        m_fleet.submit(job);
    }

    int startsOf(const std::string& job) const
    {
        int starts = 0;
        for (const auto& [task, count] : m_fleet.observed.starts)
            starts += task.job.str() == job ? count : 0;
        return starts;
    }

    bool hasLogged(const std::string& event) const
    {
        return std::any_of(m_fleet.log.begin(), m_fleet.log.end(),
            [&](const std::string& line) { return line.starts_with(event + ' '); });
    }

    void deny(const std::string& name) { m_fleet.approvedWorkers.erase(WorkerId(name)); }

    void aGangThatFoundTooFewFreeWorkersNeverStarts()
    {
        startOwner(12);
        occupy(10, Duration(8000));
        submitGang(4);
        m_fleet.run(Duration(7000));
        CPPUNIT_ASSERT_EQUAL(0, startsOf("gang"));
        m_fleet.run(Duration(3000));
        CPPUNIT_ASSERT_EQUAL(4, startsOf("gang"));
        CPPUNIT_ASSERT_EQUAL(0, m_fleet.ticketRefusals);
    }

    void aGangOfMoreThanOneCallNeverStarts()
    {
        startOwner(130);
        submitGang(120);
        m_fleet.run(Duration(2000));
        CPPUNIT_ASSERT_EQUAL(120, startsOf("gang"));
        CPPUNIT_ASSERT(m_fleet.mostAsked <= 100);
        CPPUNIT_ASSERT_EQUAL(2, m_fleet.adviceCalls);
    }

    void aGangAllowedOnHalfOfTheWorkersNeverStarts()
    {
        startOwner(24);
        for (int i = 0; i < 24; i += 2)
            deny("w" + std::to_string(100 + i));
        occupy(20, Duration(8000));
        submitGang(10);
        m_fleet.run(Duration(10'000));
        CPPUNIT_ASSERT_EQUAL(10, startsOf("gang"));
    }

    // The rack that is free at first has three approved workers, the next one too.
    void aGangApprovedOnSeveralRacksNeverStartsOnOne()
    {
        startOwner(12, 4);
        deny("w101");
        deny("w105");
        occupy(8, Duration(5000));
        submitGang(4, true);
        m_fleet.run(Duration(7000));
        CPPUNIT_ASSERT_EQUAL(4, startsOf("gang"));
        CPPUNIT_ASSERT(m_fleet.observed.starts[(TaskId { JobId("gang"), 0, 0, 0 })] == 1);
    }

    void tasksQueueOnTheFirstApprovedWorkers()
    {
        startOwner(20);
        occupy(18, Duration(3000));
        m_fleet.submit(FakeFleet::job("j", 60, wholeWorker));
        m_fleet.run(Duration(500));
        CPPUNIT_ASSERT_EQUAL(2, startsOf("j"));
        m_fleet.run(Duration(4500));
        CPPUNIT_ASSERT(startsOf("j") >= 22);
    }

    void aWorkerThatJoinsLaterIsNeverAskedAbout()
    {
        startOwner(2);
        submitGang(3);
        m_fleet.run(Duration(5000));
        m_fleet.approvedWorkers.insert(WorkerId("late"));
        m_fleet.owner->workerReported(m_fleet.addWorker("late").report);
        m_fleet.run(Duration(1500));
        CPPUNIT_ASSERT_EQUAL(3, startsOf("gang"));
    }

    // The owner does not know yet that the worker has restarted.
    void aTicketOfAFormerIncarnationVoidsTheOthers()
    {
        startOwner(3);
        occupy(1, Duration(1500));
        m_fleet.adviceDelay = Duration(500);
        m_fleet.submit(FakeFleet::job("j", 3, wholeWorker));
        m_fleet.run(Duration(540)); // The answer about two workers is under way.
        m_fleet.restartWorker("w101");
        m_fleet.run(Duration(1500));
        CPPUNIT_ASSERT(m_fleet.adviceCalls <= 3);
        m_fleet.owner->workerReported(m_fleet.workers.at(WorkerId("w101")).report);
        m_fleet.run(Duration(8000));
        CPPUNIT_ASSERT(m_fleet.savedState("j") == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::string(), m_fleet.firstViolation());
    }

    // Short tasks would keep starting on workers that the gang needs.
    void aForbiddenWorkerIsReserved()
    {
        startOwner(8);
        for (int i = 0; i < 6; ++i)
            deny("w" + std::to_string(100 + i));
        m_fleet.workTime = [](const TaskId& task) { return Duration(1500 + 300 * (task.index % 5)); };
        m_fleet.submit(FakeFleet::job("other", 2000, { 8000, 1000, 1 }, 2));
        m_fleet.run(Duration(300));
        submitGang(2);
        m_fleet.run(Duration(8000));
        CPPUNIT_ASSERT(hasLogged("reserve"));
        CPPUNIT_ASSERT_EQUAL(2, startsOf("gang"));
    }

    void anUrgentJobNeverPreempts()
    {
        startOwner(4, 100, 0);
        deny("w100");
        occupy(4, Duration(60'000));
        m_fleet.submit(FakeFleet::job("urgent", 1, wholeWorker, 0));
        m_fleet.run(Duration(3000));
        CPPUNIT_ASSERT_EQUAL(1, startsOf("urgent"));
        CPPUNIT_ASSERT(m_fleet.workers.at(WorkerId("w100")).live.contains({ JobId("busy"), 0, 0, 0 }));
        CPPUNIT_ASSERT_EQUAL(0, m_fleet.ticketRefusals);
    }

    // The task has crashed workers: it starts on a worker that runs nothing else.
    void anIsolatedTaskNeverStarts()
    {
        startOwner(8);
        m_fleet.deadlyTasks.insert({ JobId("j"), 0, 0, 0 });
        m_fleet.submit(FakeFleet::job("j", 1));
        m_fleet.run(Duration(60'000));
        CPPUNIT_ASSERT(m_fleet.savedState("j") == JobState::Failed);
        CPPUNIT_ASSERT_EQUAL(std::string(), m_fleet.firstViolation());
    }

    // After its first crash the task starts alone if it can, and no worker is idle.
    void aSuspectTaskNeverStartsBesideOthers()
    {
        startOwner(3);
        m_fleet.workTime
            = [](const TaskId& task) { return Duration(task.job.str() == "busy" ? 60'000 : 2000); };
        auto busy = FakeFleet::job("busy", 3, { 1000, 1000, 1 }, 2);
        busy.spec.steps[0].maxPerWorker = 1;
        m_fleet.submit(busy);
        m_fleet.run(Duration(300));
        m_fleet.restartTime = Duration(100'000);
        m_fleet.deadlyTasks.insert({ JobId("j"), 0, 0, 0 });
        m_fleet.submit(FakeFleet::job("j", 1));
        m_fleet.run(Duration(300));
        m_fleet.deadlyTasks.clear();
        m_fleet.run(Duration(25'000));
        CPPUNIT_ASSERT_EQUAL(2, startsOf("j"));
        CPPUNIT_ASSERT_EQUAL(std::string(), m_fleet.firstViolation());
    }

    void eachPassAsksAboutDeniedWorkers()
    {
        startOwner(12);
        m_fleet.approvedWorkers.clear();
        submitGang(4);
        m_fleet.run(Duration(10'000));
        CPPUNIT_ASSERT_EQUAL(1, m_fleet.adviceCalls);
        CPPUNIT_ASSERT(hasLogged("advice-waits"));
    }

    void waitingStepsOverloadTheService()
    {
        startOwner(12);
        occupy(10, Duration(8000));
        for (int i = 0; i < 50; ++i)
            m_fleet.submit(FakeFleet::job("j" + std::to_string(i), 1, wholeWorker));
        m_fleet.run(Duration(30'000));
        CPPUNIT_ASSERT(m_fleet.mostAdviceInFlight <= 4);
        CPPUNIT_ASSERT_EQUAL(0, m_fleet.ticketRefusals);
        for (int i = 0; i < 50; ++i)
            CPPUNIT_ASSERT(m_fleet.savedState("j" + std::to_string(i)) == JobState::Completed);
    }

    void aRefusingServiceIsCalledWithoutPause()
    {
        startOwner(12);
        m_fleet.adviserRefuses = true;
        submitGang(4);
        m_fleet.run(Duration(10'000));
        CPPUNIT_ASSERT(m_fleet.adviceCalls <= 30);
        m_fleet.adviserRefuses = false;
        m_fleet.run(Duration(1000));
        CPPUNIT_ASSERT_EQUAL(4, startsOf("gang"));
    }

    void callsWithoutAnswerBlockOtherSteps()
    {
        startOwner(12);
        m_fleet.adviserSilent = true;
        for (int i = 0; i < 6; ++i)
            m_fleet.submit(FakeFleet::job("j" + std::to_string(i), 1));
        m_fleet.run(Duration(2000));
        m_fleet.adviserSilent = false;
        m_fleet.submit(FakeFleet::job("k", 1));
        m_fleet.run(Duration(1500));
        CPPUNIT_ASSERT_EQUAL(1, startsOf("k"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdviceTest);
