// Job records in the store: the accepted specification and the progress.
#pragma once

#include "jujubereach/fleet/fleet-config.h"
#include "jujubereach/fleet/job-spec.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jujubereach::fleet {

enum class JobState { Queued, Running, Completed, Failed, Cancelled };
const char* nameOf(JobState state);
std::optional<JobState> stateNamed(std::string_view name);
bool isFinal(JobState state);

/// Written by the host that accepts the job, and once more if the job is cancelled.
struct JobRecord {
    JobId id;
    Revision created; ///< Revision at which the store created the record; not part of its value.
    RouteId route;
    WorkspaceId workspace; ///< Empty on a public route.
    WallTime acceptedAt;
    bool cancelled = false;
    JobSpec spec;
    Route terms; ///< Copy of the route at acceptance, used once the route has been removed.
};

/// Crashes of workers that were running a task, since a run of it last outlived its probation.
struct CrashHistory {
    int crashes = 0; ///< Including those under a run of which only the order is known.
    int confirmed = 0; ///< Of them, crashes under a run that the worker had reported.
    int alone = 0; ///< Of them, crashes of workers that ran nothing but the task, or its gang.
    Duration longestRun { 0 }; ///< Longest time from a start of the task to the crash.
    Run lastRun; ///< The task's last run when the last crash was counted.

    friend bool operator==(const CrashHistory&, const CrashHistory&) = default;
};

/// Where the last run of a task was started.
struct TaskStart {
    WorkerId worker;
    std::int64_t incarnation = 0; ///< Of the worker; 0 if its restart is no crash under the run.
    bool answered = false; ///< No order of this start can be executed later.
    bool reported = false; ///< The worker has confirmed or listed the run.

    friend bool operator==(const TaskStart&, const TaskStart&) = default;
};

/// Progress of one task; that of a gang is kept under its task 0, except for its crashes.
struct TaskProgress {
    int occurrence = 0;
    int step = 0;
    int index = 0;
    bool done = false;
    Run lastRun; ///< Highest run that was started.
    std::set<Run> failedRuns;
    std::string checkpoint;
    CrashHistory crashes {};
    std::optional<TaskStart> start {}; ///< Of `lastRun`, unless it is known to have ended.
};

/// A task whose start was sent more than once.
struct RepeatedStart {
    int occurrence = 0;
    int step = 0;
    int index = 0;
};

/// Written by the owner.
struct ProgressRecord {
    JobState state = JobState::Queued;
    int occurrencesDone = 0; ///< All occurrences below this number are done and have no rows.
    std::vector<TaskProgress> tasks; ///< Only tasks with progress; empty in a final state.
    /// An order of these starts may still be executed, also in a final state.
    std::vector<RepeatedStart> repeatedStarts {};
};

/// Published by the owner to all hosts: the number of jobs of each queue that have not started.
struct QueueSummary {
    Fence owner;
    std::vector<std::pair<RouteId, std::int64_t>> pending;
};

std::string encode(const JobRecord& record);
std::string encode(const ProgressRecord& record);
std::string encode(const QueueSummary& summary);
/// Returns nothing if the value is malformed.
std::optional<JobRecord> decodeJob(const JobId& id, const std::string& value);
std::optional<ProgressRecord> decodeProgress(const std::string& value);
std::optional<QueueSummary> decodeSummary(const std::string& value);

namespace keys {
    constexpr auto jobPrefix = "job/";
    constexpr auto progressPrefix = "run/";
    constexpr auto owner = "owner/0";
    constexpr auto roster = "fleet/roster";
    constexpr auto speeds = "fleet/speeds";
    constexpr auto summary = "fleet/summary";
    std::string job(const JobId& id);
    std::string progress(const JobId& id);
    JobId jobOf(const std::string& key); ///< Takes the key of a job or of its progress.
} // namespace keys

} // namespace jujubereach::fleet
