// A small deployment for the cases of the review: the project's own hosts as processes, and stand-ins of the
// store, the workers, the advisory service and the callers in this process, all on loopback addresses.
#pragma once

#include "users-store.h"

#include "jujubereach/net/http-client.h"
#include "jujubereach/net/http-server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <sys/types.h>

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review {

namespace json = boost::json;
namespace net = jujubereach::net;
using jujubereach::Duration;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

/// How one run of a task goes, unless it is stopped.
struct RunPlan {
    int workMs = 0; ///< 0: until it is stopped.
    std::string how = "done";
};

/// A job as its caller knows it. One step.
struct Job {
    std::string id;
    std::string route; ///< Name of its queue.
    std::string key; ///< Of its tenant.
    int count = 1;
    int cpu = 1000; ///< Thousandths of a core.
    int memMb = 100;
    int gpu = 0;
    int estimateMs = 1000;
    bool gang = false;
    bool lasting = false;
    int antiAffinity = 0;
    int missAllowed = 0;
    bool fills = false;
    int targetMs = 0;
    /// Called at each start with the index of the task and the number of its earlier starts.
    std::function<RunPlan(int index, int earlierStarts)> plan;

    int startsSeen = 0; ///< By workers.
    std::map<int, int> startsOf; ///< By index of the task.
    std::map<int, int> running; ///< Index of the task and number of its live runs.
    std::map<int, long> lastEndAt; ///< When the last live run of a task ended.
    int failedEnds = 0;
};

class Stage;

/// A worker as PROTOCOL.md describes it.
class Worker {
public:
    Worker(Stage& stage, std::string id, std::string service, std::string rack, int cpu, int memMb, int gpu);
    ~Worker();

    const std::string& id() const { return m_id; }
    const std::string& service() const { return m_service; }
    bool isUp() const { return m_server != nullptr; }
    bool runs(const std::string& task) const { return m_live.contains(task); }
    std::size_t runCount() const { return m_live.size(); }
    int freeGpu() const;
    double cpuInUse() const;
    int cpu() const { return m_cpu; }
    /// Ends the process. It is back at the same address, with a new id, after `downMs`; 0: lost for good.
    void crash(int downMs);
    void end(const std::string& task, const std::string& how);
    /// Leaves the next `orders` above this fence unanswered, and carries them out `lateMs` later.
    void answerLate(std::uint64_t aboveFence, int orders, int lateMs);
    std::uint64_t fence() const { return m_fence; }

private:
    friend class Stage;
    struct Live {
        std::uint64_t run = 0;
        long since = 0;
        long workSince = 0; ///< 0: a gang that is not complete.
        RunPlan plan;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    struct End {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
    };
    struct Waiting {
        net::Respond respond;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    void beginLife();
    void beat();
    void handle(const net::HttpRequest& request, net::Respond respond);
    void carryOut(const net::HttpRequest& request, net::Respond respond);
    net::HttpResponse start(const json::object& order);
    net::HttpResponse stop(const json::object& order);
    void hold(const json::object& order, net::Respond respond);
    net::HttpResponse lists() const;
    net::HttpResponse refuse(const char* reason) const;
    bool isFenced(const json::object& order);
    void extend(const json::object& order);
    void armLease();
    void work(const std::string& task);
    void forget(const std::string& task);
    long clock() const;

    Stage& m_stage;
    std::string m_id;
    const std::string m_service;
    const std::string m_rack;
    const int m_cpu;
    const int m_memMb;
    const int m_gpu;
    const std::string m_address;
    std::unique_ptr<net::HttpServer> m_server;
    int m_lives = 0;
    long m_bornAt = 0; ///< On the stage's clock.
    long m_born = 0; ///< Unix milliseconds.
    std::uint64_t m_fence = 0;
    std::uint64_t m_lateAbove = UINT64_MAX;
    int m_lateOrders = 0;
    int m_lateMs = 0;
    long m_deadline = 0;
    std::uint64_t m_seq = 0;
    std::uint64_t m_lastNumber = 0;
    std::map<std::string, Live> m_live;
    std::map<std::string, std::uint64_t> m_highestEnded;
    std::vector<End> m_ended;
    std::vector<std::shared_ptr<Waiting>> m_waiting;
    boost::asio::steady_timer m_beat;
    boost::asio::steady_timer m_lease;
    boost::asio::steady_timer m_return;
};

/// A proxy between one host and the store.
class Gate {
public:
    Gate(boost::asio::io_context& loop, int port, std::string target);

    /// While cut, nothing of the host reaches the store; what the store sends still reaches the host.
    void setCut(bool cut);
    /// Milliseconds since the host last sent a watch of this prefix.
    long watchAge(const std::string& prefix) const;

private:
    struct Session;
    void accept();
    void pump(const std::shared_ptr<Session>& session, bool toStore);

    using Tcp = boost::asio::ip::tcp;
    boost::asio::io_context& m_loop;
    Tcp::acceptor m_acceptor;
    const std::string m_target;
    bool m_cut = false;
    std::map<std::string, std::chrono::steady_clock::time_point> m_watches;
    std::set<std::shared_ptr<Session>> m_sessions;
};

struct Answer {
    int status = 0; ///< 0: none.
    std::string body;
};

class Stage {
public:
    /// @param folder temporary; @param record path of the record.
    Stage(const std::string& folder, const std::string& record);
    ~Stage();

    /// Adds a queue; `advice` makes its starts need a ticket.
    void addRoute(
        const std::string& name, const std::string& service, int priority, int attempts, bool advice = false);
    void addTenant(const std::string& name, const std::string& key, int guaranteedGpu);
    Worker& addWorker(const std::string& service, const std::string& rack, int cpu, int memMb, int gpu);
    /// Writes the configuration, starts the hosts and waits until all are ready. False: they are not in time.
    bool begin(int hosts);

    void run(int ms);
    bool until(const std::function<bool()>& reached, int ms);
    long now() const; ///< Milliseconds since the stage was made.
    void note(const std::string& line);

    /// Hands the job in as a caller does, until it is accepted. False: never within `ms`.
    bool submit(Job& job, int ms = 10'000);
    /// Hands the job in once, at this host.
    bool submitAt(std::size_t host, Job& job);
    /// State of a job as some host tells it; empty if none answers within `ms`.
    std::string stateOf(const Job& job, int ms = 5000);
    Answer call(std::size_t host, const std::string& method, const Job& job, const std::string& body);
    /// The host that owns the fleet by the store's record; -1: none.
    int owner() const;
    Gate& gate(int host) { return *m_hosts[static_cast<std::size_t>(host)].gate; }
    /// Whether a host has ended by itself.
    bool anyHostEnded();

    std::vector<std::unique_ptr<Worker>>& workers() { return m_workers; }
    Worker* workerOf(const std::string& task);
    Job* jobOf(const std::string& task);
    static std::string taskOf(const Job& job, int index);
    /// The share of the service's processors and accelerators in use, whichever is larger.
    double shareInUse(const std::string& service) const;

    boost::asio::io_context loop { 1 };
    std::unique_ptr<jujubereach::standins::UsersStore> store;

private:
    friend class Worker;
    struct Host {
        std::string front;
        std::string ready;
        std::string settings;
        std::unique_ptr<Gate> gate;
        pid_t pid = 0;
    };
    struct Route {
        std::string name;
        std::string prefix;
        std::string service;
        int priority = 0;
        int attempts = 1;
        bool advice = false;
    };
    struct Tenant {
        std::string name;
        std::string key;
        int gpu = 0;
    };

    int freePort();
    void launch(int i);
    static bool hasEnded(Host& host);
    void adviceCall(const net::HttpRequest& request, net::Respond respond);
    bool hasTicket(const std::string& task, const Worker& worker, const std::string& ticket) const;
    void joinGang(const std::string& task, Worker& worker, std::uint64_t run);
    void leaveGang(const std::string& task, std::uint64_t run, const std::string& how);
    static std::string stepOf(const std::string& task);

    const std::string m_folder;
    std::ofstream m_record;
    const std::chrono::steady_clock::time_point m_startedAt;
    net::HttpClient m_http;
    std::string m_storeAddress;
    std::string m_adviceAddress;
    std::unique_ptr<net::HttpServer> m_advice;
    std::vector<Route> m_routes;
    std::vector<Tenant> m_tenants;
    std::vector<std::unique_ptr<Gate>> m_oldGates; ///< Of hosts that were started again.
    std::vector<Host> m_hosts;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::map<std::string, Job*> m_jobs;
    /// Members of a gang by step and run.
    std::map<std::pair<std::string, std::uint64_t>, std::map<std::string, Worker*>> m_gangs;
    std::size_t m_nextHost = 0;
    std::set<int> m_ports;
};

/// Runs a case and returns its exit status; `argv`: folder for temporary files, path of the record.
int runCase(int argc, char** argv, const std::function<int(Stage&, bool trouble)>& play);

} // namespace review
