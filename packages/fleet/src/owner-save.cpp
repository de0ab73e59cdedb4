// Writes progress, roster and queue summary to the store and acknowledges saved ends to workers.
#include "owner-impl.h"

#include <algorithm>

namespace jujubereach::fleet {

namespace {

    constexpr std::size_t jobsPerWrite = (maxWriteEntries - 3) / 2; // An expectation and a put for each job.
    constexpr Duration saveBatchDelay { 25 }; // Batches ends that arrive together.
    constexpr int maxSavesInFlight = 4; // 14 jobs each at a round trip of 50 ms: over 1,000 jobs per second.
    constexpr Duration firstRetry { 100 };
    constexpr int maxRetryDoublings = 3;
    constexpr Duration summaryInterval { 500 }; // A quarter of the maximum age promised to callers.

    // Null if the key is not among the items returned with a conflict, that is, if it does not exist.
    const StoreItem* findItem(const std::vector<StoreItem>& items, const std::string& key)
    {
        const auto found = std::find_if(
            items.begin(), items.end(), [&](const StoreItem& item) { return item.key == key; });
        return found == items.end() ? nullptr : &*found;
    }

    Revision revisionOf(const StoreItem* item)
    {
        return item ? item->revision : Revision {};
    }

} // namespace

void Owner::Impl::markChanged(Job& job)
{
    ++job.changes;
    if (!job.saving && !std::exchange(job.inSaveQueue, true))
        m_saveQueue.push_back(job.id());
    if (m_nextSave <= now())
        m_nextSave = now() + saveBatchDelay;
    m_hooks.wakeIn(saveBatchDelay);
}

// Writes of different jobs run concurrently, because new ends may arrive faster than a distant store answers.
void Owner::Impl::saveIfDue()
{
    while (m_savesInFlight < maxSavesInFlight && !m_superseded
        && (now() >= m_nextSave || (m_saveQueue.size() >= jobsPerWrite && m_saveFailures == 0))) {
        if (!save())
            return;
        m_nextSave = now() + saveBatchDelay;
    }
}

// Returns false if there was nothing to write.
bool Owner::Impl::save()
{
    StoreWrite write;
    write.expected.push_back({ keys::owner, m_ownerKey });
    SavedParts parts;
    while (!m_saveQueue.empty() && parts.jobs.size() < jobsPerWrite) {
        const auto id = m_saveQueue.front();
        m_saveQueue.pop_front();
        auto* job = findJob(id);
        if (!job)
            continue;
        job->inSaveQueue = false;
        job->saving = true;
        std::erase_if(job->repeatedStarts, [this](const auto& row) { return now() > row.second; });
        write.expected.push_back({ keys::progress(id), job->progressRevision });
        write.puts.push_back({ keys::progress(id), encode(job->progress()), {} });
        parts.jobs.emplace_back(id, job->changes);
    }
    if (m_rosterDue && !m_savingRoster && !m_rosterUnreadable && parts.jobs.size() < jobsPerWrite)
        saveRoster(write, parts);
    saveSummary(write);
    if (write.puts.empty())
        return false;
    ++m_savesInFlight;
    m_hooks.write(
        std::move(write), [this, self = m_self, parts = std::move(parts)](const StoreAnswer& answer) {
            if (!*self)
                return;
            --m_savesInFlight;
            if (parts.roster)
                m_savingRoster = false;
            answer.fate == StoreFate::Done ? saveSucceeded(parts, answer.at) : saveFailed(parts, answer);
        });
    return true;
}

// Queues the job again if it changed during the write.
void Owner::Impl::finishWrite(Job& job)
{
    job.saving = false;
    if (job.saved != job.changes && !std::exchange(job.inSaveQueue, true))
        m_saveQueue.push_back(job.id());
}

bool Owner::Impl::shouldBeOpenInRoster(const Worker& worker) const
{
    if (m_unresolved.contains(worker.id()))
        return !m_closed.contains(worker.id()); // Its runs are unknown: keep the state found at the takeover.
    return !worker.fenced || (worker.listed && !worker.report.draining);
}

// A worker that this owner has not reached, and that had no row before, runs nothing of ours.
bool Owner::Impl::belongsInRoster(const Worker& worker) const
{
    return worker.fenced || m_roster.contains(worker.id());
}

bool Owner::Impl::rosterDiffers(const Worker& worker) const
{
    const auto row = m_roster.find(worker.id());
    return row == m_roster.end() ? worker.fenced : row->second != shouldBeOpenInRoster(worker);
}

bool Owner::Impl::rosterDiffers() const
{
    const auto rows = std::count_if(m_workers.begin(), m_workers.end(),
        [this](const auto& entry) { return belongsInRoster(entry.second); });
    return m_roster.size() != static_cast<std::size_t>(rows)
        || std::any_of(m_workers.begin(), m_workers.end(),
            [this](const auto& entry) { return rosterDiffers(entry.second); });
}

void Owner::Impl::saveRoster(StoreWrite& write, SavedParts& parts)
{
    std::vector<RosterRow> rows;
    auto& stored = parts.roster.emplace();
    for (const auto& [id, worker] : m_workers) {
        if (!belongsInRoster(worker))
            continue;
        RosterRow row { worker.report, shouldBeOpenInRoster(worker), {} };
        const auto closed = m_closed.find(id);
        if (closed != m_closed.end())
            row.tasks = closed->second;
        else if (!row.open) {
            for (const auto& [task, run] : worker.runs)
                row.tasks.push_back(task);
            // Their ends may not be stored yet: a successor must not run them again before it has seen the
            // ends.
            for (const auto& [number, end] : worker.ends)
                row.tasks.push_back(end.task);
        }
        if (!row.open)
            m_roster[id] = false; // Takes effect at once: the write may succeed without an answer.
        m_byRackStale = true;
        stored[id] = row.open;
        rows.push_back(std::move(row));
    }
    // So does the removal of a row: a worker that returns needs a new one before its first start.
    std::erase_if(m_roster, [&](const auto& row) { return !stored.contains(row.first); });
    m_savingRoster = true;
    write.expected.push_back({ keys::roster, m_rosterRevision });
    write.puts.push_back({ keys::roster, encodeRoster(rows), {} });
}

void Owner::Impl::saveFailed(const SavedParts& parts, const StoreAnswer& answer)
{
    m_summary.clear();
    m_saveFailures = std::min(m_saveFailures + 1, maxRetryDoublings);
    m_nextSave = now() + firstRetry * (1 << m_saveFailures);
    if (answer.fate == StoreFate::Conflict) {
        resolveConflict(parts, answer);
        if (m_superseded)
            return;
        m_nextSave = now();
    }
    const auto unanswered = answer.fate == StoreFate::Unknown;
    m_rosterWriteUnanswered = m_rosterWriteUnanswered || (parts.roster && unanswered);
    for (const auto& [id, changes] : parts.jobs) {
        auto* job = findJob(id);
        if (!job)
            continue;
        job->writeUnanswered = job->writeUnanswered || unanswered;
        finishWrite(*job);
    }
    m_hooks.log("save-failed",
        { { "fate", nameOf(answer.fate) }, { "jobs", m_saveQueue.size() }, { "inFlight", m_savesInFlight } });
}

// Only this owner writes while it holds the key. A revision that it does not know belongs to one of its
// writes without an answer, or to a record that it has never read and must not replace.
void Owner::Impl::resolveConflict(const SavedParts& parts, const StoreAnswer& answer)
{
    if (revisionOf(findItem(answer.items, keys::owner)) != m_ownerKey)
        return markSuperseded("the store");
    for (const auto& [id, changes] : parts.jobs) {
        if (auto* job = findJob(id))
            resolveConflict(*job, answer.items);
    }
    const auto roster = revisionOf(findItem(answer.items, keys::roster));
    if (!parts.roster || roster == m_rosterRevision)
        return;
    if (!std::exchange(m_rosterWriteUnanswered, false))
        return giveUpOwnership("the stored roster is unknown");
    m_rosterRevision = roster;
}

void Owner::Impl::resolveConflict(Job& job, const std::vector<StoreItem>& items)
{
    const auto* stored = findItem(items, keys::progress(job.id()));
    const auto revision = revisionOf(stored);
    if (revision == job.progressRevision)
        return;
    if (std::exchange(job.writeUnanswered, false)) {
        job.progressRevision = revision;
        return;
    }
    const auto progress = stored ? decodeProgress(stored->value) : std::nullopt;
    m_hooks.log("progress-unknown",
        { { "id", job.id().str() }, { "expected", job.progressRevision.value },
            { "revision", revision.value }, { "state", progress ? nameOf(progress->state) : "unreadable" } });
    if (!progress || !isFinal(progress->state))
        return giveUpOwnership("stored progress is unknown"); // The next owner reads all progress.
    adoptStoredEnd(job, progress->state, revision);
}

void Owner::Impl::adoptStoredEnd(Job& job, JobState state, Revision revision)
{
    stopTasks(job, "its stored progress is final");
    dropPlans(job);
    job.state = state;
    job.ended = now();
    job.occurrences.clear();
    job.progressRevision = revision;
    job.saved = job.changes;
    m_open.erase(job.id());
}

void Owner::Impl::saveSucceeded(const SavedParts& parts, Revision revision)
{
    m_saveFailures = 0;
    for (const auto& [id, changes] : parts.jobs) {
        auto* job = findJob(id);
        if (!job)
            continue;
        job->progressRevision = revision;
        job->writeUnanswered = false; // Its condition no longer holds.
        job->saved = changes;
        finishWrite(*job);
        if (job->saved == job->changes && std::exchange(job->awaitsCrashSave, false))
            schedulePass();
    }
    if (parts.roster) {
        m_roster = *parts.roster;
        m_byRackStale = true;
        m_rosterRevision = revision;
        m_rosterWriteUnanswered = false;
        m_rosterDue = rosterDiffers();
        schedulePass();
    }
    for (auto& [id, worker] : m_workers) {
        acknowledgeSavedEnds(worker);
        if (!worker.unansweredStarts.empty())
            sendDueCalls(worker); // Repeated starts wait for the save.
    }
    if (!m_saveQueue.empty())
        m_hooks.wakeIn(saveBatchDelay);
}

void Owner::Impl::acknowledgeSavedEnds(Worker& worker)
{
    auto advanced = false;
    while (!worker.ends.empty()) {
        const auto& [number, end] = *worker.ends.begin();
        const auto* job = findJob(end.task.job);
        if (job && job->saved < end.changes && m_settings.switches.saveBeforeAcknowledging)
            break;
        if (job && job->mayStartLate(end.task, now()))
            break;
        worker.acknowledged = std::max(worker.acknowledged, number);
        worker.ends.erase(worker.ends.begin());
        advanced = true;
    }
    if (advanced && worker.ends.empty()) {
        worker.nextPoll = now();
        sendDueCalls(worker);
    }
}

void Owner::Impl::saveSummary(StoreWrite& write)
{
    if (now() - m_summaryAt < summaryInterval)
        return;
    QueueSummary summary;
    summary.owner = m_fence;
    std::map<RouteId, std::int64_t> pending;
    for (const auto& id : m_open) {
        const auto& job = m_jobs.at(id);
        if (!job.begun)
            ++pending[job.record.route];
    }
    summary.pending = { pending.begin(), pending.end() };
    auto value = encode(summary);
    if (value == m_summary)
        return;
    m_summary = value;
    m_summaryAt = now();
    write.puts.push_back({ keys::summary, std::move(value), {} });
}

} // namespace jujubereach::fleet
