#include "class-queue.h"

#include <cmath>

namespace jujubereach::admission {

namespace {

    constexpr double loadWindowMs = 1000;

    double elapsedMs(TimePoint from, TimePoint to)
    {
        return static_cast<double>(std::max((to - from).count(), Duration::rep { 0 }));
    }

} // namespace

WorkspaceQueue* ClassQueue::find(const WorkspaceId& workspace)
{
    auto found = m_workspaces.find(workspace);
    return found == m_workspaces.end() ? nullptr : &found->second;
}

const WorkspaceQueue* ClassQueue::find(const WorkspaceId& workspace) const
{
    auto found = m_workspaces.find(workspace);
    return found == m_workspaces.end() ? nullptr : &found->second;
}

WorkspaceQueue& ClassQueue::workspace(const WorkspaceId& workspace, double weight)
{
    return m_workspaces.try_emplace(workspace, weight).first->second;
}

WaitingList::iterator ClassQueue::add(Waiting waiting, double weight)
{
    WorkspaceId id = waiting.request.workspace;
    m_order.activate(id, weight);
    ++m_waiting;
    m_work += waiting.work;
    return workspace(id, weight).add(std::move(waiting));
}

WaitingList::iterator ClassQueue::first()
{
    return m_workspaces.at(m_order.first()).first();
}

void ClassQueue::remove(WaitingList::iterator waiting)
{
    WorkspaceId id = waiting->request.workspace;
    WorkspaceQueue& queue = m_workspaces.at(id);
    --m_waiting;
    m_work = m_waiting == 0 ? 0 : m_work - waiting->work;
    queue.remove(waiting);
    if (queue.empty())
        m_order.deactivate(id);
}

const WorkspaceId& ClassQueue::largestWorkspace() const
{
    auto size = [](const auto& item) { return item.second.waiting() / item.second.weight(); };
    auto smaller = [&](const auto& a, const auto& b) { return size(a) < size(b); };
    return std::max_element(m_workspaces.begin(), m_workspaces.end(), smaller)->first;
}

void ClassQueue::charge(const Request& request, double work)
{
    m_order.charge(request.workspace, work);
    m_workspaces.at(request.workspace).charge(request.caller, work);
}

void ClassQueue::correct(const Request& request, double difference, bool owed)
{
    m_order.correct(request.workspace, difference);
    if (WorkspaceQueue* queue = find(request.workspace))
        queue->correct(request.caller, difference);
    if (owed)
        m_owed -= difference;
}

void ClassQueue::served(double work, double burst)
{
    m_owed = std::min(m_owed + m_class.minimumShare * work, std::max(burst, m_owed));
}

double ClassQueue::load(TimePoint now, double slots) const
{
    if (slots <= 0)
        return 0;
    double decayed = m_load * std::exp(-elapsedMs(m_loadTime, now) / loadWindowMs);
    return std::min(1.0, decayed / slots);
}

void ClassQueue::addLoad(double work, TimePoint now)
{
    m_load = m_load * std::exp(-elapsedMs(m_loadTime, now) / loadWindowMs) + work / loadWindowMs;
    m_loadTime = now;
}

} // namespace jujubereach::admission
