// Admission of one request: faults, deadline, bounds, and who gives way at a bound.
#include "core.h"

#include <algorithm>

namespace jujubereach::admission {

std::optional<Refusal> AdmissionQueue::Core::offer(const Request& request, TimePoint now)
{
    if (auto fault = findFault(request))
        return counted(refusal(*fault, request, 0, now));
    if (isOut(now))
        return counted(refusal(RefusalReason::NoUpstream, request, 0, now));
    double wait = waitAtEnd(request, now);
    if (auto late = refuseIfLate(request, wait, now))
        return counted(*late);
    if (auto full = makeRoom(request, now))
        return counted(*full);
    admit(request, wait, now);
    return std::nullopt;
}

Refusal AdmissionQueue::Core::counted(Refusal refusal)
{
    ++m_counts.refused[static_cast<std::size_t>(refusal.reason)];
    return refusal;
}

std::optional<RefusalReason> AdmissionQueue::Core::findFault(const Request& request) const
{
    if (!findClass(request.workClass))
        return RefusalReason::UnknownClass;
    if (!m_weights.contains(request.workspace))
        return RefusalReason::UnknownWorkspace;
    if (m_index.contains(request.id) || m_running.contains(request.id))
        return RefusalReason::DuplicateId;
    return std::nullopt;
}

std::optional<Refusal> AdmissionQueue::Core::refuseIfLate(const Request& request, double wait, TimePoint now)
{
    // Where requests wait, a slot is better spent on one that will be in time.
    const WorkspaceQueue* workspace = findClass(request.workClass)->find(request.workspace);
    bool hasOthers = workspace && workspace->waitingOf(request.caller) > 0;
    double needed = wait + (wait > 0 ? highTookOf(request, hasOthers, now) : tookOf(request, now));
    double excess = needed - static_cast<double>((request.deadline - now).count());
    if (excess <= 0)
        return std::nullopt;
    return refusal(RefusalReason::DeadlineTooNear, request, excess, now);
}

std::optional<Refusal> AdmissionQueue::Core::makeRoom(const Request& request, TimePoint now)
{
    const std::pair<Scope, RefusalReason> scopes[] = {
        { Scope::Caller, RefusalReason::CallerBound },
        { Scope::Workspace, RefusalReason::WorkspaceBound },
        { Scope::Host, RefusalReason::HostBound },
    };
    for (auto [scope, reason] : scopes) {
        if (isFull(request, scope) && !displaceOne(request, scope, now))
            return refusal(reason, request, tookOf(request, now), now);
    }
    return std::nullopt;
}

bool AdmissionQueue::Core::isFull(const Request& request, Scope scope) const
{
    std::uint32_t waiting = 0;
    for (const ClassQueue& queue : m_classes)
        waiting += waitingIn(queue, request, scope);
    return waiting >= boundOf(scope);
}

std::uint32_t AdmissionQueue::Core::boundOf(Scope scope) const
{
    switch (scope) {
    case Scope::Host:
        return m_bounds.host;
    case Scope::Workspace:
        return m_bounds.workspace;
    case Scope::Caller:
        return m_bounds.caller;
    }
    return m_bounds.host;
}

std::uint32_t AdmissionQueue::Core::waitingIn(
    const ClassQueue& queue, const Request& request, Scope scope) const
{
    if (scope == Scope::Host)
        return queue.waiting();
    const WorkspaceQueue* workspace = queue.find(request.workspace);
    if (!workspace)
        return 0;
    return scope == Scope::Workspace ? workspace->waiting() : workspace->waitingOf(request.caller);
}

// The least urgent class that holds more places than its minimum share, the newcomer counted in.
ClassQueue* AdmissionQueue::Core::classToDisplace(const Request& request, Scope scope)
{
    for (std::size_t i = m_classes.size(); i-- > 0;) {
        ClassQueue& queue = m_classes[i];
        bool own = queue.workClass().id == request.workClass;
        std::uint32_t places = waitingIn(queue, request, scope) + (own ? 1 : 0);
        if (places > 0 && places > queue.workClass().minimumShare * boundOf(scope))
            return &queue;
    }
    return nullptr;
}

// Takes the place of whoever holds most for its weight. False when that is the newcomer itself.
bool AdmissionQueue::Core::displaceOne(const Request& request, Scope scope, TimePoint now)
{
    ClassQueue* queue = classToDisplace(request, scope);
    if (!queue || queue->empty())
        return false;
    bool sameClass = queue->workClass().id == request.workClass;
    WorkspaceId workspaceId = scope == Scope::Host ? queue->largestWorkspace() : request.workspace;
    if (sameClass && scope == Scope::Host && holdsMost(*queue, workspaceId, request))
        workspaceId = request.workspace;
    WorkspaceQueue* workspace = queue->find(workspaceId);
    if (!workspace || workspace->empty())
        return false;

    CallerId caller = scope == Scope::Caller ? request.caller : workspace->largestCaller();
    if (sameClass && workspaceId == request.workspace
        && workspace->waitingOf(request.caller) + 1 > workspace->waitingOf(caller))
        return false;
    giveUp(*queue, workspace->lastOf(caller), RefusalReason::Displaced, now);
    return true;
}

// Whether the newcomer's workspace, the newcomer counted in, holds more for its weight than `largest`.
bool AdmissionQueue::Core::holdsMost(
    const ClassQueue& queue, const WorkspaceId& largest, const Request& request) const
{
    const WorkspaceQueue* own = queue.find(request.workspace);
    double mine = ((own ? own->waiting() : 0) + 1) / weightOf(request.workspace);
    return mine >= queue.find(largest)->waiting() / weightOf(largest);
}

void AdmissionQueue::Core::admit(const Request& request, double predictedMs, TimePoint now)
{
    double work = tookOf(request, now);
    auto latestStart = request.deadline - Duration(static_cast<Duration::rep>(work));
    insert({ request, work, predictedMs, now, latestStart });
    ++m_counts.admitted;
}

} // namespace jujubereach::admission
