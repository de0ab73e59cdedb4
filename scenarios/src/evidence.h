// What a scenario leaves behind: the stand-ins' records and the answers that callers received.
#pragma once

#include "jujubereach/base/error.h"
#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubereach::scenarios {

/// What a worker recorded: "lease", "release", "lapse", "hold", "start", "checkpoint", "end" or "die".
struct WorkerEvent {
    std::string kind;
    WorkerId worker;
    GangId gang;
    std::vector<std::uint32_t> accelerators;
    std::string reason; ///< Of an end, such as "completed".
    std::string holder; ///< Of a lease: "<host>#<incarnation>".
    WallTime at;
};

/// What an upstream recorded: "start", "end", "refuse", "leaving" or "die".
struct UpstreamEvent {
    std::string kind;
    UpstreamId upstream;
    RequestId request;
    std::string body;
    WallTime at;
};

/// Calls that the key-value service counted for one caller in one second.
struct CallCount {
    std::int64_t second = 0;
    std::string caller;
    std::uint32_t reads = 0;
    std::uint32_t writes = 0;
    std::uint32_t refused = 0;
};

/// What the answer said about the work. A caller that received no whole answer knows nothing.
enum class Ran { Yes, No, Unknown };

/// One call of a caller.
struct CallerCall {
    std::string name; ///< In the scenario; may be empty.
    HostId host;
    WallTime sentAt;
    WallTime answeredAt; ///< Or when the caller gave up.
    bool connected = false;
    bool answered = false; ///< A whole answer came.
    int status = 0;
    Ran ran = Ran::Unknown;
    std::string error; ///< Name of the error in the answer.
    std::string what;
    std::string reference; ///< Of a refusal.
};

struct JobCall : CallerCall {
    JobId job; ///< Empty when refused or unanswered.
    std::uint32_t accelerators = 0;
    bool restartable = true;
    std::optional<Duration> runsWithin; ///< The whole gang must run within this time of the answer.
};

struct RequestCall : CallerCall {
    std::string payload; ///< Names the work: retries of the same work carry the same payload.
    bool repeatable = false;
    std::string body; ///< Of the answer.
};

/// A change of the manifest by an operator. Each has a document name of its own.
struct ManifestChange : CallerCall {
    std::string document;
    Revision revision; ///< 0 when it was not accepted.
};

struct ManifestRead {
    HostId host;
    std::string document;
    WallTime at;
};

/// A time in which a host can't be expected to keep up: cut off, frozen, or not running.
struct Disturbance {
    HostId host;
    WallTime from;
    WallTime to;
};

/// A planned stop of a host.
struct PlannedStop {
    HostId host;
    WallTime signalledAt;
    WallTime endedAt;
    int exitStatus = 0; ///< -1 when it did not end in time.
};

struct Bounds {
    Duration partialGang { 3000 }; ///< Longest time in which part of a gang runs alone.
    Duration leavingUpstream { 3000 }; ///< From the leave on.
    Duration manifestInForce { 5000 }; ///< From the acceptance, or the end of a disturbance, on.
};

struct Evidence {
    std::vector<WorkerEvent> workers;
    std::vector<UpstreamEvent> upstreams;
    std::vector<CallCount> platformCalls;
    std::vector<JobCall> jobs;
    std::vector<RequestCall> requests;
    std::vector<ManifestChange> manifestChanges;
    std::vector<ManifestRead> manifestReads;
    std::vector<Disturbance> disturbances;
    std::vector<PlannedStop> stops;
    /// Index of each worker's first accelerator in the line of its domain.
    std::map<WorkerId, std::uint32_t> firstAccelerator;
    Bounds bounds;
};

/// Adds what a stand-in's record (JSON) says.
Result<void> addWorkerRecord(Evidence& evidence, const std::string& record);
Result<void> addUpstreamRecord(Evidence& evidence, const std::string& record);
Result<void> addPlatformRecord(Evidence& evidence, const std::string& record);

/// Job of a gang: "<job>/<attempt>".
JobId jobOf(const GangId& gang);

} // namespace jujubereach::scenarios
