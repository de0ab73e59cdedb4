// A domain and the jobs that callers submit: accepted once journaled, or on copies in an outage.
#include "domain.h"

#include "jujubereach/jobs/job-codec.h"

#include <glog/logging.h>

namespace jujubereach::daemon {

namespace {

    // A submit waits so long for the journal before it is accepted on copies instead.
    constexpr Duration journalPatience { 1500 };
    constexpr Duration noOwnerRetryAfter { 1000 };
    constexpr Duration outageRetryAfter { 10'000 };

} // namespace

ApiError refusedInOutage(journal::CommitStatus record)
{
    if (record != journal::CommitStatus::NotWritten)
        return { 504, "outcome_unknown",
            "the platform's service has not answered; the job may have been accepted: ask again with the "
            "same key",
            {}, Ran::Unknown, {}, outageRetryAfter };
    return { 503, "outage_bound", "the platform's service is down and no more jobs fit into memory", {},
        Ran::No, {}, outageRetryAfter };
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
    auto error = refusedInOutage(m_backlog.withdraw("accept/" + job.str()));
    const auto& spec = accepting.call.spec;
    if (error.ran == Ran::No)
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

} // namespace jujubereach::daemon
