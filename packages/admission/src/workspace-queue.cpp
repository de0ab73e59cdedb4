#include "workspace-queue.h"

#include <algorithm>
#include <cmath>

namespace jujubereach::admission {

namespace {

    constexpr double longestReturnsMs = 120'000;
    constexpr double leastPredictedMs = 50;
    constexpr double strongestCorrection = 3;
    constexpr double correctionGain = 0.005;

} // namespace

std::uint32_t WorkspaceQueue::waitingOf(const CallerId& caller) const
{
    auto found = m_callers.find(caller);
    return found == m_callers.end() ? 0 : static_cast<std::uint32_t>(found->second.list.size());
}

double WorkspaceQueue::workOf(const CallerId& caller) const
{
    auto found = m_callers.find(caller);
    return found == m_callers.end() ? 0 : found->second.work;
}

WaitingList::iterator WorkspaceQueue::add(Waiting waiting)
{
    CallerId caller = waiting.request.caller;
    CallerQueue& queue = m_callers[caller];
    auto size = static_cast<std::uint32_t>(queue.list.size());
    m_bySize.erase({ size, caller });
    m_bySize.emplace(size + 1, caller);
    queue.work += waiting.work;
    m_work += waiting.work;
    ++m_waiting;
    m_order.activate(caller, 1);
    return queue.list.insert(queue.list.end(), std::move(waiting));
}

WaitingList::iterator WorkspaceQueue::first()
{
    return m_callers.at(m_order.first()).list.begin();
}

WaitingList::iterator WorkspaceQueue::lastOf(const CallerId& caller)
{
    return std::prev(m_callers.at(caller).list.end());
}

const CallerId& WorkspaceQueue::largestCaller() const
{
    return m_bySize.rbegin()->second;
}

void WorkspaceQueue::remove(WaitingList::iterator waiting)
{
    CallerId caller = waiting->request.caller;
    CallerQueue& queue = m_callers.at(caller);
    auto size = static_cast<std::uint32_t>(queue.list.size());
    m_bySize.erase({ size, caller });
    queue.work -= waiting->work;
    m_work -= waiting->work;
    --m_waiting;
    queue.list.erase(waiting);
    if (queue.list.empty()) {
        m_callers.erase(caller);
        m_order.deactivate(caller);
    } else
        m_bySize.emplace(size - 1, caller);
    if (m_waiting == 0)
        m_work = 0; // no sum of rounding errors
}

void WorkspaceQueue::noteWait(double predictedMs, double actualMs)
{
    if (predictedMs < leastPredictedMs)
        return; // too short to tell
    double ratio = std::clamp(actualMs / predictedMs, 1 / strongestCorrection, strongestCorrection);
    m_waitCorrection *= std::pow(ratio, correctionGain);
    m_waitCorrection = std::clamp(m_waitCorrection, 1 / strongestCorrection, strongestCorrection);
}

double WorkspaceQueue::returnsIn(TimePoint now) const
{
    return std::max(0.0, m_returnsMs - static_cast<double>((now - m_returnsSince).count()));
}

void WorkspaceQueue::addReturn(double turnMs, TimePoint now)
{
    m_returnsMs = std::min(longestReturnsMs, returnsIn(now) + turnMs);
    m_returnsSince = now;
}

} // namespace jujubereach::admission
