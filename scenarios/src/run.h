// One run of one scenario: what its steps share.
#pragma once

#include "callers.h"
#include "fleet.h"
#include "jujubereach/base/random.h"
#include "scenario.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace jujubereach::scenarios {

class Run {
public:
    Run(Scenario scenario, Fleet& fleet, bool narrates);
    ~Run();
    Run(const Run&) = delete;
    Run& operator=(const Run&) = delete;

    /// Takes every step, then ends every process and reads the records. Fails with the first step that does.
    Result<void> execute();
    const Evidence& evidence() const { return m_evidence; }

    // For the steps.
    const Scenario& scenario() const { return m_scenario; }
    Fleet& fleet() { return m_fleet; }
    Random& random() { return m_random; }
    void narrate(const std::string& sentence) const;

    /// Resolves a host: its name, a name given by "as", "any", "any-of:<zone>", "owner-of:<zone>" or
    /// "other-of:<zone>" (live, not the owner).
    Result<Target> host(const std::string& spec);
    void nameHost(const std::string& alias, const HostId& host);

    void add(const JobCall& call);
    void add(const RequestCall& call);
    void add(const ManifestChange& change);
    void add(const PlannedStop& stop);
    Result<JobId> job(const std::string& name);
    Result<RequestCall> request(const std::string& name);
    std::vector<ManifestChange> manifestChanges() const;
    /// Every refusal that a caller received, of jobs and requests.
    std::vector<CallerCall> refusedCalls() const;
    std::string newDocumentName();
    /// A name that no other call of this run has.
    std::string unique(const std::string& prefix);

    /// Opens or closes a time in which a host can't be expected to keep up.
    void disturb(const HostId& host);
    void undisturb(const HostId& host);

    /// Cuts hosts off from the platform and from hosts outside the set; cutting none heals.
    Result<void> cut(const std::set<HostId>& hosts, const std::set<std::string>& otherCallers,
        bool fromPlatform, bool fromPeers);
    /// Switches the broken mechanism off on live hosts, if the scenario has one.
    Result<void> breakMechanism(const std::vector<HostId>& hosts);

    /// Waits until a host that got SIGTERM has ended, and records its stop. One that does not end in time is
    /// killed.
    Result<void> awaitStop(PlannedStop stop, Duration limit);

    /// Runs `work` on a thread of its own until join() or the end.
    void inBackground(std::function<void()> work);
    void join();

    /// What the workers and upstreams recorded up to now.
    Result<Evidence> records();
    /// Polls `condition` until it holds or the limit has passed; then fails naming `what`.
    Result<void> waitUntil(
        const std::string& what, Duration limit, const std::function<Result<bool>()>& condition);

private:
    Result<void> takeSteps();
    Result<void> takeStep(const YAML::Node& step, std::size_t index);
    Result<void> endHosts();
    Result<void> endStandins();
    Result<HostId> ownerOf(const ZoneId& zone);
    void watchManifests();

    Scenario m_scenario;
    Fleet& m_fleet;
    const bool m_narrates;
    Random m_random;
    mutable std::mutex m_mutex;
    // All guarded by m_mutex.
    Evidence m_evidence;
    std::map<HostId, WallTime> m_disturbedSince;
    std::map<std::string, HostId> m_aliases;
    std::uint64_t m_counter = 0;

    std::vector<std::thread> m_background;
    std::atomic<bool> m_ended { false };
    std::thread m_manifestWatcher;
};

} // namespace jujubereach::scenarios
