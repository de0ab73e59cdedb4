// Start-time fair queueing over flows: the order in which backlogged flows are served.
#pragma once

#include <algorithm>
#include <cstddef>
#include <set>
#include <unordered_map>
#include <utility>

namespace jujubereach::admission {

/// Each flow has a tag, the virtual time at which its next request starts. The least tag is served; it
/// then moves by work / weight. A flow that asks for less than its share falls behind the virtual time by
/// no more than `burst`, which lets its next few requests go first; a new flow starts at the virtual time.
template <typename Key> class FairOrder {
public:
    /// `burst` is in milliseconds of slot time for a weight of 1.
    explicit FairOrder(double burst)
        : m_burst(burst)
    {
    }

    bool empty() const { return m_ready.empty(); }
    std::size_t ready() const { return m_ready.size(); }
    double readyWeight() const { return m_readyWeight; }

    /// The flow to serve; only when not empty.
    const Key& first() const { return m_ready.begin()->second; }

    bool isReady(const Key& key) const
    {
        auto found = m_flows.find(key);
        return found != m_flows.end() && found->second.ready;
    }

    /// The flow has a request that waits.
    void activate(const Key& key, double weight)
    {
        Flow& flow = m_flows.try_emplace(key, Flow { m_virtualTime, weight, false }).first->second;
        if (flow.ready)
            return;
        flow.weight = weight;
        flow.tag = std::max(flow.tag, m_virtualTime - m_burst);
        flow.ready = true;
        m_ready.emplace(flow.tag, key);
        m_readyWeight += weight;
    }

    /// The flow has no request left that waits.
    void deactivate(const Key& key)
    {
        auto found = m_flows.find(key);
        if (found == m_flows.end() || !found->second.ready)
            return;
        found->second.ready = false;
        m_ready.erase({ found->second.tag, key });
        m_readyWeight = m_ready.empty() ? 0 : m_readyWeight - found->second.weight;
        forgetIdle();
    }

    /// The flow is served a request of `work`.
    void charge(const Key& key, double work)
    {
        Flow& flow = m_flows.at(key);
        m_virtualTime = std::max(m_virtualTime, flow.tag);
        move(key, flow, work / flow.weight);
    }

    /// The flow used `difference` more than it was charged, or less when negative.
    void correct(const Key& key, double difference)
    {
        auto found = m_flows.find(key);
        if (found != m_flows.end())
            move(key, found->second, difference / found->second.weight);
    }

private:
    static constexpr std::size_t minimumSweep = 64; // flows

    struct Flow {
        double tag = 0;
        double weight = 1;
        bool ready = false; // as long as m_ready holds (tag, key)
    };

    void move(const Key& key, Flow& flow, double by)
    {
        if (flow.ready)
            m_ready.erase({ flow.tag, key });
        flow.tag = std::max(m_virtualTime - m_burst, flow.tag + by);
        if (flow.ready)
            m_ready.emplace(flow.tag, key);
    }

    // An idle flow that has saved its whole burst has not been served for long.
    void forgetIdle()
    {
        if (m_flows.size() < m_sweepAt)
            return;
        std::erase_if(m_flows, [this](const auto& item) {
            return !item.second.ready && item.second.tag <= m_virtualTime - m_burst;
        });
        m_sweepAt = std::max(minimumSweep, 2 * m_flows.size());
    }

    std::unordered_map<Key, Flow> m_flows;
    std::set<std::pair<double, Key>> m_ready; // by tag; the key makes ties the same on every run
    std::size_t m_sweepAt = minimumSweep; // size of m_flows at which idle flows are looked for
    double m_readyWeight = 0; // sum over m_ready
    double m_burst;
    double m_virtualTime = 0; // tag of the last flow served; never goes back
};

} // namespace jujubereach::admission
