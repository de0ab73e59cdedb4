// An entry host with an in-memory store and virtual time, for tests of its reactions to the store's answers.
#pragma once

#include "jujubereach/entry/entry-host.h"

#include <boost/json.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace jujubereach::entry {

using fleet::RouteId;
using fleet::ServiceId;
using fleet::StoreAnswer;
using fleet::StoreDone;
using fleet::StoreEvent;
using fleet::StoreFate;
using fleet::StoreItem;
using fleet::StoreLease;
using fleet::StoreWrite;

/// Virtual clock and timers, shared by the hosts of a test.
class FakeTime {
public:
    TimePoint now() const { return m_now; }

    void after(Duration delay, std::function<void()> call)
    {
        m_queue.emplace(m_now + delay, std::move(call));
    }

    void run(Duration time)
    {
        const auto until = m_now + time;
        while (!m_queue.empty() && m_queue.begin()->first <= until) {
            m_now = std::max(m_now, m_queue.begin()->first);
            const auto call = std::move(m_queue.begin()->second);
            m_queue.erase(m_queue.begin());
            call();
        }
        m_now = until;
    }

private:
    TimePoint m_now { Duration(1'000'000) };
    std::multimap<TimePoint, std::function<void()>> m_queue;
};

/// In-memory store with conditional writes and watches; its leases never expire.
class FakeStore {
public:
    static constexpr Duration latency { 5 };

    explicit FakeStore(FakeTime& time)
        : m_time(time)
    {
    }

    Revision put(const std::string& key, const std::string& value, StoreLease lease = {})
    {
        ++m_at.value;
        auto& item = m_items[key];
        item = { key, value, m_at, item.created.value ? item.created : m_at, lease };
        m_events.push_back({ item, false });
        return m_at;
    }

    void remove(const std::string& key)
    {
        ++m_at.value;
        m_items.erase(key);
        m_events.push_back({ { key, {}, m_at, {}, {} }, true });
    }

    bool contains(const std::string& key) const { return m_items.contains(key); }
    const std::string& value(const std::string& key) const { return m_items.at(key).value; }

    /// Earlier changes can no longer be watched.
    void dropHistory()
    {
        m_historyFrom = m_at;
        m_events.clear();
    }

    Store calls()
    {
        Store store;
        store.read = [this](std::string key, Duration timeout, StoreDone done) {
            reply(timeout, std::move(done), [this, key] {
                auto answer = withFate(m_items.contains(key) ? StoreFate::Done : StoreFate::Missing);
                if (m_items.contains(key))
                    answer.items.push_back(m_items.at(key));
                return answer;
            });
        };
        store.range = [this](std::string prefix, std::string after, Duration timeout, StoreDone done) {
            ++ranges[prefix];
            reply(timeout, std::move(done), [this, prefix, after] { return page(prefix, after); });
        };
        store.watch = [this](std::string prefix, Revision after, Duration wait, Duration, StoreDone done) {
            ++watches[prefix];
            watch(prefix, after, m_time.now() + wait, std::move(done));
        };
        store.write = [this](StoreWrite write, Duration timeout, StoreDone done) {
            reply(timeout, std::move(done), [this, write] { return apply(write); });
        };
        store.grantLease = [this](Duration, Duration timeout, StoreDone done) {
            reply(timeout, std::move(done), [this] {
                auto answer = withFate(StoreFate::Done);
                answer.lease = { ++m_lastLease };
                return answer;
            });
        };
        store.renewLease = [this](StoreLease, Duration timeout, StoreDone done) {
            ++renewals;
            reply(timeout, std::move(done), [this] { return withFate(StoreFate::Done); });
        };
        store.endLease = [this](StoreLease lease, Duration timeout, StoreDone done) {
            reply(timeout, std::move(done), [this, lease] {
                std::vector<std::string> ended;
                for (const auto& [key, item] : m_items) {
                    if (item.lease == lease)
                        ended.push_back(key);
                }
                for (const auto& key : ended)
                    remove(key);
                return withFate(StoreFate::Done);
            });
        };
        return store;
    }

    std::size_t pageSize = 100;
    bool writesRefused = false;
    bool answersLost = false; ///< Calls take effect, but their answers are lost.
    std::map<std::string, int> watches; ///< Number of calls, by prefix.
    std::map<std::string, int> ranges;
    int renewals = 0; ///< Number of calls.

private:
    StoreAnswer withFate(StoreFate fate) const
    {
        StoreAnswer answer;
        answer.fate = fate;
        answer.at = m_at;
        return answer;
    }

    void reply(Duration timeout, StoreDone done, std::function<StoreAnswer()> carryOut)
    {
        m_time.after(latency, [this, timeout, done = std::move(done), carryOut = std::move(carryOut)] {
            auto answer = carryOut();
            if (answersLost)
                return m_time.after(timeout, [done] { done(StoreAnswer {}); });
            m_time.after(latency, [done, answer] { done(answer); });
        });
    }

    StoreAnswer page(const std::string& prefix, const std::string& after) const
    {
        auto answer = withFate(StoreFate::Done);
        for (auto it = m_items.upper_bound(std::max(prefix, after));
             it != m_items.end() && it->first.starts_with(prefix); ++it) {
            answer.more = answer.items.size() == pageSize;
            if (answer.more)
                break;
            answer.items.push_back(it->second);
        }
        return answer;
    }

    void watch(const std::string& prefix, Revision after, TimePoint until, StoreDone done)
    {
        constexpr Duration check { 10 };
        if (after.value < m_historyFrom.value) {
            auto gone = withFate(StoreFate::HistoryGone);
            return m_time.after(latency, [done, gone] { done(gone); });
        }
        auto answer = withFate(StoreFate::Done);
        for (const auto& event : m_events) {
            if (event.item.revision.value > after.value && event.item.key.starts_with(prefix))
                answer.events.push_back(event);
        }
        if (!answer.events.empty() || m_time.now() >= until)
            return m_time.after(latency, [done, answer] { done(answer); });
        m_time.after(check, [this, prefix, after, until, done] { watch(prefix, after, until, done); });
    }

    StoreAnswer apply(const StoreWrite& write)
    {
        if (writesRefused)
            return withFate(StoreFate::Refused);
        auto answer = withFate(StoreFate::Done);
        for (const auto& row : write.expected) {
            const auto found = m_items.find(row.key);
            if (found != m_items.end())
                answer.items.push_back(found->second);
            if ((found == m_items.end() ? Revision {} : found->second.revision) != row.revision)
                answer.fate = StoreFate::Conflict;
        }
        if (answer.fate == StoreFate::Conflict)
            return answer;
        answer.items.clear();
        for (const auto& entry : write.puts)
            put(entry.key, entry.value, entry.lease);
        for (const auto& key : write.removes)
            remove(key);
        answer.at = m_at;
        return answer;
    }

    FakeTime& m_time;
    Revision m_at { 100 };
    std::map<std::string, StoreItem> m_items;
    std::vector<StoreEvent> m_events;
    Revision m_historyFrom; ///< Changes up to this revision are forgotten.
    std::uint64_t m_lastLease = 0;
};

/// A host whose workers answer holds only if `workersAnswer` is set. The value of a worker's entry that
/// cannot be read is `odd`. A configuration value is `VERSION KEY`, where KEY is the caller's key.
class FakeHost {
public:
    FakeHost(FakeTime& time, FakeStore& store, const std::string& name = "h1", double cores = 1)
        : m_time(time)
    {
        HostSettings settings;
        settings.name = name;
        settings.zone = ZoneId("z");
        settings.cores = cores;
        HostHooks hooks;
        hooks.clock = [this] { return m_time.now(); };
        hooks.wall = [this] { return WallTime { m_time.now().time_since_epoch().count() }; };
        hooks.store = withFaults(store.calls());
        settings.forwardAddress = name + ":1";
        hooks.workers.start = [this](const auto&, const fleet::StartOrder& order, Duration, const auto&) {
            started.push_back(order.task.job.str());
        };
        hooks.workers.stop = [](const auto&, const auto&, Duration, const auto&) {};
        hooks.workers.hold = [this](const fleet::WorkerReport& to, const fleet::HoldOrder&, Duration,
                                 fleet::OrderDone done) {
            fleet::OrderAnswer answer;
            answer.fate = fleet::OrderFate::Done;
            answer.listsComplete = true;
            if (workersAnswer && to.id.str() != silentWorker)
                m_time.after(FakeStore::latency, [done = std::move(done), answer] { done(answer); });
        };
        hooks.layout = { "", configKey, "workers/" }; // The watch covers all keys, including the owner's.
        hooks.decodeConfig = decodeConfig;
        hooks.decodeWorker = [](const std::string& key, const std::string& value) {
            if (value == "odd")
                return std::optional<fleet::WorkerReport>();
            std::optional<fleet::WorkerReport> report(std::in_place);
            report->id = workerOf(key);
            report->service = ServiceId("service");
            report->draining = value == "draining";
            return report;
        };
        hooks.workerOfKey = workerOf;
        hooks.closedZoneOfKey = [](const std::string& key) {
            constexpr std::string_view prefix = "closed/";
            return key.starts_with(prefix) ? ZoneId(key.substr(prefix.size())) : ZoneId();
        };
        hooks.after = [this](Duration delay, std::function<void()> call) {
            delays.push_back(delay);
            m_time.after(delay, std::move(call));
        };
        hooks.configChanged = [](const FleetConfig&) {};
        hooks.meter.add = [this](const char*, const metrics::Labels& labels, double amount) {
            if (labels.contains("outcome"))
                requests[labels.at("workspace") + ' ' + labels.at("outcome") + ' ' + labels.at("reason")]
                    += amount;
        };
        hooks.log = [this](const char* event, boost::json::object fields) {
            log.push_back(std::string(event) + ' ' + boost::json::serialize(fields));
        };
        host = std::make_unique<EntryHost>(settings, std::move(hooks));
        host->start();
    }

    static constexpr const char* configKey = "news/config";

    static WorkerId workerOf(const std::string& key)
    {
        return WorkerId(key.substr(std::string_view("workers/").size()));
    }

    static std::shared_ptr<const FleetConfig> decodeConfig(const std::string& value)
    {
        const auto space = value.find(' ');
        auto config = std::make_shared<FleetConfig>();
        config->version = std::stoull(value.substr(0, space));
        fleet::Route route;
        route.id = RouteId("queue");
        route.hostName = "queue";
        route.prefix = "/jobs/";
        route.service = ServiceId("service");
        config->routes[route.id] = route;
        config->keys[value.substr(space + 1)] = WorkspaceId("w");
        return config;
    }

    static CallerRequest requestOf(
        CallKind kind, const std::string& id, const std::string& key, Duration deadline = Duration(3000))
    {
        CallerRequest request;
        request.kind = kind;
        request.hostName = "queue";
        request.path = "/jobs/" + id;
        request.key = key;
        request.deadline = deadline;
        request.spec = fleet::JobSpec {};
        request.spec->steps.emplace_back();
        return request;
    }

    /// Handles a call forwarded by another host, without forwarding it again.
    void forwarded(
        CallerRequest request, std::uint64_t configVersion, std::function<void(ForwardResult)> done)
    {
        request.forward = nullptr;
        request.minConfigVersion = configVersion;
        host->handle(std::move(request), [done](const CallerAnswer& answer) { done({ true, answer }); });
    }

    /// Sends a request and runs for `deadline`; returns the answer, if any came by then.
    std::optional<CallerAnswer> call(
        CallKind kind, const std::string& id, const std::string& key, Duration deadline = Duration(3000))
    {
        auto request = requestOf(kind, id, key, deadline);
        request.forward = [this, copy = request](const std::string& address, std::uint64_t configVersion,
                              Duration timeout, const std::function<void(ForwardResult)>& done) {
            forwards.push_back(address);
            if (forwardAnswers) {
                const auto result = forwardAnswers();
                return m_time.after(result.answer ? Duration(1) : timeout, [done, result] { done(result); });
            }
            const auto peer = peers.find(address);
            if (peer != peers.end() && peer->second)
                return peer->second->forwarded(copy, configVersion, done);
            const auto sent = peer != peers.end(); // The peer received the call and does not answer.
            m_time.after(sent ? timeout : Duration(1), [done, sent] { done({ sent, {} }); });
        };
        auto got = std::make_shared<std::optional<CallerAnswer>>();
        host->handle(std::move(request), [this, got](const CallerAnswer& answer) {
            *got = answer;
            answeredAt = m_time.now();
        });
        m_time.run(deadline);
        return *got;
    }

    std::unique_ptr<EntryHost> host;
    bool workersAnswer = false;
    std::string silentWorker; ///< Does not answer; empty for none.
    bool storeUnreachable = false; ///< This host's calls do not reach the store.
    bool readsUnreachable = false; ///< The same for reads of a key only.
    bool writesUnanswered = false; ///< This host's writes get no answer.
    std::optional<Duration> writeDelay { 0 }; ///< Of unanswered writes; empty if they are never carried out.
    bool watchesUnreachable = false; ///< The same for watches only.
    bool renewalsUnreachable = false; ///< The same for renewals of the owner's lease only.
    std::string unreadablePrefix; ///< Lists below this prefix are not answered; empty for none.
    std::map<std::string, FakeHost*> peers; ///< By address; null for a peer that never answers.
    std::function<ForwardResult()> forwardAnswers; ///< Of all peers; null to ask `peers`.
    std::vector<std::string> forwards; ///< Addresses that calls were forwarded to.
    TimePoint answeredAt; ///< Time of the last answer to `call`.
    std::vector<Duration> delays; ///< Delays of all timers set by the host.
    std::map<std::string, double> requests; ///< Request counts by workspace, outcome and reason.
    std::vector<std::string> started; ///< The job of each start order.
    std::vector<std::string> log;

private:
    Store withFaults(Store store)
    {
        const auto unless = [this](const bool& unreachable, auto call) {
            return [this, &unreachable, call](auto... arguments) {
                if (!storeUnreachable && !unreachable)
                    return call(std::move(arguments)...);
                // The last two arguments are the timeout and the callback.
                const auto all = std::make_tuple(std::move(arguments)...);
                constexpr auto size = std::tuple_size_v<decltype(all)>;
                m_time.after(std::get<size - 2>(all), [done = std::get<size - 1>(all)] { done({}); });
            };
        };
        store.write = [this, write = store.write](StoreWrite entries, Duration timeout, StoreDone done) {
            if (!writesUnanswered)
                return write(std::move(entries), timeout, std::move(done));
            if (writeDelay)
                m_time.after(*writeDelay,
                    [write, entries, timeout] { write(entries, timeout, [](const StoreAnswer&) {}); });
            m_time.after(timeout, [done = std::move(done)] { done({}); });
        };
        store.read = unless(readsUnreachable, store.read);
        store.range = [this, range = store.range](
                          std::string prefix, std::string after, Duration timeout, StoreDone done) {
            if (unreadablePrefix.empty() || prefix != unreadablePrefix)
                return range(std::move(prefix), std::move(after), timeout, std::move(done));
            m_time.after(timeout, [done = std::move(done)] { done({}); });
        };
        store.range = unless(storeUnreachable, store.range);
        store.watch = unless(watchesUnreachable, store.watch);
        store.write = unless(storeUnreachable, store.write);
        store.grantLease = unless(storeUnreachable, store.grantLease);
        store.renewLease = unless(renewalsUnreachable, store.renewLease);
        return store;
    }

    FakeTime& m_time;
};

} // namespace jujubereach::entry
