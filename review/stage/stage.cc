#include "stage.h"

#include <boost/asio/write.hpp>

#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <sstream>

namespace review {

namespace asio = boost::asio;

namespace {

    // Figures of the site ptlw-sched.
    constexpr int heartbeatMs = 1500;
    constexpr long maxHoldMs = 10'000;
    constexpr int gangWaitMs = 3000;
    constexpr int decisionMs = 20;
    constexpr int periodMs = 1;
    constexpr int validityMs = 3000;
    constexpr int beatsOfSilence = 3;
    constexpr int callTimeoutMs = 3000;
    constexpr auto hostName = "nony24.example";

    std::uint64_t number(const json::object& in, const char* name)
    {
        const auto* found = in.if_contains(name);
        return found ? found->to_number<std::uint64_t>() : 0;
    }

    std::string text(const json::object& in, const char* name)
    {
        const auto* found = in.if_contains(name);
        return found ? std::string(found->as_string()) : std::string();
    }

    long unixNow()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    volatile std::sig_atomic_t asked = 0;

    void onSignal(int)
    {
        asked = 1;
    }

    // The command of the role in the deploy file, split at spaces.
    std::vector<std::string> deployCommand()
    {
        std::ifstream in("deploy/system.toml");
        std::string line;
        while (std::getline(in, line)) {
            if (!line.starts_with("run = \""))
                continue;
            std::istringstream words(line.substr(7, line.rfind('"') - 7));
            std::vector<std::string> out;
            for (std::string word; words >> word;)
                out.push_back(word);
            return out;
        }
        throw std::runtime_error("deploy/system.toml names no command");
    }

} // namespace

Worker::Worker(
    Stage& stage, std::string id, std::string service, std::string rack, int cpu, int memMb, int gpu)
    : m_stage(stage)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_rack(std::move(rack))
    , m_cpu(cpu)
    , m_memMb(memMb)
    , m_gpu(gpu)
    , m_address("127.0.0.1:" + std::to_string(stage.freePort()))
    , m_beat(stage.loop)
    , m_lease(stage.loop)
    , m_return(stage.loop)
{
    beginLife();
}

Worker::~Worker() = default;

long Worker::clock() const
{
    return 1 + m_stage.now() - m_bornAt;
}

int Worker::freeGpu() const
{
    auto free = m_gpu;
    for (const auto& [task, live] : m_live)
        free -= m_stage.jobOf(task)->gpu;
    return free;
}

double Worker::cpuInUse() const
{
    double used = 0;
    for (const auto& [task, live] : m_live)
        used += m_stage.jobOf(task)->cpu;
    return used;
}

void Worker::beginLife()
{
    ++m_lives;
    if (m_lives > 1)
        m_id = m_id.substr(0, m_id.find('-', 2)) + "-" + std::to_string(m_lives);
    m_bornAt = m_stage.now();
    m_born = unixNow();
    m_fence = m_seq = m_lastNumber = 0;
    m_deadline = 0;
    m_highestEnded.clear();
    m_ended.clear();
    m_server = std::make_unique<net::HttpServer>(
        m_stage.loop, [this](const net::HttpRequest& request, net::Respond respond) {
            handle(request, std::move(respond));
        });
    if (!m_server->listen(m_address))
        throw std::runtime_error("a worker cannot listen on " + m_address);
    m_stage.note("worker " + m_id + " is up at " + m_address);
    beat();
}

void Worker::beat()
{
    m_stage.store->put("servers/" + m_id,
        json::serialize(json::object { { "Service", m_service }, { "Address", m_address }, { "Zone", "za" },
            { "Version", "v1" }, { "Slots", 8 }, { "State", "ready" }, { "ColdLeftMs", 0 },
            { "Capacity", { { "Cpu", m_cpu }, { "MemMb", m_memMb }, { "Gpu", m_gpu } } },
            { "Labels", { "a", m_rack } }, { "ClockMs", clock() }, { "Seq", ++m_seq }, { "born", m_born } }));
    m_beat.expires_after(Duration(heartbeatMs));
    m_beat.async_wait([this](const boost::system::error_code& failed) {
        if (!failed && m_server)
            beat();
    });
}

void Worker::crash(int downMs)
{
    m_stage.note("worker " + m_id + " crashes with " + std::to_string(m_live.size()) + " runs");
    m_server.reset();
    m_beat.cancel();
    m_lease.cancel();
    for (auto& waiting : m_waiting)
        waiting->timer->cancel();
    m_waiting.clear();
    while (!m_live.empty()) {
        const auto task = m_live.begin()->first;
        const auto run = m_live.begin()->second.run;
        forget(task);
        m_stage.leaveGang(task, run, "broken");
    }
    auto silence = std::make_shared<asio::steady_timer>(m_stage.loop, Duration(heartbeatMs * beatsOfSilence));
    silence->async_wait([this, silence, id = m_id](const boost::system::error_code& failed) {
        if (!failed)
            m_stage.store->remove("servers/" + id);
    });
    if (downMs == 0)
        return;
    m_return.expires_after(Duration(downMs));
    m_return.async_wait([this](const boost::system::error_code& failed) {
        if (!failed)
            beginLife();
    });
}

// Removes a run that does not run any more.
void Worker::forget(const std::string& task)
{
    const auto found = m_live.find(task);
    if (found->second.timer)
        found->second.timer->cancel();
    m_live.erase(found);
    auto* job = m_stage.jobOf(task);
    const auto index = std::stoi(task.substr(task.rfind('.') + 1));
    --job->running[index];
    job->lastEndAt[index] = m_stage.now();
}

void Worker::end(const std::string& task, const std::string& how)
{
    const auto found = m_live.find(task);
    if (found == m_live.end())
        return;
    const auto run = found->second.run;
    m_highestEnded[task] = std::max(m_highestEnded[task], run);
    m_ended.push_back({ ++m_lastNumber, task, run, how });
    m_stage.note("end " + task + " run " + std::to_string(run) + " on " + m_id + ": " + how);
    m_stage.jobOf(task)->failedEnds += how == "failed";
    forget(task);
    m_stage.leaveGang(task, run, how);
    for (auto& waiting : m_waiting) {
        waiting->timer->cancel();
        waiting->respond(lists());
    }
    m_waiting.clear();
}

void Worker::handle(const net::HttpRequest& request, net::Respond respond)
{
    const auto order = request.body.empty() ? json::object {} : json::parse(request.body).as_object();
    const auto fence = number(order, "FencingToken");
    if (fence <= m_lateAbove || m_lateOrders == 0)
        return carryOut(request, std::move(respond));
    --m_lateOrders;
    m_stage.note("worker " + m_id + " leaves " + request.target + " with fence " + std::to_string(fence)
        + " unanswered");
    auto timer = std::make_shared<asio::steady_timer>(m_stage.loop, Duration(m_lateMs));
    timer->async_wait([this, timer, request](const boost::system::error_code& failed) {
        if (!failed && m_server)
            carryOut(request, [](const net::HttpResponse&) {});
    });
}

void Worker::answerLate(std::uint64_t aboveFence, int orders, int lateMs)
{
    m_lateAbove = aboveFence;
    m_lateOrders = orders;
    m_lateMs = lateMs;
}

void Worker::carryOut(const net::HttpRequest& request, net::Respond respond)
{
    const auto& intended = request.header("Expected-Instance");
    if (!intended.empty() && intended != m_id)
        return respond({ 421, {}, {} });
    if (request.target == "/health")
        return respond({ 200, { { "Instance-Id", m_id } }, {} });
    const auto order = json::parse(request.body).as_object();
    if (request.target == "/v1/hold")
        return hold(order, std::move(respond));
    respond(request.target == "/v1/run-start"  ? start(order)
            : request.target == "/v1/run-stop" ? stop(order)
                                               : net::HttpResponse { 404, {}, {} });
}

bool Worker::isFenced(const json::object& order)
{
    const auto fence = number(order, "FencingToken");
    if (fence < m_fence)
        return true;
    m_fence = fence;
    return false;
}

net::HttpResponse Worker::refuse(const char* reason) const
{
    return { 409, {},
        json::serialize(json::object { { "ClockMs", clock() }, { "Reason", reason }, { "born", m_born } }) };
}

void Worker::extend(const json::object& order)
{
    const auto deadline = static_cast<long>(number(order, "DeadlineMs"));
    m_deadline = std::max(m_deadline, std::min(deadline, clock() + maxHoldMs));
    armLease();
}

void Worker::armLease()
{
    m_lease.expires_after(Duration(std::max(1L, m_deadline - clock())));
    m_lease.async_wait([this](const boost::system::error_code& failed) {
        if (failed || clock() < m_deadline)
            return;
        while (!m_live.empty())
            end(m_live.begin()->first, "lapsed");
    });
}

net::HttpResponse Worker::start(const json::object& order)
{
    const auto task = text(order, "Task");
    const auto run = number(order, "RunId");
    if (isFenced(order))
        return refuse("fence");
    if (static_cast<long>(number(order, "DeadlineMs")) <= clock())
        return refuse("late");
    auto* job = m_stage.jobOf(task);
    if (!job) {
        m_stage.note("start of " + task + ", which nobody sent");
        return { 400, {}, {} };
    }
    if (!m_stage.hasTicket(task, *this, text(order, "Ticket")))
        return refuse("ticket");
    extend(order);
    const auto known = m_live.find(task);
    if (known != m_live.end() && known->second.run == run)
        return { 200, {}, json::serialize(json::object { { "ClockMs", clock() }, { "born", m_born } }) };
    if (known != m_live.end() || m_highestEnded[task] >= run)
        return refuse("old");
    const auto index = std::stoi(task.substr(task.rfind('.') + 1));
    Live live;
    live.run = run;
    live.since = m_stage.now();
    live.plan = job->plan ? job->plan(index, job->startsOf[index]) : RunPlan { 1000, "done" };
    ++job->startsSeen;
    ++job->startsOf[index];
    ++job->running[index];
    m_live[task] = std::move(live);
    m_stage.note("start " + task + " run " + std::to_string(run) + " on " + m_id);
    if (job->gang)
        m_stage.joinGang(task, *this, run);
    else
        work(task);
    return { 200, {}, json::serialize(json::object { { "ClockMs", clock() }, { "born", m_born } }) };
}

void Worker::work(const std::string& task)
{
    auto& live = m_live.at(task);
    live.workSince = m_stage.now();
    if (live.timer)
        live.timer->cancel();
    live.timer.reset();
    if (live.plan.workMs == 0)
        return;
    live.timer = std::make_shared<asio::steady_timer>(m_stage.loop, Duration(live.plan.workMs));
    live.timer->async_wait(
        [this, task, run = live.run, timer = live.timer](const boost::system::error_code& failed) {
            const auto found = m_live.find(task);
            if (!failed && found != m_live.end() && found->second.run == run)
                end(task, found->second.plan.how);
        });
}

net::HttpResponse Worker::stop(const json::object& order)
{
    if (isFenced(order))
        return refuse("fence");
    const auto task = text(order, "Task");
    const auto run = number(order, "RunId");
    m_highestEnded[task] = std::max(m_highestEnded[task], run);
    const auto found = m_live.find(task);
    if (found != m_live.end() && found->second.run <= run)
        end(task, "stopped");
    return { 200, {}, json::serialize(json::object { { "ClockMs", clock() }, { "born", m_born } }) };
}

void Worker::hold(const json::object& order, net::Respond respond)
{
    if (isFenced(order))
        return respond(refuse("fence"));
    if (order.contains("DeadlineMs"))
        extend(order);
    const auto seen = number(order, "LastSeen");
    std::erase_if(m_ended, [seen](const End& end) { return end.number <= seen; });
    const auto wait = number(order, "WaitMs");
    if (wait == 0 || !m_ended.empty())
        return respond(lists());
    auto waiting = std::make_shared<Waiting>();
    waiting->respond = std::move(respond);
    waiting->timer = std::make_shared<asio::steady_timer>(m_stage.loop, Duration(wait));
    m_waiting.push_back(waiting);
    waiting->timer->async_wait(
        [this, weak = std::weak_ptr(waiting)](const boost::system::error_code& failed) {
            const auto present = weak.lock();
            if (failed || !present || std::erase(m_waiting, present) == 0)
                return;
            present->respond(lists());
        });
}

net::HttpResponse Worker::lists() const
{
    json::array running;
    for (const auto& [task, live] : m_live) {
        const auto* job = m_stage.jobOf(task);
        long percent = 0;
        if (job->lasting)
            percent = 100;
        else if (live.workSince > 0)
            percent = std::min(99L, 100 * (m_stage.now() - live.workSince) / std::max(1, live.plan.workMs));
        // The tail of a serving task is well below its target.
        const auto figure = job->targetMs > 0 ? job->targetMs / 2 : job->cpu;
        running.push_back({ json::string(task), live.run, "", percent, figure });
    }
    json::array ended;
    for (const auto& end : m_ended) {
        if (ended.size() < 500)
            ended.push_back({ end.number, json::string(end.task), end.run, json::string(end.how), "" });
    }
    return { 200, {},
        json::serialize(json::object {
            { "ClockMs", clock() }, { "born", m_born }, { "Running", running }, { "Finished", ended } }) };
}

struct Gate::Session {
    explicit Session(asio::io_context& loop)
        : host(loop)
        , store(loop)
    {
    }

    Tcp::socket host;
    Tcp::socket store;
    std::array<char, 65536> fromHost {};
    std::array<char, 65536> fromStore {};
    bool lostBytes = false;

    void close()
    {
        boost::system::error_code ignored;
        host.close(ignored);
        store.close(ignored);
    }
};

Gate::Gate(asio::io_context& loop, int port, std::string target)
    : m_loop(loop)
    , m_acceptor(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)))
    , m_target(std::move(target))
{
    accept();
}

void Gate::setCut(bool cut)
{
    m_cut = cut;
    if (cut)
        return;
    for (const auto& session : std::set(m_sessions)) {
        if (session->lostBytes) {
            session->close();
            m_sessions.erase(session);
        }
    }
}

long Gate::watchAge(const std::string& prefix) const
{
    const auto found = m_watches.find(prefix);
    if (found == m_watches.end())
        return -1;
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - found->second)
        .count();
}

void Gate::accept()
{
    auto session = std::make_shared<Session>(m_loop);
    m_acceptor.async_accept(session->host, [this, session](const boost::system::error_code& failed) {
        if (failed)
            return;
        accept();
        const auto port = static_cast<unsigned short>(std::stoi(m_target.substr(m_target.find(':') + 1)));
        boost::system::error_code refused;
        session->store.connect({ asio::ip::address_v4::loopback(), port }, refused);
        if (refused)
            return;
        session->host.set_option(Tcp::no_delay(true));
        session->store.set_option(Tcp::no_delay(true));
        m_sessions.insert(session);
        pump(session, true);
        pump(session, false);
    });
}

void Gate::pump(const std::shared_ptr<Session>& session, bool toStore)
{
    auto& from = toStore ? session->host : session->store;
    auto& bytes = toStore ? session->fromHost : session->fromStore;
    from.async_read_some(asio::buffer(bytes),
        [this, session, toStore](const boost::system::error_code& failed, std::size_t size) {
            auto& to = toStore ? session->store : session->host;
            if (failed) {
                session->close();
                m_sessions.erase(session);
                return;
            }
            auto& read = toStore ? session->fromHost : session->fromStore;
            if (toStore) {
                const std::string_view text(read.data(), size);
                constexpr std::string_view call = "GET /v1/kv-watch?Prefix=";
                if (text.starts_with(call))
                    m_watches[std::string(text.substr(call.size(), text.find('&') - call.size()))]
                        = std::chrono::steady_clock::now();
                if (m_cut) {
                    session->lostBytes = true;
                    return pump(session, toStore);
                }
            }
            asio::async_write(to, asio::buffer(read, size),
                [this, session, toStore](const boost::system::error_code& lost, std::size_t) {
                    if (!lost)
                        return pump(session, toStore);
                    session->close();
                    m_sessions.erase(session);
                });
        });
}

Stage::Stage(const std::string& folder, const std::string& record)
    : m_folder(folder)
    , m_record(record)
    , m_startedAt(std::chrono::steady_clock::now())
    , m_http(loop)
{
    m_storeAddress = "127.0.0.1:" + std::to_string(freePort());
    store = std::make_unique<jujubereach::standins::UsersStore>(loop, m_storeAddress);
    m_adviceAddress = "127.0.0.1:" + std::to_string(freePort());
    m_advice = std::make_unique<net::HttpServer>(
        loop, [this](const net::HttpRequest& request, net::Respond respond) {
            adviceCall(request, std::move(respond));
        });
    if (!m_advice->listen(m_adviceAddress))
        throw std::runtime_error("the advisory service cannot listen");
}

Stage::~Stage()
{
    for (auto& host : m_hosts) {
        if (host.pid <= 0)
            continue;
        kill(host.pid, SIGKILL);
        waitpid(host.pid, nullptr, 0);
    }
}

long Stage::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - m_startedAt)
        .count();
}

void Stage::note(const std::string& line)
{
    m_record << now() << " ms: " << line << std::endl;
}

// A port that was free a moment ago. Below the range from which the system takes ports of its own, so that a
// worker finds its port free when it is back. Each is used once.
int Stage::freePort()
{
    constexpr int first = 10'000;
    constexpr int count = 20'000;
    static std::mt19937 random(std::random_device {}());
    for (int attempt = 0; attempt < count; ++attempt) {
        const auto port = first + static_cast<int>(random() % count);
        const auto probe = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        const auto bound = bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        close(probe);
        if (bound && m_ports.insert(port).second)
            return port;
    }
    throw std::runtime_error("no free port");
}

void Stage::addRoute(
    const std::string& name, const std::string& service, int priority, int attempts, bool advice)
{
    m_routes.push_back({ name, "/" + name + "/", service, priority, attempts, advice });
}

void Stage::addTenant(const std::string& name, const std::string& key, int guaranteedGpu)
{
    m_tenants.push_back({ name, key, guaranteedGpu });
}

Worker& Stage::addWorker(const std::string& service, const std::string& rack, int cpu, int memMb, int gpu)
{
    auto id = std::to_string(100 + m_workers.size());
    m_workers.push_back(std::make_unique<Worker>(*this, "i-" + id, service, rack, cpu, memMb, gpu));
    return *m_workers.back();
}

bool Stage::begin(int hosts)
{
    json::array routes;
    std::set<std::string> names;
    for (const auto& route : m_routes) {
        json::object row { { "Name", route.name }, { "Host", hostName }, { "Prefix", route.prefix },
            { "Kind", "unsafe" }, { "TimeoutMs", 3000 }, { "SloMs", 1000 }, { "Priority", route.priority },
            { "Service", route.service }, { "MaxAttempts", route.attempts }, { "Stretch", 3.0 },
            { "Public", false } };
        if (route.advice)
            row["Advice"]
                = { { "DecisionMs", decisionMs }, { "PeriodMs", periodMs }, { "ValidityMs", validityMs } };
        routes.push_back(std::move(row));
        names.insert(route.service);
    }
    json::array services;
    for (const auto& name : names)
        services.push_back({ { "Name", name }, { "HealthPath", "/health" }, { "MaxConns", 64 },
            { "Protocol", "h1" }, { "Tls", false }, { "AdmissionCheck", false }, { "Standby", false } });
    json::array tenants;
    for (const auto& tenant : m_tenants)
        tenants.push_back({ { "Name", tenant.name }, { "ApiKeys", { tenant.key } }, { "Priority", 1 },
            { "Guaranteed", { { "Gpu", tenant.gpu } } } });
    store->put("op/config",
        json::serialize(json::object { { "Version", 7 }, { "Routes", routes }, { "Services", services },
            { "Limits",
                { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 262144 }, { "HeaderTimeoutMs", 3000 },
                    { "IdleTimeoutMs", 15000 } } },
            { "Tenants", tenants } }));
    for (int i = 0; i < hosts; ++i) {
        m_hosts.emplace_back();
        launch(i);
    }
    std::set<std::string> ready;
    const auto askAll = [&] {
        for (const auto& host : m_hosts)
            m_http.call(host.ready, { "GET", "/v1/readiness", {}, {} }, Duration(500),
                [&ready, address = host.ready](const net::CallResult& result) {
                    if (result.delivery == net::DeliveryStatus::Answered && result.response.status == 200)
                        ready.insert(address);
                });
    };
    for (int i = 0; i < 20 && ready.size() < m_hosts.size(); ++i) {
        // Another process may have taken a port in the meantime.
        for (std::size_t k = 0; k < m_hosts.size(); ++k) {
            if (hasEnded(m_hosts[k]))
                launch(static_cast<int>(k));
        }
        askAll();
        run(600);
    }
    note(std::to_string(ready.size()) + " of " + std::to_string(m_hosts.size()) + " hosts are ready");
    return ready.size() == m_hosts.size();
}

void Stage::launch(int i)
{
    auto& host = m_hosts[static_cast<std::size_t>(i)];
    const auto address = [this] { return "127.0.0.1:" + std::to_string(freePort()); };
    host.front = address();
    host.ready = address();
    int first = 0;
    // The metrics and the calls of other hosts need two ports in a row.
    do
        first = freePort();
    while (!m_ports.insert(first + 1).second);
    const auto gatePort = freePort();
    if (host.gate)
        m_oldGates.push_back(std::move(host.gate));
    host.gate = std::make_unique<Gate>(loop, gatePort, m_storeAddress);
    host.settings = m_folder + "/edge-" + std::to_string(i) + ".toml";
    const auto* zone = i % 3 == 0 ? "za" : i % 3 == 1 ? "zb" : "zc";
    std::ofstream out(host.settings);
    out << "NodeName = \"edge-" << i << "\"\nRole = \"entry\"\nMachineClass = \"edge\"\n"
        << "Serves = [\"edge\"]\nIp = \"127.0.0.1\"\nZone = \"" << zone << "\"\nRegion = \"r\"\n"
        << "PortRange = [" << first << ", " << first + 1 << "]\nBootstrap = true\n"
        << "Discovery = \"platform\"\nEntry = \"vip\"\nHeartbeatMs = " << heartbeatMs << "\n"
        << "Orders = \"call\"\nAdvice = \"" << m_adviceAddress << "\"\n"
        << "[Zones]\nza = \"r\"\nzb = \"r\"\nzc = \"r\"\n"
        << "[Listen]\nFront = \"" << host.front << "\"\nReady = \"" << host.ready << "\"\n"
        << "[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\n"
        << "[Bounds]\nContactMs = 4000\nAckMs = 5000\nDrainMs = 2500\nGraceS = 6\nConfigApplyMs = 2500\n"
        << "RevokeMs = 5000\nMaxHoldMs = " << maxHoldMs
        << "\nStopTimeoutMs = 200\nGangWaitMs = " << gangWaitMs
        << "\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\n"
        << "status_s = 120\nRemoteFactor = 3\nCheckpointS = 2\nRestoreMs = 250\nNoticeMs = 5500\n"
        << "LeaseMs = 3000\nReclaimMs = 2700\n"
        << "[platform]\nAddress = \"127.0.0.1:" << gatePort << "\"\nform = \"kv\"\nWritesPerS = 400\n"
        << "ReadsPerS = 2000\nHistoryS = 20\nValueBytes = 1048576\nMinTtlMs = 1000\n";
    out.close();

    const auto command = deployCommand();
    std::vector<char*> arguments;
    for (const auto& word : command)
        arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    std::vector<std::string> variables { "JUJUBEREACH_CONFIG=" + host.settings };
    for (const auto* name : { "PATH", "HOME", "LANG" }) {
        if (const auto* value = std::getenv(name))
            variables.push_back(std::string(name) + '=' + value);
    }
    std::vector<char*> environment;
    for (auto& variable : variables)
        environment.push_back(variable.data());
    environment.push_back(nullptr);
    const auto log = host.settings + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    posix_spawn_file_actions_addclosefrom_np(&actions, 3); // The sockets of the stand-ins are not theirs.
    const auto failed
        = posix_spawn(&host.pid, command[0].c_str(), &actions, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (failed)
        throw std::runtime_error("cannot start " + command[0]);
    note("host " + host.settings.substr(host.settings.rfind('/') + 1) + " listens on " + host.front);
}

int Stage::owner() const
{
    const auto value = store->value("owner/0"); // The name of the host comes first.
    return value.starts_with("edge-") ? std::stoi(value.substr(5)) : -1;
}

bool Stage::hasEnded(Host& host)
{
    if (host.pid <= 0 || waitpid(host.pid, nullptr, WNOHANG) != host.pid)
        return false;
    host.pid = 0;
    return true;
}

bool Stage::anyHostEnded()
{
    return std::any_of(m_hosts.begin(), m_hosts.end(), [](Host& host) { return hasEnded(host); });
}

void Stage::run(int ms)
{
    constexpr int sliceMs = 100;
    for (const auto end = now() + ms; now() < end;) {
        loop.restart();
        loop.run_for(Duration(std::min<long>(sliceMs, end - now())));
        if (asked)
            throw std::runtime_error("asked to stop");
    }
}

bool Stage::until(const std::function<bool()>& reached, int ms)
{
    const auto end = now() + ms;
    while (now() < end) {
        if (reached())
            return true;
        run(20);
    }
    return reached();
}

Answer Stage::call(std::size_t host, const std::string& method, const Job& job, const std::string& body)
{
    net::HttpRequest request { method, "/" + job.route + "/" + job.id,
        { { "Host", hostName }, { "Authorization", "Token " + job.key },
            { "Deadline-Ms", std::to_string(callTimeoutMs) } },
        body };
    auto answered = std::make_shared<bool>(false);
    auto answer = std::make_shared<Answer>();
    m_http.call(m_hosts[host].front, request, Duration(callTimeoutMs),
        [answered, answer](const net::CallResult& result) {
            *answered = true;
            if (result.delivery == net::DeliveryStatus::Answered)
                *answer = { result.response.status, result.response.body };
        });
    until([&] { return *answered; }, callTimeoutMs + 500);
    note(method + " " + request.target + " at host " + std::to_string(host) + ": "
        + (answer->status ? std::to_string(answer->status) + " " + answer->body : "no answer"));
    return *answer;
}

bool Stage::submitAt(std::size_t host, Job& job)
{
    json::object step { { "Count", job.count }, { "Cpu", job.cpu }, { "MemMb", job.memMb },
        { "EstimateMs", job.estimateMs } };
    if (job.gpu > 0)
        step["Gpu"] = job.gpu;
    if (job.gang)
        step["Gang"] = true;
    if (job.lasting)
        step["LongRunning"] = true;
    if (job.antiAffinity > 0)
        step["AntiAffinity"] = job.antiAffinity;
    if (job.missAllowed > 0)
        step["MissAllowed"] = job.missAllowed;
    if (job.fills)
        step["Fills"] = true;
    if (job.targetMs > 0)
        step["TargetMs"] = job.targetMs;
    m_jobs[job.id] = &job;
    const auto body = json::serialize(json::object { { "Spec", "work" }, { "Steps", { step } } });
    note("job " + job.id + ": " + body);
    const auto answer = call(host, "POST", job, body);
    return answer.status >= 200 && answer.status < 300;
}

bool Stage::submit(Job& job, int ms)
{
    const auto end = now() + ms;
    while (now() < end) {
        if (submitAt(m_nextHost++ % m_hosts.size(), job))
            return true;
        run(300);
    }
    return false;
}

std::string Stage::stateOf(const Job& job, int ms)
{
    const auto end = now() + ms;
    while (now() < end) {
        const auto answer = call(m_nextHost++ % m_hosts.size(), "GET", job, {});
        if (answer.status == 200)
            return text(json::parse(answer.body).as_object(), "State");
        if (answer.status == 410)
            return "410";
        run(300);
    }
    return {};
}

Job* Stage::jobOf(const std::string& task)
{
    const auto found = m_jobs.find(task.substr(0, task.find('.')));
    return found == m_jobs.end() ? nullptr : found->second;
}

Worker* Stage::workerOf(const std::string& task)
{
    for (auto& worker : m_workers) {
        if (worker->runs(task))
            return worker.get();
    }
    return nullptr;
}

std::string Stage::taskOf(const Job& job, int index)
{
    return job.id + ".0.0." + std::to_string(index);
}

double Stage::shareInUse(const std::string& service) const
{
    double cpu = 0;
    double wholeCpu = 0;
    double gpu = 0;
    double wholeGpu = 0;
    for (const auto& worker : m_workers) {
        if (worker->m_service != service || !worker->isUp())
            continue;
        cpu += worker->cpuInUse();
        wholeCpu += worker->m_cpu;
        gpu += worker->m_gpu - worker->freeGpu();
        wholeGpu += worker->m_gpu;
    }
    return std::max(wholeCpu > 0 ? cpu / wholeCpu : 0, wholeGpu > 0 ? gpu / wholeGpu : 0);
}

std::string Stage::stepOf(const std::string& task)
{
    return task.substr(0, task.rfind('.'));
}

// The policy allows every worker.
void Stage::adviceCall(const net::HttpRequest& request, net::Respond respond)
{
    const auto in = json::parse(request.body).as_object();
    json::array good;
    std::string named;
    const auto& asked = in.at("Workers").as_array();
    for (const auto& entry : asked) {
        const std::string id(entry.as_string());
        named += ' ' + id;
        good.push_back({ json::string(id), json::string("t-" + text(in, "Step") + "-" + id) });
    }
    note("advice on " + text(in, "Step") + " for" + named + ": all are good");
    const auto body = json::serialize(json::object { { "Good", good }, { "ValidityMs", validityMs } });
    auto timer = std::make_shared<asio::steady_timer>(
        loop, Duration(decisionMs + periodMs * static_cast<int>(asked.size())));
    timer->async_wait([timer, body, respond = std::move(respond)](const boost::system::error_code& failed) {
        if (!failed)
            respond({ 200, { { "Content-Type", "application/json" } }, body });
    });
}

bool Stage::hasTicket(const std::string& task, const Worker& worker, const std::string& ticket) const
{
    const auto job = m_jobs.find(task.substr(0, task.find('.')));
    for (const auto& route : m_routes) {
        if (route.name == job->second->route && route.advice)
            return ticket == "t-" + stepOf(task) + "-" + worker.id();
    }
    return true;
}

void Stage::joinGang(const std::string& task, Worker& worker, std::uint64_t run)
{
    auto& members = m_gangs[{ stepOf(task), run }];
    members[task] = &worker;
    if (static_cast<int>(members.size()) == jobOf(task)->count) {
        for (const auto& [member, at] : members)
            at->work(member);
        return;
    }
    auto& live = worker.m_live.at(task);
    live.timer = std::make_shared<asio::steady_timer>(loop, Duration(gangWaitMs));
    live.timer->async_wait([&worker, task, run](const boost::system::error_code& failed) {
        const auto found = worker.m_live.find(task);
        if (!failed && found != worker.m_live.end() && found->second.run == run)
            worker.end(task, "alone");
    });
}

// The others cannot go on; if this one is done, so are they.
void Stage::leaveGang(const std::string& task, std::uint64_t run, const std::string& how)
{
    const auto found = m_gangs.find({ stepOf(task), run });
    if (found == m_gangs.end())
        return;
    found->second.erase(task);
    if (how == "alone")
        return;
    const auto others = found->second;
    for (const auto& [member, at] : others) {
        const auto live = at->m_live.find(member);
        if (live != at->m_live.end() && live->second.run == run && live->second.workSince > 0)
            at->end(member, how == "done" ? "done" : "broken");
    }
}

int runCase(int argc, char** argv, const std::function<int(Stage&, bool trouble)>& play)
{
    if (argc != 3) {
        std::cerr << "usage: case FOLDER RECORD\n";
        return couldNotRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, onSignal); // The hosts are ended by the destructor of the stage.
    std::signal(SIGINT, onSignal);
    const auto* variable = std::getenv("TROUBLE");
    const auto trouble = !variable || std::string(variable) != "0";
    try {
        Stage stage(argv[1], argv[2]);
        stage.note(trouble ? "with the disruption" : "without the disruption");
        const auto status = play(stage, trouble);
        stage.note(status == held ? "the rule held" : status == broken ? "the rule was broken" : "not run");
        return status;
    } catch (const std::exception& error) {
        std::cerr << "the case could not run: " << error.what() << '\n';
        return couldNotRun;
    }
}

} // namespace review
