#include "jujubereach/fleet/preemption-cost.h"

#include "jujubereach/fleet/queue-order.h"

#include <algorithm>

namespace jujubereach::fleet {

namespace {

    constexpr Duration reportTime { 200 }; // For the answer to a stop and the poll that reports the end.
    // Guaranteed steps must start within 2.7 s; a stop and a second attempt need most of it.
    constexpr Duration maxGuaranteedWait { 500 };
    // Run times scatter by 0.15 to 0.3 within a step, so that a run that exceeds the expected time lasts
    // about a fifth longer on average.
    constexpr double overrunShare = 0.2;

    TimePoint endIfStopped(const UrgentNeed& need)
    {
        return need.now + need.stopTime + need.runTime;
    }

    bool canBeInTime(const UrgentNeed& need)
    {
        return need.guaranteed || endIfStopped(need) <= need.inTimeBy;
    }

    // The step would otherwise wait until its result has the utility of the next stage.
    double utilityOfStop(const UrgentNeed& need)
    {
        return need.utility * (canBeInTime(need) ? 1 - lateShare : lateShare - tooLateShare);
    }

    // Stopping the victims just after their next checkpoint loses less, if the step stays in time.
    bool shouldAwaitCheckpoint(const UrgentNeed& need, const Preemption& found)
    {
        const auto wait = found.checkpointsBy - need.now;
        const auto since = need.awaitsSince == TimePoint {} ? need.now : need.awaitsSince;
        if (found.checkpointsBy > since + need.stopTime)
            return false; // With short intervals, a checkpoint is always due soon.
        return !need.guaranteed && canBeInTime(need) && found.checkpointsBy > need.now
            && wait <= need.stopTime && endIfStopped(need) + wait <= need.inTimeBy;
    }

} // namespace

Duration lostTime(const VictimRun& run)
{
    if (!run.checkpointing)
        return run.elapsed;
    auto sinceCheckpoint = Duration(0); // The stop itself saves a checkpoint.
    if (run.gang && run.checkpointInterval.count() > 0)
        sinceCheckpoint = run.startKnown ? run.elapsed % run.checkpointInterval : run.checkpointInterval / 2;
    const auto lost = sinceCheckpoint + run.restoreTime;
    return run.startKnown ? std::min(run.elapsed, lost) : lost;
}

Duration timeToCheckpoint(Duration elapsed, Duration interval)
{
    return interval.count() > 0 ? interval - elapsed % interval : Duration(0);
}

TimePoint correctedEnd(TimePoint expected, Duration runTime, TimePoint now)
{
    if (expected > now)
        return expected;
    if (now - expected < reportTime)
        return expected + reportTime; // It may have ended already.
    return now + Duration(static_cast<std::int64_t>(overrunShare * static_cast<double>(runTime.count())));
}

Duration timeOfStop(Duration stopTimeout)
{
    return stopTimeout + reportTime;
}

// The wait leaves time for a stop that keeps the step in time if the runs last longer than expected.
TimePoint awaitLimit(const UrgentNeed& need)
{
    const auto since = need.awaitsSince == TimePoint {} ? need.now : need.awaitsSince;
    const auto limit = since + (need.guaranteed ? std::min(need.stopTime, maxGuaranteedWait) : need.stopTime);
    if (limit <= need.now)
        return {};
    const auto inTime = canBeInTime(need) && !need.guaranteed;
    return inTime && limit + need.stopTime + need.runTime > need.inTimeBy ? TimePoint {} : limit;
}

PreemptionDecision decidePreemption(
    PlaceRequest request, const std::vector<WorkerView>& views, const UrgentNeed& need)
{
    if (!need.guaranteed && endIfStopped(need) > need.usefulBy)
        return { PreemptionOutcome::GiveUp, "too late to be of use", {}, {} };
    request.awaitUntil = awaitLimit(need);
    auto found = placeByPreemption(request, views);
    if (found.placement.empty())
        return { PreemptionOutcome::GiveUp, "no victims", {}, {} };
    if (found.victims.empty()) {
        const auto until = std::max(found.awaitedEnd, need.now);
        const auto* why = found.awaited.empty() ? "fits now" : "runs end soon";
        return { PreemptionOutcome::Wait, why, until, std::move(found) };
    }
    if (!need.guaranteed && found.lostUtility > utilityOfStop(need))
        return { PreemptionOutcome::GiveUp, "costs more than it gains", {}, {} };
    if (shouldAwaitCheckpoint(need, found))
        return { PreemptionOutcome::Wait, "a checkpoint is due", found.checkpointsBy, {} };
    return { PreemptionOutcome::Stop, "urgent", {}, std::move(found) };
}

const char* nameOf(PreemptionOutcome outcome)
{
    switch (outcome) {
    case PreemptionOutcome::Stop:
        return "stop";
    case PreemptionOutcome::Wait:
        return "wait";
    default:
        return "give-up";
    }
}

} // namespace jujubereach::fleet
