#include "impl.h"

#include "cells.h"
#include "gangs.h"

#include <algorithm>

namespace jujubereach::scheduling {

namespace {

    /// Ended jobs whose ids and texts are kept, to ignore repeated submissions.
    constexpr std::size_t maxEnded = 4096;

    struct Geometry {
        std::uint32_t accelerators = 0;
        std::uint32_t perWorker = 1;
    };

    Geometry geometryOf(const manifest::Manifest& manifest, const ZoneId& zoneId, const DomainId& domainId)
    {
        Geometry geometry;
        for (const auto& zone : manifest.zones) {
            for (const auto& domain : zone.domains) {
                if (zone.id != zoneId || domain.id != domainId)
                    continue;
                for (const auto& rack : domain.racks) {
                    geometry.accelerators += rack.workers * rack.acceleratorsPerWorker;
                    geometry.perWorker = rack.acceleratorsPerWorker;
                }
            }
        }
        return geometry;
    }

    placement::Packing packingOf(const manifest::Manifest& manifest, const State& state)
    {
        auto packing = outcomeOf([&] { return placement::packShapes(manifest); });
        placement::Packing own;
        if (!packing)
            return own;
        for (const auto& placed : *packing.value) {
            if (placed.zone == state.zone && placed.domain == state.domain)
                own.push_back(placed);
        }
        return own;
    }

    EndJob refuse(const JobSpec& spec, RefusalReason reason, const std::string& text)
    {
        return { spec.id, EndKind::Stopped, reason, spec.attempt == 0, text };
    }

    const manifest::Shape* shapeOf(const WorkspaceState& workspace, const ShapeId& id)
    {
        for (const auto& shape : workspace.config.shapes) {
            if (shape.id == id)
                return &shape;
        }
        return nullptr;
    }

    /// Length of the longest run outside all guaranteed shapes.
    std::uint32_t longestUnprotectedRun(const placement::Packing& packing, std::uint32_t total)
    {
        std::map<std::uint32_t, std::uint32_t> ends;
        for (const auto& placed : packing)
            ends[placed.run.first] = placed.run.end();
        ends[total] = total;
        std::uint32_t longest = 0;
        std::uint32_t at = 0;
        for (const auto& [first, end] : ends) {
            longest = std::max(longest, first - std::min(at, first));
            at = end;
        }
        return longest;
    }

    std::string accelerators(std::uint32_t count)
    {
        return std::to_string(count) + (count == 1 ? " accelerator" : " accelerators");
    }

} // namespace

Scheduler::Impl::Impl(
    const manifest::Manifest& manifest, const ZoneId& zone, const DomainId& domain, const Policy& policy)
    : m_state(
        policy, geometryOf(manifest, zone, domain).accelerators, geometryOf(manifest, zone, domain).perWorker)
{
    m_state.zone = zone;
    m_state.domain = domain;
    applyManifest(manifest);
}

void Scheduler::Impl::applyManifest(const manifest::Manifest& manifest)
{
    m_state.limits = manifest.limits;
    for (auto& [id, workspace] : m_state.workspaces)
        workspace.listed = false;
    for (const auto& workspace : manifest.workspaces) {
        m_state.workspaces[workspace.id].config = workspace;
        m_state.workspaces[workspace.id].listed = true;
    }
    for (auto& [id, workClass] : m_state.classes)
        workClass.listed = false;
    for (const auto& workClass : manifest.classes) {
        m_state.classes[workClass.id].config = workClass;
        m_state.classes[workClass.id].listed = true;
    }
    auto packing = packingOf(manifest, m_state);
    m_state.longestUnprotected = longestUnprotectedRun(packing, m_state.total);
    placeShapeSlots(m_state, packing);
    m_state.shapeSlotsNeedRepair = true;
}

void Scheduler::Impl::reconfigure(const manifest::Manifest& manifest)
{
    m_changed = true;
    dropReservations();
    m_state.resize(geometryOf(manifest, m_state.zone, m_state.domain).accelerators);
    m_state.limits = manifest.limits;
    updateRevocable();
    applyManifest(manifest);
    endInvalidJobs();
}

void Scheduler::Impl::endInvalidJobs()
{
    std::vector<Job*> queued;
    for (const auto& [key, lane] : m_state.lanes.all()) {
        for (const auto& [sequence, job] : lane.jobs())
            queued.push_back(job);
    }
    for (auto* job : queued) {
        auto since = job->queuedSince;
        m_state.dequeue(job, since);
        auto refusal = refusalOf(job->spec);
        if (refusal)
            endJob(job, EndKind::Stopped, refusal->refusal, refusal->text);
        else
            m_state.enqueue(job, since);
    }
}

void Scheduler::Impl::updateRevocable()
{
    for (auto& [id, gang] : m_state.gangs) {
        bool counted = gang->state != GangState::Stopping;
        if (counted)
            m_state.subtractUsage(*gang);
        gang->job->revocable = revocable(gang->job->spec, m_state.limits);
        if (counted)
            m_state.addUsage(*gang);
    }
}

std::optional<EndJob> Scheduler::Impl::refusalOf(const JobSpec& spec) const
{
    auto workspace = m_state.workspaces.find(spec.workspace);
    if (workspace == m_state.workspaces.end() || !workspace->second.listed)
        return refuse(spec, RefusalReason::UnknownWorkspace,
            "The manifest has no workspace \"" + spec.workspace.str() + "\".");
    auto workClass = m_state.classes.find(spec.workClass);
    if (workClass == m_state.classes.end() || !workClass->second.listed)
        return refuse(
            spec, RefusalReason::UnknownClass, "The manifest has no class \"" + spec.workClass.str() + "\".");
    const auto& config = workspace->second.config;
    auto wanted = accelerators(spec.accelerators);
    if (spec.shape) {
        const auto* shape = shapeOf(workspace->second, *spec.shape);
        if (!shape)
            return refuse(spec, RefusalReason::UnknownShape,
                "Workspace \"" + config.id.str() + "\" has no shape \"" + spec.shape->str() + "\".");
        if (spec.accelerators > shape->accelerators)
            return refuse(spec, RefusalReason::NeverFits,
                "The job needs " + wanted + ", its shape has " + std::to_string(shape->accelerators) + ".");
    }
    if (spec.accelerators == 0 || spec.accelerators > m_state.total)
        return refuse(spec, RefusalReason::NeverFits,
            "The job needs " + wanted + ", the domain has " + std::to_string(m_state.total) + ".");
    if (!spec.shape && !revocable(spec, m_state.limits) && spec.accelerators > m_state.longestUnprotected)
        return refuse(spec, RefusalReason::NeverFits,
            "The job needs " + wanted
                + " and can neither be checkpointed nor stopped in time; guaranteed shapes leave at most "
                + std::to_string(m_state.longestUnprotected) + " adjacent ones for such jobs.");
    if (!spec.shape && config.quota > 0 && spec.accelerators > config.quota)
        return refuse(spec, RefusalReason::NeverFits,
            "The job needs " + wanted + ", the workspace's quota is " + std::to_string(config.quota) + ".");
    return std::nullopt;
}

std::optional<EndJob> Scheduler::Impl::submit(const JobSpec& spec, TimePoint now)
{
    if (m_state.jobs.contains(spec.id) || m_endedTexts.contains(spec.id))
        return std::nullopt;
    if (auto refusal = refusalOf(spec))
        return refusal;
    if (hasLostTooManyWorkers(spec))
        return EndJob { spec.id, EndKind::WorkerLost, RefusalReason::WorkersLost, false,
            workersLostText(spec) };
    if (m_state.lanes.size() >= m_state.policy.maxQueued)
        return refuse(spec, RefusalReason::QueueFull,
            "The domain's queue holds " + std::to_string(m_state.lanes.size()) + " jobs; try again later.");
    m_state.enqueue(newJob(spec), now);
    m_changed = true;
    return std::nullopt;
}

bool Scheduler::Impl::hasLostTooManyWorkers(const JobSpec& spec) const
{
    return spec.workerLosses >= m_state.policy.maxWorkerLosses;
}

std::string Scheduler::Impl::workersLostText(const JobSpec& spec)
{
    return std::to_string(spec.workerLosses)
        + " times in a row a worker was lost while the job ran; it is not started again.";
}

Job* Scheduler::Impl::newJob(const JobSpec& spec)
{
    auto job = std::make_unique<Job>();
    job->spec = spec;
    job->sequence = m_state.nextSequence++;
    job->started = spec.attempt > 0;
    job->revocable = revocable(spec, m_state.limits);
    job->predicted = m_state.predictedRemaining(spec);
    auto* added = job.get();
    m_state.jobs.emplace(spec.id, std::move(job));
    return added;
}

void Scheduler::Impl::cancel(const JobId& id, TimePoint now)
{
    auto found = m_state.jobs.find(id);
    if (found == m_state.jobs.end() || found->second->cancelled)
        return;
    auto* job = found->second.get();
    job->cancelled = true;
    m_changed = true;
    if (job->gang) {
        stop(m_state, *job->gang, id);
        return;
    }
    m_state.dequeue(job, now);
    if (job->claim)
        dropClaim(m_state, job->claim, now);
    endJob(job, EndKind::Stopped, RefusalReason::Cancelled, "The job was cancelled while it waited.");
}

void Scheduler::Impl::adopt(
    const JobSpec& spec, const GangId& id, const Run& run, Duration ranFor, TimePoint now)
{
    if (m_state.gangs.contains(id) || run.end() > m_state.occupancy.size())
        return;
    auto found = m_state.jobs.find(spec.id);
    auto* job = found == m_state.jobs.end() ? newJob(spec) : found->second.get();
    if (job->gang)
        return;
    m_state.dequeue(job, now);
    if (job->claim) {
        dropClaim(m_state, job->claim, now);
        m_state.dequeue(job, now);
    }
    job->spec.attempt = std::max(job->spec.attempt, spec.attempt);
    job->started = true;
    auto gang = std::make_unique<Gang>();
    gang->id = id;
    gang->job = job;
    gang->run = run;
    gang->state = GangState::Running;
    gang->started = now - ranFor;
    gang->runningSince = now - ranFor;
    job->gang = gang.get();
    m_state.occupancy.occupy(run, gang.get());
    if (spec.shape)
        assignShapeSlot(m_state, *gang);
    m_state.addUsage(*gang);
    m_state.gangs.emplace(id, std::move(gang));
    m_state.shapeSlotsNeedRepair = true;
    m_changed = true;
}

void Scheduler::Impl::setWorker(std::uint32_t worker, bool up)
{
    if (worker >= m_state.workerUp.size() || m_state.workerUp[worker] == up)
        return;
    m_state.workerUp[worker] = up;
    m_state.workerReported[worker] = m_state.workerReported[worker] || up;
    m_state.setUsable(worker);
    m_state.shapeSlotsNeedRepair = true;
    m_changed = true;
}

void Scheduler::Impl::gangRunning(const GangId& id, TimePoint now)
{
    auto found = m_state.gangs.find(id);
    if (found == m_state.gangs.end() || found->second->runningSince)
        return;
    found->second->runningSince = now;
    if (found->second->state == GangState::Starting)
        found->second->state = GangState::Running;
}

void Scheduler::Impl::endJob(
    Job* job, EndKind kind, std::optional<RefusalReason> refusal, const std::string& text)
{
    m_pendingEnds.push_back({ job->spec.id, kind, refusal, !job->started, text });
    recordEnded(job->spec.id, text);
    std::erase_if(m_state.reservations, [&](const Reservation& each) {
        if (each.job == job)
            m_state.occupancy.unprotect(each.run);
        return each.job == job;
    });
    m_state.jobs.erase(job->spec.id);
}

void Scheduler::Impl::recordEnded(const JobId& id, const std::string& text)
{
    m_endedTexts[id] = text;
    m_endedOrder.push_back(id);
    if (m_endedOrder.size() <= maxEnded)
        return;
    m_endedTexts.erase(m_endedOrder.front());
    m_endedOrder.pop_front();
}

Scheduler::Usage Scheduler::Impl::usage() const
{
    Usage usage;
    usage.total = m_state.total;
    usage.down = m_state.occupancy.size() - m_state.occupancy.usableCount();
    for (const auto& [id, gang] : m_state.gangs)
        usage.used += gang->run.count;
    usage.largestFreeRun = m_state.occupancy.allFree().largest();
    usage.queued = m_state.lanes.size() + m_state.claims.size();
    usage.running = m_state.gangs.size();
    return usage;
}

std::uint64_t Scheduler::Impl::stepCount() const
{
    return m_state.stepCount + m_state.occupancy.unprotectedFree().stepCount()
        + m_state.occupancy.protectedFree().stepCount() + m_state.occupancy.allFree().stepCount();
}

} // namespace jujubereach::scheduling
