#include "simulation.h"

#include "jujubereach/placement/pack.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <unordered_map>

namespace jujubereach::bench {

using namespace scheduling;

namespace {

    constexpr Duration startTime { 300 }; ///< Time of the holds and starts on all workers.
    constexpr Duration commandTime { 200 };
    constexpr Duration lossDetectionTime { 2000 };
    constexpr Duration failureTime { 5000 }; ///< From start to failure of a gang that fails.
    constexpr Duration sampleInterval { 10 * 60 * 1000 };
    constexpr Duration drainTime { 4LL * 24 * 3600 * 1000 }; ///< After the last arrival.
    constexpr std::uint32_t largeGang = 32;

    double seconds(Duration duration)
    {
        return static_cast<double>(duration.count()) / 1000;
    }

    struct JobState {
        const StreamJob* job = nullptr;
        bool started = false;
        bool waiting = false;
        bool done = false;
    };

    struct GangState {
        JobState* job = nullptr;
        Run run;
        Duration progress { 0 }; ///< At its start.
        std::optional<TimePoint> runningSince;
    };

    /// Integrates free accelerators and waiting large gangs over time.
    class Meter {
    public:
        explicit Meter(const Stream& stream)
            : m_busy(std::size_t(stream.workers) * acceleratorsPerWorker, 0)
            , m_guaranteed(m_busy.size(), false)
            , m_free(static_cast<std::uint32_t>(m_busy.size()))
            , m_freeUnprotected(m_free)
        {
        }

        void keepShapes(const Stream& stream)
        {
            auto packing = outcomeOf([&] { return placement::packShapes(stream.manifest); });
            for (const auto& placed : *packing.value)
                std::fill_n(m_guaranteed.begin() + placed.run.first, placed.run.count, true);
            m_freeUnprotected
                = static_cast<std::uint32_t>(std::count(m_guaranteed.begin(), m_guaranteed.end(), false));
        }

        void occupy(const Run& run, int change)
        {
            for (auto at = run.first; at < run.end(); ++at) {
                bool wasFree = m_busy[at] == 0;
                m_busy[at] += change;
                int delta = static_cast<int>(m_busy[at] == 0) - static_cast<int>(wasFree);
                m_free += delta;
                m_freeUnprotected += m_guaranteed[at] ? 0 : delta;
            }
        }

        void addUsed(int accelerators) { m_used += accelerators; }

        void setLargeWaiting(const JobSpec& spec, bool waiting)
        {
            if (spec.accelerators < largeGang || spec.shape)
                return;
            auto& sizes
                = spec.checkpointable || spec.restartable ? m_waitingRevocable : m_waitingNonRevocable;
            if (waiting)
                sizes.insert(spec.accelerators);
            else
                sizes.erase(sizes.find(spec.accelerators));
        }
        void countLargeRunning(const JobSpec& spec, int change)
        {
            m_largeRunning += spec.accelerators >= largeGang && !spec.shape ? change : 0;
        }

        void advance(TimePoint to)
        {
            auto elapsed = seconds(to - m_now);
            m_now = to;
            auto blocked = std::distance(m_waitingRevocable.begin(), m_waitingRevocable.upper_bound(m_free))
                + std::distance(
                    m_waitingNonRevocable.begin(), m_waitingNonRevocable.upper_bound(m_freeUnprotected));
            m_total += elapsed;
            m_fragmentedTime += blocked > 0 ? elapsed : 0;
            m_blockedGangTime += static_cast<double>(blocked) * elapsed;
            m_largeTime += static_cast<double>(
                               m_waitingRevocable.size() + m_waitingNonRevocable.size() + m_largeRunning)
                * elapsed;
            m_usedTime += m_used * elapsed;
        }

        void sample()
        {
            if (m_free == 0)
                return;
            std::uint32_t longest = 0;
            std::uint32_t current = 0;
            for (auto busy : m_busy) {
                current = busy ? 0 : current + 1;
                longest = std::max(longest, current);
            }
            m_runSum += static_cast<double>(longest) / m_free;
            ++m_samples;
        }

        void report(Figures& figures) const
        {
            figures.fragTime = m_fragmentedTime / m_total;
            figures.fragGang = m_largeTime > 0 ? m_blockedGangTime / m_largeTime : 0;
            figures.largestRun = m_samples > 0 ? m_runSum / m_samples : 1;
            figures.used = m_usedTime / m_total / static_cast<double>(m_busy.size());
        }

    private:
        std::vector<int> m_busy; ///< Gangs and outages on each accelerator.
        std::vector<bool> m_guaranteed; ///< Accelerators kept for a guaranteed shape.
        std::uint32_t m_free;
        std::uint32_t m_freeUnprotected;
        int m_used = 0;
        std::multiset<std::uint32_t> m_waitingRevocable; ///< Sizes of large gangs that wait.
        std::multiset<std::uint32_t> m_waitingNonRevocable;
        std::size_t m_largeRunning = 0;
        TimePoint m_now {};
        double m_total = 0;
        double m_fragmentedTime = 0;
        double m_blockedGangTime = 0;
        double m_largeTime = 0;
        double m_usedTime = 0;
        double m_runSum = 0;
        int m_samples = 0;
    };

    class Simulation {
    public:
        Simulation(const Stream& stream, const Subject& subject)
            : m_stream(stream)
            , m_subject(subject)
            , m_meter(stream)
            , m_outages(stream.workers, 0)
        {
            if (subject.keepsShapes)
                m_meter.keepShapes(stream);
        }

        Figures run()
        {
            for (std::uint32_t worker = 0; worker < m_stream.workers; ++worker)
                m_subject.setWorker(worker, true, m_now);
            for (const auto& job : m_stream.jobs) {
                at(job.arrives, [this, &job] { arrive(job); });
                if (job.cancelledAt)
                    at(*job.cancelledAt, [this, &job] { cancel(job); });
            }
            for (const auto& outage : m_stream.outages) {
                at(outage.from, [this, &outage] { setWorker(outage.worker, 1); });
                at(outage.to, [this, &outage] { setWorker(outage.worker, -1); });
            }
            for (auto time = TimePoint(sampleInterval); time < m_stream.end; time += sampleInterval)
                at(time, [this] { m_meter.sample(); });
            auto stop = m_stream.end + drainTime;
            while (!m_events.empty() && m_events.begin()->first.first <= stop && !allDone())
                step();
            return report();
        }

    private:
        using Key = std::pair<TimePoint, std::uint64_t>;

        void at(TimePoint time, std::function<void()> action)
        {
            m_events.emplace(Key { time, ++m_sequence }, std::move(action));
        }

        bool allDone() const { return m_now >= m_stream.end && m_unfinishedJobs == 0; }

        void step()
        {
            m_now = m_events.begin()->first.first;
            if (m_now <= m_stream.end)
                m_meter.advance(m_now);
            while (!m_events.empty() && m_events.begin()->first.first == m_now) {
                auto action = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                action();
            }
            auto started = std::chrono::steady_clock::now();
            auto decisions = m_subject.decide(m_now);
            m_figures.cpuSeconds
                += std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
            m_figures.decisions += decisions.size();
            for (const auto& decision : decisions)
                std::visit([this](const auto& each) { carryOut(each); }, decision);
            auto due = m_subject.nextDue(m_now);
            if (due && (!m_wake || *due < *m_wake || *m_wake <= m_now)) {
                m_wake = std::max(*due, m_now + Duration { 1 });
                at(*m_wake, [] {});
            }
        }

        void arrive(const StreamJob& job)
        {
            auto& state = m_jobs[job.spec.id];
            state.job = &job;
            ++m_unfinishedJobs;
            setWaiting(state, true);
            if (auto refused = m_subject.submit(job.spec, m_now))
                carryOut(*refused);
        }

        void cancel(const StreamJob& job)
        {
            if (!m_jobs[job.spec.id].done)
                m_subject.cancel(job.spec.id, m_now);
        }

        void setWaiting(JobState& state, bool waiting)
        {
            if (state.waiting == waiting)
                return;
            state.waiting = waiting;
            m_meter.setLargeWaiting(state.job->spec, waiting);
        }

        void setWorker(std::uint32_t worker, int change)
        {
            auto before = m_outages[worker];
            m_outages[worker] += change;
            if ((before > 0) == (m_outages[worker] > 0))
                return;
            bool up = m_outages[worker] == 0;
            Run run { worker * acceleratorsPerWorker, acceleratorsPerWorker };
            m_meter.occupy(run, up ? -1 : 1);
            m_subject.setWorker(worker, up, m_now);
            if (up)
                return;
            for (const auto& [id, gang] : m_gangs) {
                if (gang.run.overlaps(run))
                    at(m_now + lossDetectionTime,
                        [this, id = id, worker] { end(id, EndKind::WorkerLost, { worker }); });
            }
        }

        void carryOut(const StartGang& start)
        {
            auto& job = m_jobs[start.job.id];
            setWaiting(job, false);
            m_gangs[start.gang] = { &job, start.run, start.job.progress, std::nullopt };
            m_meter.occupy(start.run, 1);
            m_meter.addUsed(static_cast<int>(start.run.count));
            m_meter.countLargeRunning(start.job, 1);
            at(m_now + startTime, [this, id = start.gang] { running(id); });
        }

        void running(const GangId& id)
        {
            auto found = m_gangs.find(id);
            if (found == m_gangs.end())
                return;
            auto& gang = found->second;
            gang.runningSince = m_now;
            m_subject.gangRunning(id, m_now);
            const auto& job = *gang.job->job;
            if (!gang.job->started)
                classOf(job).wait.push_back(seconds(m_now - job.arrives));
            gang.job->started = true;
            for (const auto& bad : m_stream.badWorkers) {
                bool on = gang.run.overlaps({ bad.worker * acceleratorsPerWorker, acceleratorsPerWorker });
                if (on && bad.from <= m_now && m_now < bad.to)
                    return at(
                        m_now + failureTime, [this, id, bad] { end(id, EndKind::Failed, { bad.worker }); });
            }
            auto worker = gang.run.first / acceleratorsPerWorker;
            if (job.failsAlways)
                return at(m_now + failureTime, [this, id, worker] { end(id, EndKind::Failed, { worker }); });
            auto left = std::max(job.runTime - gang.progress, Duration { 1 });
            at(m_now + left, [this, id] { end(id, EndKind::Completed, {}); });
        }

        void carryOut(const PreemptGang& preempt)
        {
            auto found = m_gangs.find(preempt.gang);
            if (found == m_gangs.end())
                return;
            if (found->second.job->job->spec.id != preempt.beneficiary) {
                ++m_figures.preempted;
                ++classOf(*m_jobs[preempt.beneficiary].job).preempted;
            }
            auto wait = commandTime;
            if (preempt.checkpoint)
                wait += found->second.job->job->spec.checkpointTime;
            auto kind = preempt.checkpoint ? EndKind::Checkpointed : EndKind::Stopped;
            at(m_now + wait, [this, id = preempt.gang, kind] { end(id, kind, {}); });
        }

        void end(const GangId& id, EndKind kind, std::vector<std::uint32_t> faultyWorkers)
        {
            auto found = m_gangs.find(id);
            if (found == m_gangs.end())
                return;
            auto gang = found->second;
            m_gangs.erase(found);
            m_meter.occupy(gang.run, -1);
            m_meter.addUsed(-static_cast<int>(gang.run.count));
            m_meter.countLargeRunning(gang.job->job->spec, -1);
            auto progress = gang.progress;
            if (kind == EndKind::Checkpointed && gang.runningSince)
                progress += m_now - *gang.runningSince;
            if (kind == EndKind::Completed)
                complete(*gang.job);
            else
                setWaiting(*gang.job, true);
            m_subject.gangEnded({ id, kind, progress, std::move(faultyWorkers) }, m_now);
        }

        void complete(JobState& state)
        {
            state.done = true;
            --m_unfinishedJobs;
            ++m_figures.completed;
            if (state.job->cancelledAt)
                return;
            auto took = seconds(m_now - state.job->arrives);
            classOf(*state.job).completion.push_back(took);
            m_figures.completions.emplace(state.job->spec.id, took);
        }

        void carryOut(const EndJob& ended)
        {
            auto& state = m_jobs[ended.job];
            setWaiting(state, false);
            if (state.done)
                return;
            state.done = true;
            --m_unfinishedJobs;
            ++m_figures.refusedOrFailed;
        }

        ClassFigures& classOf(const StreamJob& job)
        {
            return m_figures.classes[job.spec.shape ? "shape" : job.spec.workClass.str()];
        }

        Figures report()
        {
            m_meter.report(m_figures);
            m_figures.stepCount = m_subject.stepCount();
            m_figures.unfinished = m_unfinishedJobs;
            double sum = 0;
            std::size_t count = 0;
            for (const auto& [name, each] : m_figures.classes) {
                for (auto value : each.completion)
                    sum += value;
                count += each.completion.size();
                for (auto value : each.wait)
                    m_figures.longestWait = std::max(m_figures.longestWait, value);
            }
            m_figures.completionMean = count > 0 ? sum / static_cast<double>(count) : 0;
            return m_figures;
        }

        const Stream& m_stream;
        const Subject& m_subject;
        Meter m_meter;
        TimePoint m_now {};
        std::map<Key, std::function<void()>> m_events;
        std::uint64_t m_sequence = 0;
        std::optional<TimePoint> m_wake;
        std::unordered_map<JobId, JobState> m_jobs;
        std::map<GangId, GangState> m_gangs;
        std::vector<int> m_outages;
        std::size_t m_unfinishedJobs = 0; ///< Jobs that arrived and have not ended.
        Figures m_figures;
    };

} // namespace

Figures play(const Stream& stream, const Subject& subject)
{
    return Simulation(stream, subject).run();
}

} // namespace jujubereach::bench
