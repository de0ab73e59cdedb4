// Life of a waiting request: configuration, order of service, completion.
#include "core.h"

#include <algorithm>

namespace jujubereach::admission {

void AdmissionQueue::Core::configure(const manifest::Manifest& manifest, TimePoint now)
{
    m_weights.clear();
    for (const auto& workspace : manifest.workspaces)
        m_weights[workspace.id] = workspace.weight;

    std::vector<WaitingList::iterator> all;
    for (const auto& [id, waiting] : m_index)
        all.push_back(waiting);
    auto byArrival = [](const auto& a, const auto& b) {
        return std::pair(a->since, a->request.id) < std::pair(b->since, b->request.id);
    };
    std::sort(all.begin(), all.end(), byArrival);
    std::vector<Waiting> kept;
    kept.reserve(all.size());
    for (const auto& waiting : all)
        kept.push_back(*waiting);
    m_index.clear();
    m_byLatestStart.clear();

    std::vector<ClassQueue> old = std::move(m_classes);
    m_classes.clear();
    for (const auto& workClass : manifest.classes)
        m_classes.emplace_back(workClass);
    auto byRank = [](const auto& a, const auto& b) { return a.workClass().rank < b.workClass().rank; };
    std::sort(m_classes.begin(), m_classes.end(), byRank);
    inheritEstimates(old);
    for (const Waiting& waiting : kept)
        takeOver(waiting, now);
}

void AdmissionQueue::Core::inheritEstimates(const std::vector<ClassQueue>& old)
{
    for (const ClassQueue& from : old) {
        ClassQueue* queue = findClass(from.workClass().id);
        if (!queue)
            continue;
        for (const auto& [id, workspace] : from.workspaces()) {
            if (m_weights.contains(id))
                queue->workspace(id, weightOf(id)).took() = workspace.took();
        }
    }
}

void AdmissionQueue::Core::takeOver(const Waiting& waiting, TimePoint now)
{
    if (auto fault = findFault(waiting.request)) {
        ++m_counts.refused[static_cast<std::size_t>(*fault)];
        m_givenUp.push_back({ waiting.request, refusal(*fault, waiting.request, 0, now) });
        return;
    }
    insert(waiting);
}

void AdmissionQueue::Core::insert(const Waiting& waiting)
{
    ClassQueue* queue = findClass(waiting.request.workClass);
    m_index[waiting.request.id] = queue->add(waiting, weightOf(waiting.request.workspace));
    m_byLatestStart.emplace(waiting.latestStart, waiting.request.id);
}

void AdmissionQueue::Core::setSlots(std::uint32_t slots, TimePoint now)
{
    // With fewer slots, what was predicted at admission no longer holds.
    if (slots < m_slots)
        m_nextCheck = now;
    m_slots = slots;
    if (slots > 0) {
        m_lastSlots = slots;
        m_noSlotsSince.reset();
    } else if (!m_noSlotsSince)
        m_noSlotsSince = now;
}

ClassQueue* AdmissionQueue::Core::nextClass()
{
    ClassQueue* first = nullptr;
    for (ClassQueue& queue : m_classes) {
        if (queue.empty())
            continue;
        if (queue.isOwed())
            return &queue;
        if (!first)
            first = &queue;
    }
    return first;
}

std::optional<Request> AdmissionQueue::Core::next(TimePoint now)
{
    while (ClassQueue* queue = nextClass()) {
        auto waiting = queue->first();
        if (waiting->latestStart < now) {
            giveUp(*queue, waiting, RefusalReason::DeadlineTooNear, now);
            continue;
        }
        Request request = waiting->request;
        double work = waiting->work;
        queue->charge(request, work);
        forget(waiting);
        queue->remove(waiting);
        for (ClassQueue& each : m_classes)
            each.served(work, std::max(2 * work, each.workClass().minimumShare * m_slots * work));
        queue->used(work);
        queue->addLoad(work, now);
        m_running[request.id] = { request, work };
        return request;
    }
    return std::nullopt;
}

void AdmissionQueue::Core::completed(const RequestId& id, Duration took, TimePoint now)
{
    auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    Running running = std::move(found->second);
    m_running.erase(found);
    auto milliseconds = static_cast<double>(took.count());
    m_took.add(milliseconds / running.request.cost, now);
    ClassQueue* queue = findClass(running.request.workClass);
    if (!queue)
        return;
    queue->correct(running.request, milliseconds - running.charged);
    if (WorkspaceQueue* workspace = queue->find(running.request.workspace))
        workspace->took().add(milliseconds / running.request.cost, now);
}

void AdmissionQueue::Core::notRun(const RequestId& id)
{
    auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    if (ClassQueue* queue = findClass(found->second.request.workClass))
        queue->correct(found->second.request, -found->second.charged);
    m_running.erase(found);
}

bool AdmissionQueue::Core::abandon(const RequestId& id)
{
    auto found = m_index.find(id);
    if (found == m_index.end())
        return false;
    auto waiting = found->second;
    ClassQueue* queue = findClass(waiting->request.workClass);
    forget(waiting);
    queue->remove(waiting);
    ++m_counts.abandoned;
    return true;
}

void AdmissionQueue::Core::forget(WaitingList::iterator waiting)
{
    m_byLatestStart.erase({ waiting->latestStart, waiting->request.id });
    m_index.erase(waiting->request.id);
}

ClassQueue* AdmissionQueue::Core::findClass(const ClassId& id)
{
    for (ClassQueue& queue : m_classes) {
        if (queue.workClass().id == id)
            return &queue;
    }
    return nullptr;
}

const ClassQueue* AdmissionQueue::Core::findClass(const ClassId& id) const
{
    return const_cast<Core*>(this)->findClass(id);
}

double AdmissionQueue::Core::weightOf(const WorkspaceId& id) const
{
    auto found = m_weights.find(id);
    return found == m_weights.end() ? 1 : found->second;
}

Snapshot AdmissionQueue::Core::snapshot(TimePoint now) const
{
    Snapshot snapshot = m_counts;
    snapshot.slots = m_slots;
    snapshot.waiting = waiting();
    snapshot.running = static_cast<std::uint32_t>(m_running.size());
    for (const ClassQueue& queue : m_classes) {
        for (const auto& [id, workspace] : queue.workspaces()) {
            WaitingOf of { queue.workClass().id, id, workspace.waiting(), workspace.callers(), {}, {} };
            for (const auto& [caller, callerQueue] : workspace.byCaller())
                of.oldest = std::max(of.oldest, now - callerQueue.list.front().since);
            of.meanTook = Duration(static_cast<Duration::rep>(tookOf(queue, id, now)));
            snapshot.queues.push_back(of);
        }
    }
    return snapshot;
}

} // namespace jujubereach::admission
