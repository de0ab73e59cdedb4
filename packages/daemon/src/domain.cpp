#include "domain.h"

#include "jujubereach/jobs/job-codec.h"

#include <glog/logging.h>

namespace jujubereach::daemon {

namespace {

    // A submit waits so long for the journal before it is accepted on copies instead.
    constexpr Duration journalPatience { 1500 };
    // Between reads of the journal by its owner.
    constexpr Duration journalReadInterval { 5000 };
    constexpr Duration driveDelay { 5 };
    constexpr Duration noOwnerRetryAfter { 1000 };
    constexpr Duration outageRetryAfter { 10'000 };
    constexpr std::size_t maxRememberedEnds = 20'000;

    const char* nameOf(scheduling::EndKind kind)
    {
        switch (kind) {
        case scheduling::EndKind::Completed:
            return "completed";
        case scheduling::EndKind::Failed:
            return "failed";
        case scheduling::EndKind::StartFailed:
            return "start_failed";
        case scheduling::EndKind::WorkerLost:
            return "worker_lost";
        case scheduling::EndKind::Checkpointed:
            return "checkpointed";
        case scheduling::EndKind::Stopped:
            return "stopped";
        case scheduling::EndKind::Unknown:
            return "unknown";
        }
        return "unknown";
    }

    const char* nameOf(jobs::Ran ran)
    {
        switch (ran) {
        case jobs::Ran::Yes:
            return "yes";
        case jobs::Ran::No:
            return "no";
        case jobs::Ran::Unknown:
            return "unknown";
        }
        return "unknown";
    }

    jobs::OwnerConfig configOf(Context& ctx, const manifest::Domain& domain)
    {
        jobs::OwnerConfig config;
        config.zone = ctx.settings.zone;
        config.domain = domain.id;
        config.holder = ctx.holder();
        for (std::uint32_t i = 0; i < manifest::workersOf(domain); ++i)
            config.workers.push_back(manifest::workerAt(domain, i));
        config.acceleratorsPerWorker = domain.racks.empty() ? 0 : domain.racks.front().acceleratorsPerWorker;
        config.switches.holdBeforeStart = !ctx.testHooks.breaks("hold-before-start");
        config.switches.majority = !ctx.testHooks.breaks("majority");
        config.switches.claimBeforeStart = !ctx.testHooks.breaks("claim-before-start");
        config.switches.waitForReports = !ctx.testHooks.breaks("wait-for-reports");
        config.seed = ctx.random.next();
        return config;
    }

    std::optional<scheduling::JobSpec> specOf(const journal::JournalEntry& entry)
    {
        return outcomeOf([&] { return jobs::decodeJob(entry.spec); }).value;
    }

    std::string recordIdOf(const jobs::JobEvent& event, const std::string& holder)
    {
        return "event/" + holder + "/" + std::to_string(event.term) + "/" + std::to_string(event.number);
    }

} // namespace

Domain::Domain(Context& ctx, Copies& copies, const manifest::Manifest& manifest,
    const manifest::Domain& domain, DomainHooks hooks)
    : m_ctx(ctx)
    , m_copies(copies)
    , m_hooks(std::move(hooks))
    , m_id(domain.id)
    , m_accelerators(manifest::acceleratorsOf(domain))
    , m_manifest(manifest)
    , m_journalKey(journal::journalKey(ctx.settings.zone, domain.id))
    , m_owner(configOf(ctx, domain), [this] {
        scheduling::Policy policy;
        policy.protectShapes = !m_ctx.testHooks.breaks("reclaim");
        return jobs::hooksOf(
            std::make_shared<scheduling::Scheduler>(m_manifest, m_ctx.settings.zone, m_id, policy));
    })
{
    for (std::uint32_t i = 0; i < manifest::workersOf(domain); ++i)
        m_workers.push_back(manifest::workerAt(domain, i));
    m_addresses.resize(m_workers.size());
    m_lastReplies.resize(m_workers.size());

    journal::CommitterConfig config;
    config.key = m_journalKey;
    config.writer = ctx.holder();
    config.seed = ctx.random.next();
    m_journal = std::make_unique<CommitterDriver>(ctx, std::move(config), journal::jobJournalApply(),
        [this](const journal::Completion& completion) { onCompletion(completion); });
}

void Domain::reconfigure(const manifest::Manifest& manifest)
{
    m_manifest = manifest;
    m_owner.reconfigure(manifest);
    driveSoon();
}

void Domain::setOwning(bool owning)
{
    if (m_owning != owning)
        LOG(INFO) << "domain " << m_id << ": " << (owning ? "this host should own it" : "handed over");
    m_owning = owning;
    m_owner.setOwning(owning, m_ctx.clock());
    driveSoon();
}

void Domain::setMachines(const std::vector<platform::Machine>& machines)
{
    std::map<std::string, std::string> known;
    for (const auto& machine : machines) {
        if (machine.kind == platform::MachineKind::Worker)
            known[machine.id] = machine.address;
    }
    for (std::uint32_t i = 0; i < m_workers.size(); ++i) {
        auto it = known.find(m_workers[i].str());
        // The list lags and may be empty after an outage: a worker's last address is kept.
        if (it == known.end() || it->second == m_addresses[i])
            continue;
        m_addresses[i] = it->second;
        m_owner.setReachable(i, true, m_ctx.clock());
    }
}

bool Domain::released() const
{
    const bool flushed = m_journal->committer().pending() == 0 || !m_journal->committer().isAvailable();
    return m_owner.released() && flushed;
}

void Domain::driveSoon()
{
    if (m_driveSet)
        return;
    m_driveSet = true;
    m_ctx.loop.postAfter(driveDelay, guarded([this] {
        m_driveSet = false;
        drive();
    }));
}

void Domain::drive()
{
    m_owner.setJournalAvailable(m_fenced && m_journal->committer().isAvailable(), m_ctx.clock());
    m_owner.tick(m_ctx.clock());
    startTerm();
    followJournal();
    addBacklog();
    sendSyncs();
    carryOutEvents();
    for (const auto& line : m_owner.takeLog())
        LOG(INFO) << "domain " << m_id << ": " << line;
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
    m_backlog.push_back(journal::encodeRecord(id, record));
    addBacklog();
}

// Records keep their order; what does not fit into the committer waits here.
void Domain::addBacklog()
{
    while (!m_backlog.empty() && m_journal->add(m_backlog.front()))
        m_backlog.pop_front();
}

void Domain::sendSyncs()
{
    for (const auto& out : m_owner.due(m_ctx.clock()))
        sync(out);
}

void Domain::sync(const jobs::WorkerSyncOut& out)
{
    auto send
        = [client = m_ctx.platform.worker, clock = m_ctx.clock, address = m_addresses[out.workerIndex], out] {
              if (clock() > out.sendBy || address.empty()) {
                  platform::WorkerReply unsent;
                  unsent.status = platform::SyncStatus::Unreachable;
                  return unsent;
              }
              return client(address, out.sync);
          };
    callThen(m_ctx.workerIo, m_ctx.loop, std::move(send),
        guarded([this, index = out.workerIndex](const platform::WorkerReply& reply) {
            m_lastReplies[index] = reply;
            m_owner.onSyncReply(index, reply, m_ctx.clock());
            driveSoon();
        }));
}

void Domain::carryOutEvents()
{
    for (const auto& event : m_owner.takeEvents()) {
        LOG_IF(INFO, event.kind == jobs::JobEventKind::Ended)
            << "jobs: job " << event.job.id << " ended as " << nameOf(event.end) << ". " << event.text;
        if (event.kind == jobs::JobEventKind::Ended)
            noteEnd(event);
        if (event.kind == jobs::JobEventKind::Started)
            m_owner.eventCommitted(event.number, m_ctx.clock());
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
    if (event.refusal && event.ran == jobs::Ran::No && *event.refusal != scheduling::RefusalReason::Cancelled)
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
        m_owner.eventCommitted(number, m_ctx.clock());
    else
        m_owner.eventRejected(number, m_ctx.clock());
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
    m_learnedReads = m_journal->committer().reads();
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
    m_owner.journaledJobs(
        known, m_ctx.clock(), m_fenced ? jobs::JournalView::Complete : jobs::JournalView::Partial);
}

// Other hosts flush the copies of an owner that is gone into the journal; its jobs are found by reading
// again.
void Domain::followJournal()
{
    if (!m_fenced || !isOwner())
        return;
    if (m_journal->committer().reads() != m_learnedReads)
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

void Domain::submit(const JobCall& call, Answer answer)
{
    if (!isOwner())
        return answer(errorAnswer(ApiError { 503, "no_owner", "the domain is between owners; try again", {},
            Ran::No, {}, noOwnerRetryAfter }));
    if (const auto known = findKey(call.key)) {
        auto it = m_accepting.find(*known);
        if (it != m_accepting.end() && !it->second.queued)
            it->second.answers.push_back(std::move(answer));
        else
            answerAccepted(answer, *known, "journal", true);
        return;
    }
    const auto job = m_owner.newJobId();
    auto& accepting = m_accepting[job];
    accepting.call = call;
    accepting.call.spec.id = job;
    accepting.answers.push_back(std::move(answer));
    m_acceptingKeys[call.key] = job;

    journal::JobRecord record;
    record.kind = journal::JobRecordKind::Accept;
    record.job = job;
    record.key = call.key;
    record.spec = jobs::encodeJob(accepting.call.spec);
    const bool available = m_journal->committer().isAvailable();
    addRecord("accept/" + job.str(), std::move(record));
    if (!available)
        return acceptInOutage(job);
    m_ctx.loop.postAfter(journalPatience, guarded([this, job] { acceptInOutage(job); }));
}

void Domain::acceptInOutage(const JobId& job)
{
    auto it = m_accepting.find(job);
    if (it == m_accepting.end() || it->second.queued)
        return;
    journal::JobRecord record;
    record.kind = journal::JobRecordKind::Accept;
    record.job = job;
    record.key = it->second.call.key;
    record.spec = jobs::encodeJob(it->second.call.spec);
    record.term = m_term;
    record.at = m_ctx.wallClock();
    const bool kept = m_copies.spread(m_journalKey, journal::encodeRecord("accept/" + job.str(), record),
        guarded([this, job](bool copied) { onAccepted(job, copied ? "peer" : "memory"); }));
    if (!kept)
        refuseUnjournaled(job);
}

void Domain::onAccepted(const JobId& job, const std::string& durability)
{
    auto it = m_accepting.find(job);
    if (it == m_accepting.end())
        return;
    const bool queued = std::exchange(it->second.queued, true);
    auto answers = std::exchange(it->second.answers, {});
    const auto call = it->second.call;
    if (durability == "journal") {
        m_acceptingKeys.erase(call.key);
        m_accepting.erase(it);
    }
    if (queued)
        return;
    m_ctx.metrics.add("jujubereach_jobs_accepted_total", { { "workspace", call.spec.workspace.str() } });
    if (const auto end = m_owner.submit(call.spec, m_ctx.clock())) {
        const auto reason = end->refusal ? scheduling::nameOf(*end->refusal) : "refused";
        ApiError error { 422, reason, end->text, {}, Ran::No, {}, {} };
        error.reference
            = m_hooks.refuse({ call.spec.workspace, call.spec.caller, call.spec.workClass, reason });
        for (const auto& answer : answers)
            answer(errorAnswer(error));
        return driveSoon();
    }
    for (const auto& answer : answers)
        answerAccepted(answer, job, durability, false);
    driveSoon();
}

// Nothing more fits into memory: the job is given up before it is queued anywhere.
void Domain::refuseUnjournaled(const JobId& job)
{
    auto it = m_accepting.find(job);
    if (it == m_accepting.end())
        return;
    const auto accepting = std::move(it->second);
    m_acceptingKeys.erase(accepting.call.key);
    m_accepting.erase(it);
    m_journal->withdraw("accept/" + job.str());
    const auto& spec = accepting.call.spec;
    ApiError error { 503, "outage_bound", "the platform's service is down and no more jobs fit into memory",
        {}, Ran::No, {}, outageRetryAfter };
    error.reference = m_hooks.refuse({ spec.workspace, spec.caller, spec.workClass, error.error });
    for (const auto& answer : accepting.answers)
        answer(errorAnswer(error));
}

// The key was accepted before, by another owner or in an outage: the earlier job stands.
void Domain::onDuplicate(const JobId& job, const std::string& reason)
{
    auto it = m_accepting.find(job);
    if (it == m_accepting.end())
        return;
    const auto accepting = std::move(it->second);
    m_acceptingKeys.erase(accepting.call.key);
    m_accepting.erase(it);
    if (accepting.queued) {
        LOG(WARNING) << "jobs: job " << job << " is cancelled: " << reason;
        return m_owner.cancel(job, m_ctx.clock());
    }
    const auto earlier = journalView().findKey(accepting.call.key);
    for (const auto& answer : accepting.answers) {
        if (earlier)
            answerAccepted(answer, *earlier, "journal", true);
        else
            answer(errorAnswer(ApiError { 503, "not_accepted", reason, {}, Ran::No, {}, noOwnerRetryAfter }));
    }
}

void Domain::answerAccepted(
    const Answer& answer, const JobId& job, const std::string& durability, bool existing)
{
    auto json = jobJson(job, m_owner.explain(job, m_ctx.clock()));
    json->set("durability", durability);
    answer(jsonAnswer(existing ? 200 : 201, json));
}

Json Domain::jobJson(const JobId& job, const scheduling::Explanation& explanation) const
{
    auto json = makeJson();
    json->set("job", job.str());
    json->set("state", explanation.known ? explanation.state : std::string("queued"));
    json->set("text", explanation.text);
    if (explanation.run) {
        auto run = makeJson();
        run->set("first", explanation.run->first);
        run->set("count", explanation.run->count);
        json->set("run", run);
    }
    if (explanation.expectedWait)
        json->set("expectedWaitMs", static_cast<Poco::Int64>(explanation.expectedWait->count()));
    if (explanation.known && explanation.state == "queued")
        json->set("aheadInQueue", explanation.aheadInQueue);
    return json;
}

ApiAnswer Domain::fromJournal(const JobId& job)
{
    const auto& journal = journalView();
    const auto it = journal.jobs.find(job);
    if (it == journal.jobs.end())
        return errorAnswer(Error { ErrorCode::NotFound, "no such job", "id", job.str() });
    auto json = makeJson();
    json->set("job", job.str());
    json->set("state", std::string(it->second.end ? "ended" : "queued"));
    if (!it->second.end) {
        json->set("text", std::string("accepted; the domain's owner is taking it up"));
        return jsonAnswer(200, json);
    }
    json->set("end", it->second.end->kind);
    json->set("ran", it->second.end->ran);
    if (!it->second.end->reason.empty())
        json->set("reason", it->second.end->reason);
    json->set("text", it->second.end->text);
    return jsonAnswer(200, json);
}

void Domain::show(const JobId& job, const Answer& answer)
{
    if (auto it = m_ends.find(job); it != m_ends.end()) {
        auto json = makeJson();
        json->set("job", job.str());
        json->set("state", std::string("ended"));
        json->set("end", std::string(nameOf(it->second.end)));
        json->set("ran", std::string(nameOf(it->second.ran)));
        json->set("text", it->second.text);
        return answer(jsonAnswer(200, json));
    }
    const auto explanation = m_owner.explain(job, m_ctx.clock());
    if (explanation.known && explanation.state != "ended")
        return answer(jsonAnswer(200, jobJson(job, explanation)));
    answer(fromJournal(job));
}

void Domain::showFromJournal(const JobId& job, const Answer& answer)
{
    // The value may be older than the last change: read it again, and give the read time to arrive.
    constexpr Duration readTime { 300 };
    m_journal->requestRead();
    m_ctx.loop.postAfter(readTime, guarded([this, job, answer] { answer(fromJournal(job)); }));
}

void Domain::explain(const JobId& job, const Answer& answer) const
{
    const auto explanation = m_owner.explain(job, m_ctx.clock());
    if (!explanation.known)
        return answer(
            errorAnswer(Error { ErrorCode::NotFound, "no such job waits or runs here", "id", job.str() }));
    answer(jsonAnswer(200, jobJson(job, explanation)));
}

void Domain::cancel(const JobId& job, const Answer& answer)
{
    const auto explanation = m_owner.explain(job, m_ctx.clock());
    if (!explanation.known)
        return show(job, answer);
    m_owner.cancel(job, m_ctx.clock());
    drive();
    show(job, answer);
}

void Domain::listJobs(Poco::JSON::Array& rows)
{
    for (const auto& [id, entry] : journalView().jobs) {
        auto row = makeJson();
        row->set("job", id.str());
        const auto explanation = m_owner.explain(id, m_ctx.clock());
        row->set("state",
            entry.end               ? std::string("ended")
                : explanation.known ? explanation.state
                                    : "queued");
        row->set("text", entry.end ? entry.end->text : explanation.text);
        if (const auto spec = specOf(entry)) {
            row->set("workspace", spec->workspace.str());
            row->set("class", spec->workClass.str());
            row->set("accelerators", spec->accelerators);
        }
        rows.add(row);
    }
}

void Domain::listWorkers(Poco::JSON::Array& rows) const
{
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        auto row = makeJson();
        const auto& reply = m_lastReplies[i];
        row->set("worker", m_workers[i].str());
        row->set("domain", m_id.str());
        row->set("address", m_addresses[i]);
        const bool granted = reply.status == platform::SyncStatus::Granted;
        row->set("state", std::string(granted ? "up" : m_addresses[i].empty() ? "unknown" : "not granted"));
        row->set("holder", reply.holder);
        row->set("tasks", static_cast<unsigned>(reply.tasks.size()));
        rows.add(row);
    }
}

Json Domain::usageJson() const
{
    const auto usage = m_owner.usage();
    auto json = makeJson();
    json->set("domain", m_id.str());
    json->set("owner", isOwner() ? m_ctx.self.host.str() : std::string());
    json->set("total", usage.total);
    json->set("down", usage.down);
    json->set("used", usage.used);
    json->set("largestFreeRun", usage.largestFreeRun);
    json->set("queued", static_cast<unsigned>(usage.queued));
    json->set("running", static_cast<unsigned>(usage.running));
    json->set("journal", std::string(m_journal->committer().isAvailable() ? "up" : "down"));
    json->set("unjournaled", static_cast<unsigned>(m_journal->committer().pending()));
    return json;
}

} // namespace jujubereach::daemon
