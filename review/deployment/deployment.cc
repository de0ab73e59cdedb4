#include "deployment.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

    const auto startedAt = std::chrono::steady_clock::now();
    constexpr std::size_t pageItems = 500;
    constexpr std::size_t pageBytes = 1'000'000;
    constexpr std::int64_t historyMs = 20'000;
    constexpr std::int64_t answerMs = 4; // Of the store.
    constexpr auto hostName = "case.example";

    std::string toBase64(const std::string& bytes)
    {
        static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        out.reserve((bytes.size() + 2) / 3 * 4);
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            const auto at
                = [&](std::size_t j) { return j < bytes.size() ? static_cast<unsigned char>(bytes[j]) : 0U; };
            const unsigned group = at(i) << 16U | at(i + 1) << 8U | at(i + 2);
            out += digits[group >> 18U];
            out += digits[group >> 12U & 63U];
            out += i + 1 < bytes.size() ? digits[group >> 6U & 63U] : '=';
            out += i + 2 < bytes.size() ? digits[group & 63U] : '=';
        }
        return out;
    }

    std::string fromBase64(const std::string& text)
    {
        std::string out;
        unsigned group = 0;
        int bits = 0;
        for (const char c : text) {
            int digit = 0;
            if (c >= 'A' && c <= 'Z')
                digit = c - 'A';
            else if (c >= 'a' && c <= 'z')
                digit = c - 'a' + 26;
            else if (c >= '0' && c <= '9')
                digit = c - '0' + 52;
            else if (c == '+')
                digit = 62;
            else if (c == '/')
                digit = 63;
            else
                break;
            group = group << 6U | static_cast<unsigned>(digit);
            bits += 6;
            if (bits >= 8) {
                bits -= 8;
                out += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
            }
        }
        return out;
    }

    std::string unescape(const std::string& text)
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

    std::map<std::string, std::string> queryOf(const std::string& target)
    {
        std::map<std::string, std::string> out;
        const auto mark = target.find('?');
        if (mark == std::string::npos)
            return out;
        std::istringstream parts(target.substr(mark + 1));
        for (std::string part; std::getline(parts, part, '&');) {
            const auto equals = part.find('=');
            out[part.substr(0, equals)]
                = equals == std::string::npos ? "" : unescape(part.substr(equals + 1));
        }
        return out;
    }

    std::string field(const std::map<std::string, std::string>& query, const char* name)
    {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    }

    std::uint64_t numberField(const std::map<std::string, std::string>& query, const char* name)
    {
        const auto text = field(query, name);
        return text.empty() ? 0 : std::stoull(text);
    }

    std::int64_t number(const json::object& in, const char* name)
    {
        const auto* found = in.if_contains(name);
        return found && found->is_number() ? found->to_number<std::int64_t>() : 0;
    }

    std::string text(const json::object& in, const char* name)
    {
        const auto* found = in.if_contains(name);
        return found && found->is_string() ? std::string(found->as_string()) : std::string();
    }

    Reply ok(const json::object& body)
    {
        return { 200, json::serialize(body) };
    }

    // A field of a Spec: "name=value" among words.
    std::string word(const std::string& spec, const std::string& name)
    {
        std::istringstream words(spec);
        for (std::string next; words >> next;) {
            if (next.starts_with(name + '='))
                return next.substr(name.size() + 1);
        }
        return {};
    }

    bool isFree(const std::string& ip, unsigned short port)
    {
        asio::io_context loop;
        tcp::acceptor acceptor(loop);
        boost::system::error_code failed;
        acceptor.open(tcp::v4(), failed);
        acceptor.bind({ asio::ip::make_address(ip), port }, failed);
        return !failed;
    }

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - startedAt).count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(Milliseconds(ms));
}

bool withTrouble()
{
    const auto* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

Record::Record(const std::string& path)
    : m_file(std::fopen(path.c_str(), "w"), std::fclose)
{
    if (!m_file)
        throw std::runtime_error("the record cannot be written");
}

void Record::line(const std::string& text)
{
    const std::lock_guard guard(m_mutex);
    std::fprintf(m_file.get(), "%9.3f %s\n", static_cast<double>(nowMs()) / 1000, text.c_str());
    std::fflush(m_file.get());
}

// Server

class Connection;

struct Server::State {
    asio::io_context& loop;
    Handler handler;
    std::unique_ptr<tcp::acceptor> acceptor;
    std::set<std::shared_ptr<Connection>> connections;
};

class Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(std::shared_ptr<Server::State> state, tcp::socket socket)
        : m_state(std::move(state))
        , m_socket(std::move(socket))
    {
        boost::system::error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(64U << 20U);
        http::async_read(m_socket, m_buffer, *m_parser,
            [self = shared_from_this()](const beast::error_code& failed, std::size_t) {
                if (failed)
                    return self->close();
                self->serve();
            });
    }

    void close()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_state->connections.erase(shared_from_this());
    }

private:
    void serve()
    {
        const auto message = m_parser->release();
        const Request request { std::string(message.method_string()), std::string(message.target()),
            message.body(), std::string(message["Expected-Instance"]) };
        m_state->handler(request, [self = shared_from_this()](const Reply& reply) { self->write(reply); });
    }

    void write(const Reply& reply)
    {
        if (!m_socket.is_open())
            return;
        m_response = {};
        m_response.result(static_cast<unsigned>(reply.status));
        m_response.version(11);
        m_response.set(http::field::content_type, "application/json");
        m_response.body() = reply.body;
        m_response.prepare_payload();
        http::async_write(
            m_socket, m_response, [self = shared_from_this()](const beast::error_code& failed, std::size_t) {
                if (failed)
                    return self->close();
                self->read();
            });
    }

    std::shared_ptr<Server::State> m_state;
    tcp::socket m_socket;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
};

namespace {

    void acceptNext(const std::shared_ptr<Server::State>& state)
    {
        state->acceptor->async_accept([state](const boost::system::error_code& failed, tcp::socket socket) {
            if (failed)
                return;
            auto connection = std::make_shared<Connection>(state, std::move(socket));
            state->connections.insert(connection);
            connection->read();
            acceptNext(state);
        });
    }

} // namespace

Server::Server(asio::io_context& loop, std::string ip, unsigned short port, Handler handler)
    : m_state(std::make_shared<State>(State { loop, std::move(handler), nullptr, {} }))
    , m_ip(std::move(ip))
    , m_port(port)
{
}

Server::~Server()
{
    close();
    m_state->handler = [](const Request&, const Respond&) {};
}

void Server::open()
{
    m_state->acceptor = std::make_unique<tcp::acceptor>(m_state->loop);
    m_state->acceptor->open(tcp::v4());
    m_state->acceptor->set_option(tcp::acceptor::reuse_address(true));
    m_state->acceptor->bind({ asio::ip::make_address(m_ip), m_port });
    m_state->acceptor->listen(1024);
    acceptNext(m_state);
}

void Server::close()
{
    boost::system::error_code ignored;
    if (m_state->acceptor)
        m_state->acceptor->close(ignored);
    const auto open = m_state->connections;
    for (const auto& connection : open)
        connection->close();
}

// Store

Store::Store(asio::io_context& loop, std::string ip, unsigned short port)
    : m_loop(loop)
    , m_server(loop, std::move(ip), port,
          [this](const Request& request, Respond respond) { handle(request, std::move(respond)); })
    , m_timer(loop)
{
    m_server.open();
    tick();
}

json::object Store::describe(const std::string& key, const Item& item)
{
    return { { "Key", key }, { "Value", item.encoded }, { "Revision", item.revision },
        { "Created", item.created }, { "Lease", item.lease } };
}

bool Store::allowed(double price, double perS, double& budget, std::int64_t& at) const
{
    const auto now = nowMs();
    budget = std::min(perS, budget + static_cast<double>(now - at) * perS / 1000);
    at = now;
    if (budget < price)
        return false;
    budget -= price;
    return true;
}

void Store::handle(const Request& request, Respond answer)
{
    // Each answer takes a while.
    auto respond = [this, answer = std::move(answer)](Reply reply) {
        auto timer = std::make_shared<asio::steady_timer>(m_loop, Milliseconds(answerMs));
        timer->async_wait(
            [timer, answer, reply = std::move(reply)](const boost::system::error_code&) { answer(reply); });
    };
    const auto path = request.target.substr(0, request.target.find('?'));
    const auto query = queryOf(request.target);
    if (path == "/v1/kv-txn") {
        if (!allowed(1, writesPerS, m_writes, m_writesAt))
            return respond({ 429, {} });
        return respond(write(request.body));
    }
    const auto price = path.starts_with("/v1/kv-keep/") || field(query, "AllowStale") == "1" ? 0.1 : 1;
    if (!allowed(price, readsPerS, m_reads, m_readsAt))
        return respond({ 429, {} });
    if (path == "/v1/kv-key")
        return respond(read(query));
    if (path == "/v1/kv-range")
        return respond(range(query));
    if (path == "/v1/kv-watch")
        return watch(query, std::move(respond));
    if (path == "/v1/kv-lease") {
        const auto ttl
            = std::clamp<std::int64_t>(number(json::parse(request.body).as_object(), "TtlMs"), 1000, 600'000);
        const auto id = ++m_lastLease;
        m_leases[id] = { ttl, nowMs() + ttl };
        return respond(ok({ { "Lease", id }, { "TtlMs", ttl } }));
    }
    const auto last = path.substr(path.rfind('/') + 1);
    if (path.starts_with("/v1/kv-keep/")) {
        const auto found = m_leases.find(std::stoull(last));
        if (found == m_leases.end())
            return respond({ 404, {} });
        found->second.endsAt = nowMs() + found->second.ttl;
        return respond(ok({ { "TtlMs", found->second.ttl } }));
    }
    if (path.starts_with("/v1/kv-lease-end/")) {
        const auto id = std::stoull(last);
        if (!m_leases.contains(id))
            return respond({ 404, {} });
        endLease(id);
        return respond(ok({}));
    }
    respond({ 404, {} });
}

Reply Store::read(const Query& query) const
{
    const auto found = m_items.find(field(query, "Key"));
    if (found == m_items.end())
        return { 404, {} };
    auto body = describe(found->first, found->second);
    body["At"] = m_revision;
    return ok(body);
}

Reply Store::range(const Query& query) const
{
    const auto prefix = field(query, "Prefix");
    const auto after = field(query, "After");
    json::array items;
    std::size_t bytes = 0;
    auto more = false;
    for (auto i = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after);
         i != m_items.end() && i->first.starts_with(prefix); ++i) {
        if (items.size() == pageItems || (bytes > 0 && bytes + i->second.encoded.size() > pageBytes)) {
            more = true;
            break;
        }
        bytes += i->second.encoded.size();
        items.push_back(describe(i->first, i->second));
    }
    return ok({ { "items", items }, { "HasMore", more }, { "At", m_revision } });
}

bool Store::answerWatch(const Waiting& waiting) const
{
    if (waiting.after < m_forgotten) {
        waiting.respond({ 410, {} });
        return true;
    }
    const auto first = std::lower_bound(m_history.begin(), m_history.end(), waiting.after + 1,
        [](const Event& event, std::uint64_t revision) { return event.item.revision < revision; });
    json::array events;
    for (auto i = first; i != m_history.end(); ++i) {
        if (!i->key.starts_with(waiting.prefix))
            continue;
        events.push_back(i->deleted
                ? json::object { { "Key", i->key }, { "Revision", i->item.revision }, { "Deleted", true } }
                : describe(i->key, i->item));
    }
    if (events.empty())
        return false;
    waiting.respond(ok({ { "events", std::move(events) }, { "At", m_revision } }));
    return true;
}

void Store::watch(const Query& query, Respond respond)
{
    Waiting waiting { field(query, "Prefix"), numberField(query, "After"),
        nowMs() + static_cast<std::int64_t>(numberField(query, "WaitMs")), std::move(respond) };
    if (!answerWatch(waiting))
        m_waiting.push_back(std::move(waiting));
}

void Store::answerWatches()
{
    std::erase_if(m_waiting, [this](const Waiting& waiting) { return answerWatch(waiting); });
}

void Store::apply(const std::string& key, Item item, bool deleted)
{
    item.revision = m_revision;
    const auto found = m_items.find(key);
    item.created = found == m_items.end() ? m_revision : found->second.created;
    m_history.push_back({ key, item, deleted, nowMs() });
    if (deleted)
        m_items.erase(key);
    else
        m_items[key] = std::move(item);
}

Reply Store::write(const std::string& body)
{
    const auto in = json::parse(body).as_object();
    const auto& expected = in.at("ExpectedRev").as_array();
    const auto& puts = in.at("Puts").as_array();
    const auto& removes = in.at("Remove").as_array();
    if (expected.size() + puts.size() + removes.size() > 32)
        return { 400, {} };
    std::vector<std::pair<std::string, Item>> items;
    for (const auto& row : puts) {
        Item item { text(row.as_object(), "Value"), 0, 0,
            static_cast<std::uint64_t>(number(row.as_object(), "Lease")) };
        const auto key = text(row.as_object(), "Key");
        if (key.starts_with("op/") || key.starts_with("servers/"))
            return { 403, {} };
        if (item.encoded.size() / 4 * 3 > valueBytes + 2) {
            ++m_tooLarge;
            return { 400, {} };
        }
        if (item.lease != 0 && !m_leases.contains(item.lease))
            return { 404, {} };
        items.emplace_back(key, std::move(item));
    }
    json::array current;
    auto holds = true;
    for (const auto& row : expected) {
        const auto key = text(row.as_object(), "Key");
        const auto found = m_items.find(key);
        if (found != m_items.end())
            current.push_back(describe(key, found->second));
        const auto revision = found == m_items.end() ? 0 : found->second.revision;
        holds = holds && revision == static_cast<std::uint64_t>(number(row.as_object(), "Revision"));
    }
    if (!holds)
        return { 412, json::serialize(json::object { { "items", current } }) };
    ++m_revision;
    for (auto& [key, item] : items)
        apply(key, std::move(item), false);
    for (const auto& key : removes) {
        if (m_items.contains(std::string(key.as_string())))
            apply(std::string(key.as_string()), {}, true);
    }
    answerWatches();
    return ok({ { "Revision", m_revision } });
}

void Store::endLease(std::uint64_t id)
{
    m_leases.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
        if (item.lease == id)
            keys.push_back(key);
    }
    if (keys.empty())
        return;
    ++m_revision;
    for (const auto& key : keys)
        apply(key, {}, true);
    answerWatches();
}

void Store::put(const std::string& key, const std::string& value)
{
    ++m_revision;
    apply(key, { toBase64(value), 0, 0, 0 }, false);
    answerWatches();
}

void Store::remove(const std::string& key)
{
    if (!m_items.contains(key))
        return;
    ++m_revision;
    apply(key, {}, true);
    answerWatches();
}

std::string Store::value(const std::string& key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::string() : fromBase64(found->second.encoded);
}

std::size_t Store::count(const std::string& prefix) const
{
    std::size_t out = 0;
    for (auto i = m_items.lower_bound(prefix); i != m_items.end() && i->first.starts_with(prefix); ++i)
        ++out;
    return out;
}

void Store::tick()
{
    const auto now = nowMs();
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : m_leases) {
        if (lease.endsAt <= now)
            ended.push_back(id);
    }
    for (const auto id : ended)
        endLease(id);
    std::erase_if(m_waiting, [&](const Waiting& waiting) {
        if (waiting.until > now)
            return false;
        waiting.respond(ok({ { "events", json::array {} }, { "At", m_revision } }));
        return true;
    });
    while (!m_history.empty() && m_history.front().at < now - historyMs) {
        m_forgotten = m_history.front().item.revision;
        m_history.pop_front();
    }
    m_timer.expires_after(Milliseconds(10));
    m_timer.async_wait([this](const boost::system::error_code& failed) {
        if (!failed)
            tick();
    });
}

// Minions

std::size_t History::count(const std::string& task, const std::string& what) const
{
    return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(),
        [&](const Entry& entry) { return entry.task == task && entry.what == what; }));
}

std::int64_t History::last(const std::string& task, const std::string& what) const
{
    for (auto i = entries.rbegin(); i != entries.rend(); ++i) {
        if (i->task == task && i->what == what)
            return i->at;
    }
    return -1;
}

Minion::Minion(asio::io_context& loop, Store& store, Record& record, History& history, Place place)
    : m_loop(loop)
    , m_store(store)
    , m_record(record)
    , m_history(history)
    , m_place(std::move(place))
    , m_server(loop, m_place.ip, m_place.port,
          [this](const Request& request, Respond respond) { handle(request, std::move(respond)); })
    , m_timer(loop)
{
    begin();
    tick();
}

Minion::~Minion()
{
    for (auto& [task, run] : m_runs) {
        if (run.timer)
            run.timer->cancel();
    }
}

void Minion::begin()
{
    m_bornAt = nowMs();
    m_born = std::max(m_born + 1, unixMs());
    m_up = true;
    m_server.open();
    beat();
}

void Minion::endLife(const char* what)
{
    for (auto& [task, run] : m_runs) {
        if (run.timer)
            run.timer->cancel();
        m_history.entries.push_back({ nowMs(), id(), task, run.run, what });
        m_record.line(id() + ' ' + what + " under " + task + " run " + std::to_string(run.run));
    }
    m_runs.clear();
    m_highestEnded.clear();
    m_ended.clear();
    m_waiting.clear();
    m_lastNumber = m_fence = m_seq = 0;
    m_deadline = 0;
    m_up = false;
    m_server.close();
}

void Minion::crash(std::int64_t downMs)
{
    m_record.line(id() + " crashes and is down for " + std::to_string(downMs) + " ms");
    endLife("crashed");
    m_returnsAt = nowMs() + downMs;
}

void Minion::drain(std::int64_t remainingMs)
{
    m_draining = true;
    m_leavesAt = nowMs() + remainingMs;
    m_record.line(id() + " reports draining, leaves in " + std::to_string(remainingMs) + " ms");
    beat();
}

void Minion::setCut(bool cut)
{
    m_record.line(id() + (cut ? " is cut off" : " is reached again"));
    m_cut = cut;
    if (!cut && m_up)
        beat();
}

Size Minion::used() const
{
    Size sum;
    for (const auto& [task, run] : m_runs) {
        sum.cpu += run.size.cpu;
        sum.memMb += run.size.memMb;
        sum.gpu += run.size.gpu;
    }
    return sum;
}

void Minion::beat()
{
    if (m_cut)
        return;
    m_beatAt = nowMs();
    json::object entry { { "Service", m_place.service },
        { "Address", m_place.ip + ':' + std::to_string(m_place.port) }, { "Zone", m_place.zone },
        { "Version", "v1" }, { "Slots", 8 }, { "State", m_draining ? "draining" : "ready" },
        { "ColdLeftMs", 0 },
        { "Capacity",
            { { "Cpu", m_place.capacity.cpu }, { "MemMb", m_place.capacity.memMb },
                { "Gpu", m_place.capacity.gpu } } },
        { "Labels", { "a", m_place.rack } }, { "ClockMs", clock() }, { "born", m_born }, { "Seq", ++m_seq } };
    if (m_draining)
        entry["RemainingMs"] = std::max<std::int64_t>(0, m_leavesAt - nowMs());
    m_store.put("servers/" + id(), json::serialize(entry));
}

void Minion::tick()
{
    const auto now = nowMs();
    if (!m_up && !m_gone && m_returnsAt != 0 && now >= m_returnsAt) {
        m_returnsAt = 0;
        m_record.line(id() + " is back");
        begin();
    }
    if (m_up && m_draining && now >= m_leavesAt) {
        m_record.line(id() + " leaves");
        endLife("left");
        m_gone = true;
        m_store.remove("servers/" + id());
    }
    if (m_up && now - m_beatAt >= heartbeatMs)
        beat();
    if ((!m_up || m_cut) && !m_gone && now - m_beatAt >= 3 * heartbeatMs)
        m_store.remove("servers/" + id());
    if (m_up && !m_runs.empty() && clock() >= m_deadline) {
        while (!m_runs.empty())
            end(std::string(m_runs.begin()->first), "lapsed");
    }
    std::erase_if(m_waiting, [&](const Waiting& waiting) {
        if (waiting.until > now)
            return false;
        waiting.respond(lists());
        return true;
    });
    m_timer.expires_after(Milliseconds(10));
    m_timer.async_wait([this](const boost::system::error_code& failed) {
        if (!failed)
            tick();
    });
}

// Such an order is carried out in whatever life the minion then has: a minion that is back under its id takes
// calls that were meant for its former life.
bool Minion::isLate(const json::object& order)
{
    if (m_history.lateTask.empty() || text(order, "Task") != m_history.lateTask
        || !m_history.lateMinion.empty())
        return false;
    m_history.lateMinion = id();
    m_record.line(id() + " leaves a start of " + text(order, "Task") + " unanswered");
    auto timer = std::make_shared<asio::steady_timer>(m_loop, Milliseconds(m_history.lateMs));
    timer->async_wait([this, timer, order](const boost::system::error_code& failed) {
        if (failed || !m_up)
            return;
        const auto fence = static_cast<std::uint64_t>(number(order, "FencingToken"));
        m_record.line(id() + " carries out the start of " + text(order, "Task") + " that it left unanswered");
        const auto reply = fence < m_fence ? refuse("fence") : start(order);
        m_record.line(id() + " would have answered " + std::to_string(reply.status) + ' ' + reply.body);
    });
    return true;
}

void Minion::handle(const Request& request, Respond respond)
{
    if (!m_up || m_cut)
        return;
    if (!request.instance.empty() && request.instance != id())
        return respond({ 421, {} });
    const auto order = json::parse(request.body).as_object();
    if (static_cast<std::uint64_t>(number(order, "FencingToken")) < m_fence)
        return respond(refuse("fence"));
    if (request.target == "/v1/run-start" && m_busy) {
        ++m_refusedStarts;
        m_record.line(id() + " answers 503 to a start of " + text(order, "Task"));
        return respond({ 503, {} });
    }
    if (request.target == "/v1/run-start" && isLate(order))
        return;
    m_fence = static_cast<std::uint64_t>(number(order, "FencingToken"));
    if (request.target == "/v1/run-start")
        return respond(start(order));
    if (request.target == "/v1/run-stop")
        return respond(stop(order));
    if (request.target == "/v1/hold")
        return hold(order, std::move(respond));
    if (request.target == "/v1/pace")
        return respond(ok({ { "ClockMs", clock() } }));
    respond({ 404, {} });
}

Reply Minion::refuse(const char* reason) const
{
    return { 409, json::serialize(json::object { { "ClockMs", clock() }, { "Reason", reason } }) };
}

void Minion::extend(const json::object& order)
{
    m_deadline = std::max(m_deadline, std::min(number(order, "DeadlineMs"), clock() + maxHoldMs));
}

Reply Minion::start(const json::object& order)
{
    if (number(order, "DeadlineMs") <= clock())
        return refuse("late");
    if (!m_runs.empty() && clock() >= m_deadline) {
        while (!m_runs.empty())
            end(std::string(m_runs.begin()->first), "lapsed");
    }
    extend(order);
    const auto task = text(order, "Task");
    const auto number_ = static_cast<std::uint64_t>(number(order, "RunId"));
    const auto found = m_runs.find(task);
    if (found != m_runs.end() && found->second.run == number_)
        return ok({ { "ClockMs", clock() } });
    const auto ended = m_highestEnded.find(task);
    if (found != m_runs.end() || (ended != m_highestEnded.end() && ended->second >= number_))
        return refuse("old");
    const auto spec = text(order, "Spec");
    const auto amount = [&](const char* name) {
        const auto value = word(spec, name);
        return value.empty() ? std::int64_t { 0 } : std::stoll(value);
    };
    Run run;
    run.run = number_;
    run.startedAt = nowMs();
    run.work = amount("work");
    run.how = word(spec, "end").empty() ? "done" : word(spec, "end");
    run.size = { amount("cpu"), amount("mem"), amount("gpu") };
    m_history.entries.push_back({ nowMs(), id(), task, number_, "start" });
    if (word(spec, "quiet").empty())
        m_record.line(id() + " starts " + task + " run " + std::to_string(number_));
    if (run.work > 0) {
        run.timer = std::make_shared<asio::steady_timer>(m_loop, Milliseconds(run.work));
        run.timer->async_wait([this, task, timer = run.timer](const boost::system::error_code& failed) {
            const auto ending = m_runs.find(task);
            if (!failed && ending != m_runs.end() && ending->second.timer == timer)
                end(task, ending->second.how);
        });
    }
    m_runs[task] = std::move(run);
    return ok({ { "ClockMs", clock() } });
}

Reply Minion::stop(const json::object& order)
{
    const auto task = text(order, "Task");
    const auto run = static_cast<std::uint64_t>(number(order, "RunId"));
    auto& highest = m_highestEnded[task];
    highest = std::max(highest, run);
    const auto found = m_runs.find(task);
    if (found != m_runs.end() && found->second.run <= run)
        end(task, "stopped");
    return ok({ { "ClockMs", clock() } });
}

void Minion::end(const std::string& task, std::string how)
{
    const auto found = m_runs.find(task);
    if (found == m_runs.end())
        return;
    const auto run = std::move(found->second);
    m_runs.erase(found);
    if (run.timer)
        run.timer->cancel();
    auto& highest = m_highestEnded[task];
    highest = std::max(highest, run.run);
    m_ended.push_back({ ++m_lastNumber, task, run.run, how, m_history.ends.size() });
    m_history.ends.push_back({ task, nowMs() });
    m_history.entries.push_back({ nowMs(), id(), task, run.run, how });
    if (how != "done")
        m_record.line(id() + " ends " + task + " run " + std::to_string(run.run) + ' ' + how);
    for (const auto& waiting : std::exchange(m_waiting, {}))
        waiting.respond(lists());
}

void Minion::hold(const json::object& order, Respond respond)
{
    if (!m_runs.empty() && clock() >= m_deadline) {
        while (!m_runs.empty())
            end(std::string(m_runs.begin()->first), "lapsed");
    }
    if (order.contains("DeadlineMs"))
        extend(order);
    const auto seen = static_cast<std::uint64_t>(number(order, "LastSeen"));
    while (!m_ended.empty() && m_ended.front().number <= seen) {
        m_history.ends[m_ended.front().index].notedAt = nowMs();
        m_ended.pop_front();
    }
    const auto wait = number(order, "WaitMs");
    if (wait == 0 || !m_ended.empty())
        return respond(lists());
    m_waiting.push_back({ nowMs() + wait, std::move(respond) });
}

Reply Minion::lists() const
{
    constexpr std::int64_t startupMs = 300; // Of a work unit that lasts.
    constexpr std::size_t mostEnds = 500;
    json::array running;
    for (const auto& [task, run] : m_runs) {
        const auto ran = nowMs() - run.startedAt;
        const auto percent = run.work > 0 ? std::min<std::int64_t>(99, ran * 100 / run.work)
                                          : std::min<std::int64_t>(100, ran * 100 / startupMs);
        running.push_back({ json::string(task), run.run, "", percent, run.size.cpu });
    }
    json::array ended;
    for (const auto& row : m_ended) {
        if (ended.size() == mostEnds)
            break;
        ended.push_back({ row.number, json::string(row.task), row.run, json::string(row.how), "" });
    }
    return ok({ { "ClockMs", clock() }, { "born", m_born }, { "Running", std::move(running) },
        { "Finished", std::move(ended) } });
}

// Deployment

Deployment::Deployment(Options options)
    : m_options(std::move(options))
    , m_record(std::getenv("RECORD") ? std::getenv("RECORD") : "record.txt")
    , m_work(asio::make_work_guard(m_loop))
{
    std::signal(SIGPIPE, SIG_IGN);
    auto pattern = (std::filesystem::temp_directory_path() / "review-case-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("no temporary folder");
    m_folder = pattern;
    // Below the ports that the kernel gives to outgoing connections.
    std::mt19937 random(std::random_device {}());
    for (int attempt = 0; attempt < 200 && m_port == 0; ++attempt) {
        const auto base = static_cast<unsigned short>(12'000 + 32 * (random() % 600));
        auto free = isFree("127.0.2.1", base);
        for (unsigned short i = 0; i < 32; ++i)
            free = free && isFree("127.0.1.1", static_cast<unsigned short>(base + i));
        m_port = free ? base : 0;
    }
    if (m_port == 0)
        throw std::runtime_error("no free ports");
    m_thread = std::thread([this] { m_loop.run(); });
    const char* zones[] = { "north-a", "coast-a", "south-a" };
    const char* regions[] = { "north", "coast", "south" };
    for (int i = 0; i < m_options.hosts; ++i) {
        HostProcess host;
        host.name = std::string("edge-") + zones[i % 3] + '-' + std::to_string(i / 3 + 1);
        host.ip = "127.0.1." + std::to_string(i + 1);
        host.zone = zones[i % 3];
        host.region = regions[i % 3];
        m_hosts.push_back(std::move(host));
    }
    onLoop([&] {
        m_store = std::make_unique<Store>(m_loop, "127.0.2.1", m_port);
        json::array routes;
        for (const auto& queue : m_options.queues)
            routes.push_back({ { "Name", queue.name }, { "Host", hostName }, { "Prefix", queue.prefix },
                { "Kind", "unsafe" }, { "TimeoutMs", 3000 }, { "SloMs", 3000 },
                { "Priority", queue.priority }, { "Service", "pattern" },
                { "MaxAttempts", queue.maxAttempts }, { "Stretch", 3.0 }, { "Public", false } });
        json::array tenants;
        for (const auto& tenant : m_options.tenants)
            tenants.push_back(
                { { "Name", tenant.name }, { "ApiKeys", json::array { json::string(tenant.key) } },
                    { "Priority", 1 }, { "Guaranteed", { { "Gpu", tenant.guaranteedGpu } } } });
        const json::object config { { "Version", 7 }, { "Routes", routes },
            { "Services",
                { { { "Name", "pattern" }, { "HealthPath", "/health" }, { "MaxConns", 64 },
                    { "Protocol", "h1" }, { "Tls", false }, { "AdmissionCheck", false },
                    { "Standby", false } } } },
            { "Limits",
                { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 262144 }, { "HeaderTimeoutMs", 3000 },
                    { "IdleTimeoutMs", 15000 } } },
            { "Tenants", tenants } };
        m_store->put("op/config", json::serialize(config));
        for (int i = 0; i < m_options.minions; ++i) {
            char name[32];
            std::snprintf(name, sizeof name, "i-%08x", 0x7f3a0000U + static_cast<unsigned>(i) * 0x1d1U);
            const auto rack = "r" + std::to_string(1 + i / m_options.perRack);
            m_minions.push_back(std::make_unique<Minion>(m_loop, *m_store, m_record, m_history,
                Minion::Place { "pattern", name, "127.0.3." + std::to_string(i + 1), zones[i % 3], rack,
                    m_port, m_options.capacity }));
        }
    });
}

Deployment::~Deployment()
{
    for (int i = 0; i < hostCount(); ++i)
        killHost(i, SIGKILL);
    m_work.reset();
    m_loop.stop();
    m_thread.join();
    // After the loop: a timer that has fired already would still call its minion.
    m_minions.clear();
    m_store.reset();
    std::error_code ignored;
    if (!std::getenv("KEEP"))
        std::filesystem::remove_all(m_folder, ignored);
    else
        std::cerr << m_folder << '\n';
}

std::string Deployment::settings(const HostProcess& host) const
{
    const auto at = [&](int offset) { return host.ip + ':' + std::to_string(m_port + offset); };
    std::ostringstream out;
    out << "NodeName = \"" << host.name << "\"\nRole = \"entry\"\nMachineClass = \"edge\"\n"
        << "Serves = [\"edge\"]\nIp = \"" << host.ip << "\"\nZone = \"" << host.zone << "\"\nRegion = \""
        << host.region << "\"\nPortRange = [" << m_port + 10 << ',' << m_port + 25 << "]\n"
        << "Seeds = []\nBootstrap = true\nFaultCounted = false\nDiscovery = \"platform\"\nEntry = \"vip\"\n"
        << "HeartbeatMs = " << Minion::heartbeatMs << "\nOrders = \"call\"\n"
        << "Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"tenants\","
           "\"platform\",\"advice\",\"upkeep\",\"sharing\"]\n"
        << "[Zones]\nnorth-a = \"north\"\ncoast-a = \"coast\"\nsouth-a = \"south\"\n"
        << "[Listen]\nFront = \"" << at(1) << "\"\nReady = \"" << at(3) << "\"\n"
        << "[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = " << m_options.memoryMb
        << "\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0\n"
        << "[FaultTolerance]\nMachines = 2\nZones = 0\nRegions = 0\n"
        << "[Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nContactMs = 4000\nAckMs = 5000\nCatchUpS = 4\n"
           "DrainMs = 2500\nGraceS = 6\nLossSlackMs = 200\nConfigApplyMs = 2500\nRollbackSlackMs = 250\n"
           "MaxStretchMs = 6000\nStrictRevoke = true\nRevokeMs = 5000\nRecoveryS = 12\nMaxHoldMs = 10000\n"
           "StopTimeoutMs = 200\nGangWaitMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n"
           "finish_s = 14\nstatus_s = 120\nRemoteFactor = 3\nCheckpointS = 2\nRestoreMs = 250\n"
           "NoticeMs = 5500\nMigrateS = 1.5\nMaintenanceS = 2\nRequireFencing = false\nLeaseMs = 3000\n"
           "ThawSlackMs = 300\nPaceMs = 100\nInterferenceMs = 4000\nReclaimMs = 2700\n"
        << "[platform]\nAddress = \"127.0.2.1:" << m_port << "\"\nform = \"kv\"\nWritesPerS = 400\n"
        << "ReadsPerS = 2000\nHistoryS = 20\nValueBytes = 1048576\nMinTtlMs = 1000\n";
    return out.str();
}

void Deployment::startHost(int index)
{
    auto& host = m_hosts[static_cast<std::size_t>(index)];
    const auto path = m_folder + '/' + host.name + ".toml";
    std::ofstream(path) << settings(host);
    const auto log = m_folder + '/' + host.name + '-' + std::to_string(++host.starts) + ".log";
    const auto variable = "JUJUBEREACH_CONFIG=" + path;
    const auto pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the case, also when that is interrupted.
        const auto out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        dup2(out, 1);
        dup2(out, 2);
        for (int fd = 3; fd < 1024; ++fd)
            ::close(fd);
        const char* arguments[] = { "target/bin/jujubereachd", "entry", nullptr };
        const char* environment[] = { variable.c_str(), "PATH=/usr/bin:/bin", nullptr };
        execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
        _exit(127);
    }
    host.pid = pid;
    m_record.line("started " + host.name + ", process " + std::to_string(pid));
}

void Deployment::killHost(int index, int signal)
{
    auto& host = m_hosts[static_cast<std::size_t>(index)];
    if (host.pid == 0)
        return;
    ::kill(host.pid, signal);
    waitpid(host.pid, nullptr, 0);
    m_record.line("ended " + host.name + " by signal " + std::to_string(signal));
    host.pid = 0;
}

bool Deployment::isRunning(int index)
{
    auto& host = m_hosts[static_cast<std::size_t>(index)];
    if (host.pid == 0)
        return false;
    int status = 0;
    if (waitpid(host.pid, &status, WNOHANG) != host.pid)
        return true;
    m_record.line(host.name + " has ended by itself, status " + std::to_string(status));
    host.pid = 0;
    return false;
}

int Deployment::ownerHost()
{
    const auto value = onLoop([&] { return m_store->value("owner/0"); });
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        if (!value.empty() && value.starts_with(m_hosts[i].name + ' '))
            return static_cast<int>(i);
    }
    return -1;
}

std::int64_t Deployment::residentMb(int index) const
{
    std::ifstream in("/proc/" + std::to_string(m_hosts[static_cast<std::size_t>(index)].pid) + "/status");
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("VmRSS:"))
            return std::stoll(line.substr(6)) / 1024;
    }
    return 0;
}

bool Deployment::start()
{
    for (int i = 0; i < hostCount(); ++i)
        startHost(i);
    for (const auto until = nowMs() + 15'000; nowMs() < until; sleepMs(100)) {
        auto ready = ownerHost() >= 0;
        for (int i = 0; i < hostCount() && ready; ++i)
            ready = isReady(i);
        if (ready) {
            sleepMs(1500); // The owner reads the state and writes the roster of workers.
            m_record.line("all hosts are ready; the owner is "
                + m_hosts[static_cast<std::size_t>(std::max(0, ownerHost()))].name);
            return true;
        }
    }
    return false;
}

namespace {

    Reply exchange(const std::string& ip, unsigned short port, const std::string& method,
        const std::string& path, const std::string& body, const std::string& key)
    {
        constexpr int timeoutMs = 3000; // The time budget of a client.
        Reply reply;
        asio::io_context loop;
        beast::tcp_stream stream(loop);
        beast::flat_buffer buffer;
        http::request<http::string_body> request;
        http::response<http::string_body> response;
        request.method_string(method);
        request.target(path);
        request.version(11);
        request.set(http::field::host, hostName);
        request.set(http::field::authorization, "Token " + key);
        request.set("Deadline-Ms", std::to_string(timeoutMs));
        if (!body.empty())
            request.set(http::field::content_type, "application/json");
        request.body() = body;
        request.prepare_payload();
        stream.expires_after(Milliseconds(timeoutMs));
        stream.async_connect(tcp::endpoint(asio::ip::make_address(ip), port), [&](beast::error_code failed) {
            if (failed)
                return;
            http::async_write(stream, request, [&](beast::error_code unsent, std::size_t) {
                if (unsent)
                    return;
                http::async_read(stream, buffer, response, [&](beast::error_code unread, std::size_t) {
                    if (unread)
                        return;
                    reply = { static_cast<int>(response.result_int()), response.body() };
                });
            });
        });
        loop.run();
        return reply;
    }

} // namespace

bool Deployment::isReady(int host)
{
    return exchange(m_hosts[static_cast<std::size_t>(host)].ip, static_cast<unsigned short>(m_port + 3),
               "GET", "/v1/readiness", "", "")
               .status
        == 200;
}

Reply Deployment::call(
    int host, const std::string& method, const std::string& path, const std::string& body, std::size_t tenant)
{
    return exchange(m_hosts[static_cast<std::size_t>(host)].ip, static_cast<unsigned short>(m_port + 1),
        method, path, body, m_options.tenants.at(tenant).key);
}

bool Deployment::submit(const std::string& path, const std::string& body, std::size_t tenant)
{
    constexpr int attempts = 5;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const auto host = static_cast<int>(m_nextHost++ % static_cast<unsigned>(hostCount()));
        const auto reply = call(host, "POST", path, body, tenant);
        if (reply.status == 200)
            return true;
        m_record.line("POST " + path + " at " + m_hosts[static_cast<std::size_t>(host)].name + ": "
            + std::to_string(reply.status));
        sleepMs(300);
    }
    return false;
}

std::string Deployment::state(const std::string& path, std::size_t tenant)
{
    for (int i = 0; i < hostCount(); ++i) {
        const auto host = static_cast<int>(m_nextHost++ % static_cast<unsigned>(hostCount()));
        const auto reply = call(host, "GET", path, "", tenant);
        m_record.line("GET " + path + " at " + m_hosts[static_cast<std::size_t>(host)].name + ": "
            + std::to_string(reply.status) + ' ' + reply.body);
        if (reply.status == 200)
            return text(json::parse(reply.body).as_object(), "State");
        if (reply.status == 410)
            return "gone";
    }
    return {};
}

std::int64_t Deployment::pending(int host, const std::string& prefix)
{
    const auto reply = call(host, "GET", prefix, "");
    m_record.line("GET " + prefix + " at " + m_hosts[static_cast<std::size_t>(host)].name + ": "
        + std::to_string(reply.status) + ' ' + reply.body);
    return reply.status == 200 ? number(json::parse(reply.body).as_object(), "Pending") : -1;
}

Minion* Deployment::minionRunning(const std::string& task)
{
    for (const auto& minion : m_minions) {
        if (minion->runs(task))
            return minion.get();
    }
    return nullptr;
}

std::string Deployment::newId()
{
    static std::mt19937_64 random(std::random_device {}());
    static std::mutex mutex;
    const std::lock_guard guard(mutex);
    char out[17];
    std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(random()));
    return out;
}

} // namespace review
