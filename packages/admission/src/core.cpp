// Life of a waiting request: configuration, order of service, completion.
#include "core.h"

#include <algorithm>

namespace jujubereach::admission {

namespace {

    constexpr double burstMs = 1000;

} // namespace

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

// What a class may save up: its minimum share of the slots for a while.
double AdmissionQueue::Core::burstOf(const ClassQueue& queue, double work) const
{
    return std::max(2 * work, queue.workClass().minimumShare * m_slots * burstMs);
}

// True when the request may well miss its deadline and its caller has another that waits behind it: the
// slot is better spent on that one.
bool AdmissionQueue::Core::isOutrun(const ClassQueue& queue, const Waiting& waiting, TimePoint now) const
{
    const WorkspaceQueue* workspace = queue.find(waiting.request.workspace);
    auto left = static_cast<double>((waiting.request.deadline - now).count());
    return workspace->waitingOf(waiting.request.caller) > 1 && left < highTookOf(waiting.request, true, now);
}

// How long requests really wait corrects the predictions for their workspace and class.
void AdmissionQueue::Core::noteWait(const Waiting& waiting, TimePoint now)
{
    ClassQueue* queue = findClass(waiting.request.workClass);
    WorkspaceQueue* workspace = queue ? queue->find(waiting.request.workspace) : nullptr;
    if (workspace)
        workspace->noteWait(waiting.predictedMs, static_cast<double>((now - waiting.since).count()));
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
        noteWait(*waiting, now);
        if (waiting->latestStart < now || isOutrun(*queue, *waiting, now)) {
            giveUp(*queue, waiting, RefusalReason::DeadlineTooNear, now);
            continue;
        }
        Request request = waiting->request;
        double work = waiting->work;
        bool owed = queue->isOwed();
        queue->charge(request, work);
        forget(waiting);
        queue->remove(waiting);
        for (ClassQueue& each : m_classes)
            each.served(work, burstOf(each, work));
        if (owed)
            queue->used(work);
        queue->addLoad(work, now);
        m_running[request.id] = { request, work, owed };
        return request;
    }
    return std::nullopt;
}

std::optional<AdmissionQueue::Core::Running> AdmissionQueue::Core::takeRunning(const RequestId& id)
{
    auto found = m_running.find(id);
    if (found == m_running.end())
        return std::nullopt;
    Running running = std::move(found->second);
    m_running.erase(found);
    return running;
}

void AdmissionQueue::Core::completed(const RequestId& id, Duration took, TimePoint now)
{
    if (auto running = takeRunning(id))
        learn(*running, static_cast<double>(took.count()), static_cast<double>(took.count()), now);
}

// Were a request cut off at its deadline counted as what it took until then, the estimate would fall and
// the next be started later still. One cut off beyond any usual time tells of a fault, not of the work.
void AdmissionQueue::Core::unanswered(const RequestId& id, Duration took, TimePoint now)
{
    if (auto running = takeRunning(id)) {
        auto milliseconds = static_cast<double>(took.count());
        double usual = tookOf(running->request, now);
        double high = highTookOf(running->request, false, now);
        learn(*running, milliseconds,
            milliseconds < high ? std::max(usual, (milliseconds + high) / 2) : usual, now);
    }
}

void AdmissionQueue::Core::learn(const Running& running, double usedMs, double sampleMs, TimePoint now)
{
    m_took.add(sampleMs / running.request.cost, now);
    ClassQueue* queue = findClass(running.request.workClass);
    if (!queue)
        return;
    queue->correct(running.request, usedMs - running.charged, running.owed);
    if (WorkspaceQueue* workspace = queue->find(running.request.workspace))
        workspace->took().add(sampleMs / running.request.cost, now);
}

void AdmissionQueue::Core::notRun(const RequestId& id)
{
    auto running = takeRunning(id);
    if (!running)
        return;
    if (ClassQueue* queue = findClass(running->request.workClass))
        queue->correct(running->request, -running->charged, running->owed);
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
