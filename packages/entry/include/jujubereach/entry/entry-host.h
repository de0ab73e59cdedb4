// An entry host answers callers from the store, watches the configuration and may become the owner of the
// fleet. Single-threaded; clocks and external systems are injected as hooks.
#pragma once

#include "jujubereach/fleet/owner.h"

#include <map>
#include <memory>
#include <random>

namespace jujubereach::entry {

using fleet::FleetConfig;
using fleet::JobState;
using fleet::Store;

struct HostSettings {
    std::string name;
    ZoneId zone;
    RegionId region;
    std::map<ZoneId, RegionId> zones;
    std::string forwardAddress; ///< Where other hosts forward calls to; empty if they cannot reach this host.
    double cores = 1; ///< CPU cores available to this host; hosts with more cores claim the fleet sooner.
    fleet::OwnerSettings owner;
    Duration revokeBound {
        5000
    }; ///< A revoked key is refused within this time, even if the store is unreachable.
    Duration stopBound { 6000 }; ///< From the stop request until the process is killed.
};

/// Keys in the store that operators and workers write.
struct StoreLayout {
    std::string
        watchPrefix; ///< Covers the configuration, closed zones and the owner's key: one watch for all.
    std::string configKey;
    std::string workerPrefix;
};

enum class CallKind { Submit, Query, Cancel };
const char* nameOf(CallKind kind);

enum class CallOutcome {
    Accepted, ///< Stored by this call or an earlier one.
    State,
    Cancelled, ///< Also returned for a job that has already ended.
    Count,
    NoSuchRoute,
    NoSuchJob,
    UnknownKey,
    Malformed,
    NotAccepted, ///< Definitely not stored; a later retry may succeed.
    Unavailable, ///< Could not be processed; nothing was changed.
    Undecided, ///< A write may or may not have taken effect.
};
const char* nameOf(CallOutcome outcome);

struct CallerAnswer {
    CallOutcome outcome = CallOutcome::Undecided;
    JobState state = JobState::Queued;
    std::int64_t pending = 0;
    Duration retryAfter { 0 };
};
/// Result of forwarding a call to another host.
struct ForwardResult {
    bool sent = false; ///< The other host may have processed the call.
    std::optional<CallerAnswer> answer;
};
using ForwardCall = std::function<void(const std::string& address, std::uint64_t configVersion,
    Duration timeout, std::function<void(ForwardResult)> done)>;

struct CallerRequest {
    CallKind kind = CallKind::Query;
    std::string hostName;
    std::string path;
    std::string key; ///< Access key of the caller; empty for none.
    Duration deadline { 0 }; ///< Time that the caller allows for the answer; 0 if not given.
    std::optional<fleet::JobSpec> spec; ///< Of a submission; empty if its body could not be decoded.
    ForwardCall forward; ///< Forwards this call to another host; null if the call was itself forwarded.
    std::uint64_t minConfigVersion = 0; ///< The call must not be decided under an older configuration.
};

using CallerDone = std::function<void(CallerAnswer)>;

struct HostHooks {
    Clock clock; ///< Includes time during which the system is suspended.
    WallClock wall;
    Store store;
    fleet::WorkerCalls workers;
    StoreLayout layout;
    std::function<std::shared_ptr<const FleetConfig>(const std::string& value)>
        decodeConfig; ///< Null if unreadable.
    std::function<std::optional<fleet::WorkerReport>(const std::string& key, const std::string& value)>
        decodeWorker;
    std::function<WorkerId(const std::string& key)> workerOfKey;
    /// The availability zone that this key closes while it exists; empty if the key closes none.
    std::function<ZoneId(const std::string& key)> closedZoneOfKey;
    decltype(fleet::OwnerHooks::advise) advise;
    std::function<void(Duration, std::function<void()>)> after; ///< Runs a function later, on this thread.
    std::function<void(const FleetConfig&)> configChanged;
    fleet::LogEvent log;
    fleet::Meter meter;
};

class EntryHost {
public:
    EntryHost(HostSettings settings, HostHooks hooks);
    ~EntryHost();
    EntryHost(const EntryHost&) = delete;
    EntryHost& operator=(const EntryHost&) = delete;

    void start();
    void handle(CallerRequest request, CallerDone done);
    /// Applies the owner settings and time bounds; all other settings, such as name and zone, are ignored.
    void applySettings(const HostSettings& settings);
    /// Whether new callers should be routed to this host.
    bool isReady() const;
    /// Releases ownership and does not claim it again. Requests are decided until `answersBy`, and refused at
    /// once from then on.
    void drain(TimePoint answersBy = TimePoint::max());
    /// Answers all calls that are still being decided, as far as their outcome is known.
    void answerOpenCalls();
    /// Releases ownership if this host has it; any host, including this one, may claim it afterwards.
    void resign(const char* why);

    bool ownsFleet() const;
    fleet::OwnerFigures ownerFigures() const; ///< All zero unless this host owns the fleet.
    std::uint64_t configVersion() const;
    Duration configAge() const; ///< Time since the store last confirmed the configuration.

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace jujubereach::entry
