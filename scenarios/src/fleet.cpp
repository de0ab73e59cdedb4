// The processes of a scenario.
#include "fleet.h"
#include "check.h"

#include "http-call.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace jujubereach::scenarios {

namespace {

    constexpr Duration startLimit { 15'000 };
    constexpr Duration pollInterval { 20 };

    std::string portOf(const std::string& address)
    {
        return address.substr(address.rfind(':') + 1);
    }

    Error noSuch(const std::string& name)
    {
        return { ErrorCode::NotFound, "the topology has no such process", name, {} };
    }

} // namespace

Fleet::Fleet(std::string binFolder, std::string logFolder)
    : m_binFolder(std::move(binFolder))
    , m_logFolder(std::move(logFolder))
{
}

Result<std::string> Fleet::loopback(std::uint16_t count)
{
    BOOST_LEAF_AUTO(port, m_ports.take(count));
    return "127.0.0.1:" + std::to_string(port);
}

Result<void> Fleet::build(const Topology& topology)
{
    JUJUBEREACH_CHECK(addPlatform(topology));
    for (const auto& zone : topology.zones) {
        if (!zone.racks.empty()) {
            JUJUBEREACH_CHECK(addWorkers(topology, zone));
        }
        for (const auto& upstream : zone.upstreams)
            JUJUBEREACH_CHECK(addUpstream(topology, zone, upstream));
    }
    return addHosts(topology);
}

Result<void> Fleet::addPlatform(const Topology& topology)
{
    BOOST_LEAF_AUTO(address, loopback());
    BOOST_LEAF_AUTO(control, loopback());
    m_platformAddress = address;
    Member member { MemberKind::Platform, "platform", {}, m_binFolder + "/standin-platform", {}, address,
        control, {}, false };
    member.arguments = { "--port", portOf(address), "--control", portOf(control), "--host-list-lag-ms",
        std::to_string(topology.hostListLag.count()), "--writes-per-second",
        std::to_string(topology.writesPerSecond), "--reads-per-second",
        std::to_string(topology.readsPerSecond) };
    m_order.push_back(member.name);
    m_members.emplace(member.name, std::move(member));
    return {};
}

Result<void> Fleet::addWorkers(const Topology& topology, const ZoneSpec& zone)
{
    std::vector<std::string> arguments;
    for (const auto& rack : zone.racks) {
        for (std::uint32_t i = 0; i < rack.workers; ++i)
            arguments.insert(arguments.end(), { "--id", rack.id.str() + "/" + std::to_string(i) });
    }
    BOOST_LEAF_AUTO(address, loopback(static_cast<std::uint16_t>(arguments.size() / 2)));
    BOOST_LEAF_AUTO(control, loopback());
    arguments.insert(arguments.end(),
        { "--zone", zone.id.str(), "--port", portOf(address), "--control", portOf(control), "--accelerators",
            std::to_string(topology.acceleratorsPerWorker), "--platform", m_platformAddress });
    Member member { MemberKind::Workers, "workers-" + zone.id.str(), zone.id, m_binFolder + "/standin-worker",
        std::move(arguments), address, control, {}, false };
    m_order.push_back(member.name);
    m_members.emplace(member.name, std::move(member));
    return {};
}

Result<void> Fleet::addUpstream(const Topology& topology, const ZoneSpec& zone, const UpstreamId& id)
{
    BOOST_LEAF_AUTO(address, loopback());
    BOOST_LEAF_AUTO(control, loopback());
    Member member { MemberKind::Upstream, id.str(), zone.id, m_binFolder + "/standin-upstream", {}, address,
        control, {}, false };
    member.arguments = { "--id", id.str(), "--zone", zone.id.str(), "--port", portOf(address), "--control",
        portOf(control), "--slots", std::to_string(topology.slots), "--service-ms",
        std::to_string(topology.serviceTime.count()), "--platform", m_platformAddress };
    m_order.push_back(member.name);
    m_members.emplace(member.name, std::move(member));
    return {};
}

Result<void> Fleet::addHosts(const Topology& topology)
{
    std::vector<Member> hosts;
    std::string seeds;
    for (const auto& zone : topology.zones) {
        for (const auto& id : zone.hosts) {
            BOOST_LEAF_AUTO(http, loopback());
            BOOST_LEAF_AUTO(inner, loopback());
            seeds += (seeds.empty() ? "" : ",") + inner;
            Member member { MemberKind::Host, id.str(), zone.id, m_binFolder + "/jujubereachd-testing", {},
                http, {}, {}, false };
            member.arguments = { "--host", id.str(), "--zone", zone.id.str(), "--region", zone.region.str(),
                "--http", http, "--inner", inner, "--platform", m_platformAddress, "--log-level", "info",
                "--test-hooks" };
            hosts.push_back(std::move(member));
        }
    }
    for (auto& host : hosts) {
        host.arguments.insert(host.arguments.end(), { "--seeds", seeds });
        host.arguments.insert(host.arguments.end(), topology.hostFlags.begin(), topology.hostFlags.end());
        m_order.push_back(host.name);
        m_members.emplace(host.name, std::move(host));
    }
    return {};
}

Result<void> Fleet::start(const std::vector<std::string>& names)
{
    // In the order of the topology, whatever the order in the step: each needs those before it.
    for (const auto& name : m_order) {
        if (std::find(names.begin(), names.end(), name) == names.end())
            continue;
        JUJUBEREACH_CHECK(launch(*find(name)));
    }
    for (const auto& name : names) {
        auto* member = find(name);
        if (!member)
            return fail(noSuch(name));
        JUJUBEREACH_CHECK(awaitAnswer(*member));
    }
    return {};
}

Result<void> Fleet::launch(Member& member)
{
    BOOST_LEAF_AUTO(process,
        ChildProcess::start(member.program, member.arguments, m_logFolder + "/" + member.name + ".log"));
    const std::scoped_lock lock(m_mutex);
    member.process.emplace(std::move(process));
    member.isFrozen = false;
    return {};
}

Result<void> Fleet::awaitAnswer(Member& member)
{
    const bool isHost = member.kind == MemberKind::Host;
    HttpCall call;
    call.address = isHost ? member.address : member.control;
    call.path = isHost ? "/healthz" : "/record";
    const auto end = steadyClock()() + startLimit;
    while (!callHttp(call).isOk()) {
        if (!member.process->isRunning())
            return fail({ ErrorCode::Unavailable, "a process ended as it started", member.name, {} });
        if (steadyClock()() >= end)
            return fail(
                { ErrorCode::Unavailable, "a process does not answer after its start", member.name, {} });
        std::this_thread::sleep_for(pollInterval);
    }
    return {};
}

std::vector<std::string> Fleet::names() const
{
    return m_order;
}

Result<void> Fleet::signal(const std::string& name, int number)
{
    auto* member = find(name);
    if (!member || !member->process)
        return fail(noSuch(name));
    const std::scoped_lock lock(m_mutex);
    member->process->signal(number);
    if (number == SIGSTOP || number == SIGCONT)
        member->isFrozen = number == SIGSTOP;
    if (number == SIGKILL)
        member->process->wait(startLimit);
    return {};
}

Result<int> Fleet::terminate(const std::string& name, Duration limit)
{
    JUJUBEREACH_CHECK(signal(name, SIGTERM));
    return awaitEnd(name, limit);
}

Result<int> Fleet::awaitEnd(const std::string& name, Duration limit)
{
    const auto status = find(name)->process->wait(limit);
    if (!status)
        return fail({ ErrorCode::Unavailable, "a process does not end after SIGTERM", name, {} });
    return *status;
}

bool Fleet::isLive(const std::string& name)
{
    auto* member = find(name);
    const std::scoped_lock lock(m_mutex);
    return member && member->process && !member->isFrozen && member->process->isRunning();
}

Member* Fleet::find(const std::string& name)
{
    auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

std::vector<HostId> Fleet::liveHosts(const ZoneId& zone)
{
    std::vector<HostId> live;
    for (const auto& host : hosts()) {
        if ((zone.empty() || find(host.str())->zone == zone) && isLive(host.str()))
            live.push_back(host);
    }
    return live;
}

std::vector<HostId> Fleet::hosts() const
{
    std::vector<HostId> result;
    for (const auto& name : m_order) {
        if (m_members.at(name).kind == MemberKind::Host)
            result.emplace_back(name);
    }
    return result;
}

Result<void> Fleet::control(const std::string& name, const std::string& json)
{
    auto* member = find(name);
    if (!member || member->control.empty())
        return fail(noSuch(name));
    HttpCall call;
    call.address = member->control;
    call.method = "POST";
    call.path = "/control";
    call.body = json;
    if (!callHttp(call).isOk())
        return fail({ ErrorCode::Unavailable, "a stand-in does not take its switches", name, json });
    return {};
}

Result<void> Fleet::addRecords(Evidence& evidence)
{
    for (const auto& name : m_order) {
        auto& member = *find(name);
        if (member.kind == MemberKind::Host || !isLive(name))
            continue;
        HttpCall call;
        call.address = member.control;
        call.path = "/record";
        const auto result = callHttp(call);
        if (!result.isOk())
            return fail({ ErrorCode::Unavailable, "a stand-in's record can't be read", name, {} });
        auto add = member.kind == MemberKind::Platform ? addPlatformRecord
            : member.kind == MemberKind::Workers       ? addWorkerRecord
                                                       : addUpstreamRecord;
        JUJUBEREACH_CHECK(add(evidence, result.body));
    }
    return {};
}

} // namespace jujubereach::scenarios
