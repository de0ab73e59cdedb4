// A minimal first-fit scheduler for tests of the owner.
#pragma once

#include "jujubereach/jobs/scheduler-hooks.h"

#include <deque>
#include <map>
#include <set>

namespace jujubereach::jobs::test {

using scheduling::EndKind;

class FakeScheduler {
public:
    FakeScheduler(std::uint32_t workers, std::uint32_t acceleratorsPerWorker)
        : m_perWorker(acceleratorsPerWorker)
        , m_used(workers * acceleratorsPerWorker, false)
    {
    }

    static SchedulerHooks hooks(std::uint32_t workers, std::uint32_t acceleratorsPerWorker)
    {
        auto fake = std::make_shared<FakeScheduler>(workers, acceleratorsPerWorker);
        SchedulerHooks hooks;
        hooks.submit = [fake](const auto& job, TimePoint) {
            fake->m_queue.push_back(job);
            return std::nullopt;
        };
        hooks.cancel = [fake](const JobId& job, TimePoint) { fake->cancel(job); };
        hooks.adopt = [fake](const auto& job, const auto& gang, const auto& run, Duration, TimePoint) {
            fake->start(job, gang, run);
        };
        hooks.workerUp = [fake](std::uint32_t worker, TimePoint) { fake->m_up.insert(worker); };
        hooks.workerDown = [fake](std::uint32_t worker, TimePoint) { fake->m_up.erase(worker); };
        hooks.gangRunning = [](const GangId&, TimePoint) {};
        hooks.gangEnded = [fake](const auto& end, TimePoint) { fake->gangEnded(end); };
        hooks.decide = [fake](TimePoint) { return fake->decide(); };
        return hooks;
    }

private:
    struct Gang {
        scheduling::JobSpec job;
        scheduling::Run run;
    };

    void setUsed(const scheduling::Run& run, bool used)
    {
        for (std::uint32_t i = run.first; i < run.first + run.count; ++i)
            m_used[i] = used;
    }

    void start(const scheduling::JobSpec& job, const GangId& gang, const scheduling::Run& run)
    {
        m_gangs[gang] = { job, run };
        setUsed(run, true);
    }

    void cancel(const JobId& job)
    {
        if (std::erase_if(m_queue, [&](const auto& each) { return each.id == job; }) > 0)
            m_decisions.push_back(
                scheduling::EndJob { job, EndKind::Stopped, scheduling::RefusalReason::Cancelled, true, {} });
        for (const auto& [id, gang] : m_gangs) {
            if (gang.job.id == job) {
                m_cancelled.insert(job);
                m_decisions.push_back(scheduling::PreemptGang { id, false, {} });
            }
        }
    }

    void gangEnded(const scheduling::GangEnd& end)
    {
        auto gang = m_gangs.at(end.gang);
        m_gangs.erase(end.gang);
        setUsed(gang.run, false);
        bool jobEnded = end.kind == EndKind::Completed || end.kind == EndKind::Failed
            || end.kind == EndKind::Unknown || m_cancelled.contains(gang.job.id)
            || (end.kind == EndKind::WorkerLost && !gang.job.restartable);
        gang.job.progress = end.progress;
        if (jobEnded)
            m_decisions.push_back(scheduling::EndJob { gang.job.id, end.kind, {}, false, {} });
        else
            m_queue.push_back(gang.job);
    }

    std::vector<scheduling::Decision> decide()
    {
        std::deque<scheduling::JobSpec> waiting;
        for (const auto& job : m_queue) {
            if (auto run = findRun(job.accelerators)) {
                GangId gang(job.id.str() + "/" + std::to_string(++m_starts));
                start(job, gang, *run);
                m_decisions.push_back(scheduling::StartGang { gang, job, *run });
            } else {
                waiting.push_back(job);
            }
        }
        m_queue = std::move(waiting);
        return std::exchange(m_decisions, {});
    }

    std::optional<scheduling::Run> findRun(std::uint32_t count) const
    {
        std::uint32_t length = 0;
        for (std::uint32_t i = 0; i < m_used.size(); ++i) {
            length = m_used[i] || !m_up.contains(i / m_perWorker) ? 0 : length + 1;
            if (length == count)
                return scheduling::Run { i + 1 - count, count };
        }
        return std::nullopt;
    }

    std::uint32_t m_perWorker;
    std::vector<bool> m_used; ///< By accelerator.
    std::set<std::uint32_t> m_up;
    std::deque<scheduling::JobSpec> m_queue;
    std::map<GangId, Gang> m_gangs;
    std::set<JobId> m_cancelled;
    std::vector<scheduling::Decision> m_decisions;
    std::uint32_t m_starts = 0;
};

} // namespace jujubereach::jobs::test
