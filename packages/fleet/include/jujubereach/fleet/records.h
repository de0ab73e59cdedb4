// The records of a job in the store: what was accepted, and how far it has come.
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

/// Written once by the host that accepts the job; written again only to cancel it.
struct JobRecord {
    JobId id;
    RouteId route;
    WorkspaceId workspace; ///< Empty on a public route.
    WallTime acceptedAt;
    bool cancelled = false;
    JobSpec spec;
    Route terms; ///< Of the queue when the job was accepted; in force once the route is gone.
};

/// How far one task has come; a gang's is kept under its task 0.
struct TaskProgress {
    int occurrence = 0;
    int step = 0;
    int index = 0;
    bool done = false;
    Run lastRun; ///< Highest that was started.
    std::set<Run> failedRuns;
    std::string checkpoint;
};

/// Written by the owner.
struct ProgressRecord {
    JobState state = JobState::Queued;
    int occurrencesDone = 0; ///< Occurrences below this one are done and have no rows.
    std::vector<TaskProgress> tasks; ///< Only those that differ from a fresh one; none in a final state.
};

/// What the owner tells all hosts: jobs of each queue that have not begun.
struct QueueSummary {
    Fence owner;
    std::vector<std::pair<RouteId, std::int64_t>> pending;
};

std::string encode(const JobRecord& record);
std::string encode(const ProgressRecord& record);
std::string encode(const QueueSummary& summary);
/// Nothing when the value is not such a record.
std::optional<JobRecord> decodeJob(const JobId& id, const std::string& value);
std::optional<ProgressRecord> decodeProgress(const std::string& value);
std::optional<QueueSummary> decodeSummary(const std::string& value);

namespace keys {
    constexpr auto jobPrefix = "job/";
    constexpr auto progressPrefix = "run/";
    constexpr auto owner = "owner/0";
    constexpr auto roster = "fleet/roster";
    constexpr auto summary = "fleet/summary";
    std::string job(const JobId& id);
    std::string progress(const JobId& id);
    JobId jobOf(const std::string& key); ///< Of a job's or its progress' key.
} // namespace keys

} // namespace jujubereach::fleet
