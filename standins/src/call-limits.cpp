// The call limits of the key-value service.
#include "call-limits.h"

#include <Poco/JSON/Array.h>

#include <algorithm>

namespace jujubereach::standins {

CallLimits::CallLimits(std::uint32_t readsPerSecond, std::uint32_t writesPerSecond)
    : m_readsPerSecond(readsPerSecond)
    , m_writesPerSecond(writesPerSecond)
{
}

bool CallLimits::take(CallKind kind, const std::string& caller, WallTime now)
{
    const auto second = now.milliseconds / 1000;
    const std::scoped_lock lock(m_mutex);
    auto& total = m_totals[second];
    auto& own = m_counts[{ second, caller }];
    const bool isRead = kind == CallKind::Read;
    const bool allowed = isRead ? total.reads < m_readsPerSecond : total.writes < m_writesPerSecond;
    for (auto* counts : { &total, &own }) {
        if (!allowed)
            ++counts->refused;
        else if (isRead)
            ++counts->reads;
        else
            ++counts->writes;
    }
    return allowed;
}

void CallLimits::watchBegins()
{
    const std::scoped_lock lock(m_mutex);
    m_mostWatches = std::max(m_mostWatches, ++m_watches);
}

void CallLimits::watchEnds()
{
    const std::scoped_lock lock(m_mutex);
    --m_watches;
}

platform::JsonObject::Ptr CallLimits::toJson() const
{
    const std::scoped_lock lock(m_mutex);
    Poco::JSON::Array::Ptr seconds = new Poco::JSON::Array;
    for (const auto& [key, counts] : m_counts) {
        platform::JsonObject::Ptr entry = new platform::JsonObject;
        entry->set("second", static_cast<Poco::Int64>(key.first));
        entry->set("caller", key.second);
        entry->set("reads", counts.reads);
        entry->set("writes", counts.writes);
        entry->set("refused", counts.refused);
        seconds->add(entry);
    }
    platform::JsonObject::Ptr object = new platform::JsonObject;
    object->set("watchesMost", m_mostWatches);
    object->set("seconds", seconds);
    return object;
}

} // namespace jujubereach::standins
