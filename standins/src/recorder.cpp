// What a stand-in really did, in order.
#include "recorder.h"

namespace jujubereach::standins {

JsonObject::Ptr newEvent(const std::string& kind)
{
    JsonObject::Ptr event = new JsonObject;
    event->set("event", kind);
    return event;
}

void Recorder::add(JsonObject::Ptr event)
{
    addAt(std::move(event), steadyClock()());
}

void Recorder::addAt(JsonObject::Ptr event, TimePoint at)
{
    const auto age = steadyClock()() - at;
    event->set("at", static_cast<Poco::Int64>(systemWallClock()().milliseconds - age.count()));
    const std::scoped_lock lock(m_mutex);
    event->set("seq", static_cast<Poco::UInt64>(m_events.size() + 1));
    m_events.push_back(platform::toText(*event));
}

std::string Recorder::toText(std::uint64_t after) const
{
    const std::scoped_lock lock(m_mutex);
    std::string text = "{\"events\":[";
    for (auto i = static_cast<std::size_t>(after); i < m_events.size(); ++i) {
        if (i > after)
            text += ',';
        text += m_events[i];
    }
    return text + "]}";
}

} // namespace jujubereach::standins
