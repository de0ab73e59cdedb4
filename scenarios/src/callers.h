// What callers and operators send to an entry host, and how they read the answer.
#pragma once

#include "evidence.h"
#include "http-call.h"

#include <string>

namespace jujubereach::scenarios {

struct JobSpec {
    std::string workspace;
    std::string workClass;
    std::string caller;
    std::string key;
    std::string kind = "render";
    std::string shape;
    std::uint32_t accelerators = 8;
    Duration runTime { 1000 };
    Duration checkpointTime { 100 };
    bool isCheckpointable = false;
    bool isRestartable = true;
};

struct RequestSpec {
    std::string workspace;
    std::string workClass;
    std::string caller;
    std::string key;
    std::string payload;
    bool isRepeatable = false;
    Duration deadline { 5000 };
};

/// Where a call goes: the host's name and its address for callers.
struct Target {
    HostId host;
    std::string address;
};

JobCall submitJob(const Target& target, const JobSpec& spec);
RequestCall sendRequest(const Target& target, const RequestSpec& spec);
/// `base` 0 names no base revision.
ManifestChange applyManifest(const Target& target, const std::string& document, const std::string& json,
    const std::string& operationId, Revision base);

/// State of a job as a host tells it: "queued", "running", ..., or "ended:<end>". Empty when it doesn't
/// answer.
std::string jobState(const Target& target, const JobId& job);

} // namespace jujubereach::scenarios
