// Waiting requests of one class, fair over workspaces, with the minimum share kept for the class.
#pragma once

#include "workspace-queue.h"

#include "jujubereach/manifest/manifest.h"

#include <map>

namespace jujubereach::admission {

constexpr double workspaceBurstMs = 1000;

class ClassQueue {
public:
    explicit ClassQueue(const manifest::WorkClass& workClass)
        : m_class(workClass)
    {
    }

    const manifest::WorkClass& workClass() const { return m_class; }
    void setWorkClass(const manifest::WorkClass& workClass) { m_class = workClass; }

    bool empty() const { return m_waiting == 0; }
    std::uint32_t waiting() const { return m_waiting; }
    double work() const { return m_work; }
    double readyWeight() const { return m_order.readyWeight(); }
    bool isReady(const WorkspaceId& workspace) const { return m_order.isReady(workspace); }

    WorkspaceQueue* find(const WorkspaceId& workspace);
    const WorkspaceQueue* find(const WorkspaceId& workspace) const;
    WorkspaceQueue& workspace(const WorkspaceId& workspace, double weight);
    std::map<WorkspaceId, WorkspaceQueue>& workspaces() { return m_workspaces; }
    const std::map<WorkspaceId, WorkspaceQueue>& workspaces() const { return m_workspaces; }

    WaitingList::iterator add(Waiting waiting, double weight);
    /// The request to serve; only when not empty.
    WaitingList::iterator first();
    void remove(WaitingList::iterator waiting);
    /// The workspace with most requests that wait by weight; only when not empty.
    const WorkspaceId& largestWorkspace() const;

    void charge(const Request& request, double work);
    /// `owed`: it was served out of the minimum share.
    void correct(const Request& request, double difference, bool owed);

    /// True when the class has not had its minimum share of what was served.
    bool isOwed() const { return m_owed > 0; }
    /// `work` was served by any class; the class keeps at most `burst` of its part for later.
    void served(double work, double burst);
    /// `work` was served because the class is owed it. What it gets beyond that costs it nothing.
    void used(double work) { m_owed -= work; }

    /// Share of `slots` that the class used in the last second or so.
    double load(TimePoint now, double slots) const;
    void addLoad(double work, TimePoint now);

private:
    manifest::WorkClass m_class;
    std::map<WorkspaceId, WorkspaceQueue> m_workspaces;
    FairOrder<WorkspaceId> m_order {
        workspaceBurstMs
    }; // ready flows are the workspaces with a request that waits
    std::uint32_t m_waiting = 0; // sum over m_workspaces
    double m_work = 0; // sum over m_workspaces, in milliseconds of slot time
    double m_owed = 0; // slot time in milliseconds; at most one request below 0
    double m_load = 0; // slots in use, a moving average as of m_loadTime
    TimePoint m_loadTime;
};

} // namespace jujubereach::admission
