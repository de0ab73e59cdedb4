// Giving up on requests whose deadline cannot be met.
#include "core.h"

#include <algorithm>

namespace jujubereach::admission {

namespace {

    constexpr Duration checkPeriod { 250 };
    constexpr Duration outageGrace { 1000 };
    // A prediction may be this much off before a request that was admitted is given up for it.
    constexpr double predictionMargin = 0.8;

} // namespace

bool AdmissionQueue::Core::isOut(TimePoint now) const
{
    return m_noSlotsSince && now - *m_noSlotsSince >= outageGrace;
}

std::vector<GivenUp> AdmissionQueue::Core::expire(TimePoint now)
{
    expireLate(now);
    if (isOut(now))
        giveUpAll(RefusalReason::NoUpstream, now);
    else if (now >= m_nextCheck) {
        expireHopeless(now);
        m_nextCheck = now + checkPeriod;
    }
    return std::exchange(m_givenUp, {});
}

void AdmissionQueue::Core::expireLate(TimePoint now)
{
    while (!m_byLatestStart.empty() && m_byLatestStart.begin()->first < now) {
        auto waiting = m_index.at(m_byLatestStart.begin()->second);
        giveUp(*findClass(waiting->request.workClass), waiting, RefusalReason::DeadlineTooNear, now);
    }
}

void AdmissionQueue::Core::giveUpAll(RefusalReason reason, TimePoint now)
{
    while (!m_byLatestStart.empty()) {
        auto waiting = m_index.at(m_byLatestStart.begin()->second);
        giveUp(*findClass(waiting->request.workClass), waiting, reason, now);
    }
}

void AdmissionQueue::Core::expireHopeless(TimePoint now)
{
    for (ClassQueue& queue : m_classes) {
        if (queue.empty())
            continue;
        for (const auto& [id, workspace] : queue.workspaces()) {
            if (!workspace.empty())
                expireHopelessOf(queue, id, now);
        }
    }
}

// Looks at each caller from the back: what is ahead of its last request is ahead of none before it.
void AdmissionQueue::Core::expireHopelessOf(ClassQueue& queue, const WorkspaceId& id, TimePoint now)
{
    const WorkspaceQueue& workspace = *queue.find(id);
    std::vector<CallerId> callers;
    for (const auto& [caller, callerQueue] : workspace.byCaller())
        callers.push_back(caller);
    std::sort(callers.begin(), callers.end());
    for (const CallerId& caller : callers) {
        while (workspace.waitingOf(caller) > 1) {
            auto last = queue.find(id)->lastOf(caller);
            double ahead = workspace.workOf(caller) - last->work;
            double wait = predictionMargin * waitOf(queue, last->request, ahead, now);
            if (wait <= static_cast<double>((last->latestStart - now).count()))
                break;
            giveUp(queue, last, RefusalReason::DeadlineTooNear, now);
        }
    }
}

void AdmissionQueue::Core::giveUp(
    ClassQueue& queue, WaitingList::iterator waiting, RefusalReason reason, TimePoint now)
{
    Request request = waiting->request;
    forget(waiting);
    queue.remove(waiting);
    m_givenUp.push_back({ request, counted(refusal(reason, request, tookOf(request, now), now)) });
}

} // namespace jujubereach::admission
