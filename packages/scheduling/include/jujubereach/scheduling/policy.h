// Parameters of the scheduling policy. Deployments use the defaults; tests and benchmarks disable parts.
#pragma once

#include "jujubereach/base/time.h"

#include <cstddef>
#include <cstdint>

namespace jujubereach::scheduling {

struct Policy {
    /// Jobs in the queue; further submissions are refused, requeued jobs are not.
    std::size_t maxQueued = 20'000;
    /// Waiting time that halves the area (accelerator-time) a job is ordered by.
    Duration agingTime { 15 * 60 * 1000 };
    Duration rankAgingTime { 60 * 60 * 1000 }; ///< Waiting time that raises a job by one class rank.
    Duration reservationDelay { 120 * 1000 }; ///< Waiting time after which a job may reserve a run.
    /// Waiting time after which a large gang may preempt gangs that fit nowhere else.
    Duration displaceDelay { 60 * 1000 };
    std::uint32_t maxMigrationSearches = 4; ///< Per decision; jobs at the front of the queue use them first.
    std::uint32_t maxReservations = 1; ///< Reservations that may exist at the same time.
    std::uint32_t maxFailures = 4; ///< Failed attempts after which a job ends with FailsEverywhere.
    /// Attempts in a row that may end with the loss of a worker before the job ends with WorkersLost.
    std::uint32_t maxWorkerLosses = 3;
    /// Before a job is retried on a worker where it failed, while other workers are not usable.
    Duration sameWorkerRetryDelay { 5 * 1000 };
    /// Consecutive first failures of different jobs that quarantine a worker.
    std::uint32_t quarantineFailures = 3;
    /// Before the first probe of a quarantined worker; doubles after each failed probe.
    Duration probeDelay { 30 * 1000 };
    Duration maxProbeDelay { 10 * 60 * 1000 };
    Duration restartCost { 5 * 1000 }; ///< Time lost by stopping and starting a gang, checkpoint excluded.

    bool backfill = true; ///< Otherwise nothing starts ahead of the first job in the queue.
    bool shortestFirst = true; ///< Otherwise jobs start in the order of arrival.
    bool learnRunTimes = true; ///< Otherwise declared run times are used as they are.
    bool migrate = true; ///< Preempts gangs to merge free runs into a larger one.
    /// False lets any gang start in the runs of guaranteed shapes; for negative tests only.
    bool protectShapes = true;
    bool occupyRuns = true; ///< False lets gangs overlap; for negative tests only.
    bool requeue = true; ///< False drops preempted jobs; for negative tests only.
};

} // namespace jujubereach::scheduling
