// Checks of gangs, jobs and accelerators.
#include "gang-history.h"
#include "observer.h"

#include <algorithm>
#include <set>

namespace jujubereach::scenarios {

namespace {

    std::string milliseconds(std::int64_t count)
    {
        return std::to_string(count) + " ms";
    }

    // First time from `from` on at which `size` accelerators of one of the job's gangs run together.
    std::optional<WallTime> firstWholeRun(
        const std::vector<GangRun>& runs, const JobId& job, std::uint32_t size)
    {
        for (const auto& run : runs) {
            if (jobOf(run.gang) != job)
                continue;
            for (auto time : run.changes()) {
                if (run.runningAt(time) >= size)
                    return time;
            }
        }
        return std::nullopt;
    }

    // Longest time in which some, but fewer than `size` accelerators of a gang run.
    Duration longestPart(const GangRun& run, std::uint32_t size)
    {
        Duration longest { 0 };
        std::optional<WallTime> since;
        for (auto time : run.changes()) {
            const auto running = run.runningAt(time);
            const bool isPart = running > 0 && running < size;
            if (isPart && !since)
                since = time;
            if (!isPart && since) {
                longest = std::max(longest, Duration(time.milliseconds - since->milliseconds));
                since.reset();
            }
        }
        return longest;
    }

    struct Use {
        GangId gang;
        WallTime start;
        WallTime end;
    };

    using AcceleratorUses = std::map<std::pair<WorkerId, std::uint32_t>, std::vector<Use>>;

    AcceleratorUses usesOf(const std::vector<GangRun>& runs)
    {
        constexpr WallTime never { INT64_MAX };
        AcceleratorUses uses;
        for (const auto& run : runs) {
            for (const auto& task : run.tasks) {
                for (auto accelerator : task.accelerators)
                    uses[{ task.worker, accelerator }].push_back(
                        { run.gang, task.start, task.end.value_or(never) });
            }
        }
        return uses;
    }

    Violations sharedAccelerators(const std::vector<GangRun>& runs)
    {
        Violations violations;
        for (auto& [place, uses] : usesOf(runs)) {
            for (std::size_t i = 1; i < uses.size(); ++i) {
                if (uses[i].start < uses[i - 1].end && uses[i].gang != uses[i - 1].gang)
                    violations.push_back({ Invariant::WholeGang,
                        "accelerator " + std::to_string(place.second) + " of worker " + place.first.str()
                            + " ran gangs " + uses[i - 1].gang.str() + " and " + uses[i].gang.str()
                            + " at once" });
            }
        }
        return violations;
    }

    bool isAdjacent(const Evidence& evidence, const GangRun& run)
    {
        std::set<std::uint32_t> line;
        std::size_t count = 0;
        for (const auto& task : run.tasks) {
            auto first = evidence.firstAccelerator.find(task.worker);
            if (first == evidence.firstAccelerator.end())
                return false;
            for (auto accelerator : task.accelerators) {
                line.insert(first->second + accelerator);
                ++count;
            }
        }
        return line.size() == count && *line.rbegin() - *line.begin() + 1 == count;
    }

    void checkSuccession(const GangRun& earlier, const GangRun& later, Violations& violations)
    {
        const auto job = jobOf(later.gang).str();
        const auto end = earlier.lastEnd();
        if (!end || later.firstStart() < *end)
            violations.push_back({ Invariant::WholeGang, "job " + job + " ran in two gangs at once" });
        else if (earlier.completed())
            violations.push_back(
                { Invariant::AtMostOnce, "job " + job + " ran again after it had completed" });
    }

    const JobCall* callOf(const Evidence& evidence, const JobId& job)
    {
        for (const auto& call : evidence.jobs) {
            if (call.job == job)
                return &call;
        }
        return nullptr;
    }

    // Jobs that ran although no caller was told of them must be those whose callers got no answer.
    Violations unknownJobs(const Evidence& evidence, const std::set<JobId>& started)
    {
        const auto unexplained = std::count_if(
            started.begin(), started.end(), [&](const JobId& job) { return !callOf(evidence, job); });
        const auto unknown = std::count_if(evidence.jobs.begin(), evidence.jobs.end(),
            [](const JobCall& call) { return call.ran == Ran::Unknown; });
        if (unexplained <= unknown)
            return {};
        return { { Invariant::TruthfulRefusal,
            std::to_string(unexplained) + " jobs ran that no caller was told of, but only "
                + std::to_string(unknown) + " callers got no answer" } };
    }

} // namespace

Violations checkGuaranteedShapes(const Evidence& evidence)
{
    Violations violations;
    const auto runs = gangRuns(evidence);
    for (const auto& call : evidence.jobs) {
        if (!call.runsWithin || call.job.empty())
            continue;
        const auto limit = call.answeredAt.milliseconds + call.runsWithin->count();
        const auto whole = firstWholeRun(runs, call.job, call.accelerators);
        if (!whole || whole->milliseconds > limit)
            violations.push_back({ Invariant::GuaranteedShape,
                "job " + call.job.str() + " did not run whole within "
                    + milliseconds(call.runsWithin->count())
                    + (whole ? ", but after "
                                + milliseconds(whole->milliseconds - call.answeredAt.milliseconds)
                             : std::string(", nor later")) });
    }
    return violations;
}

Violations checkWholeGangs(const Evidence& evidence)
{
    Violations violations;
    for (const auto& run : gangRuns(evidence)) {
        const auto size = sizeOf(evidence, run.gang);
        const auto part = longestPart(run, size);
        if (part > evidence.bounds.partialGang)
            violations.push_back({ Invariant::WholeGang,
                "gang " + run.gang.str() + " ran with part of its " + std::to_string(size)
                    + " accelerators for " + milliseconds(part.count()) });
    }
    return violations;
}

Violations checkAccelerators(const Evidence& evidence)
{
    const auto runs = gangRuns(evidence);
    auto violations = sharedAccelerators(runs);
    for (const auto& run : runs) {
        if (!isAdjacent(evidence, run))
            violations.push_back(
                { Invariant::Other, "the accelerators of gang " + run.gang.str() + " are not adjacent" });
    }
    return violations;
}

Violations checkJobsRunOnce(const Evidence& evidence)
{
    Violations violations;
    std::map<JobId, std::vector<GangRun>> byJob;
    std::set<JobId> started;
    for (auto& run : gangRuns(evidence)) {
        started.insert(jobOf(run.gang));
        byJob[jobOf(run.gang)].push_back(std::move(run));
    }
    for (const auto& [job, runs] : byJob) {
        for (std::size_t i = 1; i < runs.size(); ++i)
            checkSuccession(runs[i - 1], runs[i], violations);
        const auto* call = callOf(evidence, job);
        if (call && !call->restartable && runs.size() > 1)
            violations.push_back(
                { Invariant::AtMostOnce, "job " + job.str() + " may not start again, but did" });
    }
    auto unknown = unknownJobs(evidence, started);
    violations.insert(violations.end(), unknown.begin(), unknown.end());
    return violations;
}

} // namespace jujubereach::scenarios
