#include "player.h"

#include "fake-fleet.h"
#include "jujubereach/fleet/queue-order.h"

namespace jujubereach::bench {

namespace {

    constexpr double fixedShare = 0.3; ///< Part of a job's utility that does not depend on its work.
    constexpr double maxUtility = 4; ///< Relative to the mean of its class.
    constexpr Duration drainTime { 14'000 }; ///< Simulated time after the last arrival.
    constexpr double lateLimit = 3; ///< Relative to the objective; a later job yields nothing.

    struct SimulatedJob {
        const Arrival* arrival = nullptr;
        double utility = 0;
        Duration objective { 0 };
        std::optional<Duration> took;
    };

    double workOf(const Arrival& arrival)
    {
        double seconds = 0;
        for (const auto& time : arrival.taskTimes)
            seconds += static_cast<double>(time.count()) / 1000;
        return seconds * fleet::coresOf(arrival.spec.steps[0].resources);
    }

    std::string nameOf(std::size_t index)
    {
        return "j" + std::to_string(index);
    }

    double earnedBy(const SimulatedJob& job, const ClassLoad& part)
    {
        if (!job.took)
            return 0;
        if (*job.took <= job.objective)
            return job.utility;
        return static_cast<double>(job.took->count())
                <= lateLimit * static_cast<double>(job.objective.count())
            ? job.utility * part.lateUtilityShare
            : 0;
    }

    std::vector<SimulatedJob> jobsOf(const Load& load, const std::vector<Arrival>& arrivals)
    {
        std::vector<double> sum(load.classes.size());
        std::vector<int> count(load.classes.size());
        for (const auto& arrival : arrivals) {
            sum[static_cast<std::size_t>(arrival.classIndex)] += workOf(arrival);
            ++count[static_cast<std::size_t>(arrival.classIndex)];
        }
        std::vector<SimulatedJob> jobs;
        for (const auto& arrival : arrivals) {
            const auto index = static_cast<std::size_t>(arrival.classIndex);
            const auto& part = load.classes[index];
            const auto relative = workOf(arrival) / (sum[index] / count[index]);
            const auto longest = *std::max_element(arrival.taskTimes.begin(), arrival.taskTimes.end());
            jobs.push_back(
                { &arrival, part.meanUtility * std::min(maxUtility, fixedShare + (1 - fixedShare) * relative),
                    Duration(static_cast<std::int64_t>(part.stretch * static_cast<double>(longest.count())))
                        + part.objective,
                    std::nullopt });
        }
        return jobs;
    }

    void setUp(fleet::FakeFleet& fake, const Load& load)
    {
        for (const auto& part : load.classes) {
            auto& route = fake.config->routes.at(fleet::FakeFleet::routeOf(part.priority));
            route.stretch = part.stretch;
            route.objective = part.objective;
        }
        for (int rack = 0; rack < load.racks; ++rack) {
            for (int i = 0; i < load.workersPerRack; ++i)
                fake.addWorker(
                        "w" + std::to_string(rack) + '-' + std::to_string(i), "r" + std::to_string(rack))
                    .report.capacity
                    = load.worker;
        }
    }

    double worstWindowOf(const Load& load, const std::vector<SimulatedJob>& jobs)
    {
        constexpr Duration window { 5000 };
        double worst = 1;
        for (Duration from { 0 }; from < load.length; from += window) {
            double offered = 0;
            double earned = 0;
            for (const auto& job : jobs) {
                if (job.arrival->at < from || job.arrival->at >= from + window)
                    continue;
                offered += job.utility;
                earned += earnedBy(job, load.classes[static_cast<std::size_t>(job.arrival->classIndex)]);
            }
            if (offered > 0)
                worst = std::min(worst, earned / offered);
        }
        return worst;
    }

} // namespace

Outcome simulate(const Load& load, std::uint64_t seed, const fleet::OwnerSettings& settings)
{
    const auto arrivals = arrivalsOf(load, seed);
    auto jobs = jobsOf(load, arrivals);
    fleet::FakeFleet fake;
    fake.settings = settings;
    fake.stopTime = Duration(250); // More than half of the stated bound on stopping a task.
    setUp(fake, load);
    fake.workTime = [&](const fleet::TaskId& task) {
        const auto& times = arrivals[std::stoul(task.job.str().substr(1))].taskTimes;
        return times[static_cast<std::size_t>(task.index)];
    };
    fake.logHook = [&](const char* event, const boost::json::object& fields) {
        if (std::string_view(event) == "job-end" && fields.at("state").as_string() == "completed")
            jobs[std::stoul(std::string(fields.at("id").as_string()).substr(1))].took
                = Duration(fields.at("afterMs").to_number<std::int64_t>());
    };
    fake.takeOver();
    fake.run(Duration(1000));
    Duration at { 0 };
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        fake.run(arrivals[i].at - at);
        at = arrivals[i].at;
        fleet::JobRecord record;
        record.id = JobId(nameOf(i));
        record.route = fleet::FakeFleet::routeOf(
            load.classes[static_cast<std::size_t>(arrivals[i].classIndex)].priority);
        record.workspace = WorkspaceId("w");
        record.spec = arrivals[i].spec;
        fake.submit(std::move(record));
    }
    fake.run(drainTime);

    Outcome outcome;
    double work = 0;
    for (const auto& job : jobs) {
        const auto index = static_cast<std::size_t>(job.arrival->classIndex);
        const auto earned = earnedBy(job, load.classes[index]);
        outcome.offered += job.utility;
        outcome.earned += earned;
        outcome.offeredByClass[index] += job.utility;
        outcome.earnedByClass[index] += earned;
        work += workOf(*job.arrival);
    }
    outcome.wastedShare = fake.owner->figures().thrownAway / work;
    outcome.worstWindow = worstWindowOf(load, jobs);
    outcome.ownerSeconds = fake.ownerSeconds;
    outcome.starts = fake.observed.startCalls;
    return outcome;
}

} // namespace jujubereach::bench
