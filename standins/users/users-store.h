// The users' store over its published protocol: items with revisions, leases, conditional writes, watches.
#pragma once

#include "jujubereach/net/http-server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <deque>
#include <list>
#include <map>

namespace jujubereach::standins {

/// What the store does with calls, as a switch for tests.
enum class StoreMood { Well, Refuses, Silent, LosesAnswers };

/// Used from the thread of its loop.
class UsersStore {
public:
    UsersStore(boost::asio::io_context& loop, const std::string& address);

    void setMood(StoreMood mood) { m_mood = mood; }
    void forgetHistory();
    /// Writes as an operator or a worker does; `value` is plain text.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// Plain text of an item, empty when there is none.
    std::string value(const std::string& key) const;
    std::uint64_t calls() const { return m_calls; }

private:
    struct Item {
        std::string encoded; ///< Base64, as it is spoken.
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Change {
        std::string key;
        Item item;
        bool deleted = false;
    };
    struct Waiting {
        std::string prefix;
        std::uint64_t after = 0;
        net::Respond respond;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    using Query = std::map<std::string, std::string>;

    void handle(const net::HttpRequest& request, net::Respond respond);
    net::HttpResponse read(const Query& query) const;
    net::HttpResponse range(const Query& query) const;
    void watch(const Query& query, net::Respond respond);
    net::HttpResponse write(const std::string& body);
    net::HttpResponse grant(const std::string& body);
    net::HttpResponse keep(const std::string& id);
    net::HttpResponse endLease(std::uint64_t id);
    void apply(const std::string& key, Item item, bool deleted);
    void answerWatches();
    bool answerWatch(const Waiting& waiting) const;
    void armLease(std::uint64_t id);
    static boost::json::object describe(const std::string& key, const Item& item);

    boost::asio::io_context& m_loop;
    net::HttpServer m_server;
    StoreMood m_mood = StoreMood::Well;
    std::map<std::string, Item> m_items;
    std::deque<Change> m_history;
    std::uint64_t m_forgotten = 0; ///< Changes up to this revision are gone.
    std::uint64_t m_revision = 1;
    struct Lease {
        Duration ttl;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_lastLease = 0;
    std::list<Waiting> m_waiting;
    std::uint64_t m_calls = 0;
};

} // namespace jujubereach::standins
