// One worker of the users' platform over its published protocol, and a record of what workers saw.
#pragma once

#include "users-store.h"

#include <random>
#include <set>

namespace jujubereach::standins {

/// Promises are checked on what workers see, whoever sent it.
struct WorkerRecord {
    std::map<std::string, int> live; ///< Runs of each task, on all workers that are up.
    std::set<std::string> done; ///< Acknowledged as done under a lease that held.
    std::map<std::string, std::uint64_t> lastStart; ///< A count that rises with each start.
    std::uint64_t starts = 0;
    std::map<std::string, std::set<std::string>> doneOfJob; ///< Tasks that ended as done, by job.
    std::map<std::string, int> failures; ///< Ends as failed, by task.
    std::map<std::string, int> crashes; ///< Of workers, by the task that caused them.
    std::map<std::string, int> crashesUnder; ///< Of workers that ran the task, whatever caused them.
    bool hostsInTouch = true; ///< Without faults at hosts and store for the platform's ContactMs.
    std::map<std::string, int> startsAfterThirdCrash; ///< By hosts in touch.
    std::vector<std::string> broken;
};

class UsersWorker {
public:
    struct Size {
        std::int64_t milliCores = 64'000;
        std::int64_t memoryMb = 262'144;
        std::int64_t accelerators = 8;
    };

    /// A capacity that has shrunk counts from then on: the platform's ContactMs and one beat.
    static constexpr Duration capacityAllowance { 5000 };

    /// Listens on `address`; tells others `shownAddress`, behind which a proxy may stand.
    UsersWorker(boost::asio::io_context& loop, UsersStore& store, WorkerRecord& record, std::string id,
        const std::string& address, std::string shownAddress, std::string rack);
    ~UsersWorker();

    /// Ends all that runs and begins a new life under the same id.
    void rebirth();
    /// Ends all that runs and answers nothing for `downTime`. The next life is at the same address, under a
    /// new id or under the same one.
    void crash(Duration downTime, bool newId);
    /// A crash whose next life, under the same id, takes calls before its entry shows it. `downTime` is
    /// shorter than the silence after which the entry is removed.
    void restart(Duration downTime);
    /// The entry shows it from the next beat on.
    void setCapacity(const Size& capacity);
    const std::string& id() const { return m_id; }
    bool isDown() const { return m_down; }

private:
    struct Live {
        std::uint64_t run = 0;
        Size size;
        Duration work { 0 };
        double done = 0; ///< Milliseconds of work by `pacedAt`.
        int pace = 100;
        TimePoint pacedAt; ///< When `pace` took effect.
        int formerPace = 100;
        const char* outcome = "done";
        bool deadly = false;
        double load = 0; ///< Tail latency without neighbours; 0 for a task without requests.
        double harm = 1; ///< Factor on the tails of neighbours at full pace.
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    struct End {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
        std::uint64_t startCount = 0;
    };
    struct Waiting {
        net::Respond respond;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    struct FormerCapacity {
        Size size;
        TimePoint until;
    };

    void beat();
    void endLife();
    void goDown(Duration downTime, std::function<void()> comeBack);
    void comeBack(bool newId);
    void removeEntry();
    bool hasRoomFor(const Size& size);
    void crashBy(const std::string& task);
    void handle(const net::HttpRequest& request, net::Respond respond);
    net::HttpResponse start(const boost::json::object& order);
    net::HttpResponse stop(const boost::json::object& order);
    net::HttpResponse pace(const boost::json::object& order);
    void arm(const std::string& task);
    void setPace(const std::string& task, std::uint64_t run, int percent);
    static double doneOf(const Live& live);
    double tailOf(const std::string& task, const Live& live) const;
    void hold(const boost::json::object& order, net::Respond respond);
    net::HttpResponse lists();
    bool isFenced(const boost::json::object& order);
    void extend(const boost::json::object& order);
    void lapse();
    void end(const std::string& task, const std::string& how);
    void acknowledge(std::uint64_t upTo);
    net::HttpResponse refuse(const char* reason);
    std::int64_t clock() const;

    boost::asio::io_context& m_loop;
    UsersStore& m_store;
    WorkerRecord& m_record;
    const std::string m_firstId;
    std::string m_id;
    const std::string m_shownAddress;
    const std::string m_rack;
    net::HttpServer m_server;
    boost::asio::steady_timer m_beat;
    boost::asio::steady_timer m_lease;
    boost::asio::steady_timer m_return;
    boost::asio::steady_timer m_silence; ///< Until the entry of a life that has crashed is removed.
    std::string m_silentId; ///< The id of that entry, empty when there is none.
    bool m_down = false;
    int m_crashes = 0;
    Size m_capacity;
    std::vector<FormerCapacity> m_formerCapacities;
    std::mt19937_64 m_random;
    std::int64_t m_born = 0;
    TimePoint m_bornAt;
    std::uint64_t m_fence = 0;
    std::int64_t m_deadline = 0;
    std::map<std::string, Live> m_live;
    std::map<std::string, std::uint64_t> m_highestEnded;
    std::vector<End> m_ended;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_seq = 0;
    std::list<Waiting> m_waiting;
};

} // namespace jujubereach::standins
