// Simulates hosts, workers and a journal in virtual time, with seeded faults, in steps of 10 ms. An observer
// checks the tasks that the workers ran.
#pragma once

#include "fake-journal.h"
#include "fake-scheduler.h"
#include "fake-worker.h"

#include "jujubereach/base/random.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jujubereach::jobs::test {

constexpr Duration step { 10 };

struct Faults {
    bool killHosts = false;
    bool freezeHosts = false;
    bool killWorkers = false;
    bool cutLinks = false;
    bool conflictingOwners = false; ///< Several hosts try to own the domain at the same time.
    bool journalOutages = false;
    double lostReplies = 0; ///< Fraction of syncs that take effect and lose their reply.
};

struct FleetConfig {
    std::uint64_t seed = 1;
    Faults faults;
    OwnerSwitches switches;
    bool dropLateSyncs = true; ///< Whether OutgoingSync::sendBy is checked, which is the daemon's part.
    SchedulerFactory makeScheduler; ///< If empty, FakeScheduler is used.
    std::uint32_t hosts = 3;
    std::uint32_t workers = 6;
    std::uint32_t perWorker = 2;
    std::uint32_t jobs = 40;
    Duration faultDuration { 60'000 };
    Duration settleTime { 240'000 }; ///< Then, without faults, at most this time for everything to end.
};

class FakeFleet {
public:
    explicit FakeFleet(FleetConfig config)
        : m_config(config)
        , m_random(config.seed)
        , m_workers(config.workers)
        , m_downUntil(config.workers)
        , m_hosts(config.hosts)
    {
        for (std::uint32_t host = 0; host < config.hosts; ++host)
            startHost(host);
    }

    /// Runs to the end. Returns the distinct violations.
    std::set<std::string> run()
    {
        auto faultsEnd = m_now + m_config.faultDuration;
        for (auto end = faultsEnd + m_config.settleTime; m_now < end && !(m_faultFree && isDone());
             m_now += step) {
            m_faultFree = m_now >= faultsEnd;
            if (!m_faultFree)
                injectFaults();
            submitJobs();
            for (std::uint32_t host = 0; host < m_hosts.size(); ++host)
                runHost(host);
            observe();
        }
        observeEnd();
        return m_violations;
    }

    std::uint32_t takeovers = 0;
    std::uint32_t accepted = 0;
    std::uint32_t completed = 0;

private:
    struct Message {
        OutgoingSync out;
        TimePoint sendAt;
        TimePoint arriveAt;
        TimePoint replyAt;
        bool sent = false;
        bool arrived = false;
        bool lost = false;
        platform::WorkerReply reply;
    };
    struct Host {
        std::unique_ptr<DomainOwner> owner;
        std::uint32_t incarnation = 0;
        TimePoint downUntil;
        TimePoint frozenUntil;
        /// Until then it tries to own the domain although another host is alive.
        TimePoint wantsOwnershipUntil;
        std::vector<Message> messages;
        std::vector<TimePoint> cutUntil; ///< By worker.
        std::deque<JobEvent> events; ///< Not journaled yet, oldest first.
        TimePoint nextCommit;
        std::uint64_t knownTerm = 0; ///< Term for which the journal was fenced and read.
    };

    bool chance(double perSecond)
    {
        return m_random.unit() < perSecond * std::chrono::duration<double>(step).count();
    }

    Duration between(std::uint64_t from, std::uint64_t to)
    {
        return Duration(from + m_random.below(to - from));
    }

    void startHost(std::uint32_t index)
    {
        auto& host = m_hosts[index];
        OwnerConfig config;
        config.zone = ZoneId("z");
        config.domain = DomainId("d");
        config.holder = "h" + std::to_string(index) + "#" + std::to_string(++host.incarnation);
        for (std::uint32_t i = 0; i < m_config.workers; ++i)
            config.workers.emplace_back("r/" + std::to_string(i));
        config.acceleratorsPerWorker = m_config.perWorker;
        config.switches = m_config.switches;
        config.seed = m_config.seed;
        auto fake = [this] { return FakeScheduler::hooks(m_config.workers, m_config.perWorker); };
        host.owner
            = std::make_unique<DomainOwner>(config, m_config.makeScheduler ? m_config.makeScheduler : fake);
        host.messages.clear();
        host.events.clear();
        host.cutUntil.assign(m_config.workers, TimePoint());
        host.knownTerm = 0;
    }

    void injectFaults()
    {
        const auto& faults = m_config.faults;
        for (auto& host : m_hosts) {
            if (faults.killHosts && chance(0.03))
                host.downUntil = m_now + between(200, 8'000);
            if (faults.freezeHosts && chance(0.04))
                host.frozenUntil = m_now + between(500, 20'000);
            if (faults.conflictingOwners && chance(0.1))
                host.wantsOwnershipUntil = m_now + between(500, 30'000);
            if (faults.cutLinks && chance(0.1))
                host.cutUntil[m_random.below(m_config.workers)] = m_now + between(500, 20'000);
        }
        for (std::uint32_t worker = 0; worker < m_config.workers; ++worker) {
            if (faults.killWorkers && m_now >= m_downUntil[worker] && chance(0.02)) {
                m_downUntil[worker] = m_now + between(200, 20'000);
                m_workers[worker].restart(m_downUntil[worker]);
            }
        }
        if (faults.journalOutages && chance(0.03))
            m_journalDownUntil = m_now + between(2'000, 15'000);
    }

    /// Every accepted job has ended and every worker is free.
    bool isDone() const
    {
        bool held = std::ranges::any_of(m_workers, [](const auto& worker) { return worker.isHeld(); });
        return !held
            && std::ranges::all_of(m_journal.jobs, [](const auto& entry) { return entry.second.job.ended; });
    }

    bool journalUp() const { return m_faultFree || m_now >= m_journalDownUntil; }

    /// Submits a job at random, if an owner accepts it and the journal takes its record.
    void submitJobs()
    {
        if (accepted == m_config.jobs || m_faultFree || !chance(2.0 * m_config.jobs / 60))
            return;
        auto owner = std::ranges::find_if(m_hosts, [&](const Host& host) {
            bool isActive = host.owner && m_now >= host.downUntil && m_now >= host.frozenUntil;
            return isActive && host.owner->isOwner(m_now);
        });
        if (owner == m_hosts.end() || !journalUp())
            return;
        auto& host = *owner;
        scheduling::JobSpec job;
        job.id = host.owner->newJobId();
        job.workspace = WorkspaceId("w");
        job.workClass = ClassId("k");
        job.kind = "render";
        job.checkpointable = m_random.below(3) == 0;
        job.checkpointTime = Duration(500);
        job.accelerators = 1 + static_cast<std::uint32_t>(m_random.below(6));
        job.declaredRunTime = between(200, 12'000);
        job.restartable = m_random.below(2) == 0;
        if (host.knownTerm != host.owner->term() || !m_journal.accept(job, host.owner->term()))
            return;
        ++accepted;
        m_accepted[job.id] = job;
        host.owner->submit(job, m_now);
    }

    void runHost(std::uint32_t index)
    {
        auto& host = m_hosts[index];
        if (m_faultFree)
            host.downUntil = host.frozenUntil = std::min(host.downUntil, m_now);
        if (m_now < host.downUntil) {
            host.owner.reset();
            deliver(host);
            return;
        }
        if (!host.owner)
            startHost(index);
        deliver(host);
        if (m_now < host.frozenUntil)
            return;
        host.owner->setOwning(
            index == firstLive() || (!m_faultFree && m_now < host.wantsOwnershipUntil), m_now);
        commitEvents(host);
        deliverReplies(host);
        host.owner->tick(m_now);
        for (auto& out : host.owner->dueSyncs(m_now))
            sendSync(host, std::move(out));
    }

    std::uint32_t firstLive() const
    {
        for (std::uint32_t index = 0; index < m_hosts.size(); ++index) {
            if (m_now >= m_hosts[index].downUntil && m_now >= m_hosts[index].frozenUntil)
                return index;
        }
        return 0;
    }

    void sendSync(Host& host, OutgoingSync out)
    {
        Message message;
        message.sendAt = m_now + between(0, 20);
        message.arriveAt = message.sendAt + between(0, 40);
        message.replyAt = message.arriveAt + between(0, 40);
        message.lost = !m_faultFree && m_random.unit() < m_config.faults.lostReplies;
        message.out = std::move(out);
        host.messages.push_back(std::move(message));
    }

    /// Delivers syncs to the workers. A frozen or dead host sends nothing, but syncs it has sent still
    /// arrive.
    void deliver(Host& host)
    {
        bool isActive = host.owner && m_now >= host.frozenUntil;
        for (auto& message : host.messages) {
            auto worker = message.out.workerIndex;
            if (!message.sent && isActive && m_now >= message.sendAt) {
                message.sent = true;
                bool late = m_config.dropLateSyncs && m_now > message.out.sendBy;
                bool cut = !m_faultFree && m_now < host.cutUntil[worker];
                message.arriveAt = std::max(message.arriveAt, m_now);
                if (late || cut || m_now < m_downUntil[worker]) {
                    message.arrived = true;
                    message.reply.status = platform::SyncStatus::Unreachable;
                    message.replyAt = m_now + (cut ? Duration(400) : Duration(0));
                }
            }
            if (message.sent && !message.arrived && m_now >= message.arriveAt) {
                message.arrived = true;
                if (m_now >= m_downUntil[worker])
                    message.reply = m_workers[worker].sync(message.out.sync, m_now);
                if (message.lost) {
                    message.reply = {};
                    message.replyAt = m_now + Duration(400);
                }
            }
        }
    }

    void deliverReplies(Host& host)
    {
        auto messages = std::exchange(host.messages, {});
        for (auto& message : messages) {
            if (message.arrived && m_now >= message.replyAt)
                host.owner->onSyncReply(message.out.workerIndex, message.reply, m_now);
            else
                host.messages.push_back(std::move(message));
        }
    }

    /// The daemon's part: fences and reads the journal once per term, and commits events in order.
    void commitEvents(Host& host)
    {
        auto& owner = *host.owner;
        owner.setJournalAvailable(journalUp(), m_now);
        for (auto& event : owner.takeEvents())
            host.events.push_back(std::move(event));
        owner.takeLog();
        if (!journalUp() || m_now < host.nextCommit)
            return;
        host.nextCommit = m_now + between(10, 100);
        auto term = owner.term();
        if (term != 0 && term != host.knownTerm && m_journal.fence(term)) {
            host.knownTerm = term;
            ++takeovers;
            owner.onJournaledJobs(m_journal.list(), m_now, JournalView::Complete);
        }
        for (auto& event : std::exchange(host.events, {})) {
            bool committed = m_journal.apply(event);
            if (event.term != owner.term())
                continue;
            if (committed)
                owner.onEventCommitted(event.number, m_now);
            else
                owner.onEventRejected(event.number, m_now);
        }
    }

    struct GangRecord {
        std::set<std::uint32_t> running; ///< Workers, as in the next two sets.
        std::set<std::uint32_t> completed;
        std::set<std::uint32_t> checkpointed;
        std::optional<scheduling::Run> run;
        JobId job;
        bool started = false;
        TimePoint partialSince = TimePoint::max();
    };

    std::set<std::uint32_t> membersOf(const scheduling::Run& run) const
    {
        std::set<std::uint32_t> members;
        for (std::uint32_t i = run.first; i < run.first + run.count; ++i)
            members.insert(i / m_config.perWorker);
        return members;
    }

    /// Checks the tasks on all workers.
    void observe()
    {
        std::map<JobId, std::set<GangId>> runningGangs;
        for (auto& [id, record] : m_gangRecords)
            record.running.clear();
        for (std::uint32_t worker = 0; worker < m_config.workers; ++worker) {
            m_workers[worker].advance(m_now);
            std::set<std::uint32_t> taken;
            for (const auto& [id, task] : m_workers[worker].tasks)
                observe(worker, id, task, taken);
        }
        for (auto& [id, record] : m_gangRecords) {
            if (!record.running.empty())
                runningGangs[record.job].insert(id);
            checkPartialRun(record);
        }
        for (const auto& [job, gangs] : runningGangs) {
            if (gangs.size() > 1)
                m_violations.insert("a job runs twice at the same time");
        }
    }

    void observe(
        std::uint32_t worker, const GangId& id, const FakeWorker::Task& task, std::set<std::uint32_t>& taken)
    {
        for (auto accelerator : task.accelerators) {
            if (isRunning(task.state) && !taken.insert(accelerator).second)
                m_violations.insert("an accelerator runs two gangs");
        }
        if (!task.started)
            return;
        auto& record = m_gangRecords[id];
        if (!record.started) {
            record.started = true;
            record.job = task.job;
            record.run = decodeLabel(task.label)->run;
            m_starts[task.job].insert(id);
            for (auto member : membersOf(*record.run)) {
                if (!m_workers[member].everHeld.contains(id))
                    m_violations.insert("a task started before its whole gang was held");
            }
        }
        if (isRunning(task.state))
            record.running.insert(worker);
        if (task.state == TaskState::Completed)
            record.completed.insert(worker);
        if (task.state == TaskState::Checkpointed)
            record.checkpointed.insert(worker);
    }

    // Checks that a gang does not run in part for longer than the bound, within which the last members may
    // also complete after the first ones.
    void checkPartialRun(GangRecord& record)
    {
        bool partial = !record.running.empty() && record.running.size() < membersOf(*record.run).size();
        if (!partial)
            record.partialSince = TimePoint::max();
        else if (record.partialSince == TimePoint::max())
            record.partialSince = m_now;
        else if (m_now - record.partialSince > partialBound)
            m_violations.insert("a gang runs in part beyond the bound");
    }

    void observeEnd()
    {
        for (const auto& worker : m_workers) {
            if (std::ranges::any_of(
                    worker.tasks, [](const auto& entry) { return !hasEnded(entry.second.state); }))
                m_violations.insert("an accelerator is still held at the end");
        }
        std::map<JobId, std::uint32_t> wholeRuns;
        for (const auto& [id, record] : m_gangRecords) {
            if (record.completed == membersOf(*record.run))
                ++wholeRuns[record.job];
        }
        for (const auto& [id, job] : m_accepted) {
            const auto& entry = m_journal.jobs.at(id);
            completed += entry.job.ended && entry.end == EndKind::Completed ? 1 : 0;
            if (!entry.job.ended)
                m_violations.insert("an accepted job is lost");
            if (!job.restartable && startsWithoutCheckpoint(id) > 1)
                m_violations.insert("a job that is not restartable started twice");
            // A restartable job may run again if the only worker that reports its completion is lost.
            bool mayRunAgain = job.restartable && (m_config.faults.killWorkers || m_config.faults.cutLinks);
            if (wholeRuns[id] > 1 && !mayRunAgain)
                m_violations.insert("a job completed twice");
            if (entry.ran == Ran::No && !m_starts[id].empty())
                m_violations.insert("a job that ran is reported as not run");
        }
    }

    /// Counts the attempts that did not end at a checkpoint of every member; only a full checkpoint allows a
    /// non-restartable job another attempt.
    std::size_t startsWithoutCheckpoint(const JobId& job)
    {
        return std::ranges::count_if(m_starts[job], [&](const GangId& gang) {
            const auto& record = m_gangRecords.at(gang);
            return record.checkpointed != membersOf(*record.run);
        });
    }

    /// The task lease, plus the worker lease during which an owner may still renew after it has lost contact
    /// with a member, plus 500 ms.
    static constexpr Duration partialBound { 17'500 };

    FleetConfig m_config;
    Random m_random;
    TimePoint m_now { Duration(1'000'000) };
    bool m_faultFree = false;
    std::vector<FakeWorker> m_workers;
    std::vector<TimePoint> m_downUntil; ///< By worker.
    std::vector<Host> m_hosts;
    FakeJournal m_journal;
    TimePoint m_journalDownUntil;
    std::map<JobId, scheduling::JobSpec> m_accepted;
    std::map<GangId, GangRecord> m_gangRecords;
    std::map<JobId, std::set<GangId>> m_starts; ///< Attempts that started on any worker.
    std::set<std::string> m_violations;
};

} // namespace jujubereach::jobs::test
