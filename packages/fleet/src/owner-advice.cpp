// Queries the advisory service of a queue, which alone knows the workers that may run a step.
//
// Each answer is kept by worker and holds for its incarnation; tickets expire one by one. A step whose tasks
// cannot all start on workers with a ticket asks about the others.
#include "pass.h"

#include <algorithm>

namespace jujubereach::fleet {

namespace {

    constexpr std::size_t usualAsked = 30; // Workers per call; the objectives assume one call of 30.
    constexpr std::size_t maxAsked = 100; // Accepted by the service in one call.
    // The service handles the calls of a host one by one, so later ones would delay steps of higher rank.
    constexpr int maxCallsInFlight = 4;
    // A call that takes longer no longer counts as in flight: the service or the connection may be silent.
    constexpr Duration usualCallTime { 1000 };
    constexpr Duration retryDelay { 300 }; // After a call without an answer or a refused ticket.
    constexpr Duration searchInterval { 100 }; // Per step, after a search without a worker to ask about.
    constexpr Duration ticketMargin { 300 }; // Remaining validity needed for a start call to arrive.
    constexpr Duration minWaitForBusy { 1000 }; // Before a step asks about workers that are not free.

    // Number of tasks of the request that fit on the worker beside the step's own.
    int tasksThatFit(const PlaceRequest& request, const WorkerView& view, Resources room)
    {
        auto most = request.count;
        if (request.spec->maxPerWorker > 0) {
            const auto present = request.onWorker->find(view.id);
            most = std::min(most,
                request.spec->maxPerWorker - (present == request.onWorker->end() ? 0 : present->second));
        }
        int tasks = 0;
        for (; tasks < most && room.canFit(request.spec->resources); ++tasks)
            room -= request.spec->resources;
        return tasks;
    }

    // Workers that could hold the whole request together, by what is known of them. Numbers count tasks.
    struct CandidateSet {
        std::vector<std::pair<WorkerId, int>> expired; ///< Approved, without a valid ticket.
        std::vector<std::pair<WorkerId, int>> unknown;
        int ticketed = 0;
        int approved = 0; ///< With or without a valid ticket.
        int all = 0;
    };

} // namespace

bool Owner::Impl::isCurrent(const WorkerId& id, const WorkerAdvice& advice) const
{
    const auto worker = m_workers.find(id);
    return worker != m_workers.end() && worker->second.incarnation == advice.incarnation;
}

AdvisedWorkers Owner::Impl::advisedWorkers(const Step& step) const
{
    AdvisedWorkers out;
    for (const auto& [id, advice] : step.advice.workers) {
        if (!isCurrent(id, advice))
            continue;
        (advice.approved ? out.approved : out.denied).insert(id);
        if (advice.approved && now() < advice.expires)
            out.ticketed.insert(id);
    }
    return out;
}

// Asks about workers that could run the tasks of the request, none of which has a place on workers with a
// ticket.
void Owner::Impl::askForAdvice(
    const ReadyStep& ready, const PlaceRequest& request, const std::vector<WorkerView>& fleet)
{
    auto& advice = ready.step().advice;
    auto& nextSearch = advice.nextSearch[ready.isolated ? 1 : 0];
    const auto inFlight = std::count_if(m_adviceCalls.begin(), m_adviceCalls.end(),
        [this](TimePoint sentAt) { return now() - sentAt < usualCallTime; });
    if (advice.asking || now() < std::max(advice.retryAt, nextSearch) || inFlight >= maxCallsInFlight
        || !m_hooks.advise)
        return;
    auto asked = workersToAsk(ready.step(), request, fleet, AskAbout::Free);
    if (asked.empty() && request.priority <= urgentPriority)
        asked = workersToAsk(ready.step(), request, fleet, AskAbout::Preemptible);
    if (asked.empty() && now() - ready.step().waitingSince >= minWaitForBusy
        && needsReservation(request, fleet))
        asked = workersToAsk(ready.step(), request, fleet, AskAbout::Reservable);
    if (asked.empty()) {
        nextSearch = now() + searchInterval;
        return logMissingWorkers(ready, request);
    }
    std::map<WorkerId, std::int64_t> incarnations;
    for (const auto& id : asked)
        incarnations[id] = findWorker(id)->incarnation;
    advice.asking = true;
    const auto call = m_adviceCalls.insert(now());
    const TaskId step { ready.job->id(), ready.occurrence, ready.index, 0 };
    m_hooks.advise(step, asked,
        [this, self = m_self, step, incarnations, call, needed = request.count](const AdviceAnswer& answer) {
            if (!*self)
                return;
            m_adviceCalls.erase(call);
            schedulePass();
            auto* job = findJob(step.job);
            if (auto* asking = job ? job->findStep(step) : nullptr)
                recordAdvice(step, *asking, incarnations, needed, answer);
        });
}

std::vector<WorkerId> Owner::Impl::workersToAsk(
    const Step& step, const PlaceRequest& request, const std::vector<WorkerView>& fleet, AskAbout which) const
{
    auto candidates = request;
    candidates.isolated = request.isolated && which == AskAbout::Free;
    std::vector<CandidateSet> sets;
    forEachCandidateSet(candidates, fleet, [&](const std::vector<std::size_t>& members) {
        CandidateSet set;
        for (const auto i : members) {
            const auto& view = fleet[i];
            const auto tasks
                = tasksThatFit(request, view, which == AskAbout::Free ? view.free : view.capacity);
            if (tasks == 0)
                continue;
            set.all += tasks;
            const auto known = step.advice.workers.find(view.id);
            if (known == step.advice.workers.end() || !isCurrent(view.id, known->second)) {
                set.unknown.emplace_back(view.id, tasks);
                continue;
            }
            set.approved += tasks; // Denied workers are excluded by the request.
            if (now() < known->second.expires)
                set.ticketed += tasks;
            else
                set.expired.emplace_back(view.id, tasks);
        }
        if (set.all > 0 && (!request.spec->gang || set.all >= request.count))
            sets.push_back(std::move(set));
    });
    std::stable_sort(sets.begin(), sets.end(),
        [](const CandidateSet& a, const CandidateSet& b) { return a.approved > b.approved; });
    std::vector<WorkerId> out;
    for (const auto& set : sets) {
        // Tickets would expire before the workers are free; only approval matters for a reservation.
        const auto approvalSuffices = which == AskAbout::Reservable;
        auto tasks = approvalSuffices ? set.approved : set.ticketed;
        if (which != AskAbout::Free && tasks >= request.count)
            return {};
        const auto add = [&](const std::vector<std::pair<WorkerId, int>>& workers) {
            for (const auto& [id, fit] : workers) {
                if (out.size() >= maxAsked || (tasks >= request.count && out.size() >= usualAsked))
                    return;
                out.push_back(id);
                tasks += fit;
            }
        };
        if (!approvalSuffices)
            add(set.expired);
        add(set.unknown);
        if (out.size() >= usualAsked)
            break;
    }
    return out;
}

void Owner::Impl::recordAdvice(const TaskId& id, Step& step, const std::map<WorkerId, std::int64_t>& asked,
    int needed, const AdviceAnswer& answer)
{
    auto& advice = step.advice;
    advice.asking = false;
    advice.retryAt = answer.answered ? now() : now() + retryDelay;
    if (answer.answered) {
        for (const auto& [worker, incarnation] : asked)
            advice.workers[worker] = { incarnation, false, {}, {} };
    }
    const auto expires = now() + answer.validity - std::min(ticketMargin, answer.validity / 2);
    for (const auto& approved : answer.approved) {
        if (const auto found = asked.find(approved.worker); found != asked.end())
            advice.workers[approved.worker] = { found->second, true, approved.ticket, expires };
    }
    m_hooks.log("advice",
        { { "id", id.job.str() }, { "step", id.step }, { "needed", needed }, { "asked", asked.size() },
            { "good", answer.approved.size() }, { "answered", answer.answered },
            { "validMs", answer.validity.count() } });
}

// The worker has refused the ticket: it has expired there, or is that of an earlier incarnation.
void Owner::Impl::dropTicket(const TaskId& task, const WorkerId& worker)
{
    auto* job = findJob(task.job);
    auto* step = job ? job->findStep(task) : nullptr;
    if (!step)
        return;
    step->advice.workers.erase(worker);
    step->advice.retryAt = now() + retryDelay;
}

// Logged again only when more is known.
void Owner::Impl::logMissingWorkers(const ReadyStep& ready, const PlaceRequest& request)
{
    auto& advice = ready.step().advice;
    if (std::exchange(advice.loggedWorkers, advice.workers.size()) == advice.workers.size())
        return;
    const auto advised = advisedWorkers(ready.step());
    m_hooks.log("advice-waits",
        { { "id", ready.job->id().str() }, { "step", ready.index }, { "needed", request.count },
            { "ticketed", advised.ticketed.size() }, { "approved", advised.approved.size() },
            { "denied", advised.denied.size() } });
}

} // namespace jujubereach::fleet
