#include "owner-impl.h"

#include <boost/json.hpp>

#include <algorithm>

namespace jujubereach::fleet {

namespace {

    constexpr Duration sweepInterval { 50 }; // Small against all time limits that the owner enforces.
    constexpr Duration wakeDelay { 2 }; // Batches events that occur together.
    constexpr Duration maxRecoveredAge { 600'000 }; // Far above any objective; ranks hardly change beyond it.
    constexpr int maxOpenTasks = 20'000; // Limit on the tasks in all open occurrences of one job.

} // namespace

Duration recoveryGracePeriod(const OwnerSettings& settings)
{
    const auto hold = static_cast<double>(settings.maxHold.count()) * (1 + clockDrift);
    return settings.ownershipTimeout - settings.ownerLease + Duration(static_cast<std::int64_t>(hold))
        + lapseMargin;
}

Owner::Impl::Impl(OwnerSettings settings, OwnerHooks hooks, Fence fence, Revision ownerKey)
    : m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_fence(fence)
    , m_ownerKey(ownerKey)
    , m_config(std::make_shared<FleetConfig>())
    , m_tookOverAt(m_hooks.clock())
    , m_self(std::make_shared<Impl*>(this))
    , m_pace(settings.interferenceBound)
{
}

void Owner::Impl::restoreJob(JobRecord record, std::optional<ProgressRecord> progress, Revision revision)
{
    const auto id = record.id;
    auto& job = m_jobs[id];
    job.record = std::move(record);
    job.arrived = arrivalOf(job.record);
    job.ended = now();
    job.recovered = true;
    job.progressRevision = revision;
    if (progress)
        job.restore(*progress, lastEarlierOrder() + maxOrderDelay);
    if (isFinal(job.state))
        return;
    if (job.spec().repeatCount == 0 && job.nextOccurrence == 0)
        job.addOccurrence(0);
    m_open.insert(id);
}

// Host clocks differ and may jump, so the age is clamped.
TimePoint Owner::Impl::arrivalOf(const JobRecord& record) const
{
    const auto age = Duration(m_hooks.wall().milliseconds - record.acceptedAt.milliseconds);
    return now() - std::clamp(age, Duration(0), maxRecoveredAge);
}

void Owner::Impl::restoreRoster(const std::optional<std::vector<RosterRow>>& roster, Revision revision)
{
    m_rosterRevision = revision;
    m_byRackStale = true;
    m_rosterUnreadable = !roster;
    if (!roster)
        return;
    for (const auto& row : *roster) {
        const auto& id = row.worker.id;
        m_roster[id] = row.open;
        m_unresolved.insert(id);
        if (!row.open)
            m_closed[id] = row.tasks;
        auto& worker = m_workers[id];
        if (worker.report.id.empty())
            worker.report = row.worker;
    }
}

void Owner::Impl::recovered()
{
    m_recovered = true;
    count("jujubereach_takeovers_total");
    m_hooks.log("takeover",
        { { "fence", m_fence.value }, { "openJobs", m_open.size() }, { "jobs", m_jobs.size() },
            { "workers", m_workers.size() }, { "roster", m_roster.size() }, { "closed", m_closed.size() } });
    if (!m_closedZones.zones().empty())
        logClosedZones();
    const auto open = m_open;
    for (const auto& id : open) {
        auto& job = m_jobs.at(id);
        if (job.record.cancelled)
            finish(job, JobState::Cancelled, "cancelled before the takeover");
    }
    for (auto& [id, worker] : m_workers)
        sendDueCalls(worker);
    schedulePass();
    tick();
}

// Records of finished jobs stay in the store, and a second listing or a cancel reports them again.
bool Owner::Impl::isForgotten(const JobRecord& record) const
{
    return record.created <= m_jobsReported && !m_jobs.contains(record.id);
}

// A record that is newer than `m_jobsReported` may be reported again as if it were new.
bool Owner::Impl::mayForget(const Job& job) const
{
    return isFinal(job.state) && job.saved == job.changes && job.record.created <= m_jobsReported
        && now() - job.ended > m_settings.finishedJobRetention + m_settings.finishedJobRetention / 4;
}

void Owner::Impl::jobWritten(JobRecord record)
{
    const auto id = record.id;
    if (isForgotten(record))
        return count("jujubereach_finished_jobs_reported_again_total");
    auto* known = findJob(id);
    if (known) {
        known->record.cancelled = known->record.cancelled || record.cancelled;
        if (known->record.cancelled && !isFinal(known->state))
            finish(*known, JobState::Cancelled, "cancelled by its caller");
        return;
    }
    auto& job = m_jobs[id];
    job.record = std::move(record);
    job.arrived = now();
    job.recovered = m_expectsUnheldUpdates && now() < lastEarlierOrder();
    m_open.insert(id);
    double work = 0;
    for (const auto& step : job.spec().steps)
        work += workOf(job, step) * step.count;
    auto& history = m_history[job.record.route];
    history.meanWork += (work - history.meanWork) / ++history.jobs;
    m_hooks.log("job",
        { { "id", id.str() }, { "route", job.record.route.str() }, { "steps", job.spec().steps.size() },
            { "tasks", job.spec().steps.empty() ? 0 : job.spec().steps[0].count }, { "work", work },
            { "acceptedAt", job.record.acceptedAt.milliseconds }, { "repeat", job.spec().repeatCount },
            { "confirmedMsAgo", (now() - m_confirmedAt).count() } });
    if (job.record.cancelled)
        return finish(job, JobState::Cancelled, "cancelled by its caller");
    if (job.spec().repeatCount == 0)
        job.addOccurrence(0);
    schedulePass();
}

void Owner::Impl::workerReported(const WorkerReport& report)
{
    auto& worker = m_workers[report.id];
    const auto restarted = worker.incarnation != 0 && report.incarnation > worker.incarnation;
    if (restarted) {
        logRestart(worker, report.incarnation, "entry");
        recordCrash(
            worker, report.incarnation); // By what the earlier incarnation reported: it may have drained.
    }
    const auto moved = worker.report.address != report.address;
    const auto& known = worker.report;
    m_byRackStale = m_byRackStale || known.id.empty() || known.rack != report.rack
        || known.service != report.service || known.labels != report.labels
        || known.capacity != report.capacity;
    const auto wasDraining = worker.report.draining && known.incarnation == report.incarnation;
    if (known.incarnation != report.incarnation || known.coldFor != report.coldFor)
        worker.coldUntil = now() + report.coldFor; // An unchanged entry may be reported again.
    worker.report = report;
    worker.listed = true;
    if (restarted) {
        loseRuns(worker, "its worker has restarted");
        worker.incarnation = report.incarnation;
        worker.fenced = false;
    }
    if (report.draining && (report.leavesIn.count() > 0 || !wasDraining))
        worker.leavesAt = now() + (report.leavesIn.count() > 0 ? report.leavesIn : m_settings.drainBound);
    if (report.draining && !wasDraining) {
        m_hooks.log("worker-drains",
            { { "worker", report.id.str() }, { "runs", worker.runs.size() },
                { "leavesInMs", (worker.leavesAt - now()).count() } });
        markLeaving(worker);
    }
    if (moved || !worker.fenced)
        worker.nextPoll = now();
    m_rosterDue = m_rosterDue || rosterDiffers(worker);
    if (m_recovered)
        sendDueCalls(worker);
    schedulePass();
}

void Owner::Impl::workerUnlisted(const WorkerId& id)
{
    auto* worker = findWorker(id);
    if (!worker || !worker->listed)
        return;
    worker->listed = false;
    m_hooks.log("worker-unlisted",
        { { "worker", id.str() }, { "runs", worker->runs.size() }, { "misses", worker->missedPolls } });
    m_rosterDue = m_rosterDue || rosterDiffers(*worker);
}

void Owner::Impl::tick()
{
    if (m_superseded || !m_recovered)
        return;
    // Lease renewals and polls of running tasks take precedence over new placements.
    if (now() >= m_nextSweep)
        sweep();
    if ((m_passDue && now() >= m_nextPass) || now() >= m_nextRetryPass)
        pass();
    saveIfDue();
    saveSpeedsIfDue();
    const auto next = m_passDue ? std::min(m_nextSweep, m_nextPass) : m_nextSweep;
    m_hooks.wakeIn(std::max(Duration(1), next - now()));
}

// Periodic check of all workers and jobs for timeouts.
void Owner::Impl::sweep()
{
    m_nextSweep = now() + sweepInterval;
    addDueOccurrences();
    for (auto i = m_workers.begin(); i != m_workers.end();) {
        auto& worker = i->second;
        sweepWorker(worker);
        const auto gone = !worker.listed && worker.runs.empty() && worker.ends.empty()
            && worker.unansweredStarts.empty() && !m_unresolved.contains(worker.id());
        if (gone) {
            m_rosterDue = m_rosterDue || m_roster.contains(i->first);
            m_byRackStale = true;
            m_pace.forget(i->first);
            i = m_workers.erase(i);
        } else
            ++i;
    }
    std::erase_if(m_renewals, [this](const auto& row) {
        return !m_workers.contains(row.first) && now() - row.second.sentAt > maxOrderDelay + longestHold();
    });
    if ((m_rosterUnreadable || !m_unresolved.empty())
        && now() - m_tookOverAt > recoveryGracePeriod(m_settings))
        endRecoveryGracePeriod();
    expireLateStarts();
    for (auto i = m_jobs.begin(); i != m_jobs.end();)
        i = mayForget(i->second) ? m_jobs.erase(i) : std::next(i);
}

void Owner::Impl::sweepWorker(Worker& worker)
{
    const auto lapses = now() >= lapseTime(worker) || !m_settings.switches.waitForLeases;
    if (worker.missedPolls > 0 && !worker.lapsed && !worker.runs.empty() && lapses) {
        for (const auto& [task, run] : worker.runs) {
            if (!run.carriedOver)
                worker.expiredRuns.push_back(run);
        }
        worker.lapsedAt = now();
        logLapse(worker);
        loseRuns(worker, "its lease has expired");
        worker.lapsed = true;
    }
    expireUnansweredStarts(worker);
    if (worker.isDraining())
        stopDoomedRuns(worker);
    sendDueCalls(worker);
}

void Owner::Impl::logLapse(const Worker& worker) const
{
    const auto found = m_renewals.find(worker.id());
    const auto renewals = found == m_renewals.end() ? Renewals {} : found->second;
    m_hooks.log("lease-expired",
        { { "worker", worker.id().str() }, { "runs", worker.runs.size() },
            { "incarnation", worker.incarnation }, { "renewedIncarnation", renewals.incarnation },
            { "renewedMsAgo", (now() - renewals.sentAt).count() },
            { "silentMs", (now() - worker.silentSince).count() } });
}

// All runs that the previous owner started on silent workers have ended by now.
void Owner::Impl::endRecoveryGracePeriod()
{
    m_hooks.log("doubt-over", { { "silentWorkers", m_unresolved.size() } });
    for (const auto& id : m_unresolved) {
        auto* worker = findWorker(id);
        if (!worker || worker->fenced)
            continue;
        m_roster.erase(id); // Not reached by this owner either: a successor need not wait for it again.
        if (!worker->listed)
            m_workers.erase(id);
    }
    m_rosterUnreadable = false;
    m_unresolved.clear();
    m_closed.clear();
    m_rosterDue = m_byRackStale = true;
    schedulePass();
}

// Drops starts of a silent worker that can no longer be executed late and whose runs would have expired.
void Owner::Impl::expireUnansweredStarts(Worker& worker)
{
    std::erase_if(worker.unansweredStarts,
        [this](const auto& late) { return now() - late.second.sentAt > maxOrderDelay; });
    if (worker.missedPolls == 0 || !worker.lapsed)
        return;
    // Starts renew the lease too, and a late renewal also extends the lease of a run that was started late.
    const auto renewals = m_renewals.find(worker.id());
    if (renewals != m_renewals.end() && now() - renewals->second.sentAt <= maxOrderDelay + longestHold())
        return;
    std::vector<TaskId> expired;
    for (const auto& [task, run] : worker.runs) {
        if (run.startUnanswered || run.isUndecided())
            expired.push_back(task);
    }
    for (const auto& task : expired) {
        forgetStart(task, worker);
        loseRun(worker, task, "its unanswered start has expired");
    }
}

Duration Owner::Impl::longestHold() const
{
    return Duration(
        static_cast<std::int64_t>(static_cast<double>(m_settings.maxHold.count()) * (1 + clockDrift)));
}

// The clock of an incarnation begins anew, so a deadline meant for an earlier one grants the longest hold
// from the moment at which it is received.
TimePoint Owner::Impl::lapseTime(const Worker& worker) const
{
    const auto own = worker.lapseTime();
    const auto found = m_renewals.find(worker.id());
    const auto earlier
        = found == m_renewals.end() ? TimePoint {} : found->second.lastToOthers(worker.incarnation);
    if (earlier == TimePoint {})
        return own;
    return std::max(own, earlier + maxOrderDelay + longestHold() + lapseMargin);
}

void Owner::Impl::addDueOccurrences()
{
    const auto wall = m_hooks.wall();
    for (const auto& id : m_open) {
        auto& job = m_jobs.at(id);
        while (job.nextOccurrence < job.spec().repeatCount && mayOpenOccurrence(job)) {
            const auto due
                = job.spec().firstRun.milliseconds + job.nextOccurrence * job.spec().interval.count();
            if (wall.milliseconds < due)
                break;
            job.addOccurrence(job.nextOccurrence);
            schedulePass();
        }
    }
}

// Always allows the first occurrence; later ones only below the limit on open tasks.
bool Owner::Impl::mayOpenOccurrence(const Job& job) const
{
    int tasks = 0;
    for (const auto& step : job.spec().steps)
        tasks += step.count;
    return job.occurrences.empty() || static_cast<int>(job.occurrences.size() + 1) * tasks <= maxOpenTasks;
}

const Route& Owner::Impl::termsOf(const Job& job) const
{
    const auto found = m_config->routes.find(job.record.route);
    return found == m_config->routes.end() ? job.record.terms : found->second;
}

bool Owner::Impl::hasUnresolvedWorkers() const
{
    return m_settings.switches.awaitRecoveryGracePeriod
        && (m_rosterUnreadable || m_unresolved.size() > m_closed.size());
}

bool Owner::Impl::mayRunUnseen(const TaskId& task) const
{
    return m_settings.switches.awaitRecoveryGracePeriod
        && std::any_of(m_closed.begin(), m_closed.end(), [&](const auto& row) {
               return std::find(row.second.begin(), row.second.end(), task) != row.second.end();
           });
}

void Owner::Impl::markResolved(const WorkerId& id)
{
    m_unresolved.erase(id);
    m_closed.erase(id);
}

bool Owner::Impl::isOpenInRoster(const WorkerId& id) const
{
    const auto row = m_roster.find(id);
    return row != m_roster.end() && row->second;
}

Worker* Owner::Impl::findWorker(const WorkerId& id)
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

Job* Owner::Impl::findJob(const JobId& id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

void Owner::Impl::schedulePass()
{
    m_passDue = true;
    m_hooks.wakeIn(std::max(wakeDelay, m_nextPass - now()));
}

OwnerFigures Owner::Impl::figures() const
{
    auto figures = m_figures;
    figures.jobs = m_open.size();
    figures.workers = m_workers.size();
    figures.closedZones = m_closedZones.zones().size();
    figures.guaranteeShortfall = guaranteeShortfall();
    for (const auto& [id, worker] : m_workers) {
        figures.activeTasks += worker.runs.size();
        figures.usableWorkers += worker.listed && worker.fenced && worker.isReportCurrent()
            && !worker.report.draining && !isInClosedZone(worker);
        for (const auto& [task, run] : worker.runs)
            figures.pacedTasks += run.bestEffort && run.pace.percent < fullPace;
    }
    for (const auto& id : m_open) {
        for (const auto& [number, occurrence] : m_jobs.at(id).occurrences) {
            for (const auto& step : occurrence.steps)
                figures.waitingTasks
                    += static_cast<std::size_t>(std::max(0, step.spec->count - step.done - step.active));
        }
    }
    return figures;
}

Owner::Owner(OwnerSettings settings, OwnerHooks hooks, Fence fence, Revision ownerKey)
    : m_impl(std::make_unique<Impl>(settings, std::move(hooks), fence, ownerKey))
{
}

Owner::~Owner()
{
    *m_impl->m_self = nullptr;
}

void Owner::setConfig(std::shared_ptr<const FleetConfig> config)
{
    m_impl->m_config = std::move(config);
}

void Owner::setSettings(const OwnerSettings& settings)
{
    m_impl->m_settings = settings;
    m_impl->m_pace.setBound(settings.interferenceBound);
}

void Owner::setClosedZones(std::set<ZoneId> zones)
{
    m_impl->setClosedZones(std::move(zones));
}

void Owner::confirmClosedZones(TimePoint at)
{
    m_impl->m_closedZones.confirm(at);
}

void Owner::confirmOwnership(TimePoint sentAt)
{
    m_impl->confirmOwnership(sentAt);
}

void Owner::expectUnheldUpdates()
{
    m_impl->m_expectsUnheldUpdates = true;
}

void Owner::restoreJob(JobRecord record, std::optional<ProgressRecord> progress, Revision progressRevision)
{
    m_impl->restoreJob(std::move(record), std::move(progress), progressRevision);
}

void Owner::restoreRoster(const std::optional<std::vector<RosterRow>>& roster, Revision revision)
{
    m_impl->restoreRoster(roster, revision);
}

void Owner::restoreSpeeds(const std::string& value)
{
    m_impl->restoreSpeeds(value);
}

void Owner::recovered()
{
    m_impl->receiveUpdate([impl = m_impl.get()] { impl->recovered(); });
}

void Owner::jobWritten(JobRecord record)
{
    m_impl->receiveUpdate([impl = m_impl.get(), record = std::move(record)] { impl->jobWritten(record); });
}

void Owner::jobsReported(Revision upTo)
{
    m_impl->receiveUpdate(
        [impl = m_impl.get(), upTo] { impl->m_jobsReported = std::max(impl->m_jobsReported, upTo); });
}

void Owner::workerReported(const WorkerReport& report)
{
    m_impl->receiveUpdate([impl = m_impl.get(), report] { impl->workerReported(report); });
}

void Owner::workerUnlisted(const WorkerId& id)
{
    m_impl->receiveUpdate([impl = m_impl.get(), id] { impl->workerUnlisted(id); });
}

void Owner::tick()
{
    m_impl->tick();
}

OwnerFigures Owner::figures() const
{
    return m_impl->figures();
}

// Row format: id, address and, if closed, an array of tasks, each as job, occurrence, step and index.
std::string encodeRoster(const std::vector<RosterRow>& roster)
{
    boost::json::array rows;
    for (const auto& row : roster) {
        boost::json::array out { row.worker.id.str(), row.worker.address };
        if (!row.open) {
            boost::json::array tasks;
            for (const auto& task : row.tasks)
                tasks.push_back(
                    boost::json::array { task.job.str(), task.occurrence, task.step, task.index });
            out.push_back(std::move(tasks));
        }
        rows.push_back(std::move(out));
    }
    return boost::json::serialize(rows);
}

std::optional<std::vector<RosterRow>> decodeRoster(const std::string& value)
{
    try {
        std::vector<RosterRow> roster;
        const auto parsed = boost::json::parse(value);
        for (const auto& item : parsed.as_array()) {
            const auto& in = item.as_array();
            RosterRow row;
            row.worker.id = WorkerId(std::string(in.at(0).as_string()));
            row.worker.address = std::string(in.at(1).as_string());
            row.open = in.size() == 2;
            for (std::size_t i = 0; !row.open && i < in.at(2).as_array().size(); ++i) {
                const auto& task = in.at(2).as_array().at(i).as_array();
                row.tasks.push_back({ JobId(std::string(task.at(0).as_string())), task.at(1).to_number<int>(),
                    task.at(2).to_number<int>(), task.at(3).to_number<int>() });
            }
            roster.push_back(std::move(row));
        }
        return roster;
    } catch (const std::exception&) {
        return std::nullopt; // The caller logs it.
    }
}

} // namespace jujubereach::fleet
