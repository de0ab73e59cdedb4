// One domain on this host: its owner, its journal, the calls that wait for either.
#pragma once

#include "api.h"
#include "cluster.h"
#include "committer-driver.h"
#include "context.h"
#include "copies.h"
#include "jujubereach/jobs/owner.h"
#include "jujubereach/journal/backlog.h"
#include "jujubereach/journal/job-journal.h"
#include "jujubereach/manifest/manifest.h"
#include "refusals.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujubereach::daemon {

struct DomainHooks {
    std::function<std::string(const RefusedWork&)> refuse; ///< Returns the reference.
};

/// A job as a caller submits it.
struct JobCall {
    scheduling::JobSpec spec; ///< Without id.
    std::string key; ///< "<workspace>/<idempotency key>".
};

/// The answer to a submission that does not fit into memory, by what became of its journal record.
ApiError refusedInOutage(journal::CommitStatus record);

/// The job of an entry that has not ended; none when it cannot be read.
std::optional<scheduling::JobSpec> specOf(const journal::JournalEntry& entry);

class Domain {
public:
    Domain(Context& ctx, Copies& copies, const manifest::Manifest& manifest, const manifest::Domain& domain,
        DomainHooks hooks);

    const DomainId& id() const { return m_id; }
    const std::vector<WorkerId>& workers() const { return m_workers; }
    std::uint32_t accelerators() const { return m_accelerators; }
    void reconfigure(const manifest::Manifest& manifest);
    void setOwning(bool owning);
    void setMachines(const std::vector<platform::Machine>& machines);
    bool isOwner() const { return m_owner.isOwner(m_ctx.clock()); }
    /// After setOwning(false): every lease is given back and every event is journaled or the service is down.
    bool released() const;

    void submit(const JobCall& call, Answer answer);
    void show(const JobId& job, const Answer& answer);
    void explain(const JobId& job, const Answer& answer) const;
    void cancel(const JobId& job, const Answer& answer);
    /// Answers from the journal although another host owns the domain.
    void showFromJournal(const JobId& job, const Answer& answer);
    void listJobs(Poco::JSON::Array& rows);
    void listWorkers(Poco::JSON::Array& rows) const;
    Json usageJson() const;

    /// Lets the owner act; call often.
    void drive();

private:
    struct Accepting {
        JobCall call;
        std::vector<Answer> answers;
        bool queued = false; ///< Given to the owner, in an outage before it is journaled.
    };

    /// Wraps a function so that it does nothing once this domain is gone.
    template <typename F> auto guarded(F f)
    {
        return [alive = std::weak_ptr<bool>(m_alive), f = std::move(f)]<typename... Args>(Args&&... args) {
            if (alive.lock())
                f(std::forward<Args>(args)...);
        };
    }

    void driveSoon();
    void startTerm();
    void sendSyncs();
    void sync(const jobs::OutgoingSync& out);
    void carryOutEvents();
    void journalEvent(const jobs::JobEvent& event);
    void noteEnd(const jobs::JobEvent& event);
    void onCompletion(const journal::Completion& completion);
    void onEventCompletion(const journal::Completion& completion);
    void onAccepted(const JobId& job, const std::string& durability);
    void onDuplicate(const JobId& job, const std::string& reason);
    void acceptInOutage(const JobId& job);
    void refuseUnjournaled(const JobId& job);
    void learnJournal();
    void followJournal();
    const journal::JobJournal& journalView();
    std::optional<JobId> findKey(const std::string& key);
    void answerAccepted(const Answer& answer, const JobId& job, const std::string& durability, bool existing);
    Json jobJson(const JobId& job, const scheduling::Explanation& explanation) const;
    ApiAnswer fromJournal(const JobId& job);
    void addRecord(const std::string& id, journal::JobRecord record);

    Context& m_ctx;
    Copies& m_copies;
    const DomainHooks m_hooks;
    const DomainId m_id;
    const std::uint32_t m_accelerators; ///< Of the whole domain.
    manifest::Manifest m_manifest;
    std::vector<WorkerId> m_workers; ///< In the order of the domain's line.
    std::vector<std::string> m_addresses; ///< Of m_workers; empty when unknown.
    std::vector<platform::WorkerReply> m_lastReplies; ///< Of m_workers, for operators.
    std::string m_journalKey;
    jobs::DomainOwner m_owner;
    std::unique_ptr<CommitterDriver> m_journal;
    std::map<JobId, Accepting> m_accepting; ///< Submits whose record is not committed yet.
    std::map<std::string, JobId> m_acceptingKeys; ///< Keys of m_accepting.
    std::map<std::string, std::uint64_t> m_eventRecords; ///< Record id to event number.
    std::map<JobId, jobs::JobEvent> m_ends; ///< Ends that the journal may not hold yet.
    journal::JobJournal m_view;
    std::string m_viewPayload; ///< What m_view was decoded from.
    journal::Backlog m_backlog; ///< For the journal's committer.
    std::uint64_t m_learnedReads = 0; ///< Of the committer, as of the last learnJournal().
    TimePoint m_journalReadAt;
    std::uint64_t m_term = 0;
    bool m_owning = false;
    bool m_fenced = false; ///< The journal knows this term.
    bool m_driveSet = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< Last, so that it ends first.
};

} // namespace jujubereach::daemon
