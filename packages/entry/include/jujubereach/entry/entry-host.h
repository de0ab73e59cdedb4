// One entry host: answers callers from the store, follows the configuration, and owns the fleet when it must.
// Runs on one thread; time and every outside system come through hooks.
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
    std::string forwardAddress; ///< Where other hosts forward calls to; empty where they cannot.
    double cores = 1; ///< That this host may use: larger hosts claim a fleet sooner.
    fleet::OwnerSettings owner;
    Duration revokeBound {
        5000
    }; ///< A key that was taken away is refused within it, in touch with the store or not.
    Duration stopBound { 6000 }; ///< From a request to stop until the process is killed.
};

/// Where the operators' and the workers' entries stand in the store.
struct StoreLayout {
    std::string
        watchPrefix; ///< Covers the configuration and the owner's key, so that one watch tells of both.
    std::string configKey;
    std::string workerPrefix;
};

enum class CallKind { Submit, Query, Cancel };
const char* nameOf(CallKind kind);

enum class CallOutcome {
    Accepted, ///< Stored, now or before.
    State,
    Cancelled, ///< Also when the job has ended before.
    Count,
    NoSuchRoute,
    NoSuchJob,
    UnknownKey,
    Malformed,
    NotAccepted, ///< Surely not stored: trying again later may help.
    Unavailable, ///< Not looked up; nothing was changed.
    Undecided, ///< Whether it took effect is not known.
};
const char* nameOf(CallOutcome outcome);

struct CallerAnswer {
    CallOutcome outcome = CallOutcome::Undecided;
    JobState state = JobState::Queued;
    std::int64_t pending = 0;
    Duration retryAfter { 0 };
};
/// What became of a call that was forwarded to another host.
struct ForwardResult {
    bool sent = false; ///< The other host may have carried it out.
    std::optional<CallerAnswer> answer;
};
using ForwardCall = std::function<void(const std::string& address, std::uint64_t configVersion,
    Duration timeout, std::function<void(ForwardResult)> done)>;

struct CallerRequest {
    CallKind kind = CallKind::Query;
    std::string hostName;
    std::string path;
    std::string key; ///< Of the caller; empty for none.
    Duration deadline { 0 }; ///< 0 when not told.
    std::optional<fleet::JobSpec> spec; ///< Of a submission; nothing when its body cannot be read.
    ForwardCall forward; ///< Sends the same call to another host; null for one that came from a host.
    std::uint64_t minConfigVersion = 0; ///< An older configuration must not decide it.
};

using CallerDone = std::function<void(CallerAnswer)>;

struct HostHooks {
    Clock clock; ///< Counts suspended time too.
    WallClock wall;
    Store store;
    fleet::WorkerCalls workers;
    StoreLayout layout;
    std::function<std::shared_ptr<const FleetConfig>(const std::string& value)>
        decodeConfig; ///< Null if unreadable.
    std::function<std::optional<fleet::WorkerReport>(const std::string& key, const std::string& value)>
        decodeWorker;
    std::function<WorkerId(const std::string& key)> workerOfKey;
    decltype(fleet::OwnerHooks::advise) advise;
    std::function<void(Duration, std::function<void()>)> after; ///< Runs something later, on this thread.
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
    /// Takes over the bounds of new settings; name and zone stay.
    void applySettings(const HostSettings& settings);
    /// Whether new callers should be sent here.
    bool isReady() const;
    /// Hands ownership over and takes no more of it; requests are still answered.
    void drain();
    /// Gives ownership back, if this host has it; any host, this one too, may claim it then.
    void resign(const char* why);

    bool ownsFleet() const;
    fleet::OwnerFigures ownerFigures() const; ///< Zeros when it owns nothing.
    std::uint64_t configVersion() const;
    Duration configAge() const; ///< Since the store confirmed what this host knows.

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace jujubereach::entry
