// One version of the fleet configuration: routes, services, workspaces and caller limits.
#pragma once

#include "jujubereach/fleet/job-spec.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace jujubereach::fleet {

/// Time limits for queues whose steps may run only on workers approved by an advisory service.
struct AdviceTerms {
    Duration decision { 0 }; ///< Time allowed for one advice call.
    Duration perWorker { 0 }; ///< Added to `decision` for each worker in the call.
    Duration validity { 0 }; ///< How long a ticket stays valid.
};

struct Route {
    RouteId id;
    std::string hostName; ///< Host name that callers address.
    std::string prefix; ///< Path prefix that the route serves.
    ServiceId service;
    int priority = 0; ///< 0 is the most urgent.
    int maxAttempts = 1; ///< A job fails once one of its tasks has failed this many times.
    double stretch = 1; ///< A job should complete within `stretch` times its ideal duration plus `objective`.
    Duration objective { 0 };
    Duration timeout { 0 };
    bool isPublic = false; ///< Callers need no key.
    std::optional<AdviceTerms> advice;
};

struct ServiceConfig {
    bool workersEnforceCapacity = false; ///< Workers refuse tasks that exceed their free capacity.
    bool standby = false; ///< The machines of the service are powered off.
};

struct Workspace {
    WorkspaceId id;
    std::int64_t guaranteedAccelerators = 0; ///< Always available to its jobs of priority 0.
    std::optional<double> weight = {}; ///< Of its share of scarce capacity; positive. 1 if others state one.
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
    std::map<std::string, WorkspaceId> keys; ///< Workspace of each caller key.
    CallerLimits limits;

    /// Returns the route of `hostName` with the longest matching prefix of `path`, or null.
    const Route* findRoute(const std::string& hostName, const std::string& path) const;
};

} // namespace jujubereach::fleet
