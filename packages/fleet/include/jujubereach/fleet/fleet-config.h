// The operators' configuration: routes, services and workspaces of one version.
#pragma once

#include "jujubereach/fleet/job-spec.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace jujubereach::fleet {

/// An advisory service must be asked which workers may run a step of the queue.
struct AdviceTerms {
    Duration decision { 0 }; ///< Of one call.
    Duration perWorker { 0 }; ///< More for each worker named.
    Duration validity { 0 }; ///< Of a ticket.
};

struct Route {
    RouteId id;
    std::string hostName; ///< That callers name.
    std::string prefix; ///< Of the path.
    ServiceId service;
    int priority = 0; ///< 0 comes first.
    int maxAttempts = 1; ///< Failed runs of a task before its job has failed.
    double stretch = 1; ///< A job's objective is so many times its work, and `objective` more.
    Duration objective { 0 };
    Duration timeout { 0 };
    bool isPublic = false; ///< Needs no key.
    std::optional<AdviceTerms> advice;
};

struct ServiceConfig {
    bool workersEnforceCapacity = false; ///< Workers refuse what does not fit.
    bool standby = false; ///< Its machines are off.
};

struct Workspace {
    WorkspaceId id;
    std::int64_t guaranteedAccelerators = 0; ///< For its jobs of priority 0.
};

struct CallerLimits {
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 262'144;
    Duration headerTimeout { 3000 };
    Duration idleTimeout { 15'000 };

    friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

struct FleetConfig {
    std::uint64_t version = 0;
    std::map<RouteId, Route> routes;
    std::map<ServiceId, ServiceConfig> services;
    std::map<WorkspaceId, Workspace> workspaces;
    std::map<std::string, WorkspaceId> keys; ///< Keys of callers.
    CallerLimits limits;

    /// Returns the route with the longest prefix of `path` at a host name, or none.
    const Route* findRoute(const std::string& hostName, const std::string& path) const;
};

} // namespace jujubereach::fleet
