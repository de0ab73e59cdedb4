// Handles the end of a gang: updates worker health and run-time estimates, then ends or requeues the job.
#include "cells.h"
#include "gangs.h"
#include "impl.h"

#include <algorithm>

namespace jujubereach::scheduling {

namespace {

    std::vector<std::uint32_t> workersOf(const State& state, const Run& run)
    {
        std::vector<std::uint32_t> workers;
        for (auto worker = state.occupancy.workerOf(run.first);
             worker <= state.occupancy.workerOf(run.end() - 1); ++worker)
            workers.push_back(worker);
        return workers;
    }

    bool isFailure(EndKind kind)
    {
        return kind == EndKind::Failed || kind == EndKind::StartFailed;
    }

} // namespace

void Scheduler::Impl::gangEnded(const GangEnd& end, TimePoint now)
{
    auto found = m_state.gangs.find(end.gang);
    if (found == m_state.gangs.end())
        return;
    auto gang = std::move(found->second);
    m_state.gangs.erase(found);
    auto* job = gang->job;
    job->gang = nullptr;
    if (gang->state != GangState::Stopping)
        m_state.subtractUsage(*gang);
    m_state.occupancy.vacate(gang->run, gang.get());
    if (gang->shapeSlot)
        gang->shapeSlot->holder = nullptr;
    m_changed = true;
    m_state.shapeSlotsNeedRepair = true;
    recordWorkerResults(*gang, end, now);
    if (end.kind == EndKind::Completed)
        learn(*gang, now);
    finishAttempt(job, end, now);
}

void Scheduler::Impl::recordWorkerResults(const Gang& gang, const GangEnd& end, TimePoint now)
{
    auto* job = gang.job;
    if (end.kind == EndKind::Completed || end.kind == EndKind::Checkpointed) {
        for (auto worker : workersOf(m_state, gang.run)) {
            if (m_state.health.recordSuccess(worker))
                m_state.setUsable(worker);
        }
        return;
    }
    if (!isFailure(end.kind))
        return;
    auto faultyWorkers = end.faultyWorkers.empty() ? workersOf(m_state, gang.run) : end.faultyWorkers;
    bool counts = false;
    for (auto worker : faultyWorkers) {
        if (worker >= m_state.workerUp.size())
            continue;
        if (gang.probe)
            m_state.health.recordProbeFailure(worker, now);
        else if (job->failures == 0 && m_state.health.recordFailure(worker, job->spec.id, now))
            m_state.setUsable(worker);
        job->failedWorkers.push_back(worker);
        counts = counts || !m_state.health.quarantined(worker);
    }
    job->failures += counts ? 1 : 0;
    job->lastFailure = now;
}

void Scheduler::Impl::learn(const Gang& gang, TimePoint now)
{
    if (!gang.runningSince)
        return;
    const auto& spec = gang.job->spec;
    auto actual = now - *gang.runningSince + spec.progress;
    if (m_state.runTimePredictor.learn(spec.workspace, spec.kind, spec.declaredRunTime, actual))
        m_state.updatePredictions(spec.workspace, spec.kind);
}

void Scheduler::Impl::finishAttempt(Job* job, const GangEnd& end, TimePoint now)
{
    if (job->spec.checkpointable)
        job->spec.progress = std::max(job->spec.progress, end.progress);
    job->spec.workerLosses = end.workerLosses;
    if (end.kind == EndKind::Completed)
        return endJob(job, end.kind, std::nullopt, "The job completed.");
    if (end.kind == EndKind::Unknown)
        return endJob(job, end.kind, RefusalReason::OutcomeUnknown,
            "Whether the job ran to its end is not known; it is not started again.");
    if (job->cancelled)
        return endJob(job, EndKind::Stopped, RefusalReason::Cancelled, "The job was cancelled while it ran.");
    if (end.kind == EndKind::Checkpointed)
        return requeue(job, now);
    if (hasLostTooManyWorkers(job->spec))
        return endJob(job, EndKind::WorkerLost, RefusalReason::WorkersLost, workersLostText(job->spec));
    if (isFailure(end.kind))
        return finishFailedAttempt(job, end, now);
    if (job->spec.restartable)
        return requeue(job, now);
    const auto* text = end.kind == EndKind::WorkerLost
        ? "A worker was lost while the job ran, and the job may not be started twice."
        : "The job was stopped before its checkpoint was done, and it may not be started twice.";
    endJob(job, end.kind, std::nullopt, text);
}

void Scheduler::Impl::finishFailedAttempt(Job* job, const GangEnd& end, TimePoint now)
{
    auto bound = std::min(m_state.policy.maxFailures,
        std::max<std::uint32_t>(1, m_state.occupancy.usableCount() / m_state.occupancy.perWorker()));
    if (job->failures >= bound)
        return endJob(job, EndKind::Failed, RefusalReason::FailsEverywhere,
            "The job failed " + std::to_string(job->failures)
                + " times, each time on another worker or after a pause.");
    if (end.kind == EndKind::Failed && !job->spec.restartable)
        return endJob(job, EndKind::Failed, std::nullopt, "The job failed and may not be started twice.");
    requeue(job, now);
}

void Scheduler::Impl::requeue(Job* job, TimePoint now)
{
    auto refusal = refusalOf(job->spec);
    if (refusal)
        return endJob(job, EndKind::Stopped, refusal->refusal, refusal->text);
    if (m_state.policy.requeue)
        m_state.enqueue(job, now);
    else
        m_state.jobs.erase(job->spec.id);
}

} // namespace jujubereach::scheduling
