#include "events.h"

#include <algorithm>
#include <utility>

namespace jujubereach::bench {

void Events::at(Micros when, std::function<void()> event)
{
    m_queue.push({ std::max(when, m_now), m_count++, std::move(event) });
}

void Events::runUntil(Micros end)
{
    while (!m_queue.empty() && m_queue.top().when < end) {
        Event event = m_queue.top();
        m_queue.pop();
        m_now = event.when;
        event.run();
    }
    m_now = end;
}

} // namespace jujubereach::bench
