// Runs real daemons against stand-ins and injects faults from outside; checks what workers and callers see:
// - No task runs twice at once, or again after its end was taken note of (TWICE).
// - A job that was accepted is known and ends; it is shown as failed only if a task has failed as often as
//   allowed or two workers have crashed under it (LOST), and as completed only if all its tasks are (MIXED).
// - A job whose every answer was a refusal never runs (REFUSED).
// - No start brings a worker over its capacity, also while that shrinks and grows (LIMIT).
// - A task that has crashed three workers is not started three times more by hosts in touch (BUDGET).
// - No host ends by itself, whatever entries are among those of the workers (EXIT), and hosts still follow
//   the list: jobs sent after the faults run on workers that are back under new ids (SERVED).
#include "daemons.h"
#include "odd-entries.h"
#include "proxy.h"
#include "users-worker.h"

#include "jujubereach/net/http-client.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <filesystem>
#include <iostream>

namespace {

using namespace jujubereach;
using namespace jujubereach::soak;
using standins::StoreMood;

constexpr Duration faultEvery { 700 };
constexpr Duration platformChangeEvery { 450 }; // Capacities and odd entries.
constexpr Duration deadlyEvery { 8000 };
constexpr Duration restartEvery { 2100 }; // Of workers under their ids.
constexpr Duration maxDownTime { 2500 }; // Less than the silence after which an entry is removed.
constexpr std::size_t rackSize = 4;
constexpr Duration submitEvery { 120 };
constexpr Duration retryPause { 400 };
constexpr Duration callTimeout { 3500 };
constexpr Duration healTime { 60'000 }; // Two leases of a lost worker, and the queue that has formed.
constexpr Duration askEvery { 1000 };
constexpr int maxTries = 30;
constexpr int maxAttempts = 5;
constexpr Duration contactTime { 4000 }; // Starts by hosts that had a fault within it do not count.
constexpr int crashesToFail = 2; // The platform allows it from then on.
constexpr std::size_t oddKeys = 6;
constexpr int lastJobs = 8;

struct Options {
    std::string binary;
    std::uint64_t seed = 1;
    int seconds = 60;
    int daemons = 4;
    int workers = 12;
    unsigned short basePort = 30'000; ///< Of the ports that it takes on the loopback address.
    std::string folder;
    std::string without; ///< A mechanism taken away: then the soak has to fail.
};

/// A job as its caller knows it.
struct Submitted {
    std::string id;
    std::string body;
    std::set<std::string> tasks;
    bool last = false; ///< Sent after the faults.
    bool accepted = false;
    bool refusedOnly = true; ///< Every answer so far said that it was not accepted.
    bool cancelled = false;
    std::string state;
    int tries = 0;
};

class Soak {
public:
    explicit Soak(Options options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
        , m_platformRandom(m_options.seed)
        , m_restartRandom(m_options.seed)
        , m_store(m_loop, address(storePort()))
    {
        m_store.put("op/config",
            R"({"Version":1,"Routes":[{"Name":"r","Host":"h","Prefix":"/j/","Kind":"unsafe","TimeoutMs":3000,"SloMs":1000,)"
            R"("Priority":1,"Service":"service","MaxAttempts":)"
                + std::to_string(maxAttempts)
                + R"(,"Stretch":3.0,"Public":false}],"Services":[{"Name":"service"}],)"
                  R"("Tenants":[{"Name":"w","ApiKeys":["key"],"Priority":1,"Guaranteed":{"Gpu":8}}]})");
        for (int i = 0; i < m_options.workers; ++i) {
            const auto port = portAt(400 + 2 * i);
            m_workerProxies.push_back(std::make_unique<Proxy>(m_loop, port + 1, port));
            m_workers.push_back(
                std::make_unique<standins::UsersWorker>(m_loop, m_store, m_record, "i-" + std::to_string(i),
                    address(port), address(port + 1), "r" + std::to_string(i / static_cast<int>(rackSize))));
        }
        for (int i = 0; i < m_options.daemons; ++i) {
            const DaemonPorts ports { portAt(10 + 8 * i), portAt(11 + 8 * i), portAt(12 + 8 * i),
                portAt(13 + 8 * i) };
            m_storeProxies.push_back(std::make_unique<Proxy>(m_loop, ports.store, storePort()));
            m_daemons.push_back(std::make_unique<Daemon>(
                m_options.binary, m_options.folder, "host-" + std::to_string(i), ports));
            m_daemons.back()->without(m_options.without);
            m_daemons.back()->start();
        }
    }

    int run()
    {
        m_record.hostsInTouch = false;
        every(submitEvery, [this] { submit(); });
        every(faultEvery, [this] { fault(); });
        every(platformChangeEvery, [this] { changePlatform(); });
        every(deadlyEvery, [this] { submitDeadly(); });
        every(restartEvery, [this] { restartWorkers(); });
        every(askEvery, [this] { watchDaemons(); });
        m_faultsEnd = steadyClock()() + Duration(m_options.seconds * 1000);
        spend(Duration(m_options.seconds * 1000));
        m_healing = true;
        heal();
        const auto healed = steadyClock()() + healTime;
        while (steadyClock()() < healed && !allEnded()) {
            askAll();
            spend(askEvery);
        }
        return report();
    }

private:
    unsigned short portAt(int offset) const
    {
        return static_cast<unsigned short>(m_options.basePort + offset);
    }
    unsigned short storePort() const { return portAt(0); }
    static std::string address(unsigned short port) { return "127.0.0.1:" + std::to_string(port); }
    std::uint64_t below(std::uint64_t bound) { return m_random() % bound; }
    std::uint64_t platformBelow(std::uint64_t bound) { return m_platformRandom() % bound; }
    std::uint64_t restartBelow(std::uint64_t bound) { return m_restartRandom() % bound; }
    std::uint64_t shortBelow(std::uint64_t bound)
    {
        const auto one = restartBelow(bound);
        return std::min(one, restartBelow(bound));
    }

    void spend(Duration time)
    {
        const auto until = steadyClock()() + time;
        while (steadyClock()() < until)
            m_loop.run_one_for(std::chrono::milliseconds(20));
    }

    void every(Duration interval, const std::function<void()>& act)
    {
        after(interval, [this, interval, act] {
            if (!m_healing || interval == askEvery)
                act();
            every(interval, act);
        });
    }

    void after(Duration delay, std::function<void()> act)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, delay);
        timer->async_wait([timer, act = std::move(act)](const boost::system::error_code& failed) {
            if (!failed)
                act();
        });
    }

    void submit()
    {
        const auto id = std::to_string(m_jobs.size()) + "x" + std::to_string(m_options.seed);
        auto& job = m_jobs[id];
        job.id = id;
        const auto count = 1 + below(4);
        const auto size = 1 + below(3);
        const auto spec = "{\"cpu\":1000,\"mem\":1000,\"gpu\":" + std::to_string(size) + "}";
        boost::json::object step { { "Count", count }, { "Cpu", 1000 }, { "MemMb", 1000 }, { "Gpu", size },
            { "EstimateMs", 1500 } };
        boost::json::array steps { step };
        if (below(3) == 0) {
            step["After"] = boost::json::array { boost::json::value(0) };
            steps.push_back(step);
        }
        for (std::size_t s = 0; s < steps.size(); ++s) {
            for (std::uint64_t i = 0; i < count; ++i)
                job.tasks.insert(id + ".0." + std::to_string(s) + '.' + std::to_string(i));
        }
        job.body = boost::json::serialize(boost::json::object { { "Spec", spec }, { "Steps", steps } });
        send(job);
        if (below(12) == 0)
            after(Duration(static_cast<std::int64_t>(below(3000))), [this, id] { cancel(m_jobs.at(id)); });
    }

    void submitDeadly()
    {
        const auto id = "deadly" + std::to_string(m_jobs.size()) + "x" + std::to_string(m_options.seed);
        const auto count = 1 + platformBelow(3);
        auto& job = simpleJob(id, count, R"(,"deadly":"0.)" + std::to_string(platformBelow(count)) + '"');
        send(job);
    }

    // They complete only if the list of workers is still followed: all workers are back under new ids.
    void submitLast()
    {
        for (int i = 0; i < lastJobs; ++i) {
            auto& job = simpleJob("last" + std::to_string(i) + "x" + std::to_string(m_options.seed), 1, {});
            job.last = true;
            send(job);
        }
    }

    Submitted& simpleJob(const std::string& id, std::uint64_t count, const std::string& more)
    {
        auto& job = m_jobs[id];
        job.id = id;
        for (std::uint64_t i = 0; i < count; ++i)
            job.tasks.insert(id + ".0.0." + std::to_string(i));
        const boost::json::object step { { "Count", count }, { "Cpu", 1000 }, { "MemMb", 1000 }, { "Gpu", 1 },
            { "EstimateMs", 1500 } };
        job.body = boost::json::serialize(
            boost::json::object { { "Spec", R"({"cpu":1000,"mem":1000,"gpu":1)" + more + '}' },
                { "Steps", boost::json::array { step } } });
        return job;
    }

    void call(const std::string& method, const Submitted& job, const std::string& body,
        std::function<void(const net::CallResult&)> done)
    {
        const auto& daemon = *m_daemons[below(m_daemons.size())];
        m_client.call(address(daemon.ports().callers),
            { method, "/j/" + job.id,
                { { "Host", "h" }, { "Authorization", "Token key" }, { "Deadline-Ms", "3000" } }, body },
            callTimeout, std::move(done));
    }

    // Clients keep open connections until the process is gone, and try again as the platform's do.
    void send(Submitted& job)
    {
        ++job.tries;
        call("POST", job, job.body, [this, &job](const net::CallResult& result) {
            const auto status = result.delivery == net::DeliveryStatus::Answered ? result.response.status : 0;
            if (status == 200) {
                job.accepted = true;
                job.refusedOnly = false;
                return;
            }
            if (status != 429 && status != 503 && result.delivery != net::DeliveryStatus::NotSent)
                job.refusedOnly = false;
            if (job.tries < maxTries && (!m_healing || job.last))
                after(retryPause, [this, &job] { send(job); });
        });
    }

    void cancel(Submitted& job)
    {
        if (!job.accepted)
            return;
        job.cancelled = true;
        call("DELETE", job, {}, [](const net::CallResult&) {});
    }

    void askAll()
    {
        for (auto& entry : m_jobs) {
            auto& job = entry.second;
            if (!job.accepted || isFinal(job.state))
                continue;
            call("GET", job, {}, [this, &job](const net::CallResult& result) {
                if (result.delivery != net::DeliveryStatus::Answered)
                    return;
                if (result.response.status == 410)
                    m_record.broken.push_back("LOST: " + job.id + " was accepted and is not known");
                if (result.response.status == 200)
                    learn(job, std::string(boost::json::parse(result.response.body).at("State").as_string()));
            });
        }
    }

    static bool isFinal(const std::string& state)
    {
        return state == "completed" || state == "failed" || state == "cancelled";
    }

    void learn(Submitted& job, const std::string& state)
    {
        job.state = state;
        if (state == "completed" && m_record.doneOfJob[job.id].size() != job.tasks.size())
            m_record.broken.push_back(
                "MIXED: " + job.id + " is told as completed, and not all its tasks are");
        if (state == "failed" && !mayFail(job))
            m_record.broken.push_back("LOST: " + job.id + " is told as failed without cause");
        if (state == "cancelled" && !job.cancelled)
            m_record.broken.push_back("LOST: " + job.id + " is told as cancelled, and nobody cancelled it");
    }

    bool mayFail(const Submitted& job) const
    {
        const auto reaches
            = [](const std::map<std::string, int>& counts, const std::string& task, int bound) {
                  const auto found = counts.find(task);
                  return found != counts.end() && found->second >= bound;
              };
        return std::any_of(job.tasks.begin(), job.tasks.end(), [&](const std::string& task) {
            return reaches(m_record.failures, task, maxAttempts)
                || reaches(m_record.crashesUnder, task, crashesToFail);
        });
    }

    bool allEnded() const
    {
        return std::all_of(m_jobs.begin(), m_jobs.end(), [](const auto& entry) {
            const auto& job = entry.second;
            return job.accepted ? isFinal(job.state) : !job.last || job.tries >= maxTries;
        });
    }

    void fault()
    {
        auto& daemon = *m_daemons[below(m_daemons.size())];
        auto& storeProxy = *m_storeProxies[below(m_storeProxies.size())];
        auto& workerProxy = *m_workerProxies[below(m_workerProxies.size())];
        const Duration length(static_cast<std::int64_t>(500 + below(6000)));
        const auto harm = static_cast<Harm>(1 + below(4));
        ++m_faults;
        switch (below(12)) {
        case 0:
            return daemon.signal(SIGKILL);
        case 1:
            return daemon.signal(SIGTERM);
        case 2:
            daemon.signal(SIGSTOP);
            return after(length, [&daemon] { daemon.signal(SIGCONT); });
        case 3:
            return daemon.isLoaded() ? daemon.signal(SIGHUP) : void();
        case 4:
            storeProxy.setHarm(harm);
            return after(length, [&storeProxy] { storeProxy.setHarm(Harm::None); });
        case 5:
            workerProxy.setHarm(harm);
            return after(length, [&workerProxy] { workerProxy.setHarm(Harm::None); });
        case 6:
            storeProxy.reset();
            return workerProxy.reset();
        case 7:
            storeProxy.silenceOpen();
            return workerProxy.silenceOpen();
        case 8:
            m_store.setMood(static_cast<StoreMood>(1 + below(3)));
            return after(length, [this] { m_store.setMood(StoreMood::Well); });
        case 9:
            return m_store.forgetHistory();
        case 10:
            return m_workers[below(m_workers.size())]->rebirth();
        default:
            for (auto& each : m_daemons) // All at once, now and then.
                below(3) == 0 ? each->signal(SIGKILL) : void();
        }
    }

    // Workers of one rack are back under their ids before their silence or their entries show it, far away,
    // so that their lists arrive late, and some of them are cut off soon after.
    void restartWorkers()
    {
        if (steadyClock()() > m_faultsEnd - maxDownTime) // The heal crashes only workers that are up.
            return;
        const Duration downTime(static_cast<std::int64_t>(300 + shortBelow(2200)));
        const Duration farTime(static_cast<std::int64_t>(200 + shortBelow(3800)));
        const Duration cutTime(static_cast<std::int64_t>(500 + restartBelow(8500)));
        const auto cuts = restartBelow(2) == 0;
        const auto first = restartBelow(m_workers.size()) / rackSize * rackSize;
        const auto end = std::min(first + 1 + restartBelow(rackSize), m_workers.size());
        for (auto i = first; i < end; ++i) {
            auto& proxy = *m_workerProxies[i];
            m_workers[i]->restart(downTime);
            proxy.setHarm(Harm::Delay);
            after(downTime + farTime, [this, cuts, cutTime, &proxy] {
                proxy.setHarm(cuts && !m_healing ? Harm::Silent : Harm::None);
                after(cutTime, [&proxy] { proxy.setHarm(Harm::None); });
            });
        }
        ++m_restarts;
    }

    // Another writer's entries, and workers that shrink for a while.
    void changePlatform()
    {
        auto& worker = *m_workers[platformBelow(m_workers.size())];
        const Duration length(static_cast<std::int64_t>(500 + platformBelow(10'000)));
        switch (platformBelow(4)) {
        case 0:
            return putOddEntry(platformBelow(standins::oddEntries().size()));
        case 1:
            return m_store.remove(oddKey(platformBelow(oddKeys)));
        default:
            worker.setCapacity(randomCapacity());
            return after(length, [&worker] { worker.setCapacity({}); });
        }
    }

    standins::UsersWorker::Size randomCapacity()
    {
        standins::UsersWorker::Size size;
        switch (platformBelow(4)) {
        case 0:
            return { 0, 0, 0 };
        case 1:
            size.milliCores = size.memoryMb = static_cast<std::int64_t>(1000 * platformBelow(4));
            return size;
        default:
            size.accelerators = static_cast<std::int64_t>(platformBelow(8));
            return size;
        }
    }

    static std::string oddKey(std::uint64_t number) { return "servers/odd-" + std::to_string(number); }

    void putOddEntry(std::size_t index)
    {
        const auto& entry = standins::oddEntries()[index];
        m_store.put(oddKey(index % oddKeys), entry.value);
    }

    void heal()
    {
        after(contactTime, [this] { m_record.hostsInTouch = true; });
        m_store.setMood(StoreMood::Well);
        for (auto& proxy : m_storeProxies)
            proxy->setHarm(Harm::None);
        for (auto& proxy : m_workerProxies)
            proxy->setHarm(Harm::None);
        for (auto& daemon : m_daemons)
            daemon->signal(SIGCONT);
        for (std::size_t i = 0; i < standins::oddEntries().size(); ++i)
            putOddEntry(i);
        for (auto& worker : m_workers) {
            worker->setCapacity({});
            worker->crash(Duration(1000), true);
        }
        submitLast();
    }

    void watchDaemons()
    {
        for (auto& daemon : m_daemons) {
            auto badly = false;
            if (!daemon->reap(badly))
                continue;
            if (badly)
                m_record.broken.push_back("EXIT: " + daemon->name() + " ended by itself");
            daemon->start();
        }
        if (++m_ticks % 10 == 0)
            std::cout << "soak: " << m_ticks << " s, " << m_jobs.size() << " jobs, " << m_record.starts
                      << " starts, " << m_faults << " faults, " << m_record.broken.size() << " broken"
                      << std::endl;
    }

    int report()
    {
        std::size_t accepted = 0;
        std::map<std::string, int> states;
        for (const auto& [id, job] : m_jobs) {
            accepted += job.accepted;
            if (!job.accepted && job.refusedOnly && !m_record.doneOfJob[id].empty())
                m_record.broken.push_back("REFUSED: " + id + " ran, and every answer said that it did not");
            if (!job.accepted && job.last)
                m_record.broken.push_back("SERVED: " + id + " was not accepted after the faults");
            if (!job.accepted)
                continue;
            ++states[job.state.empty() ? "never told" : job.state];
            if (!isFinal(job.state))
                m_record.broken.push_back("LOST: " + id + " has not ended: " + job.state);
        }
        if (accepted == 0)
            m_record.broken.push_back("SERVED: no job was accepted");
        std::cout << "soak: seed " << m_options.seed << ": " << m_jobs.size() << " jobs, " << accepted
                  << " accepted;";
        for (const auto& [state, count] : states)
            std::cout << ' ' << count << ' ' << state << ';';
        std::cout << ' ' << m_record.starts << " starts, " << m_faults << " faults, " << m_restarts
                  << " restarts of workers, " << m_store.calls() << " calls to the store\n";
        for (const auto& line : m_record.broken)
            std::cout << "soak: broken: " << line << '\n';
        std::cout << (m_record.broken.empty() ? "soak: all promises kept" : "soak: FAILED") << std::endl;
        return m_record.broken.empty() ? 0 : 1;
    }

    const Options m_options;
    boost::asio::io_context m_loop { 1 };
    std::mt19937_64 m_random;
    std::mt19937_64 m_platformRandom; ///< Of its own, so that the other faults of a seed stay.
    std::mt19937_64 m_restartRandom; ///< Likewise.
    standins::UsersStore m_store;
    standins::WorkerRecord m_record;
    std::vector<std::unique_ptr<Proxy>> m_workerProxies;
    std::vector<std::unique_ptr<standins::UsersWorker>> m_workers;
    std::vector<std::unique_ptr<Proxy>> m_storeProxies;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    net::HttpClient m_client { m_loop };
    std::map<std::string, Submitted> m_jobs;
    std::uint64_t m_faults = 0;
    std::uint64_t m_restarts = 0;
    int m_ticks = 0;
    bool m_healing = false;
    TimePoint m_faultsEnd;
};

} // namespace

int main(int argc, char** argv)
{
    Options options;
    CLI::App app("Soak of the entry hosts on stand-ins of the users' platform");
    app.add_option("--binary", options.binary, "Path of jujubereachd")->required()->check(CLI::ExistingFile);
    app.add_option("--seed", options.seed, "Seed of jobs and faults");
    app.add_option("--seconds", options.seconds, "Time under faults")->check(CLI::Range(1, 36'000));
    app.add_option("--daemons", options.daemons, "Entry hosts")->check(CLI::Range(1, 40));
    app.add_option("--workers", options.workers, "Workers")->check(CLI::Range(1, 200));
    app.add_option("--port", options.basePort, "First of the ports that it takes")
        ->check(CLI::Range(1024, 60'000));
    app.add_option("--without", options.without, "Takes a mechanism of the daemons away, for a counter-check")
        ->check(CLI::IsMember({ "doubt", "saved-acknowledgements", "leases", "late-starts" }));
    app.add_option("--folder", options.folder, "For settings and logs; kept");
    CLI11_PARSE(app, argc, argv);
    if (options.folder.empty())
        options.folder = std::filesystem::temp_directory_path() / ("soak-" + std::to_string(options.seed));
    std::filesystem::create_directories(options.folder);
    return Soak(options).run();
}
