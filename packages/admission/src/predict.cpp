// Predicted waits, and when a refused caller should come back.
#include "core.h"

#include <algorithm>

namespace jujubereach::admission {

namespace {

    constexpr double initialTookMs = 50; // until the first request has finished
    constexpr double leastTookMs = 0.1;
    constexpr double leastSlots = 0.01;
    constexpr double mostlyDeviations = 3;
    constexpr double surelyDeviations = 5;
    constexpr double maxWaitMs = 3'600'000;
    constexpr double leastRetryMs = 100;
    constexpr double mostRetryMs = 60'000;
    constexpr double retryJitter = 0.25;

} // namespace

double AdmissionQueue::Core::tookOf(const ClassQueue& queue, const WorkspaceId& id, TimePoint now) const
{
    const WorkspaceQueue* workspace = queue.find(id);
    if (workspace && workspace->took().known())
        return std::max(leastTookMs, workspace->took().mean(now));
    return m_took.known() ? std::max(leastTookMs, m_took.mean(now)) : initialTookMs;
}

double AdmissionQueue::Core::tookOf(const Request& request, TimePoint now) const
{
    const ClassQueue* queue = findClass(request.workClass);
    return queue ? request.cost * tookOf(*queue, request.workspace, now) : initialTookMs;
}

// What nearly all requests of this kind stay within. A caller who has others that wait can spare one that
// may be late, so that its slots go to those that are surely in time.
double AdmissionQueue::Core::highTookOf(const Request& request, bool hasOthers, TimePoint now) const
{
    double deviations = hasOthers ? surelyDeviations : mostlyDeviations;
    const ClassQueue* queue = findClass(request.workClass);
    const WorkspaceQueue* workspace = queue ? queue->find(request.workspace) : nullptr;
    if (workspace && workspace->took().known())
        return request.cost * workspace->took().high(deviations, now);
    return m_took.known() ? request.cost * m_took.high(deviations, now) : tookOf(request, now);
}

// The slots that a class gets while it has requests that wait: what more urgent classes leave, less the
// minimum shares of waiting classes below it, but never less than its own minimum share.
double AdmissionQueue::Core::classSlots(const ClassQueue& queue, TimePoint now) const
{
    double slots = m_slots > 0 ? m_slots : m_lastSlots;
    double share = 1;
    for (const ClassQueue& other : m_classes) {
        if (other.workClass().rank < queue.workClass().rank)
            share -= other.load(now, slots);
        else if (&other != &queue && !other.empty())
            share -= other.workClass().minimumShare;
    }
    return std::max({ leastSlots, slots * queue.workClass().minimumShare, slots * share });
}

double AdmissionQueue::Core::workspaceSlots(
    const ClassQueue& queue, const WorkspaceId& id, TimePoint now) const
{
    double weight = weightOf(id);
    double all = queue.readyWeight() + (queue.isReady(id) ? 0 : weight);
    return classSlots(queue, now) * weight / all;
}

// A flow has its own work served at no less than its share, and waits for no more than all that its
// workspace or its class holds; the least of the three bounds is the wait. On average half of another
// request comes first.
double AdmissionQueue::Core::waitOf(
    const ClassQueue& queue, const Request& request, double ahead, TimePoint now) const
{
    double took = tookOf(request, now);
    double slots = classSlots(queue, now);
    double own = workspaceSlots(queue, request.workspace, now);
    const WorkspaceQueue* workspace = queue.find(request.workspace);
    double workspaceWork = workspace ? workspace->work() : 0;
    double flows = 1;
    if (workspace)
        flows = workspace->callers() + (workspace->waitingOf(request.caller) > 0 ? 0 : 1);

    double turnOfClass = took * std::max(0.0, 1 - slots) / slots;
    double byClass = queue.work() / slots;
    double byWorkspace = (workspaceWork + took / 2) / own;
    double byCaller = (ahead + took / 2) * flows / own;
    double correction = workspace ? workspace->waitCorrection() : 1;
    double wait = turnOfClass + std::min({ byClass, byWorkspace, byCaller });
    return std::min(maxWaitMs, correction * wait);
}

// Wait of a request that comes now.
double AdmissionQueue::Core::waitAtEnd(const Request& request, TimePoint now) const
{
    const ClassQueue& queue = *findClass(request.workClass);
    const WorkspaceQueue* workspace = queue.find(request.workspace);
    return waitOf(queue, request, workspace ? workspace->workOf(request.caller) : 0, now);
}

Duration AdmissionQueue::Core::predictedWait(const Request& request, TimePoint now) const
{
    if (!findClass(request.workClass))
        return Duration(0);
    return Duration(static_cast<Duration::rep>(waitAtEnd(request, now)));
}

Refusal AdmissionQueue::Core::refusal(
    RefusalReason reason, const Request& request, double excessMs, TimePoint now)
{
    switch (reason) {
    case RefusalReason::UnknownClass:
        return { reason, Duration(0), "The manifest has no class " + request.workClass.str() + "." };
    case RefusalReason::UnknownWorkspace:
        return { reason, Duration(0), "The manifest has no workspace " + request.workspace.str() + "." };
    case RefusalReason::DuplicateId:
        return { reason, Duration(0), "A request with this id is in progress; fetch its answer by id." };
    case RefusalReason::DeadlineTooNear:
        return { reason, retryAfter(request, excessMs, now), "The deadline cannot be met; come back later." };
    case RefusalReason::CallerBound:
        return { reason, retryAfter(request, excessMs, now), "Too many requests of this caller wait." };
    case RefusalReason::WorkspaceBound:
        return { reason, retryAfter(request, excessMs, now), "Too many requests of this workspace wait." };
    case RefusalReason::HostBound:
        return { reason, retryAfter(request, excessMs, now), "Too many requests wait; come back later." };
    case RefusalReason::Displaced:
        return { reason, retryAfter(request, excessMs, now), "Gave way to a caller who asks for less." };
    case RefusalReason::NoUpstream:
        return { reason, retryAfter(request, excessMs, now), "No upstream takes requests now." };
    }
    return { reason, Duration(0), {} };
}

// Refused callers are told to come back one after another, at the rate at which their workspace is
// served; beyond the longest wait they are spread at random.
Duration AdmissionQueue::Core::retryAfter(const Request& request, double excessMs, TimePoint now)
{
    ClassQueue* queue = findClass(request.workClass);
    if (!queue || !m_weights.contains(request.workspace))
        return Duration(0);
    WorkspaceQueue& workspace = queue->workspace(request.workspace, weightOf(request.workspace));
    double turn = tookOf(request, now) / workspaceSlots(*queue, request.workspace, now);
    workspace.addReturn(turn, now);
    double wait = std::max({ leastRetryMs, excessMs, workspace.returnsIn(now) });
    if (wait > mostRetryMs)
        wait = mostRetryMs * (0.5 + 0.5 * m_random.unit());
    wait *= 1 + retryJitter * m_random.unit();
    return Duration(static_cast<Duration::rep>(wait));
}

} // namespace jujubereach::admission
