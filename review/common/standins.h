// Stand-ins for the review cases: the platform's store, workers, a client and the launcher of entry hosts.
//
// They follow PROTOCOL.md and DEPLOY.md: plain HTTP/1.1 on loopback addresses, one thread per connection, one
// lock for all state. Every call and every start and end of a run is written to the record.
#pragma once

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline const Clock::time_point programStart = Clock::now();

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<Ms>(Clock::now() - programStart).count();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(Ms(ms));
}

/// What was sent, answered and run, one line each with the time since the start in milliseconds.
class Record {
public:
    void open(const std::string& path) { m_out.open(path, std::ios::trunc); }

    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        m_out << nowMs() << ' ' << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

inline Record record;

// HTTP ---------------------------------------------------------------------------------------------------

struct Request {
    std::string method, path, body;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
};

struct Response {
    int status = 200;
    std::string body = "{}";
};

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

inline std::string unescape(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else
            out += text[i];
    }
    return out;
}

/// Reads one message with a Content-Length; returns false at the end of the connection.
inline bool readMessage(int fd, std::string& buffer, std::string& first,
    std::map<std::string, std::string>& headers, std::string& body)
{
    const auto more = [&] {
        char chunk[16384];
        const auto size = ::recv(fd, chunk, sizeof chunk, 0);
        if (size <= 0)
            return false;
        buffer.append(chunk, static_cast<std::size_t>(size));
        return true;
    };
    std::size_t end;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more())
            return false;
    }
    std::istringstream head(buffer.substr(0, end));
    std::getline(head, first);
    if (!first.empty() && first.back() == '\r')
        first.pop_back();
    headers.clear();
    for (std::string row; std::getline(head, row);) {
        if (!row.empty() && row.back() == '\r')
            row.pop_back();
        const auto colon = row.find(':');
        if (colon == std::string::npos)
            continue;
        const auto value = row.find_first_not_of(' ', colon + 1);
        headers[lower(row.substr(0, colon))] = value == std::string::npos ? "" : row.substr(value);
    }
    std::size_t length = 0;
    if (headers.contains("content-length"))
        length = std::stoul(headers["content-length"]);
    while (buffer.size() < end + 4 + length) {
        if (!more())
            return false;
    }
    body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

inline bool sendAll(int fd, const std::string& bytes)
{
    for (std::size_t at = 0; at < bytes.size();) {
        const auto size = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        at += static_cast<std::size_t>(size);
    }
    return true;
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Serves on a free port of 127.0.0.1. A handler that returns nothing leaves the call without an answer.
class Server {
public:
    using Handler = std::function<std::optional<Response>(const Request&)>;

    explicit Server(Handler handler)
        : m_handler(std::move(handler))
        , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        auto address = loopback(0);
        socklen_t size = sizeof address;
        if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0
            || ::listen(m_listener, 512) != 0
            || ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
            std::cerr << "a stand-in cannot listen\n";
            std::_Exit(2);
        }
        m_port = ntohs(address.sin_port);
        std::thread([this] { accept(); }).detach();
    }

    int port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    /// While it refuses, new connections are closed at once, as on a machine whose process has ended.
    void refuse(bool refuses) { m_refuses = refuses; }

    /// Ends all open connections, as the end of the process does.
    void dropConnections()
    {
        const std::lock_guard lock(m_mutex);
        for (const auto fd : m_open)
            ::shutdown(fd, SHUT_RDWR);
    }

private:
    void accept()
    {
        while (true) {
            const auto fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                sleepMs(10);
                continue;
            }
            if (m_refuses) {
                ::close(fd);
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        std::string buffer, first;
        Request request;
        while (readMessage(fd, buffer, first, request.headers, request.body)) {
            std::istringstream words(first);
            std::string target;
            words >> request.method >> target;
            const auto mark = target.find('?');
            request.path = unescape(target.substr(0, mark));
            request.query.clear();
            std::istringstream query(mark == std::string::npos ? "" : target.substr(mark + 1));
            for (std::string pair; std::getline(query, pair, '&');) {
                const auto equals = pair.find('=');
                request.query[pair.substr(0, equals)]
                    = equals == std::string::npos ? "" : unescape(pair.substr(equals + 1));
            }
            const auto response = m_handler(request);
            if (!response)
                continue;
            if (!sendAll(fd,
                    "HTTP/1.1 " + std::to_string(response->status)
                        + " X\r\nContent-Type: application/json\r\nContent-Length: "
                        + std::to_string(response->body.size()) + "\r\n\r\n" + response->body))
                break;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_open.erase(fd);
        }
        ::close(fd);
    }

    const Handler m_handler;
    const int m_listener;
    int m_port = 0;
    std::atomic<bool> m_refuses { false };
    std::mutex m_mutex;
    std::set<int> m_open;
};

/// Result of a client's call. `status` is 0 if the connection ended or the time was over before a whole
/// answer.
struct Answer {
    int status = 0;
    std::string body;
    std::string failure;
    std::int64_t sentAt = 0; ///< When the last byte was sent.
    std::int64_t endedAt = 0;
    std::map<std::string, std::string> headers;
};

/// One call on a connection of its own.
inline Answer call(int port, const std::string& method, const std::string& path, const std::string& host,
    const std::string& key, const std::string& body, int timeoutMs)
{
    Answer answer;
    const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    timeval limit { timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const auto end = [&](const char* failure) {
        answer.failure = failure;
        answer.endedAt = nowMs();
        ::close(fd);
        return answer;
    };
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        return end("no connection");
    if (!sendAll(fd,
            method + ' ' + path + " HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Token " + key
                + "\r\nDeadline-Ms: " + std::to_string(timeoutMs)
                + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
                + "\r\n\r\n" + body))
        return end("not sent");
    answer.sentAt = nowMs();
    std::string buffer, first;
    errno = 0;
    if (!readMessage(fd, buffer, first, answer.headers, answer.body))
        return end(errno == EAGAIN ? "time is over" : "the connection ended without a whole answer");
    answer.status = std::stoi(first.substr(first.find(' ') + 1));
    return end("");
}

// The platform's store --------------------------------------------------------------------------------------

inline std::string toBase64(const std::string& in)
{
    constexpr auto letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t j = 0; j < 3; ++j)
            bits = bits << 8U | (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            out += i + j > in.size() ? '=' : letters[bits >> (18 - 6 * j) & 63U];
    }
    return out;
}

inline std::string fromBase64(const std::string& in)
{
    const std::string letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    std::uint32_t bits = 0;
    int held = 0;
    for (const auto c : in) {
        const auto value = letters.find(c);
        if (value == std::string::npos)
            continue;
        bits = bits << 6U | static_cast<std::uint32_t>(value);
        held += 6;
        if (held >= 8) {
            held -= 8;
            out += static_cast<char>(bits >> held & 255U);
        }
    }
    return out;
}

/// Key-value store of PROTOCOL.md: linearizable, a single revision counter, leases, watches with a history.
class Store {
public:
    static constexpr std::int64_t answerMs = 4;
    static constexpr std::int64_t historyMs = 20'000;

    Store()
        : m_server([this](const Request& request) { return handle(request); })
    {
        std::thread([this] { expireLeases(); }).detach();
    }

    std::string address() const { return m_server.address(); }

    /// If set, decides before a call is handled: an answer, or nothing to handle it as usual.
    std::function<std::optional<Response>(const Request&)> intercept;

    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        ++m_revision;
        apply(key, { toBase64(value), 0, 0, 0 }, false);
    }

    void remove(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_items.contains(key))
            return;
        ++m_revision;
        apply(key, {}, true);
    }

    std::string value(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_items.find(key);
        return found == m_items.end() ? "" : fromBase64(found->second.value);
    }

    std::uint64_t created(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_items.find(key);
        return found == m_items.end() ? 0 : found->second.created;
    }

    /// "The store may discard its history sooner than HistoryS." As `platform_compact` does it: watches hear
    /// nothing for a second while changes are made, then the history is dropped.
    void discardHistory()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_muted = true;
        }
        sleepMs(1000);
        const std::lock_guard lock(m_mutex);
        m_muted = false;
        m_history.clear();
        m_forgotten = m_revision;
        m_changed.notify_all();
    }

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0, created = 0, lease = 0;
    };
    struct Event {
        std::string key;
        Item item;
        bool deleted;
        std::int64_t at;
    };
    struct Lease {
        std::int64_t ttl, ends;
    };

    static json::object describe(const std::string& key, const Item& item)
    {
        return { { "Key", key }, { "Value", item.value }, { "Revision", item.revision },
            { "Created", item.created }, { "Lease", item.lease } };
    }

    static std::uint64_t number(const Request& request, const char* name)
    {
        const auto found = request.query.find(name);
        return found == request.query.end() || found->second.empty() ? 0 : std::stoull(found->second);
    }

    static std::string text(const Request& request, const char* name)
    {
        const auto found = request.query.find(name);
        return found == request.query.end() ? "" : found->second;
    }

    void apply(const std::string& key, Item item, bool deleted)
    {
        item.revision = m_revision;
        const auto found = m_items.find(key);
        item.created = found == m_items.end() ? m_revision : found->second.created;
        m_history.push_back({ key, item, deleted, nowMs() });
        while (!m_history.empty() && m_history.front().at < nowMs() - historyMs) {
            m_forgotten = m_history.front().item.revision;
            m_history.pop_front();
        }
        if (deleted)
            m_items.erase(key);
        else
            m_items[key] = std::move(item);
        m_changed.notify_all();
    }

    void endLease(std::uint64_t id)
    {
        if (m_leases.erase(id) == 0)
            return;
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == id)
                keys.push_back(key);
        }
        if (!keys.empty())
            ++m_revision;
        for (const auto& key : keys)
            apply(key, {}, true);
    }

    void expireLeases()
    {
        while (true) {
            sleepMs(10);
            const std::lock_guard lock(m_mutex);
            std::vector<std::uint64_t> over;
            for (const auto& [id, lease] : m_leases) {
                if (nowMs() >= lease.ends)
                    over.push_back(id);
            }
            for (const auto id : over)
                endLease(id);
        }
    }

    std::optional<Response> handle(const Request& request)
    {
        sleepMs(answerMs);
        if (intercept) {
            if (const auto early = intercept(request))
                return early->status == 0 ? std::nullopt : early;
        }
        std::unique_lock lock(m_mutex);
        const auto last = request.path.substr(request.path.rfind('/') + 1);
        if (request.path == "/v1/kv-watch")
            return watch(request, lock);
        if (request.path == "/v1/kv-key")
            return read(request);
        if (request.path == "/v1/kv-range")
            return range(request);
        if (request.path == "/v1/kv-txn")
            return write(json::parse(request.body).as_object());
        if (request.path == "/v1/kv-lease") {
            const auto ttl = json::parse(request.body).at("TtlMs").to_number<std::int64_t>();
            m_leases[++m_lastLease] = { ttl, nowMs() + ttl };
            return Response { 200,
                json::serialize(json::object { { "Lease", m_lastLease }, { "TtlMs", ttl } }) };
        }
        if (request.path.starts_with("/v1/kv-keep/")) {
            const auto found = m_leases.find(std::stoull(last));
            if (found == m_leases.end())
                return Response { 404 };
            found->second.ends = nowMs() + found->second.ttl;
            return Response { 200, json::serialize(json::object { { "TtlMs", found->second.ttl } }) };
        }
        if (request.path.starts_with("/v1/kv-lease-end/")) {
            const auto id = std::stoull(last);
            if (!m_leases.contains(id))
                return Response { 404 };
            endLease(id);
            return Response {};
        }
        return Response { 404 };
    }

    Response read(const Request& request)
    {
        const auto found = m_items.find(text(request, "Key"));
        if (found == m_items.end())
            return { 404 };
        auto body = describe(found->first, found->second);
        body["At"] = m_revision;
        return { 200, json::serialize(body) };
    }

    Response range(const Request& request)
    {
        const auto prefix = text(request, "Prefix"), after = text(request, "After");
        json::array items;
        auto more = false;
        for (auto i = m_items.lower_bound(std::max(prefix, after));
             i != m_items.end() && i->first.starts_with(prefix); ++i) {
            if (!after.empty() && i->first <= after)
                continue;
            if (items.size() == 500) {
                more = true;
                break;
            }
            items.push_back(describe(i->first, i->second));
        }
        return { 200,
            json::serialize(json::object { { "items", items }, { "HasMore", more }, { "At", m_revision } }) };
    }

    Response watch(const Request& request, std::unique_lock<std::mutex>& lock)
    {
        const auto prefix = text(request, "Prefix");
        const auto after = number(request, "After");
        const auto until = Clock::now() + Ms(number(request, "WaitMs"));
        while (true) {
            while (m_muted)
                m_changed.wait(lock);
            if (after < m_forgotten)
                return { 410 };
            json::array events;
            for (const auto& event : m_history) {
                if (event.item.revision <= after || !event.key.starts_with(prefix))
                    continue;
                events.push_back(event.deleted ? json::object { { "Key", event.key },
                                     { "Revision", event.item.revision }, { "Deleted", true } }
                                               : describe(event.key, event.item));
            }
            const auto at = m_revision;
            if (!events.empty() || Clock::now() >= until)
                return { 200, json::serialize(json::object { { "events", events }, { "At", at } }) };
            m_changed.wait_until(lock, until);
        }
    }

    Response write(const json::object& in)
    {
        json::array current;
        auto holds = true;
        for (const auto& row : in.at("ExpectedRev").as_array()) {
            const std::string key(row.at("Key").as_string());
            const auto found = m_items.find(key);
            if (found != m_items.end())
                current.push_back(describe(key, found->second));
            holds = holds
                && (found == m_items.end() ? 0 : found->second.revision)
                    == row.at("Revision").to_number<std::uint64_t>();
        }
        if (!holds)
            return { 412, json::serialize(json::object { { "items", current } }) };
        const auto leaseOf = [](const json::value& row) {
            const auto* lease = row.as_object().if_contains("Lease");
            return lease ? lease->to_number<std::uint64_t>() : 0;
        };
        for (const auto& row : in.at("Puts").as_array()) {
            if (leaseOf(row) != 0 && !m_leases.contains(leaseOf(row)))
                return { 404 };
        }
        ++m_revision;
        for (const auto& row : in.at("Puts").as_array())
            apply(std::string(row.at("Key").as_string()),
                { std::string(row.at("Value").as_string()), 0, 0, leaseOf(row) }, false);
        for (const auto& key : in.at("Remove").as_array())
            apply(std::string(key.as_string()), {}, true);
        return { 200, json::serialize(json::object { { "Revision", m_revision } }) };
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::deque<Event> m_history;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_revision = 1, m_forgotten = 0, m_lastLease = 0;
    bool m_muted = false;
    Server m_server; ///< Last: serves only once the rest is built.
};

// Workers
// -----------------------------------------------------------------------------------------------------

/// What the check needs to know of all runs on all workers.
struct Runs {
    std::mutex mutex;
    std::map<std::string, int> live; ///< Runs at the moment, by work unit.
    std::map<std::string, int> starts;
    std::map<std::string, int> failedEnds;
    std::set<std::string> doneAndNoted; ///< `LastSeen` has reached an end `done`.
    std::vector<std::string> broken; ///< Rules seen broken, in the words of RULES.md.
};

/// A minion of PROTOCOL.md without AdmissionCheck. The time a unit works comes from the job's `Spec`.
class Worker {
public:
    static constexpr std::int64_t heartbeatMs = 1500, maxHoldMs = 10'000;

    Worker(Store& store, Runs& runs, std::string id, std::string zone, std::string kind, std::string rack)
        : m_store(store)
        , m_runs(runs)
        , m_id(std::move(id))
        , m_zone(std::move(zone))
        , m_rack(std::move(rack))
        , m_kind(std::move(kind))
        , m_server([this](const Request& request) { return handle(request); })
    {
        m_nextBeat = nowMs() + static_cast<std::int64_t>(std::hash<std::string> {}(m_id) % heartbeatMs);
        begin();
        std::thread([this] { live(); }).detach();
    }

    /// A rule that the case adds for each start: the kind of the worker, the work unit and the job's spec.
    std::function<void(const std::string& kind, const std::string& task, const json::object& spec)> onStart;

    const std::string& id() const { return m_id; }

    bool runs(const std::string& task)
    {
        const std::lock_guard lock(m_mutex);
        return m_live.contains(task);
    }

    bool isUp()
    {
        const std::lock_guard lock(m_mutex);
        return m_up;
    }

    /// The process ends without notice and sends nothing more. Its store entry stays until it has been silent
    /// for three heartbeats.
    void crash()
    {
        std::unique_lock lock(m_mutex);
        record.line("crash of " + m_id + " with " + std::to_string(m_live.size()) + " runs");
        m_up = false;
        m_downSince = nowMs();
        for (const auto& [task, run] : m_live) {
            const std::lock_guard all(m_runs.mutex);
            --m_runs.live[task];
        }
        m_live.clear();
        m_changed.notify_all();
        lock.unlock();
        m_server.refuse(true);
        m_server.dropConnections();
    }

    /// Starts again under the same id; it knows nothing of before.
    void restart(const std::string& kind)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_kind = kind;
            m_nextBeat = nowMs(); // It registers at once.
        }
        begin();
        m_server.refuse(false);
        record.line("restart of " + m_id + " as kind " + kind);
    }

private:
    struct Run {
        std::uint64_t number;
        std::int64_t startedAt, workMs;
        std::string how;
    };
    struct End {
        std::uint64_t number;
        std::string task;
        std::uint64_t run;
        std::string how;
    };

    void begin()
    {
        const std::lock_guard lock(m_mutex);
        m_born = std::max(m_born + 1, unixMs());
        m_bornAt = nowMs();
        m_ends.clear();
        m_highest.clear();
        m_lastNumber = m_fence = m_seq = 0;
        m_deadline = 0;
        m_up = true;
    }

    std::int64_t clock() const { return 1 + nowMs() - m_bornAt; }

    void live()
    {
        while (true) {
            sleepMs(5);
            std::unique_lock lock(m_mutex);
            if (!m_up) {
                if (m_listed && nowMs() - m_downSince >= 3 * heartbeatMs) {
                    m_listed = false;
                    lock.unlock();
                    m_store.remove("servers/" + m_id);
                }
                continue;
            }
            if (clock() >= m_deadline) {
                while (!m_live.empty())
                    end(m_live.begin()->first, "lapsed");
            }
            std::vector<std::pair<std::string, std::string>> over;
            for (const auto& [task, run] : m_live) {
                if (nowMs() - run.startedAt >= run.workMs)
                    over.emplace_back(task, run.how);
            }
            for (const auto& [task, how] : over)
                end(task, how);
            if (nowMs() < m_nextBeat)
                continue;
            m_nextBeat = nowMs() + heartbeatMs;
            m_listed = true;
            const auto entry = json::serialize(json::object { { "Service", "svc" },
                { "Address", m_server.address() }, { "Zone", m_zone }, { "Version", "v1" }, { "Slots", 8 },
                { "State", "ready" }, { "ColdLeftMs", 0 }, { "Seq", ++m_seq }, { "born", m_born },
                { "Labels", json::array { json::string(m_kind), json::string(m_rack) } },
                { "Capacity", json::object { { "Cpu", 64000 }, { "MemMb", 262144 }, { "Gpu", 8 } } } });
            lock.unlock();
            m_store.put("servers/" + m_id, entry);
        }
    }

    void end(const std::string& task, const std::string& how)
    {
        const auto found = m_live.find(task);
        const auto number = found->second.number;
        m_highest[task] = std::max(m_highest[task], number);
        m_ends.push_back({ ++m_lastNumber, task, number, how });
        m_live.erase(found);
        record.line("end " + task + " run " + std::to_string(number) + " on " + m_id + ": " + how);
        {
            const std::lock_guard all(m_runs.mutex);
            --m_runs.live[task];
            m_runs.failedEnds[task] += how == "failed";
        }
        m_changed.notify_all();
    }

    std::optional<Response> handle(const Request& request)
    {
        std::unique_lock lock(m_mutex);
        if (!m_up)
            return std::nullopt;
        const auto life = m_born;
        const auto expected = request.headers.find("expected-instance");
        if (expected != request.headers.end() && expected->second != m_id)
            return Response { 421 };
        const auto order = json::parse(request.body).as_object();
        const auto fence = number(order, "FencingToken");
        if (fence < m_fence)
            return refuse("fence");
        m_fence = fence;
        if (request.path == "/v1/run-start")
            return start(order);
        if (request.path == "/v1/run-stop")
            return stop(order);
        if (request.path != "/v1/hold")
            return Response { 404 };
        extend(order);
        noteEnds(number(order, "LastSeen"));
        const auto until = Clock::now() + Ms(number(order, "WaitMs"));
        while (m_ends.empty() && Clock::now() < until && m_up && life == m_born)
            m_changed.wait_until(lock, until);
        if (!m_up || life != m_born)
            return std::nullopt;
        return lists();
    }

    static std::uint64_t number(const json::object& in, const char* name)
    {
        const auto* found = in.if_contains(name);
        return found ? found->to_number<std::uint64_t>() : 0;
    }

    Response refuse(const char* reason) const
    {
        return { 409,
            json::serialize(
                json::object { { "ClockMs", clock() }, { "Reason", reason }, { "born", m_born } }) };
    }

    void extend(const json::object& order)
    {
        const auto deadline = static_cast<std::int64_t>(number(order, "DeadlineMs"));
        m_deadline = std::max(m_deadline, std::min(deadline, clock() + maxHoldMs));
    }

    void noteEnds(std::uint64_t upTo)
    {
        std::erase_if(m_ends, [&](const End& end) {
            if (end.number > upTo)
                return false;
            if (end.how == "done") {
                const std::lock_guard all(m_runs.mutex);
                m_runs.doneAndNoted.insert(end.task);
            }
            return true;
        });
    }

    Response start(const json::object& order)
    {
        const std::string task(order.at("Task").as_string());
        const auto run = number(order, "RunId");
        if (static_cast<std::int64_t>(number(order, "DeadlineMs")) <= clock())
            return refuse("late");
        extend(order);
        const auto found = m_live.find(task);
        if (found == m_live.end() || found->second.number != run) {
            if (found != m_live.end() || m_highest[task] >= run)
                return refuse("old");
            const auto spec = json::parse(std::string(order.at("Spec").as_string())).as_object();
            record.line("start " + task + " run " + std::to_string(run) + " on " + m_id + " kind " + m_kind
                + " fence " + std::to_string(number(order, "FencingToken")));
            {
                const std::lock_guard all(m_runs.mutex);
                ++m_runs.starts[task];
                if (m_runs.live[task]++ > 0)
                    m_runs.broken.push_back("TWICE: two runs of " + task + " at the same time");
                if (m_runs.doneAndNoted.contains(task))
                    m_runs.broken.push_back(
                        "TWICE: " + task + " started after a run had ended done and was taken note of");
            }
            if (onStart)
                onStart(m_kind, task, spec);
            const auto* how = spec.if_contains("how");
            m_live[task] = { run, nowMs(), static_cast<std::int64_t>(number(spec, "workMs")),
                how ? std::string(how->as_string()) : "done" };
        }
        return { 200, json::serialize(json::object { { "ClockMs", clock() }, { "born", m_born } }) };
    }

    Response stop(const json::object& order)
    {
        const std::string task(order.at("Task").as_string());
        const auto run = number(order, "RunId");
        const auto found = m_live.find(task);
        if (found != m_live.end() && found->second.number <= run)
            end(task, "stopped");
        m_highest[task] = std::max(m_highest[task], run);
        return { 200, json::serialize(json::object { { "ClockMs", clock() }, { "born", m_born } }) };
    }

    Response lists()
    {
        json::array running, ended;
        for (const auto& [task, run] : m_live) {
            const auto percent = std::min<std::int64_t>(99, 100 * (nowMs() - run.startedAt) / run.workMs);
            running.push_back(json::array { json::string(task), run.number, "", percent, 0 });
        }
        for (const auto& end : m_ends)
            ended.push_back(
                json::array { end.number, json::string(end.task), end.run, json::string(end.how), "" });
        return { 200,
            json::serialize(json::object { { "ClockMs", clock() }, { "born", m_born }, { "Running", running },
                { "Finished", ended } }) };
    }

    Store& m_store;
    Runs& m_runs;
    const std::string m_id, m_zone, m_rack;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_kind;
    bool m_up = false, m_listed = false;
    std::int64_t m_born = 0, m_bornAt = 0, m_deadline = 0, m_nextBeat = 0, m_downSince = 0;
    std::uint64_t m_fence = 0, m_lastNumber = 0, m_seq = 0;
    std::map<std::string, Run> m_live;
    std::map<std::string, std::uint64_t> m_highest;
    std::vector<End> m_ends;
    Server m_server; ///< Last: serves only once the rest is built.
};

// Entry hosts
// -------------------------------------------------------------------------------------------------

inline int freePort(int count)
{
    static int next = 10'000 + static_cast<int>(::getpid() % 1000) * 20; // Below the ephemeral ports.
    for (int tries = 0; tries < 2000; ++tries) {
        const auto first = next;
        next = next + count > 32'000 ? 10'000 : next + count;
        auto allFree = true;
        for (int i = 0; i < count && allFree; ++i) {
            const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const auto address = loopback(first + i);
            allFree = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
            ::close(fd);
        }
        if (allFree)
            return first;
    }
    std::cerr << "no free ports\n";
    std::_Exit(2);
}

struct Bounds {
    double statusS = 120;
    double graceS = 6;
};

/// One entry host: the program and arguments of deploy/system.toml, with settings as in DEPLOY.md.
class Host {
public:
    Host(const std::string& folder, const std::string& name, const std::string& zone, const Store& store,
        const Bounds& bounds)
        : m_folder(folder)
        , m_name(name)
        , m_port(freePort(6))
    {
        std::ofstream out(settingsPath());
        out << "NodeName = \"" << name
            << "\"\nRole = \"entry\"\nMachineClass = \"edge\"\nServes = [\"edge\"]\n"
            << "Ip = \"127.0.0.1\"\nZone = \"" << zone << "\"\nRegion = \"r\"\nPortRange = [" << m_port + 2
            << "," << m_port + 5 << "]\nBootstrap = true\nHeartbeatMs = 1500\nOrders = \"call\"\n[Zones]\n"
            << zone << " = \"r\"\n[Listen]\nFront = \"127.0.0.1:" << m_port
            << "\"\nReady = \"127.0.0.1:" << m_port + 1
            << "\"\n[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\n[Bounds]\n"
            << "ContactMs = 4000\nAckMs = 5000\nDrainMs = 2500\nGraceS = " << bounds.graceS
            << "\nLossSlackMs = 200\nConfigApplyMs = 2500\nStrictRevoke = true\nRevokeMs = 5000\nRecoveryS = "
               "12\n"
            << "MaxHoldMs = 10000\nStopTimeoutMs = 200\nGangWaitMs = 3000\ncancel_ms = 3000\nvisible_ms = "
               "3000\n"
            << "early_ms = 250\nfinish_s = 14\nstatus_s = " << bounds.statusS
            << "\nRemoteFactor = 3\nCheckpointS = 2\nRestoreMs = 250\nRequireFencing = false\nReclaimMs = "
               "2700\n"
            << "[platform]\nAddress = \"" << store.address()
            << "\"\nform = \"kv\"\nWritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\nValueBytes = 1048576\n"
            << "MinTtlMs = 1000\n";
        out.close();
        start();
    }

    ~Host()
    {
        if (m_pid > 0)
            kill(SIGKILL);
    }

    void start()
    {
        const std::string program
            = std::getenv("JUJUBEREACHD") ? std::getenv("JUJUBEREACHD") : "target/bin/jujubereachd";
        const auto config = "JUJUBEREACH_CONFIG=" + settingsPath();
        const std::string path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
        std::vector<char*> arguments { const_cast<char*>(program.c_str()), const_cast<char*>("entry"),
            nullptr };
        std::vector<char*> environment { const_cast<char*>(config.c_str()), const_cast<char*>(path.c_str()),
            nullptr };
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        const auto log = m_folder + '/' + m_name + ".log";
        posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        if (::posix_spawn(&m_pid, program.c_str(), &actions, nullptr, arguments.data(), environment.data())
            != 0) {
            std::cerr << "cannot start " << program << '\n';
            std::_Exit(2);
        }
        posix_spawn_file_actions_destroy(&actions);
        record.line("process of " + m_name + " started");
    }

    void signal(int number)
    {
        record.line("signal " + std::to_string(number) + " to " + m_name);
        ::kill(m_pid, number);
    }

    /// Sends the signal and waits for the end of the process.
    void kill(int number)
    {
        signal(number);
        wait();
    }

    void wait()
    {
        ::waitpid(m_pid, &m_status, 0);
        m_pid = 0;
        record.line("process of " + m_name + " ended, status " + std::to_string(m_status));
    }

    /// Whether the process has ended by itself.
    bool ended()
    {
        if (m_pid > 0 && ::waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
            m_pid = 0;
            record.line("process of " + m_name + " ended by itself, status " + std::to_string(m_status));
        }
        return m_pid == 0;
    }

    bool isReady() const { return call(m_port + 1, "GET", "/v1/readiness", "x", "", "", 1000).status == 200; }

    int status() const { return m_status; }

    /// Resident memory of the process; 0 if it does not run.
    std::int64_t memoryKb() const
    {
        std::ifstream in("/proc/" + std::to_string(m_pid) + "/status");
        for (std::string word; in >> word;) {
            std::int64_t size = 0;
            if (word == "VmRSS:" && in >> size)
                return size;
        }
        return 0;
    }
    int port() const { return m_port; }
    const std::string& name() const { return m_name; }

private:
    std::string settingsPath() const { return m_folder + '/' + m_name + ".toml"; }

    const std::string m_folder, m_name;
    const int m_port;
    pid_t m_pid = 0;
    int m_status = 0;
};

// The rest of a case
// ------------------------------------------------------------------------------------------

inline bool hasTrouble()
{
    const auto* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

constexpr auto hostName = "svc.example";
constexpr auto apiKey = "key-of-t1";
constexpr auto prefix = "/jobs/";

/// A config with one route, one service and one tenant.
inline std::string configText(int version, int maxAttempts = 4)
{
    return json::serialize(json::object { { "Version", version },
        { "Routes",
            json::array { json::object { { "Name", "q" }, { "Host", hostName }, { "Prefix", prefix },
                { "Service", "svc" }, { "Priority", 1 }, { "MaxAttempts", maxAttempts }, { "Stretch", 3 },
                { "SloMs", 1200 }, { "TimeoutMs", 3000 } } } },
        { "Services", json::array { json::object { { "Name", "svc" }, { "AdmissionCheck", false } } } },
        { "Tenants",
            json::array { json::object { { "Name", "t1" }, { "ApiKeys", json::array { apiKey } },
                { "Guaranteed", json::object { { "Gpu", 8 } } } } } },
        { "Limits", json::object {} } });
}

inline Answer submit(int port, const std::string& id, const json::object& job)
{
    const auto answer = call(port, "POST", prefix + id, hostName, apiKey, json::serialize(job), 3000);
    record.line("POST " + id + " -> " + std::to_string(answer.status) + ' ' + answer.failure);
    return answer;
}

/// The state that a GET shows; the status or failure if it shows none.
inline std::string stateOf(int port, const std::string& id)
{
    const auto answer = call(port, "GET", prefix + id, hostName, apiKey, "", 3000);
    auto state = answer.status == 200 ? std::string(json::parse(answer.body).at("State").as_string())
                                      : std::to_string(answer.status) + ' ' + answer.failure;
    record.line("GET " + id + " -> " + state);
    return state;
}

inline std::string awaitState(int port, const std::string& id, const std::string& wanted, std::int64_t forMs)
{
    const auto until = nowMs() + forMs;
    auto state = stateOf(port, id);
    while (state != wanted && nowMs() < until) {
        sleepMs(300);
        state = stateOf(port, id);
    }
    return state;
}

inline bool awaitReady(const std::vector<std::unique_ptr<Host>>& hosts, std::int64_t forMs)
{
    const auto until = nowMs() + forMs;
    for (const auto& host : hosts) {
        while (!host->isReady()) {
            if (nowMs() > until)
                return false;
            sleepMs(100);
        }
    }
    return true;
}

/// Ends all hosts and the process: 1 if a rule was broken, 0 if not, 2 if the case could not run.
[[noreturn]] inline void finish(
    std::vector<std::unique_ptr<Host>>& hosts, int status, const std::string& text)
{
    hosts.clear();
    record.line("VERDICT " + std::to_string(status) + ' ' + text);
    std::cout << text << std::endl;
    std::_Exit(status);
}

} // namespace review
