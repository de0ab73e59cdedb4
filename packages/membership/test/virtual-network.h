// Hosts of one zone in virtual time, over a network that delays, loses and cuts; the same for each seed.
#pragma once

#include "jujubereach/membership/members.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace jujubereach::membership {

struct NetworkSettings {
    Duration minDelay { 1 };
    Duration maxDelay { 3 };
    double loss = 0; ///< Share of the messages.
    Duration tick { 50 };
    MembersSettings members;
};

/// One process of a host.
struct VirtualHost {
    std::string address;
    std::unique_ptr<Members> members;
    bool frozen = false;
    std::vector<Message> waiting; ///< Arrived while frozen.
};

class VirtualNetwork {
public:
    VirtualNetwork(NetworkSettings settings, std::uint64_t seed)
        : m_settings(settings)
        , m_random(seed)
    {
    }

    /// Whether messages pass from one address to another.
    std::function<bool(const std::string& from, const std::string& to)> linked
        = [](const std::string&, const std::string&) { return true; };
    /// Told of each message when it is sent.
    std::function<void(const std::string& from, const Outgoing& outgoing)> sent;
    /// Told of each message when it is received.
    std::function<void(const std::string& to, const Message& message)> received;
    /// Called after every tick of a host.
    std::function<void(VirtualHost& host)> ticked;

    TimePoint now() const { return m_now; }
    Random& random() { return m_random; }
    std::map<std::string, VirtualHost>& hosts() { return m_hosts; }
    Members& members(const std::string& address) { return *m_hosts.at(address).members; }

    /// Starts a process; the address stands for the id when none is given.
    Members& start(const std::string& address, std::uint64_t incarnation, std::vector<std::string> seeds,
        const std::string& id = {}, const std::string& zone = "z")
    {
        auto& host = m_hosts[address];
        MemberUpdate self { HostId(id.empty() ? address : id), Incarnation { incarnation }, 0,
            MemberState::Alive, address, address + "/http" };
        host.address = address;
        host.frozen = false;
        host.waiting.clear();
        host.members
            = std::make_unique<Members>(ZoneId(zone), self, m_settings.members, m_random.next(), m_now);
        host.members->setSeeds(std::move(seeds));
        at(m_now + Duration(m_random.below(static_cast<std::uint64_t>(m_settings.tick.count()))),
            [this, address, process = host.members.get()] { tick(address, process); });
        return *host.members;
    }

    /// Starts `count` hosts "h0".. that know the first two.
    void startAll(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            start("h" + std::to_string(i), 1000 + i, { "h0", "h1" });
    }

    void kill(const std::string& address) { m_hosts.erase(address); }
    void freeze(const std::string& address) { m_hosts.at(address).frozen = true; }
    void resume(const std::string& address)
    {
        auto& host = m_hosts.at(address);
        host.frozen = false;
        for (const auto& message : std::exchange(host.waiting, {}))
            deliver(address, message);
    }

    void at(TimePoint time, std::function<void()> action)
    {
        m_events.push({ time, ++m_order, std::move(action) });
    }

    void run(Duration time)
    {
        auto end = m_now + time;
        while (!m_events.empty() && m_events.top().time <= end) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        m_now = end;
    }

    void send(const std::string& from, const std::vector<Outgoing>& messages)
    {
        for (const auto& outgoing : messages) {
            if (sent)
                sent(from, outgoing);
            if (m_random.unit() < m_settings.loss)
                continue;
            at(m_now + delay(), [this, from, outgoing] {
                if (linked(from, outgoing.address))
                    deliver(outgoing.address, outgoing.message);
            });
        }
    }

    Duration delay()
    {
        auto spread = static_cast<std::uint64_t>((m_settings.maxDelay - m_settings.minDelay).count()) + 1;
        return m_settings.minDelay + Duration(m_random.below(spread));
    }

    bool allViewsAre(const std::vector<HostId>& expected) const
    {
        for (const auto& [address, host] : m_hosts) {
            if (!host.frozen && host.members->live() != expected)
                return false;
        }
        return true;
    }

private:
    struct Event {
        TimePoint time;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event& other) const
        {
            return std::tie(other.time, other.order) < std::tie(time, order);
        }
    };

    // Ends by itself when the process that it belongs to is gone.
    void tick(const std::string& address, const Members* process)
    {
        auto found = m_hosts.find(address);
        if (found == m_hosts.end() || found->second.members.get() != process)
            return;
        auto& host = found->second;
        if (!host.frozen) {
            send(address, host.members->tick(m_now));
            if (ticked)
                ticked(host);
        }
        at(m_now + m_settings.tick, [this, address, process] { tick(address, process); });
    }

    void deliver(const std::string& address, const Message& message)
    {
        auto found = m_hosts.find(address);
        if (found == m_hosts.end())
            return;
        if (found->second.frozen) {
            found->second.waiting.push_back(message);
            return;
        }
        if (received)
            received(address, message);
        send(address, found->second.members->onMessage(message, m_now));
    }

    NetworkSettings m_settings;
    Random m_random;
    TimePoint m_now {};
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    std::map<std::string, VirtualHost> m_hosts;
};

} // namespace jujubereach::membership
