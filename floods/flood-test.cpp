// Floods from misbehaving clients against a real process, and what must hold during and after them
// (docs/hard-load.md, part 5). Without bounds on connections and on the bytes that they hold, such clients
// end the process or keep it from its work. Checked:
// - The process does not end (EXIT), and its peak memory (MEMORY) and descriptors (DESCRIPTORS) stay below
// the limits
//   of its settings.
// - Afterwards one ordinary request is answered on each listener (ANSWERED).
// - Jobs submitted before and during the flood are accepted and completed (LOST); a job whose every answer
// was a
//   refusal does not run (REFUSED), and none runs twice or over a worker's capacity (the stand-in workers'
//   record).
#include "daemons.h"
#include "flood-clients.h"
#include "process-usage.h"
#include "users-worker.h"

#include "jujubereach/net/http-client.h"

#include <CLI/CLI.hpp>

#include <filesystem>
#include <iostream>

namespace {

using namespace jujubereach;
using namespace jujubereach::floods;

constexpr std::size_t ownDescriptors = 1000; // Of this process, for all but the clients of a flood.
constexpr Duration floodTime { 2500 }; // All clients are connected for most of it.
constexpr Duration sampleEvery { 20 };
constexpr Duration submitEvery { 250 };
constexpr Duration retryPause { 300 };
constexpr Duration callTimeout { 3500 };
constexpr int maxTries = 60;
constexpr int workers = 4;
constexpr int jobsBefore = 4;
const std::string jobFields = "Host: h\r\nAuthorization: Token key\r\n";

struct Options {
    std::string binary;
    std::string flood;
    std::string listener; ///< Empty for all.
    std::string folder;
    unsigned short basePort = 31'000;
    std::size_t memoryMb = 48; ///< Limit of the settings, and bound of the check; likewise the next.
    std::size_t maxDescriptors = 400;
    std::size_t clients = 0; ///< 0 for the number that the flood states.
};

struct Job {
    std::string id;
    bool repeats = true; ///< A refused submission is repeated.
    bool accepted = false;
    bool refusedOnly = true; ///< Every answer so far said that it was not accepted.
    bool waiting = false; ///< A call is under way.
    int tries = 0;
    std::string state;
};

bool isRefusal(const net::CallResult& result)
{
    if (result.delivery != net::DeliveryStatus::Answered)
        return result.delivery == net::DeliveryStatus::NotSent;
    return result.response.status == 429 || result.response.status == 503;
}

/// One process, its stand-ins and one flood at one of its listeners.
class FloodRun {
public:
    FloodRun(const Options& options, const std::string& listener)
        : m_options(options)
        , m_store(m_loop, address(portAt(0)))
        , m_daemon(options.binary, options.folder, "host-" + listener,
              { portAt(1), portAt(2), portAt(0), portAt(3) },
              "[Limits]\nMemoryMb = " + std::to_string(options.memoryMb)
                  + "\nMaxFds = " + std::to_string(options.maxDescriptors) + '\n')
        , m_listeners(listeners())
        , m_flooded(*std::find_if(m_listeners.begin(), m_listeners.end(),
              [&](const Listener& each) { return each.name == listener; }))
    {
        m_record.hostsInTouch = false;
        m_store.put("op/config",
            R"({"Version":1,"Routes":[{"Name":"r","Host":"h","Prefix":"/j/","Kind":"unsafe","TimeoutMs":3000,"SloMs":1000,)"
            R"("Priority":1,"Service":"service","MaxAttempts":10,"Stretch":3.0,"Public":false}],)"
            R"("Services":[{"Name":"service"}],)"
            R"("Tenants":[{"Name":"w","ApiKeys":["key"],"Priority":1,"Guaranteed":{"Gpu":8}}]})");
        for (int i = 0; i < workers; ++i) {
            const auto workerAddress = address(portAt(10 + i));
            m_workers.push_back(std::make_unique<standins::UsersWorker>(
                m_loop, m_store, m_record, "i-" + std::to_string(i), workerAddress, workerAddress, "rack"));
        }
        const DescriptorLimit limit(options.maxDescriptors);
        m_daemon.start();
    }

    static std::vector<std::string> listenerNames()
    {
        return { "route", "no-route", "ready", "metrics", "host" };
    }

    /// Returns whether all checks held.
    bool run()
    {
        const auto pid = m_daemon.pid();
        if (!answers(listenerNamed("ready")))
            m_broken.push_back("ANSWERED: the process is not ready");
        for (int i = 0; i < jobsBefore; ++i)
            submit("before-" + std::to_string(i), true);
        awaitAccepted();
        flood(pid);
        awaitAccepted();
        for (const auto& listener : m_listeners) {
            if (!answers(listener))
                m_broken.push_back("ANSWERED: no answer to an ordinary request at " + listener.name);
        }
        awaitCompleted();
        checkProcess(pid);
        checkJobs();
        return report();
    }

private:
    unsigned short portAt(int offset) const
    {
        return static_cast<unsigned short>(m_options.basePort + offset);
    }
    static std::string address(unsigned short port) { return "127.0.0.1:" + std::to_string(port); }

    // The second port after the first one of the range serves calls that other hosts forward.
    std::vector<Listener> listeners() const
    {
        return { { "route", portAt(1), "/j/ordinary", jobFields },
            { "no-route", portAt(1), "/none", "Host: nowhere\r\n" },
            { "ready", portAt(2), "/", "Host: h\r\n" }, { "metrics", portAt(3), "/metrics", "Host: h\r\n" },
            { "host", portAt(4), "/j/ordinary", jobFields + "Deadline-Ms: 3000\r\nConfig-Version: 1\r\n" } };
    }

    const Listener& listenerNamed(const std::string& name) const
    {
        return *std::find_if(m_listeners.begin(), m_listeners.end(),
            [&](const Listener& listener) { return listener.name == name; });
    }

    static int ordinaryStatus(const Listener& listener)
    {
        if (listener.name == "no-route")
            return 404;
        return listener.name == "route" || listener.name == "host" ? 410 : 200; // No such job is known.
    }

    void spend(Duration time)
    {
        const auto until = steadyClock()() + time;
        while (steadyClock()() < until)
            m_loop.run_one_for(std::chrono::milliseconds(10));
    }

    void after(Duration delay, std::function<void()> act)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, delay);
        timer->async_wait([timer, act = std::move(act)](const boost::system::error_code& failed) {
            if (!failed)
                act();
        });
    }

    // On a new connection each time, as a client that knows nothing of the flood.
    bool answers(const Listener& listener)
    {
        for (int i = 0; i < maxTries && m_daemon.isRunning(); ++i) {
            net::HttpClient client(m_loop);
            auto status = 0;
            auto ended = false;
            client.call(address(listener.port), { "GET", listener.path, headersOf(listener), {} },
                callTimeout, [&](const net::CallResult& result) {
                    status = result.response.status;
                    ended = true;
                });
            while (!ended)
                m_loop.run_one_for(std::chrono::milliseconds(10));
            if (status == ordinaryStatus(listener))
                return true;
            reap();
            spend(retryPause);
        }
        return false;
    }

    static net::Headers headersOf(const Listener& listener)
    {
        net::Headers headers;
        std::istringstream lines(listener.fields);
        for (std::string line; std::getline(lines, line);) {
            const auto colon = line.find(": ");
            headers.emplace_back(line.substr(0, colon), line.substr(colon + 2, line.size() - colon - 3));
        }
        return headers;
    }

    void submit(const std::string& id, bool repeats)
    {
        auto& job = m_jobs[id];
        job.id = id;
        job.repeats = repeats;
        send(job);
    }

    void call(const std::string& method, Job& job, const std::string& body, net::CallDone done)
    {
        job.waiting = true;
        m_client.call(address(portAt(1)),
            { method, "/j/" + job.id,
                { { "Host", "h" }, { "Authorization", "Token key" }, { "Deadline-Ms", "3000" } }, body },
            callTimeout, [&job, done = std::move(done)](const net::CallResult& result) {
                job.waiting = false;
                done(result);
            });
    }

    void send(Job& job)
    {
        ++job.tries;
        const std::string body
            = R"({"Spec":"{\"cpu\":1000,\"mem\":1000,\"gpu\":1}","Steps":[{"Count":2,"Cpu":1000,)"
              R"("MemMb":1000,"Gpu":1,"EstimateMs":1500}]})";
        call("POST", job, body, [this, &job](const net::CallResult& result) {
            job.accepted = result.delivery == net::DeliveryStatus::Answered && result.response.status == 200;
            job.refusedOnly = job.refusedOnly && isRefusal(result);
            if (job.accepted || !job.repeats || job.tries >= maxTries)
                return;
            job.waiting = true; // For the next try.
            after(retryPause, [this, &job] { send(job); });
        });
    }

    void flood(pid_t pid)
    {
        auto shape = makeFlood(m_options.flood, m_flooded);
        if (m_options.clients != 0)
            shape.clients = m_options.clients;
        FloodClients clients(m_loop, m_flooded.port, std::move(shape));
        const auto until = steadyClock()() + floodTime;
        for (auto submitAt = steadyClock()(); steadyClock()() < until; spend(sampleEvery)) {
            m_peakDescriptors = std::max(m_peakDescriptors, openDescriptors(pid));
            if (steadyClock()() < submitAt)
                continue;
            submit("during-" + std::to_string(m_jobs.size()), true);
            submit("once-" + std::to_string(m_jobs.size()), false);
            submitAt = steadyClock()() + submitEvery;
        }
        m_connects = clients.connects();
        m_sentMb = clients.sentBytes() >> 20U;
    }

    void awaitAccepted()
    {
        while (m_daemon.isRunning() && std::any_of(m_jobs.begin(), m_jobs.end(), [](const auto& entry) {
            return entry.second.waiting;
        })) {
            spend(sampleEvery);
            reap();
        }
    }

    void awaitCompleted()
    {
        for (int i = 0; i < maxTries && m_daemon.isRunning(); ++i) {
            auto open = false;
            for (auto& [id, job] : m_jobs) {
                if (!job.accepted || job.state == "completed" || job.state == "failed")
                    continue;
                open = true;
                if (!job.waiting)
                    call("GET", job, {}, [&job = job](const net::CallResult& result) { learn(job, result); });
            }
            if (!open)
                return;
            spend(retryPause);
            reap();
        }
    }

    static void learn(Job& job, const net::CallResult& result)
    {
        if (result.delivery != net::DeliveryStatus::Answered)
            return;
        if (result.response.status == 410)
            job.state = "unknown";
        if (result.response.status == 200)
            job.state = boost::json::parse(result.response.body).at("State").as_string();
    }

    void reap()
    {
        auto badly = false;
        if (m_daemon.reap(badly))
            m_broken.push_back("EXIT: the process has ended");
    }

    void checkProcess(pid_t pid)
    {
        reap();
        m_peakKb = peakMemoryKb(pid);
        if (m_peakKb >= m_options.memoryMb * 1024)
            m_broken.push_back("MEMORY: peak of " + std::to_string(m_peakKb / 1024) + " MB, limit "
                + std::to_string(m_options.memoryMb));
        if (m_peakDescriptors >= m_options.maxDescriptors)
            m_broken.push_back(
                "DESCRIPTORS: all " + std::to_string(m_options.maxDescriptors) + " were in use");
    }

    void checkJobs()
    {
        for (const auto& [id, job] : m_jobs) {
            const auto starts = m_record.lastStart.lower_bound(id + '.');
            const auto ran = starts != m_record.lastStart.end() && starts->first.starts_with(id + '.');
            if (job.refusedOnly && !job.accepted && ran)
                m_broken.push_back("REFUSED: " + id + " ran, and every answer said that it was not accepted");
            if (job.repeats && !job.accepted)
                m_broken.push_back(
                    "LOST: " + id + " was not accepted in " + std::to_string(job.tries) + " tries");
            if (job.accepted && job.state != "completed")
                m_broken.push_back("LOST: " + id + " was accepted and is " + job.state);
        }
        m_broken.insert(m_broken.end(), m_record.broken.begin(), m_record.broken.end());
    }

    bool report() const
    {
        const auto accepted = std::count_if(
            m_jobs.begin(), m_jobs.end(), [](const auto& entry) { return entry.second.accepted; });
        std::cout << "flood-test: " << m_options.flood << " at " << m_flooded.name << ": peak "
                  << m_peakKb / 1024 << " MB, " << m_peakDescriptors << " descriptors, " << m_connects
                  << " connects, " << m_sentMb << " MB sent, " << accepted << " of " << m_jobs.size()
                  << " jobs accepted; " << (m_broken.empty() ? "ok" : "FAILED") << '\n';
        for (const auto& line : m_broken)
            std::cout << "  " << line << '\n';
        std::cout << std::flush;
        return m_broken.empty();
    }

    const Options& m_options;
    boost::asio::io_context m_loop { 1 };
    standins::UsersStore m_store;
    standins::WorkerRecord m_record;
    std::vector<std::unique_ptr<standins::UsersWorker>> m_workers;
    soak::Daemon m_daemon;
    const std::vector<Listener> m_listeners;
    const Listener m_flooded;
    std::map<std::string, Job> m_jobs; ///< Calls under way refer to them.
    net::HttpClient m_client { m_loop };
    std::size_t m_peakDescriptors = 0;
    std::size_t m_peakKb = 0;
    std::uint64_t m_connects = 0;
    std::uint64_t m_sentMb = 0;
    std::vector<std::string> m_broken;
};

} // namespace

int main(int argc, char** argv)
{
    Options options;
    CLI::App app("Floods from misbehaving clients against an entry host on stand-ins");
    app.add_option("--binary", options.binary, "Path of jujubereachd")->required()->check(CLI::ExistingFile);
    app.add_option("--flood", options.flood, "Kind of flood")->required()->check(CLI::IsMember(floodNames()));
    app.add_option("--listener", options.listener, "Only this one; all of them by default")
        ->check(CLI::IsMember(FloodRun::listenerNames()));
    app.add_option("--folder", options.folder, "For settings and logs; kept")->required();
    app.add_option("--port", options.basePort, "First of the ports that it takes")
        ->check(CLI::Range(1024, 60'000));
    app.add_option("--memory-mb", options.memoryMb, "Memory of the process's settings");
    app.add_option("--descriptors", options.maxDescriptors, "Descriptors of the process's settings");
    app.add_option("--clients", options.clients, "Clients of the flood");
    CLI11_PARSE(app, argc, argv);
    std::filesystem::create_directories(options.folder);
    if (const auto needed = ownDescriptors + std::max<std::size_t>(options.clients, 1000);
        raiseDescriptorLimit() < needed) {
        std::cerr << "flood-test: needs " << needed << " descriptors\n";
        return 2;
    }
    auto held = true;
    for (const auto& listener : FloodRun::listenerNames()) {
        if (options.listener.empty() || options.listener == listener)
            held = FloodRun(options, listener).run() && held;
    }
    return held ? 0 : 1;
}
