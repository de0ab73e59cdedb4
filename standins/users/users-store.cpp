#include "users-store.h"

#include "jujubereach/base/base64.h"

#include <Poco/URI.h>

namespace jujubereach::standins {

namespace json = boost::json;

namespace {

    constexpr std::size_t pageItems = 500;
    constexpr std::size_t historySize = 100'000;

    net::HttpResponse ok(const json::object& body)
    {
        return { 200, {}, json::serialize(body) };
    }

    std::uint64_t number(const std::map<std::string, std::string>& query, const char* name)
    {
        const auto found = query.find(name);
        return found == query.end() ? 0 : std::stoull(found->second);
    }

    std::string text(const std::map<std::string, std::string>& query, const char* name)
    {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    }

} // namespace

UsersStore::UsersStore(boost::asio::io_context& loop, const std::string& address)
    : m_loop(loop)
    , m_server(loop, [this](const auto& request, auto respond) { handle(request, std::move(respond)); })
{
    if (!m_server.listen(address))
        throw std::runtime_error("the stand-in store cannot listen on " + address);
}

json::object UsersStore::describe(const std::string& key, const Item& item)
{
    return { { "Key", key }, { "Value", item.encoded }, { "Revision", item.revision },
        { "Created", item.created }, { "Lease", item.lease } };
}

void UsersStore::handle(const net::HttpRequest& request, net::Respond respond)
{
    ++m_calls;
    if (m_mood == StoreMood::Silent)
        return;
    if (m_mood == StoreMood::Refuses)
        return respond({ 503, {}, {} });
    const Poco::URI uri(request.target);
    const auto parameters = uri.getQueryParameters();
    const Query query(parameters.begin(), parameters.end());
    const auto& path = uri.getPath();
    const auto last = path.substr(path.rfind('/') + 1);
    net::HttpResponse answer { 404, {}, {} };
    if (path == "/v1/kv-watch")
        return watch(query, std::move(respond));
    if (path == "/v1/kv-key")
        answer = read(query);
    else if (path == "/v1/kv-range")
        answer = range(query);
    else if (path == "/v1/kv-txn")
        answer = write(request.body);
    else if (path == "/v1/kv-lease")
        answer = grant(request.body);
    else if (path.starts_with("/v1/kv-keep/"))
        answer = keep(last);
    else if (path.starts_with("/v1/kv-lease-end/"))
        answer = endLease(std::stoull(last));
    if (m_mood != StoreMood::LosesAnswers || request.method == "GET")
        respond(std::move(answer));
}

net::HttpResponse UsersStore::read(const Query& query) const
{
    const auto found = m_items.find(text(query, "Key"));
    if (found == m_items.end())
        return { 404, {}, {} };
    auto body = describe(found->first, found->second);
    body["At"] = m_revision;
    return ok(body);
}

net::HttpResponse UsersStore::range(const Query& query) const
{
    const auto prefix = text(query, "Prefix");
    const auto after = text(query, "After");
    json::array items;
    auto more = false;
    for (auto i = m_items.lower_bound(std::max(prefix, after));
         i != m_items.end() && i->first.starts_with(prefix); ++i) {
        if (!after.empty() && i->first <= after)
            continue;
        if (items.size() == pageItems) {
            more = true;
            break;
        }
        items.push_back(describe(i->first, i->second));
    }
    return ok({ { "items", items }, { "HasMore", more }, { "At", m_revision } });
}

bool UsersStore::answerWatch(const Waiting& waiting) const
{
    if (waiting.after < m_forgotten) {
        waiting.respond({ 410, {}, {} });
        return true;
    }
    json::array events;
    for (const auto& change : m_history) {
        if (change.item.revision <= waiting.after || !change.key.starts_with(waiting.prefix))
            continue;
        events.push_back(change.deleted ? json::object { { "Key", change.key },
                             { "Revision", change.item.revision }, { "Deleted", true } }
                                        : describe(change.key, change.item));
    }
    if (events.empty())
        return false;
    waiting.respond(ok({ { "events", events }, { "At", m_revision } }));
    return true;
}

void UsersStore::watch(const Query& query, net::Respond respond)
{
    Waiting waiting { text(query, "Prefix"), number(query, "After"), std::move(respond), nullptr };
    if (answerWatch(waiting))
        return;
    waiting.timer = std::make_shared<boost::asio::steady_timer>(m_loop, Duration(number(query, "WaitMs")));
    m_waiting.push_back(waiting);
    const auto place = std::prev(m_waiting.end());
    waiting.timer->async_wait(
        [this, place, present = std::weak_ptr(waiting.timer)](const boost::system::error_code& failed) {
            if (failed || present.expired()) // Answered after the timer had fired.
                return;
            place->respond(ok({ { "events", json::array {} }, { "At", m_revision } }));
            m_waiting.erase(place);
        });
}

void UsersStore::answerWatches()
{
    for (auto i = m_waiting.begin(); i != m_waiting.end();) {
        if (!answerWatch(*i)) {
            ++i;
            continue;
        }
        i->timer->cancel();
        i = m_waiting.erase(i);
    }
}

void UsersStore::apply(const std::string& key, Item item, bool deleted)
{
    item.revision = m_revision;
    const auto found = m_items.find(key);
    item.created = found == m_items.end() ? m_revision : found->second.created;
    m_history.push_back({ key, item, deleted });
    if (m_history.size() > historySize)
        m_history.pop_front();
    if (deleted)
        m_items.erase(key);
    else
        m_items[key] = std::move(item);
}

net::HttpResponse UsersStore::write(const std::string& body)
{
    const auto in = json::parse(body).as_object();
    json::array current;
    auto holds = true;
    for (const auto& row : in.at("ExpectedRev").as_array()) {
        const auto key = std::string(row.at("Key").as_string());
        const auto found = m_items.find(key);
        if (found != m_items.end())
            current.push_back(describe(key, found->second));
        holds = holds
            && (found == m_items.end() ? 0 : found->second.revision)
                == row.at("Revision").to_number<std::uint64_t>();
    }
    if (!holds)
        return { 412, {}, json::serialize(json::object { { "items", current } }) };
    for (const auto& row : in.at("Puts").as_array()) {
        const auto* lease = row.as_object().if_contains("Lease");
        if (lease && !m_leases.contains(lease->to_number<std::uint64_t>()))
            return { 404, {}, {} };
    }
    ++m_revision;
    for (const auto& row : in.at("Puts").as_array()) {
        const auto* lease = row.as_object().if_contains("Lease");
        apply(std::string(row.at("Key").as_string()),
            { std::string(row.at("Value").as_string()), 0, 0, lease ? lease->to_number<std::uint64_t>() : 0 },
            false);
    }
    for (const auto& key : in.at("Remove").as_array())
        apply(std::string(key.as_string()), {}, true);
    answerWatches();
    return ok({ { "Revision", m_revision } });
}

net::HttpResponse UsersStore::grant(const std::string& body)
{
    const auto ttl = json::parse(body).at("TtlMs").to_number<std::int64_t>();
    const auto id = ++m_lastLease;
    m_leases[id] = { Duration(ttl), std::make_shared<boost::asio::steady_timer>(m_loop) };
    armLease(id);
    return ok({ { "Lease", id }, { "TtlMs", ttl } });
}

void UsersStore::armLease(std::uint64_t id)
{
    auto& lease = m_leases.at(id);
    lease.timer->expires_after(lease.ttl);
    lease.timer->async_wait([this, id, timer = lease.timer](const boost::system::error_code& failed) {
        if (!failed)
            endLease(id);
    });
}

net::HttpResponse UsersStore::keep(const std::string& id)
{
    const auto number = std::stoull(id);
    if (!m_leases.contains(number))
        return { 404, {}, {} };
    armLease(number);
    return ok({ { "TtlMs", m_leases.at(number).ttl.count() } });
}

net::HttpResponse UsersStore::endLease(std::uint64_t id)
{
    if (m_leases.erase(id) == 0)
        return { 404, {}, {} };
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
        if (item.lease == id)
            keys.push_back(key);
    }
    if (!keys.empty())
        ++m_revision;
    for (const auto& key : keys)
        apply(key, {}, true);
    answerWatches();
    return ok({});
}

void UsersStore::forgetHistory()
{
    m_history.clear();
    m_forgotten = m_revision;
    answerWatches();
}

void UsersStore::put(const std::string& key, const std::string& value)
{
    ++m_revision;
    apply(key, { toBase64(value), 0, 0, 0 }, false);
    answerWatches();
}

void UsersStore::remove(const std::string& key)
{
    if (!m_items.contains(key))
        return;
    ++m_revision;
    apply(key, {}, true);
    answerWatches();
}

std::string UsersStore::value(const std::string& key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::string() : fromBase64(found->second.encoded);
}

} // namespace jujubereach::standins
