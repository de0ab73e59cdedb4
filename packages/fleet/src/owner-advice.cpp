// Queries the advisory service of a queue for workers that may run a step.
#include "pass.h"

namespace jujubereach::fleet {

namespace {

    constexpr std::size_t maxAdvised = 30; // Workers per request; the objectives assume one request of 30.
    // After a failed request, or when there is no worker to ask about.
    constexpr Duration adviceRetryDelay { 300 };
    constexpr Duration ticketMargin { 300 }; // Remaining validity needed for a start call to arrive.

} // namespace

// Returns whether the step has valid tickets. Sends a request to the advisory service if not.
bool Owner::Impl::ensureAdvice(
    const ReadyStep& ready, const PlaceRequest& request, const std::vector<WorkerView>& fleet)
{
    auto& advice = ready.step().advice;
    if (!advice.tickets.empty() && now() < advice.expires)
        return true;
    if (advice.asking || now() < advice.retryAt || !m_hooks.advise)
        return false;
    std::vector<WorkerId> asked;
    for (const auto& view : fleet) {
        const auto useful
            = advice.approved.empty() ? !advice.named.contains(view.id) : advice.approved.contains(view.id);
        if (useful && couldRun(request, view) && view.free.canFit(request.spec->resources)
            && asked.size() < maxAdvised)
            asked.push_back(view.id);
    }
    if (asked.empty()) {
        advice.named.clear(); // Free capacity changes: start over with all workers.
        advice.approved.clear();
        advice.retryAt = now() + adviceRetryDelay;
        return false;
    }
    advice.asking = true;
    const TaskId step { ready.job->id(), ready.occurrence, ready.index, 0 };
    m_hooks.advise(step, asked, [this, self = m_self, step, asked](const AdviceAnswer& answer) {
        auto* job = *self ? findJob(step.job) : nullptr;
        auto* asking = job ? job->findStep(step) : nullptr;
        if (asking)
            recordAdvice(step, *asking, asked, answer);
    });
    return false;
}

void Owner::Impl::recordAdvice(
    const TaskId& id, Step& step, const std::vector<WorkerId>& asked, const AdviceAnswer& answer)
{
    auto& advice = step.advice;
    advice.asking = false;
    advice.retryAt = answer.answered ? now() : now() + adviceRetryDelay;
    advice.expires = now() + answer.validity - ticketMargin;
    advice.tickets.clear();
    if (answer.answered)
        advice.named.insert(asked.begin(), asked.end());
    for (const auto& approved : answer.approved) {
        advice.tickets[approved.worker] = approved.ticket;
        advice.approved.insert(approved.worker);
    }
    m_hooks.log("advice",
        { { "id", id.job.str() }, { "step", id.step }, { "asked", asked.size() },
            { "good", answer.approved.size() }, { "answered", answer.answered },
            { "validMs", answer.validity.count() } });
    schedulePass();
}

} // namespace jujubereach::fleet
