// A domain and its journal: the term's fence, records of events, and what other hosts wrote.
#include "domain.h"

#include "jujubereach/jobs/job-codec.h"

#include <glog/logging.h>

namespace jujubereach::daemon {

namespace {

    // Between reads of the journal by its owner.
    constexpr Duration journalReadInterval { 5000 };
    constexpr std::size_t maxRememberedEnds = 20'000;

    std::string recordIdOf(const jobs::JobEvent& event, const std::string& holder)
    {
        return "event/" + holder + "/" + std::to_string(event.term) + "/" + std::to_string(event.number);
    }

} // namespace

std::optional<scheduling::JobSpec> specOf(const journal::JournalEntry& entry)
{
    return outcomeOf([&] { return jobs::decodeJob(entry.spec); }).value;
}

// A new term is fenced in the journal before the journal is believed: an older owner adds nothing after it.
void Domain::startTerm()
{
    if (m_owner.term() == m_term)
        return;
    m_term = m_owner.term();
    m_fenced = false;
    if (m_term == 0)
        return;
    LOG(INFO) << "domain " << m_id << ": this host holds the majority of the workers' leases, term "
              << m_term;
    journal::JobRecord fence;
    fence.kind = journal::JobRecordKind::Fence;
    addRecord("fence/" + m_ctx.holder() + "/" + std::to_string(m_term), std::move(fence));
}

void Domain::addRecord(const std::string& id, journal::JobRecord record)
{
    record.term = m_term;
    record.at = m_ctx.wallClock();
    m_backlog.add(journal::encodeRecord(id, record));
}

void Domain::carryOutEvents()
{
    for (const auto& event : m_owner.takeEvents()) {
        LOG_IF(INFO, event.kind == jobs::JobEventKind::Ended)
            << "jobs: job " << event.job.id << " ended as " << nameOf(event.end) << ". " << event.text;
        if (event.kind == jobs::JobEventKind::Ended)
            noteEnd(event);
        if (event.kind == jobs::JobEventKind::Started)
            m_owner.onEventCommitted(event.number, m_ctx.clock());
        else
            journalEvent(event);
    }
}

void Domain::noteEnd(const jobs::JobEvent& event)
{
    if (m_ends.size() >= maxRememberedEnds)
        m_ends.erase(m_ends.begin());
    m_ends[event.job.id] = event;
    m_ctx.metrics.add("jujubereach_job_ends_total",
        { { "workspace", event.job.workspace.str() }, { "end", nameOf(event.end) } });
    if (event.refusal && event.ran == Ran::No && *event.refusal != scheduling::RefusalReason::Cancelled)
        m_hooks.refuse({ event.job.workspace, event.job.caller, event.job.workClass,
            scheduling::nameOf(*event.refusal) });
}

void Domain::journalEvent(const jobs::JobEvent& event)
{
    journal::JobRecord record;
    record.job = event.job.id;
    record.spec = jobs::encodeJob(event.job);
    record.gang = event.gang.str();
    switch (event.kind) {
    case jobs::JobEventKind::Claimed:
        record.kind = journal::JobRecordKind::Claim;
        break;
    case jobs::JobEventKind::Unclaimed:
        record.kind = journal::JobRecordKind::Unclaim;
        break;
    case jobs::JobEventKind::Started:
    case jobs::JobEventKind::Progress:
        record.kind = journal::JobRecordKind::Update;
        break;
    case jobs::JobEventKind::Ended:
        record.kind = journal::JobRecordKind::End;
        record.end = journal::JobEnd { nameOf(event.end), nameOf(event.ran),
            event.refusal ? scheduling::nameOf(*event.refusal) : "", event.text, m_ctx.wallClock() };
        break;
    }
    const auto id = recordIdOf(event, m_ctx.holder());
    m_eventRecords[id] = event.number;
    addRecord(id, std::move(record));
}

void Domain::onCompletion(const journal::Completion& completion)
{
    const bool committed = completion.status == journal::CommitStatus::Committed;
    if (completion.id.rfind("fence/", 0) == 0) {
        m_fenced = committed;
        if (committed)
            learnJournal();
        else
            m_owner.onFenceRefused(journalView().term, m_ctx.clock());
        return driveSoon();
    }
    if (completion.id.rfind("accept/", 0) == 0) {
        const JobId job(completion.id.substr(std::string("accept/").size()));
        if (committed)
            onAccepted(job, "journal");
        else
            onDuplicate(job, completion.reason);
        m_copies.release(m_journalKey, completion.id);
        return driveSoon();
    }
    onEventCompletion(completion);
}

void Domain::onEventCompletion(const journal::Completion& completion)
{
    auto it = m_eventRecords.find(completion.id);
    if (it == m_eventRecords.end())
        return;
    const auto number = it->second;
    m_eventRecords.erase(it);
    if (completion.status == journal::CommitStatus::Committed)
        m_owner.onEventCommitted(number, m_ctx.clock());
    else
        m_owner.onEventRejected(number, m_ctx.clock());
    driveSoon();
}

const journal::JobJournal& Domain::journalView()
{
    const auto* payload = m_journal->committer().payload();
    if (!payload || *payload == m_viewPayload)
        return m_view;
    auto decoded = outcomeOf([&] { return journal::decodeJournal(*payload); });
    if (!decoded) {
        LOG(ERROR) << "domain " << m_id << ": the journal cannot be read: " << decoded.error.what;
        return m_view;
    }
    m_view = std::move(*decoded.value);
    m_viewPayload = *payload;
    return m_view;
}

// Hands the journal to the owner: complete once the fence of this term stands in it.
void Domain::learnJournal()
{
    m_learnedReads = m_journal->committer().readCount();
    std::vector<jobs::JournaledJob> known;
    for (const auto& [id, entry] : journalView().jobs) {
        jobs::JournaledJob job;
        job.job.id = id;
        job.claimed = !entry.claim.empty();
        job.ended = entry.end.has_value();
        if (!job.ended) {
            auto spec = specOf(entry);
            if (!spec)
                continue;
            job.job = std::move(*spec);
        }
        known.push_back(std::move(job));
    }
    m_owner.onJournaledJobs(
        known, m_ctx.clock(), m_fenced ? jobs::JournalView::Complete : jobs::JournalView::Partial);
}

// Other hosts flush the copies of an owner that is gone into the journal; its jobs are found by reading
// again.
void Domain::followJournal()
{
    if (!m_fenced || !isOwner())
        return;
    if (m_journal->committer().readCount() != m_learnedReads)
        learnJournal();
    if (m_ctx.clock() - m_journalReadAt < journalReadInterval)
        return;
    m_journalReadAt = m_ctx.clock();
    m_journal->requestRead();
}

std::optional<JobId> Domain::findKey(const std::string& key)
{
    if (auto it = m_acceptingKeys.find(key); it != m_acceptingKeys.end())
        return it->second;
    return journalView().findKey(key);
}

} // namespace jujubereach::daemon
