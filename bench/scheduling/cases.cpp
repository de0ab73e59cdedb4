#include "cases.h"

#include "areabound.h"
#include "simulation.h"
#include "subjects.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>

namespace jujubereach::bench {

namespace {

    using MakeSubject = std::function<Subject(const Stream&)>;

    constexpr double urgentBound = 4.1; ///< Seconds, as stated in the target.
    constexpr double fragBound = 0.05;
    constexpr double completionBound = 0.5; ///< Ratio to the mean of the first-come baseline.

    /// Figures pooled over several seeds; printPool() averages shares and takes the worst of extremes.
    struct Pool {
        std::map<std::string, ClassFigures> classes;
        std::vector<std::unordered_map<JobId, double>> completions; ///< One map per seed.
        std::vector<double> completionMeans;
        std::vector<double> fragTimes;
        std::vector<double> fragGangs;
        std::vector<double> largestRuns;
        std::vector<double> used;
        std::vector<double> longestWaits;
        double preempted = 0;
        double unfinished = 0;
        double failed = 0;

        void add(const Figures& figures)
        {
            for (const auto& [name, each] : figures.classes) {
                auto& own = classes[name];
                own.completion.insert(own.completion.end(), each.completion.begin(), each.completion.end());
                own.wait.insert(own.wait.end(), each.wait.begin(), each.wait.end());
            }
            completions.push_back(figures.completions);
            completionMeans.push_back(figures.completionMean);
            fragTimes.push_back(figures.fragTime);
            fragGangs.push_back(figures.fragGang);
            largestRuns.push_back(figures.largestRun);
            used.push_back(figures.used);
            longestWaits.push_back(figures.longestWait);
            preempted += static_cast<double>(figures.preempted);
            unfinished += static_cast<double>(figures.unfinished);
            failed += static_cast<double>(figures.refusedOrFailed);
        }
    };

    /// Ratio of the means over the jobs that both policies completed.
    double completionRatio(const Pool& own, const Pool& other)
    {
        double ownSum = 0;
        double otherSum = 0;
        for (std::size_t seed = 0; seed < own.completions.size(); ++seed) {
            for (const auto& [job, took] : own.completions[seed]) {
                auto found = other.completions[seed].find(job);
                if (found == other.completions[seed].end())
                    continue;
                ownSum += took;
                otherSum += found->second;
            }
        }
        return ownSum / otherSum;
    }

    std::vector<std::pair<std::string, MakeSubject>> policies()
    {
        auto variant = [](const std::string& name, scheduling::Policy policy) {
            return std::pair<std::string, MakeSubject>(
                name, [name, policy](const Stream& stream) { return jujubereach(name, stream, policy); });
        };
        scheduling::Policy noMigration;
        noMigration.migrate = false;
        scheduling::Policy byArrival;
        byArrival.shortestFirst = false;
        scheduling::Policy noReservations;
        noReservations.maxReservations = 0;
        scheduling::Policy declared;
        declared.learnRunTimes = false;
        return {
            { "firstcome", [](const Stream& stream) { return firstCome("firstcome", stream, false); } },
            { "backfill", [](const Stream& stream) { return firstCome("backfill", stream, true); } },
            variant("jujubereach", {}),
            variant("nomigration", noMigration),
            variant("noreservation", noReservations),
            variant("byarrival", byArrival),
            variant("declared", declared),
        };
    }

    void printClass(
        Report& report, const std::string& prefix, const std::string& name, const ClassFigures& figures)
    {
        auto completion = prefix + "-completion-" + name;
        report.value(completion + "-mean", meanOf(figures.completion), "s");
        report.value(completion + "-p50", percentileOf(figures.completion, 0.5), "s");
        report.value(completion + "-p99", percentileOf(figures.completion, 0.99), "s");
        report.value(prefix + "-wait-" + name + "-max", maxOf(figures.wait), "s");
    }

    void printPool(Report& report, const std::string& prefix, const Pool& pool)
    {
        report.value(prefix + "-completion-mean", meanOf(pool.completionMeans), "s");
        for (const auto& [name, each] : pool.classes)
            printClass(report, prefix, name, each);
        report.value(prefix + "-wait-longest", maxOf(pool.longestWaits), "s");
        report.value(prefix + "-frag-time-mean", meanOf(pool.fragTimes), "share");
        report.value(prefix + "-frag-gangs-mean", meanOf(pool.fragGangs), "share");
        report.value(prefix + "-frag-largest-run-mean", meanOf(pool.largestRuns), "share");
        report.value(prefix + "-used-mean", meanOf(pool.used), "share");
        report.value(prefix + "-preempted", pool.preempted, "gangs");
        report.value(prefix + "-failed", pool.failed, "jobs");
    }

    Pool playAll(
        const Deployment& deployment, const std::vector<std::uint64_t>& seeds, const MakeSubject& make)
    {
        Pool pool;
        for (auto seed : seeds) {
            auto stream = makeStream(deployment, seed);
            pool.add(play(stream, make(stream)));
        }
        return pool;
    }

    /// A domain filled with revocable renders, then urgent jobs and a job for every guaranteed shape.
    Stream makeLentStream(const Deployment& deployment, std::uint64_t seed)
    {
        auto empty = deployment;
        empty.mixes.clear();
        empty.shapeUse = 1e-9;
        auto stream = makeStream(empty, seed);
        stream.jobs.clear();
        stream.outages.clear();
        stream.badWorkers.clear();
        Random random(seed);
        std::uint32_t filled = 0;
        auto add = [&stream](const std::string& name, std::uint32_t accelerators, std::int64_t arrives) {
            StreamJob job;
            job.spec.id = JobId(name + std::to_string(stream.jobs.size()));
            job.spec.workClass = ClassId(name);
            job.spec.workspace = stream.manifest.workspaces.back().id;
            job.spec.accelerators = accelerators;
            job.spec.checkpointable = true;
            job.spec.checkpointTime = Duration(2400);
            job.arrives = TimePoint(Duration(arrives));
            job.runTime = job.spec.declaredRunTime = Duration(5 * 3600 * 1000);
            stream.jobs.push_back(job);
        };
        for (; filled < 2 * deployment.workers * acceleratorsPerWorker;
             filled += stream.jobs.back().spec.accelerators)
            add("renders", 1U << random.below(5), 1000);
        for (std::int64_t i = 0; i < 20; ++i) {
            add("checks", 1U << random.below(4), 600'000 + i * 7000);
            stream.jobs.back().spec.checkpointable = false;
            stream.jobs.back().spec.restartable = true;
            stream.jobs.back().runTime = Duration(60'000);
        }
        for (const auto& workspace : stream.manifest.workspaces) {
            for (const auto& shape : workspace.shapes) {
                add("proofs", shape.accelerators, 600'000 + static_cast<std::int64_t>(random.below(100'000)));
                auto& spec = stream.jobs.back().spec;
                spec.workspace = workspace.id;
                spec.shape = shape.id;
                spec.checkpointable = false;
            }
        }
        stream.end = TimePoint(Duration(3600 * 1000));
        return stream;
    }

} // namespace

void comparePolicies(Report& report, const Deployment& deployment, const std::vector<std::uint64_t>& seeds)
{
    std::map<std::string, Pool> pools;
    for (const auto& [name, make] : policies()) {
        pools[name] = playAll(deployment, seeds, make);
        printPool(report, deployment.name + "-" + name, pools[name]);
    }
    const auto& own = pools["jujubereach"];
    auto ratioTo = [&](const std::string& other) { return completionRatio(own, pools[other]); };
    std::vector<double> bounds;
    bounds.reserve(seeds.size());
    for (auto seed : seeds)
        bounds.push_back(areaBound(makeStream(deployment, seed)));
    report.value(deployment.name + "-completion-area-bound", meanOf(bounds), "s");
    report.atMost(
        deployment.name + "-completion-over-firstcome", ratioTo("firstcome"), "ratio", completionBound);
    report.value(deployment.name + "-completion-over-backfill", ratioTo("backfill"), "ratio");
    report.atMost(deployment.name + "-frag-time-worst-seed", maxOf(own.fragTimes), "share", fragBound);
    report.atMost(
        deployment.name + "-urgent-start-worst-seed", maxOf(own.classes.at("checks").wait), "s", urgentBound);
    report.atMost(deployment.name + "-unfinished", own.unfinished, "jobs", 0);
}

void startWhenAllIsLent(Report& report, const Deployment& deployment, const std::vector<std::uint64_t>& seeds)
{
    Pool pool;
    for (auto seed : seeds) {
        auto stream = makeLentStream(deployment, seed);
        pool.add(play(stream, jujubereach("jujubereach", stream)));
    }
    report.atMost(
        deployment.name + "-lent-urgent-start-worst", maxOf(pool.classes["checks"].wait), "s", urgentBound);
    report.atMost(
        deployment.name + "-lent-shape-wait-worst", maxOf(pool.classes["shape"].wait), "s", urgentBound);
}

void loadTarget(Report& report, std::uint64_t seed)
{
    auto deployment = target(2200);
    auto stream = makeStream(deployment, seed);
    Pool baseline;
    baseline.add(play(stream, firstCome("firstcome", stream, false)));
    Pool own;
    own.add(play(stream, jujubereach("jujubereach", stream)));
    printPool(report, deployment.name + "-firstcome", baseline);
    printPool(report, deployment.name + "-jujubereach", own);
    report.value(deployment.name + "-completion-area-bound", areaBound(stream), "s");
    report.atMost(deployment.name + "-completion-over-firstcome", completionRatio(own, baseline), "ratio",
        completionBound);
    report.atMost(deployment.name + "-frag-time", maxOf(own.fragTimes), "share", fragBound);
    report.atMost(
        deployment.name + "-urgent-start-worst", maxOf(own.classes.at("checks").wait), "s", urgentBound);
    report.atMost(deployment.name + "-unfinished", own.unfinished, "jobs", 0);
}

void measureCost(Report& report, std::uint64_t seed)
{
    constexpr double secondsPerStep = 100e-9; ///< Upper bound of the time per step, map lookups included.
    constexpr double coreShare = 0.022;
    constexpr double jobsPerDomainAndDay = 79'000.0 / 11;
    constexpr double secondsPerDay = 86'400;
    for (auto workers : { 10U, 100U, 1000U, 2200U }) {
        auto deployment = target(workers);
        deployment.length = Duration(6LL * 3600 * 1000);
        auto stream = makeStream(deployment, seed);
        auto figures = play(stream, jujubereach("jujubereach", stream));
        auto jobs = static_cast<double>(stream.jobs.size());
        auto stepCount = static_cast<double>(figures.stepCount);
        auto prefix = "cost-" + std::to_string(workers) + "-workers";
        report.value(prefix + "-per-decision", stepCount / static_cast<double>(figures.decisions), "steps");
        report.atMost(prefix + "-core-share",
            stepCount / jobs * jobsPerDomainAndDay * secondsPerStep / secondsPerDay, "share", coreShare);
        report.value(prefix + "-cpu-per-decision",
            figures.cpuSeconds / static_cast<double>(figures.decisions) * 1e6, "us");
    }
}

} // namespace jujubereach::bench
