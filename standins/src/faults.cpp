// Switches that every stand-in has.
#include "faults.h"

#include <Poco/JSON/Array.h>

#include <algorithm>
#include <thread>

namespace jujubereach::standins {

namespace {

    constexpr Duration sleepSlice { 20 };

} // namespace

void Faults::set(const platform::JsonObject& switches)
{
    const std::scoped_lock lock(m_mutex);
    m_outage = switches.optValue("outage", m_outage);
    m_silent = switches.optValue("silent", m_silent);
    m_slow = Duration(switches.optValue<Poco::Int64>("slowMs", m_slow.count()));
    m_loseReplies = switches.optValue<Poco::UInt64>("loseReplies", m_loseReplies);
    m_losePercent = switches.optValue<Poco::UInt64>("losePercent", m_losePercent);
    if (switches.has("pauseMs"))
        m_pausedUntil = steadyClock()() + Duration(switches.getValue<Poco::Int64>("pauseMs"));
    if (auto callers = switches.getArray("cutCallers")) {
        m_cutCallers.clear();
        for (unsigned i = 0; i < callers->size(); ++i)
            m_cutCallers.insert(callers->getElement<std::string>(i));
    }
}

Answer Faults::apply(const Call& call, bool losable, const std::function<Answer()>& act)
{
    Answer lost;
    lost.delivery = Delivery::Drop;
    if (isCut(call.caller()))
        return lost;
    sleep(delay());
    // Again: an outage that began during the delay cuts this call off as well.
    if (isCut(call.caller()))
        return lost;
    auto answer = act();
    if (losable && takesReply())
        return lost;
    const std::scoped_lock lock(m_mutex);
    if (m_silent)
        answer.delivery = Delivery::Silent;
    return answer;
}

bool Faults::isCut(const std::string& caller) const
{
    const std::scoped_lock lock(m_mutex);
    return m_outage || m_stopped || m_cutCallers.contains(caller);
}

void Faults::stop()
{
    const std::scoped_lock lock(m_mutex);
    m_stopped = true;
}

Duration Faults::delay() const
{
    const std::scoped_lock lock(m_mutex);
    return std::max(m_slow, m_pausedUntil - steadyClock()());
}

void Faults::sleep(Duration duration) const
{
    const auto end = steadyClock()() + duration;
    while (steadyClock()() < end) {
        {
            const std::scoped_lock lock(m_mutex);
            if (m_stopped)
                return;
        }
        std::this_thread::sleep_for(std::min(sleepSlice, end - steadyClock()()));
    }
}

bool Faults::takesReply()
{
    const std::scoped_lock lock(m_mutex);
    if (m_loseReplies > 0) {
        --m_loseReplies;
        return true;
    }
    return m_losePercent > 0 && m_random.below(100) < m_losePercent;
}

} // namespace jujubereach::standins
