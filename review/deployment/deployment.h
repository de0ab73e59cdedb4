// A small deployment for the cases of this review: the platform's store, minions, clients and the project's
// own hosts as separate processes. Store and minions are stand-ins that follow PROTOCOL.md; they run on one
// event loop in a thread of their own. Every address is a loopback address.
#pragma once

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <atomic>
#include <chrono>
#include <deque>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace json = boost::json;

using Milliseconds = std::chrono::milliseconds;

/// Milliseconds since the start of the case.
std::int64_t nowMs();
std::int64_t unixMs();
void sleepMs(std::int64_t ms);

/// Writes lines with a time to record.txt. Thread-safe.
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);

private:
    std::mutex m_mutex;
    std::unique_ptr<std::FILE, int (*)(std::FILE*)> m_file;
};

struct Request {
    std::string method;
    std::string target;
    std::string body;
    std::string instance; ///< Expected-Instance.
};

struct Reply {
    int status = 0;
    std::string body;
};

using Respond = std::function<void(Reply)>;

/// An HTTP/1.1 server on the event loop. Used from the loop's thread only.
class Server {
public:
    using Handler = std::function<void(const Request&, Respond)>;

    Server(asio::io_context& loop, std::string ip, unsigned short port, Handler handler);
    ~Server();
    void open();
    void close(); ///< As when the process ends: connections are closed, later ones refused.

    struct State;

private:
    std::shared_ptr<State> m_state;
    const std::string m_ip;
    const unsigned short m_port;
};

/// The platform's store.
class Store {
public:
    Store(asio::io_context& loop, std::string ip, unsigned short port);

    void put(const std::string& key, const std::string& value); ///< By the platform or the operator.
    void remove(const std::string& key);
    bool has(const std::string& key) const { return m_items.contains(key); }
    std::string value(const std::string& key) const; ///< Decoded; empty if absent.
    std::uint64_t revision() const { return m_revision; }
    std::size_t count(const std::string& prefix) const;
    std::uint64_t tooLarge() const { return m_tooLarge; }

    static constexpr std::size_t valueBytes = 1'048'576;
    static constexpr double writesPerS = 400;
    static constexpr double readsPerS = 2000;

private:
    struct Item {
        std::string encoded; ///< Base64.
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Event {
        std::string key;
        Item item;
        bool deleted = false;
        std::int64_t at = 0;
    };
    struct Lease {
        std::int64_t ttl = 0;
        std::int64_t endsAt = 0;
    };
    struct Waiting {
        std::string prefix;
        std::uint64_t after = 0;
        std::int64_t until = 0;
        Respond respond;
    };
    using Query = std::map<std::string, std::string>;

    void handle(const Request& request, Respond respond);
    bool allowed(double price, double perS, double& budget, std::int64_t& at) const;
    Reply read(const Query& query) const;
    Reply range(const Query& query) const;
    Reply write(const std::string& body);
    void watch(const Query& query, Respond respond);
    bool answerWatch(const Waiting& waiting) const;
    void answerWatches();
    void endLease(std::uint64_t id);
    void apply(const std::string& key, Item item, bool deleted);
    void tick();
    static json::object describe(const std::string& key, const Item& item);

    asio::io_context& m_loop;
    Server m_server;
    asio::steady_timer m_timer;
    std::map<std::string, Item> m_items;
    std::deque<Event> m_history;
    std::uint64_t m_forgotten = 0; ///< Changes up to this revision are no longer in the history.
    std::uint64_t m_revision = 100;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_lastLease = 70'000;
    std::vector<Waiting> m_waiting;
    double m_writes = writesPerS;
    double m_reads = readsPerS;
    std::int64_t m_writesAt = 0;
    std::int64_t m_readsAt = 0;
    std::uint64_t m_tooLarge = 0;
};

struct Size {
    std::int64_t cpu = 0;
    std::int64_t memMb = 0;
    std::int64_t gpu = 0;
};

/// What the minions have run, for the checks. Used from the loop's thread only.
struct History {
    struct Entry {
        std::int64_t at = 0;
        std::string minion;
        std::string task;
        std::uint64_t run = 0;
        std::string what; ///< "start", or how the run ended; "crashed" or "left" with its minion.
    };
    std::vector<Entry> entries;

    /// An end that a minion lists, and when `LastSeen` reached it; -1 before.
    struct ListedEnd {
        std::string task;
        std::int64_t listedAt = 0;
        std::int64_t notedAt = -1;
    };
    std::vector<ListedEnd> ends;

    /// The first start of this work unit gets no answer and is carried out after `lateMs`.
    std::string lateTask;
    std::int64_t lateMs = 0;
    std::string lateMinion; ///< The one that got it; empty before.

    std::size_t count(const std::string& task, const std::string& what) const;
    /// The time of the last such entry; -1 for none.
    std::int64_t last(const std::string& task, const std::string& what) const;
};

/// A minion. The Spec of a work unit tells how it runs: "work=MS end=HOW"; without work it lasts.
class Minion {
public:
    struct Place {
        std::string service, id, ip, zone, rack;
        unsigned short port = 0;
        Size capacity;
    };

    Minion(asio::io_context& loop, Store& store, Record& record, History& history, Place place);
    ~Minion();

    void crash(std::int64_t downMs); ///< The process ends without notice and starts again under its id.
    void drain(std::int64_t remainingMs); ///< Reports `draining`, then leaves for good.
    void setBusy(bool busy) { m_busy = busy; } ///< Answers starts with 503.
    void setCut(bool cut); ///< Cut off from all hosts and from the store; it runs on.

    const std::string& id() const { return m_place.id; }
    bool isUp() const { return m_up; }
    bool runs(const std::string& task) const { return m_runs.contains(task); }
    std::size_t runCount() const { return m_runs.size(); }
    Size used() const;
    const Size& capacity() const { return m_place.capacity; }
    std::uint64_t refusedStarts() const { return m_refusedStarts; }

    static constexpr std::int64_t heartbeatMs = 1500;
    static constexpr std::int64_t maxHoldMs = 10'000;

private:
    struct Run {
        std::uint64_t run = 0;
        std::int64_t startedAt = 0;
        std::int64_t work = 0; ///< 0: it lasts.
        std::string how;
        Size size;
        std::shared_ptr<asio::steady_timer> timer;
    };
    struct End {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
        std::size_t index = 0; ///< In `History::ends`.
    };
    struct Waiting {
        std::int64_t until = 0;
        Respond respond;
    };

    void begin();
    void endLife(const char* what);
    void beat();
    void tick();
    std::int64_t clock() const { return nowMs() - m_bornAt + 1; }
    void handle(const Request& request, Respond respond);
    bool isLate(const json::object& order);
    Reply start(const json::object& order);
    Reply stop(const json::object& order);
    void hold(const json::object& order, Respond respond);
    void extend(const json::object& order);
    void end(const std::string& task, std::string how);
    Reply lists() const;
    Reply refuse(const char* reason) const;

    asio::io_context& m_loop;
    Store& m_store;
    Record& m_record;
    History& m_history;
    const Place m_place;
    Server m_server;
    asio::steady_timer m_timer;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint64_t> m_highestEnded;
    std::deque<End> m_ended;
    std::vector<Waiting> m_waiting;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_deadline = 0;
    std::int64_t m_bornAt = 0;
    std::int64_t m_born = 0;
    std::int64_t m_beatAt = 0;
    std::int64_t m_leavesAt = 0;
    std::uint64_t m_seq = 0;
    std::uint64_t m_refusedStarts = 0;
    bool m_up = false;
    bool m_draining = false;
    bool m_gone = false;
    bool m_busy = false;
    bool m_cut = false;
    std::int64_t m_returnsAt = 0;
};

/// A queue of the configuration.
struct Queue {
    std::string name;
    std::string prefix;
    int priority = 1;
    int maxAttempts = 3;
};

/// A tenant of the configuration.
struct Tenant {
    std::string name;
    std::string key;
    int guaranteedGpu = 0;
};

struct Options {
    int hosts = 6;
    int minions = 48;
    int perRack = 8;
    Size capacity { 64'000, 262'144, 8 };
    int memoryMb = 260;
    std::vector<Queue> queues { { "urgent", "/urgent/", 0, 2 }, { "bulk", "/bulk/", 1, 3 },
        { "proof", "/proof/", 2, 4 } };
    std::vector<Tenant> tenants { { "tenant-1", "d4a3hwrr6x73d3zji9n7", 0 } };
};

/// A whole deployment. Ends all processes that it started when it is destroyed.
class Deployment {
public:
    explicit Deployment(Options options);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /// Starts the hosts and waits until they are ready and one owns the fleet. False after 15 s.
    bool start();

    /// Runs `f` on the thread of the stand-ins and returns its result.
    template <typename F> auto onLoop(F f) -> decltype(f())
    {
        // Shared: the loop's thread may still use it when the caller has its result.
        const auto done = std::make_shared<std::promise<decltype(f())>>();
        asio::post(m_loop, [&f, done] {
            if constexpr (std::is_void_v<decltype(f())>) {
                f();
                done->set_value();
            } else
                done->set_value(f());
        });
        return done->get_future().get();
    }

    Record& record() { return m_record; }
    Store& store() { return *m_store; }
    History& history() { return m_history; }
    std::vector<std::unique_ptr<Minion>>& minions() { return m_minions; }
    Minion* minionRunning(const std::string& task); ///< On the loop's thread only.

    // Hosts.
    int hostCount() const { return m_options.hosts; }
    void startHost(int host);
    void killHost(int host, int signal); ///< And waits for its end.
    bool isRunning(int host); ///< False once the process has ended by itself or by a signal.
    int ownerHost(); ///< The host that the owner's key names; -1 for none.
    std::int64_t residentMb(int host) const;

    // Clients of the tenant with the given index.
    Reply call(int host, const std::string& method, const std::string& path, const std::string& body,
        std::size_t tenant = 0);
    /// Submits as a client: after no answer, 502, 503 or 504 the same job is sent again, to another host.
    bool submit(const std::string& path, const std::string& body, std::size_t tenant = 0);
    /// The state that the first host shows which answers; empty without an answer.
    std::string state(const std::string& path, std::size_t tenant = 0);
    std::int64_t pending(int host, const std::string& prefix); ///< -1 without an answer.

    static std::string newId();

private:
    struct HostProcess {
        std::string name, ip, zone, region;
        int pid = 0;
        int starts = 0;
    };

    std::string settings(const HostProcess& host) const;
    bool isReady(int host);

    const Options m_options;
    Record m_record;
    std::string m_folder;
    unsigned short m_port = 0;
    asio::io_context m_loop;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
    History m_history;
    std::unique_ptr<Store> m_store;
    std::vector<std::unique_ptr<Minion>> m_minions;
    std::vector<HostProcess> m_hosts;
    std::atomic<unsigned> m_nextHost { 0 };
};

/// Whether the disruption of the case is played: TROUBLE is not 0.
bool withTrouble();

} // namespace review
