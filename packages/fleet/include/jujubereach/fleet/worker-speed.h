// Learns the speed of workers from the progress of their runs. Plain data and the caller's time only.
//
// Model: log(rate of a run) = a(step) + b(worker) + noise. The step's term is common to its tasks, so that
// wrong estimates of run times cancel out. b has a normal prior with mean 0; its variance is estimated for
// each service from the variance between and within workers.
#pragma once

#include "jujubereach/fleet/job-spec.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujubereach::fleet {

/// The rate of a run. Members of a gang show the speed of its slowest worker and are not observed.
struct RateObservation {
    WorkerId worker;
    std::int64_t incarnation = 0;
    ServiceId service;
    TaskId task;
    double rate = 0; ///< Percent per second, over the part of the run that was observed.
    double observedPercent = 0; ///< Size of that part.
    bool refined = false; ///< An earlier, shorter part of the same run was observed.
    bool running = false; ///< The run has not ended, so that its rate may be refined.
};

/// A rate is measured over at least this part of a run, between two lists at least this time apart.
constexpr int minObservedPercent = 10;
constexpr Duration minObservedTime { 400 };
constexpr std::size_t maxSpeedStateBytes = 64 * 1024;

/// Statistics of the residuals log(rate) - a(step) of one worker.
struct SpeedEvidence {
    double weight = 0; ///< Sum of the weights; 1 for a run observed in full on an otherwise unused worker.
    double sum = 0; ///< Weighted sum of the residuals.
    double squares = 0; ///< Weighted sum of their squares.

    double mean() const { return weight > 0 ? sum / weight : 0; }
    SpeedEvidence& operator+=(const SpeedEvidence& other);
};

/// Not thread-safe. A worker has one row, of its latest incarnation.
class WorkerSpeeds {
public:
    /// Adds the observation of a run, or replaces the earlier one of the same task. Ignores a refined rate
    /// if the earlier one is no longer held.
    void observe(const RateObservation& observation, TimePoint now);
    /// Removes the observation of a run whose rate does not show the speed of its worker.
    void discard(const TaskId& task);
    /// The observation of this run, if any, is final.
    void markEnded(const TaskId& task);
    /// Estimates all speeds anew if an interval has passed and there are new observations. Returns whether it
    /// did.
    bool refit(TimePoint now);

    /// Relative to the mean of the service; 1 if unknown, or if the workers of the service do not differ.
    double speedOf(const WorkerId& worker, std::int64_t incarnation) const;
    /// Standard deviation of log(speed); that between workers if nothing is known of this one; 0 if the
    /// workers of the service do not differ.
    double deviationOf(const WorkerId& worker, std::int64_t incarnation, const ServiceId& service) const;
    /// Whether speeds differ by more than chance.
    bool differ(const ServiceId& service) const;

    /// Whether the speed of a worker differs notably from the one in the last state.
    bool stateChanged() const;
    /// State for a successor: rows of the workers observed recently, those with the most evidence first, in
    /// at most `maxSpeedStateBytes`.
    std::string encodeState(TimePoint now);
    /// Adds the rows for which there is less evidence here. Returns false, and changes nothing, if the value
    /// is malformed.
    bool restoreState(const std::string& value, TimePoint now);

    /// Ratio of the variance between workers to that within workers; 0 before it can be estimated.
    double varianceRatio(const ServiceId& service) const;
    std::size_t workers() const { return m_workers.size(); }
    std::size_t observations() const { return m_observations; }
    std::vector<ServiceId> services() const;

private:
    /// Of workers without evidence, before the variances can be estimated.
    static constexpr double priorUncertainty = 0.5;

    struct Row {
        std::int64_t incarnation = 0;
        ServiceId service;
        SpeedEvidence closed; ///< From steps that are closed.
        SpeedEvidence all; ///< With the open steps, as of the last fit.
        double logSpeed = 0;
        double storedLogSpeed = 0; ///< `logSpeed` in the last state.
        double uncertainty = priorUncertainty; ///< Variance of `logSpeed` relative to that of the noise.
        double share = 0; ///< Scratch value of a fit: weight of the worker in the step at hand.
        TimePoint observedAt;
    };
    struct StepRun {
        Row* row = nullptr;
        int index = 0;
        double logRate = 0;
        double weight = 0;
        bool running = false;
    };
    struct OpenStep {
        std::vector<StepRun> runs;
        TimePoint observedAt;
    };
    struct Service {
        double noise = 0; ///< Variance within workers.
        double spread = 0; ///< Variance of b; 0 if it is not above chance.
        double ratio = 0;
        bool differs = false;
    };

    struct StoredRow {
        WorkerId worker;
        ServiceId service;
        std::int64_t incarnation = 0;
        double mean = 0;
        double weight = 0;
        double noise = 0; ///< Of the service.
    };

    static std::vector<StoredRow> decodeState(const std::string& value); ///< Throws if it is malformed.
    Row* rowOf(const RateObservation& observation);
    const Row* findRow(const WorkerId& worker, std::int64_t incarnation) const;
    void dropRuns(const Row& row);
    void evictWorkers();
    void closeSteps(TimePoint now);
    void restoreRow(const StoredRow& stored, TimePoint now);
    enum class Runs { All, Ended };
    static void addResiduals(const OpenStep& step, SpeedEvidence Row::*to, Runs which);
    void estimateVariances();

    std::unordered_map<WorkerId, Row> m_workers;
    std::map<TaskId, OpenStep> m_steps; ///< By the first task of the part of the step.
    std::map<ServiceId, Service> m_services;
    std::size_t m_observations = 0; ///< In `m_steps`.
    bool m_changed = false;
    TimePoint m_nextFit;
};

} // namespace jujubereach::fleet
