// Random days in virtual time: restarts that no owner sees at once, cut-off workers and takeovers every few
// seconds, with late orders, with tasks that crash their workers or with racks that restart and are cut off.
#pragma once

#include "jujubereach/base/random.h"

#include "fake-fleet.h"

namespace jujubereach::fleet {

struct SoakFaults {
    bool lateOrders = false;
    bool deadlyTasks = false;
    bool cutOwners = false; ///< A former owner runs on without the store.
    bool rackRestarts = false; ///< Racks restart within seconds and are cut off soon after.
};

class TakeoverSoak {
public:
    TakeoverSoak(std::uint64_t seed, SoakFaults faults)
        : m_faults(faults)
        , m_random(seed)
    {
        for (int i = 0; i < workers; ++i)
            m_fleet.addWorker("w" + std::to_string(i), "r" + std::to_string(i / 4));
        m_fleet.restartTime = Duration(1000) + below(3000);
        m_fleet.crashDelay = Duration(1) + below(2000);
        m_fleet.workTime = [](const TaskId& task) {
            return Duration(1500 + static_cast<std::int64_t>(stableHash(toString(task)) % 5000));
        };
        m_fleet.takeOver();
        m_fleet.run(Duration(500));
        m_nextTakeover = m_fleet.now() + Duration(2000) + below(4000);
    }

    /// Returns the first violated invariant, or a job that did not end as it should; empty if there is none.
    std::string play()
    {
        constexpr Duration step { 100 };
        const auto end = m_fleet.now() + Duration(45'000);
        while (m_fleet.now() < end || !m_pending.empty()) {
            const auto active = m_fleet.now() < end;
            if (active && m_random.below(m_faults.rackRestarts ? 3 : 10) == 0)
                submitJob();
            const WorkerId id("w" + std::to_string(m_random.below(workers)));
            if (active)
                disturb(id);
            m_fleet.storeDown = active && m_random.below(15) == 0;
            if (active && m_fleet.now() >= m_nextTakeover) {
                m_faults.cutOwners ? cutOwner() : m_fleet.takeOver();
                m_nextTakeover = m_fleet.now() + Duration(2000) + below(4000);
            }
            m_fleet.run(step);
            makeDueChanges();
        }
        m_fleet.storeDown = false;
        m_fleet.run(Duration(180'000));
        return m_fleet.firstViolation().empty() ? firstWrongEnd() : m_fleet.firstViolation();
    }

    /// Plays all seeds and lists those that fail.
    static std::string failingSeeds(SoakFaults faults)
    {
        constexpr std::uint64_t seeds = 100;
        std::string out;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto found = TakeoverSoak(seed, faults).play();
            if (!found.empty())
                out += "\nseed " + std::to_string(seed) + ": " + found;
        }
        return out;
    }

private:
    static constexpr int workers = 10;
    static constexpr std::uint64_t stepsBetweenRestarts = 240;

    struct Change {
        TimePoint at;
        std::function<void()> make;
    };

    Duration below(std::uint64_t limit) { return Duration(static_cast<std::int64_t>(m_random.below(limit))); }

    static TaskId taskOf(const JobId& job) { return { job, 0, 0, 0 }; }

    void submitJob()
    {
        auto job = FakeFleet::job("j" + std::to_string(m_jobs++), 1 + static_cast<int>(m_random.below(4)),
            { 4000, 8000, static_cast<std::int64_t>(1 + m_random.below(4)) },
            static_cast<int>(m_random.below(3)));
        job.spec.steps[0].gang = m_random.below(5) == 0;
        job.spec.steps[0].checkpointing = m_random.below(2) == 0;
        if (m_faults.deadlyTasks && m_random.below(8) == 0 && !job.spec.steps[0].gang)
            m_fleet.deadlyTasks.insert(taskOf(job.id));
        m_fleet.submit(std::move(job));
    }

    // The lease ends. Some workers execute the first order of the new owner seconds later.
    void cutOwner()
    {
        m_fleet.confirmsOwnership = false;
        m_fleet.run(m_fleet.settings.ownerLease + below(300));
        m_fleet.confirmsOwnership = true;
        std::vector<FakeWorker*> late;
        for (auto& [id, worker] : m_fleet.workers) {
            if (m_random.below(4) == 0 && worker.callDelay.count() == 0)
                late.push_back(&worker);
        }
        for (auto* worker : late)
            worker->callDelay = Duration(4000);
        m_fleet.takeOver(true);
        for (auto* worker : late)
            worker->callDelay = Duration(0);
        m_fleet.run(below(400));
        submitJob();
        submitOccurrences();
    }

    void submitOccurrences()
    {
        auto job = FakeFleet::job("o" + std::to_string(m_jobs++), 1, { 4000, 8000, 2 });
        job.spec.repeatCount = 6;
        job.spec.firstRun = { (m_fleet.now() + below(1000)).time_since_epoch().count() };
        job.spec.interval = Duration(500) + below(1500);
        m_fleet.submit(std::move(job));
    }

    void disturb(const WorkerId& id)
    {
        auto& worker = m_fleet.workers.at(id);
        if (m_faults.lateOrders && m_random.below(10) == 0) {
            worker.callDelay = Duration(2000) + below(9500);
            m_pending.push_back({ m_fleet.now() + Duration(300) + below(1500),
                [this, id] { m_fleet.workers.at(id).callDelay = Duration(0); } });
        }
        if (m_faults.rackRestarts && m_random.below(stepsBetweenRestarts / 6) == 0)
            restartRack(m_random.below(workers / 4 + 1));
        if (worker.reachable && m_random.below(stepsBetweenRestarts) == 0)
            restart(id);
        if (worker.reachable && m_random.below(stepsBetweenRestarts + stepsBetweenRestarts / 3) == 0)
            cutOff(id);
    }

    void crash(FakeWorker& worker)
    {
        for (const auto& [task, run] : worker.live)
            ++m_crashesUnder[task];
        worker.live.clear();
    }

    // The workers of a rack are down for less time than the owner takes to notice, and are cut off later.
    void restartRack(std::uint64_t rack)
    {
        const auto upAt = m_fleet.now() + Duration(300) + below(900);
        const auto cutAt = upAt + Duration(200) + below(3800);
        const auto backAt = cutAt + Duration(1000) + below(9000);
        for (std::uint64_t i = 4 * rack; i < std::min<std::uint64_t>(4 * rack + 4, workers); ++i) {
            const WorkerId id("w" + std::to_string(i));
            auto& worker = m_fleet.workers.at(id);
            if (!worker.reachable)
                continue;
            crash(worker);
            worker.reachable = false;
            m_pending.push_back({ upAt, [this, id] { m_fleet.restartWorker(id.str()); } });
            m_pending.push_back({ upAt + Duration(100) + below(1500), [this, id] { m_fleet.report(id); } });
            m_pending.push_back({ cutAt, [this, id] { m_fleet.workers.at(id).reachable = false; } });
            m_pending.push_back({ backAt, [this, id] {
                                     m_fleet.workers.at(id).reachable = true;
                                     m_fleet.report(id);
                                 } });
        }
    }

    // The entry of the new incarnation follows later.
    void restart(const WorkerId& id)
    {
        crash(m_fleet.workers.at(id));
        m_fleet.restartWorker(id.str());
        const auto incarnation = m_fleet.workers.at(id).report.incarnation;
        m_pending.push_back({ m_fleet.now() + Duration(200) + below(1200), [this, id, incarnation] {
                                 const auto& back = m_fleet.workers.at(id);
                                 if (back.report.incarnation == incarnation && back.reachable)
                                     m_fleet.report(id);
                             } });
    }

    void cutOff(const WorkerId& id)
    {
        if (m_random.below(2) == 0) {
            crash(m_fleet.workers.at(id));
            m_fleet.restartWorker(id.str());
        }
        m_fleet.workers.at(id).reachable = false;
        m_pending.push_back({ m_fleet.now() + Duration(500) + below(14'000), [this, id] {
                                 auto& back = m_fleet.workers.at(id);
                                 back.reachable = true;
                                 m_fleet.report(id);
                             } });
    }

    void makeDueChanges()
    {
        for (std::size_t i = 0; i < m_pending.size();) {
            if (m_pending[i].at > m_fleet.now()) {
                ++i;
                continue;
            }
            const auto make = std::move(m_pending[i].make);
            m_pending.erase(m_pending.begin() + static_cast<std::ptrdiff_t>(i));
            make();
        }
    }

    // The crash of a cut-off worker has no effect, so a deadly task may complete there. Where
    // racks restart, a job may be given up after two crashes of workers under runs of one task.
    std::string firstWrongEnd() const
    {
        for (const auto& record : m_fleet.accepted) {
            const auto deadly = m_fleet.deadlyTasks.contains(taskOf(record.id));
            const auto state = m_fleet.savedState(record.id.str());
            const auto mayBeGivenUp = m_faults.rackRestarts
                && std::any_of(m_crashesUnder.begin(), m_crashesUnder.end(),
                    [&](const auto& row) { return row.first.job == record.id && row.second > 1; });
            const auto mayFail = deadly || mayBeGivenUp;
            if (mayFail ? !isFinal(state) : state != JobState::Completed)
                return record.id.str() + " is " + nameOf(state);
        }
        return {};
    }

    const SoakFaults m_faults;
    Random m_random;
    FakeFleet m_fleet;
    std::vector<Change> m_pending;
    TimePoint m_nextTakeover;
    std::map<TaskId, int> m_crashesUnder; ///< Of workers, by task with a run there.
    int m_jobs = 0;
};

} // namespace jujubereach::fleet
