// The processes of a scenario: started, broken, read and ended.
#pragma once

#include "child-process.h"
#include "evidence.h"
#include "ports.h"
#include "topology.h"

#include <yaml-cpp/yaml.h>

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jujubereach::scenarios {

enum class MemberKind { Platform, Workers, Upstream, Host };

struct Member {
    MemberKind kind = MemberKind::Host;
    std::string name; ///< "platform", "workers-<zone>", or the id of the upstream or host.
    ZoneId zone;
    std::string program;
    std::vector<std::string> arguments;
    std::string address; ///< Of a host for callers; else of the service.
    std::string control; ///< Of a stand-in; empty for a host.
    std::optional<ChildProcess> process;
    bool isFrozen = false;
};

/// Calls from several threads are safe, apart from starting and ending processes.
class Fleet {
public:
    /// Logs go to `logFolder`, which exists.
    Fleet(std::string binFolder, std::string logFolder);

    /// Lays out every process of the topology; starts none.
    Result<void> build(const Topology& topology);
    /// Starts the named members and waits until they answer.
    Result<void> start(const std::vector<std::string>& names);
    std::vector<std::string> names() const;

    Result<void> signal(const std::string& name, int number);
    /// Sends SIGTERM and waits for the end; the exit status.
    Result<int> terminate(const std::string& name, Duration limit);
    /// Waits for the end of a process that was signalled; its exit status.
    Result<int> awaitEnd(const std::string& name, Duration limit);
    bool isLive(const std::string& name);

    Member* find(const std::string& name);
    /// Hosts that run and are not frozen, of one zone or of all.
    std::vector<HostId> liveHosts(const ZoneId& zone);
    std::vector<HostId> hosts() const;

    /// Sets switches of a stand-in by its control endpoint.
    Result<void> control(const std::string& name, const std::string& json);
    /// Reads every stand-in's record.
    Result<void> addRecords(Evidence& evidence);

private:
    Result<void> addPlatform(const Topology& topology);
    Result<void> addWorkers(const Topology& topology, const ZoneSpec& zone);
    Result<void> addUpstream(const Topology& topology, const ZoneSpec& zone, const UpstreamId& id);
    Result<void> addHosts(const Topology& topology);
    Result<void> launch(Member& member);
    Result<void> awaitAnswer(Member& member);
    Result<std::string> loopback(std::uint16_t count = 1);

    const std::string m_binFolder;
    const std::string m_logFolder;
    Ports m_ports;
    std::string m_platformAddress;
    std::vector<std::string> m_order; ///< Names in the order of their start.
    mutable std::mutex m_mutex;
    std::map<std::string, Member>
        m_members; ///< The map is fixed after build(); m_mutex guards the members' state.
};

} // namespace jujubereach::scenarios
