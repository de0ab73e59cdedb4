// Settings of the scheduling policy. The defaults are the product; tests and benchmarks turn parts off.
#pragma once

#include "jujubereach/base/time.h"

#include <cstddef>
#include <cstdint>

namespace jujubereach::scheduling {

struct Policy {
    std::size_t maxQueued = 20'000; ///< Jobs; more are refused, requeued gangs excepted.
    Duration agingTime { 15 * 60 * 1000 }; ///< Waiting time after which a job's area counts half.
    Duration rankAgingTime { 60 * 60 * 1000 }; ///< Waiting time that makes up for one rank of its class.
    Duration reservationDelay { 120 * 1000 }; ///< Waiting time after which a gang may reserve a run.
    Duration displaceDelay { 60 * 1000 }; ///< Before a large gang displaces gangs that find no other run.
    std::uint32_t maxMigrationSearches = 4; ///< Per decision; the first waiting gangs have them.
    std::uint32_t maxReservations = 1; ///< Runs kept for waiting gangs at the same time.
    std::uint32_t maxFailures = 4; ///< Failures after which a job ends as failing everywhere.
    Duration sameWorkerRetryDelay { 5
        * 1000 }; ///< Before a job tries a worker again that failed it, while others are to report.
    std::uint32_t quarantineFailures
        = 3; ///< First failures of different jobs in a row that set a worker aside.
    Duration probeDelay { 30 * 1000 }; ///< Before the first probe of a worker set aside; doubles.
    Duration maxProbeDelay { 10 * 60 * 1000 };
    Duration restartCost { 5 * 1000 }; ///< Of stopping and starting a gang, beside its checkpoint.

    bool backfill = true; ///< Else nothing starts before the first job of the queue.
    bool shortestFirst = true; ///< Else in the order of arrival.
    bool learnRunTimes = true; ///< Else declared run times are trusted.
    bool migrate = true; ///< Preempts checkpointable gangs to join free runs.
    bool protectShapes = true; ///< False breaks the guarantee; for counter-checks only.
    bool occupyRuns = true; ///< False lets gangs overlap; for counter-checks only.
    bool requeue = true; ///< False loses preempted jobs; for counter-checks only.
};

} // namespace jujubereach::scheduling
