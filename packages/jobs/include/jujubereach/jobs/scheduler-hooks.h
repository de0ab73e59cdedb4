// The owner's interface to the scheduler, as a set of functions. Every term starts with a new scheduler;
// tests substitute a simple one.
#pragma once

#include "jujubereach/scheduling/scheduler.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace jujubereach::jobs {

/// Each hook corresponds to the method of scheduling::Scheduler with the same name.
struct SchedulerHooks {
    std::function<std::optional<scheduling::EndJob>(const scheduling::JobSpec&, TimePoint)> submit;
    std::function<void(const JobId&, TimePoint)> cancel;
    std::function<void(
        const scheduling::JobSpec&, const GangId&, const scheduling::Run&, Duration ranFor, TimePoint)>
        adopt;
    std::function<void(std::uint32_t worker, TimePoint)> workerUp;
    std::function<void(std::uint32_t worker, TimePoint)> workerDown;
    std::function<void(const GangId&, TimePoint)> gangRunning;
    std::function<void(const scheduling::GangEnd&, TimePoint)> gangEnded;
    std::function<std::vector<scheduling::Decision>(TimePoint)> decide;
    std::function<scheduling::Explanation(const JobId&, TimePoint)> explain;
    std::function<scheduling::Scheduler::Usage()> usage;
    std::function<void(const manifest::Manifest&)> reconfigure;
};

/// Creates the scheduler for a new term.
using SchedulerFactory = std::function<SchedulerHooks()>;

/// Returns hooks that call `scheduler` and share its ownership.
inline SchedulerHooks hooksOf(const std::shared_ptr<scheduling::Scheduler>& scheduler)
{
    SchedulerHooks hooks;
    hooks.submit = [scheduler](const auto& job, TimePoint now) { return scheduler->submit(job, now); };
    hooks.cancel = [scheduler](const JobId& job, TimePoint now) { scheduler->cancel(job, now); };
    hooks.adopt = [scheduler](const auto& job, const auto& gang, const auto& run, Duration ranFor,
                      TimePoint now) { scheduler->adopt(job, gang, run, ranFor, now); };
    hooks.workerUp = [scheduler](std::uint32_t worker, TimePoint now) { scheduler->workerUp(worker, now); };
    hooks.workerDown
        = [scheduler](std::uint32_t worker, TimePoint now) { scheduler->workerDown(worker, now); };
    hooks.gangRunning = [scheduler](const GangId& gang, TimePoint now) { scheduler->gangRunning(gang, now); };
    hooks.gangEnded = [scheduler](const auto& end, TimePoint now) { scheduler->gangEnded(end, now); };
    hooks.decide = [scheduler](TimePoint now) { return scheduler->decide(now); };
    hooks.explain = [scheduler](const JobId& job, TimePoint now) { return scheduler->explain(job, now); };
    hooks.usage = [scheduler] { return scheduler->usage(); };
    hooks.reconfigure = [scheduler](const auto& manifest) { scheduler->reconfigure(manifest); };
    return hooks;
}

} // namespace jujubereach::jobs
