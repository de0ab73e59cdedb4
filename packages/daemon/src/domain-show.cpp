// What a domain tells callers and operators about its jobs, workers and use.
#include "domain.h"

namespace jujubereach::daemon {

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
