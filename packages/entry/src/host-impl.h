// Implementation of `EntryHost`, shared by its source files.
#pragma once

#include "jujubereach/entry/entry-host.h"

namespace jujubereach::entry {

using fleet::Fence;
using fleet::Owner;
using fleet::StoreAnswer;
using fleet::StoreFate;
using fleet::StoreItem;
using fleet::StoreLease;

/// Ends the owner key's value of builds whose owners hold updates received after their lease.
constexpr const char* holdsUpdatesMark = " holds-updates";

/// Reads all items below a prefix of the store, then watches it. Reads all again if the store has dropped the
/// history that a watch needs.
class PrefixWatcher : public std::enable_shared_from_this<PrefixWatcher> {
public:
    struct Hooks {
        std::function<void(const StoreItem&)> written;
        std::function<void(const std::string& key)> removed;
        std::function<void(std::vector<StoreItem>)>
            listed; ///< All items below the prefix, after each full read.
        /// The store answered a call sent at this time; all changes up to the revision have been reported.
        std::function<void(TimePoint sentAt, Revision upTo)> confirmed;
    };

    PrefixWatcher(const HostHooks& host, std::string prefix, Duration pause, Hooks hooks);
    void start() { readAll(); }
    void stop() { m_stopped = true; }

private:
    void readAll();
    void readPage(const std::string& after);
    void watch();
    void retry(void (PrefixWatcher::*step)());

    const HostHooks& m_host;
    const std::string m_prefix;
    const Duration m_watchPause; ///< Delay between watches, to batch changes in one answer.
    const Hooks m_hooks;
    std::vector<StoreItem> m_items;
    Revision m_listRevision; ///< Of the first page of the listing in progress.
    Revision m_watchRevision; ///< All changes up to this revision have been reported.
    bool m_firstPage = true;
    int m_failures = 0;
    bool m_stopped = false;
};

class Peers;
struct OpenCall;

class EntryHost::Impl {
public:
    Impl(HostSettings settings, HostHooks hooks);
    ~Impl();

    // entry-host.cpp
    void start();
    void configWritten(const StoreItem& item);
    void setClosedZones(std::set<ZoneId> zones);
    /// Whether a key revoked after `confirmedAt` would still be refused within `revokeBound`.
    bool isFresh(TimePoint confirmedAt) const;
    bool configIsFresh() const { return m_config && isFresh(m_configConfirmedAt); }

    // calls.cpp
    void handle(CallerRequest request, CallerDone done);
    void dispatch(const std::shared_ptr<OpenCall>& call);
    void submit(const std::shared_ptr<OpenCall>& call);
    void submitAnswered(
        const std::shared_ptr<OpenCall>& call, Revision expectedConfig, const StoreAnswer& answer);
    void query(const std::shared_ptr<OpenCall>& call);
    JobState stateOf(const StoreItem& item) const; ///< Job state in a progress record.
    /// Answers when the job ends, or at `until` with its current state.
    void awaitEnd(const std::shared_ptr<OpenCall>& call, JobState state, Revision seenAt, TimePoint until);
    void cancel(const std::shared_ptr<OpenCall>& call);
    void writeCancel(const std::shared_ptr<OpenCall>& call, const StoreItem& item);
    void count(const std::shared_ptr<OpenCall>& call);
    void countFromRecords(const std::shared_ptr<OpenCall>& call);
    /// Answers the call. A refusal is answered only if no write of this call may take effect.
    void finish(const std::shared_ptr<OpenCall>& call, CallerAnswer answer, const char* why);
    /// Reads the record to learn whether a write without an answer has taken effect, then answers.
    void findOut(const std::shared_ptr<OpenCall>& call, CallerAnswer refusal, const char* why);
    void outcomeRead(const std::shared_ptr<OpenCall>& call, const StoreAnswer& record, bool mayTakeEffect,
        CallerAnswer refusal, const char* why);
    void answerCall(const std::shared_ptr<OpenCall>& call, CallerAnswer answer, const char* why);
    void answerOpenCalls();
    void unavailable(const std::shared_ptr<OpenCall>& call, const char* why);
    void refuse(const std::shared_ptr<OpenCall>& call, CallOutcome outcome, const char* why);
    /// The call's route, if the configuration in force still allows the call; otherwise finishes it.
    const fleet::Route* allowedRoute(const std::shared_ptr<OpenCall>& call);

    // forward.cpp
    /// Forwards the call to other hosts; runs `fallback` if none of them decides it.
    void forward(const std::shared_ptr<OpenCall>& call, std::function<void()> fallback);
    void tryPeers(const std::shared_ptr<OpenCall>& call, std::vector<std::string> addresses, std::size_t next,
        std::function<void()> fallback);
    /// Reads the configuration, then runs `then` whether or not the read succeeded.
    void confirmConfig(std::function<void()> then);

    // ownership.cpp
    void ownerWritten(const StoreItem& item);
    void ownerRemoved();
    void releaseEarlierIncarnation(const StoreItem& item);
    void claim();
    void claimAnswered(StoreLease lease, TimePoint sentAt, const StoreAnswer& answer);
    void renew();
    void recover();
    void jobsListed(const std::vector<StoreItem>& items);
    /// Logs a record that cannot be read.
    std::optional<fleet::JobRecord> readJob(const StoreItem& item);
    void readSpeeds();
    void watchFleet();
    /// Logs an entry that cannot be read, once until it is readable or removed.
    std::optional<fleet::WorkerReport> readWorker(const StoreItem& item);
    void workersRead(const std::vector<StoreItem>& items);
    void finishRecoveryOnceRead();
    void stepDown(const char* why);
    void wakeIn(Duration delay);
    void readPages(const std::string& prefix, const std::string& after,
        const std::shared_ptr<std::vector<StoreItem>>& items, std::function<void(bool)> done);

    TimePoint now() const { return m_hooks.clock(); }

    HostSettings m_settings;
    const HostHooks m_hooks;
    std::shared_ptr<Impl*> m_self; ///< Set to null on destruction, for callbacks that run later.
    std::mt19937_64 m_random;
    std::shared_ptr<PrefixWatcher> m_controlWatcher;
    std::shared_ptr<const FleetConfig> m_config; ///< Null until the first one is read.
    Revision m_configRevision;
    std::set<ZoneId> m_closedZones; ///< As of `m_watchConfirmedAt` or later.
    TimePoint m_configConfirmedAt; ///< `m_config` was in force at this time or later.
    /// The same for everything below `watchPrefix`, including closed zones and the owner's key.
    TimePoint m_watchConfirmedAt;
    std::vector<std::function<void()>> m_awaitingConfig; ///< Waiting for one shared configuration read.
    TimePoint m_nextConfirmAt; ///< Calls do not wait for a configuration read before this time.

    std::shared_ptr<Peers> m_peers; ///< Null if other hosts cannot reach this one.
    TimePoint m_nextForwardAt; ///< Calls are not forwarded before this time.
    bool m_draining = false;
    TimePoint m_answersBy = TimePoint::max(); ///< Calls that come later are refused at once.
    std::set<std::shared_ptr<OpenCall>> m_openCalls; ///< All that are not answered yet.

    const std::string m_ownerPrefix; ///< Start of `m_ownerValue`; the same for all incarnations.
    const std::string m_ownerValue; ///< Owner key's value written by this incarnation.
    Fence m_knownOwner; ///< Fence of the current owner; 0 for none.
    bool m_lastOwnerHoldsUpdates = false; ///< Of the last owner that was reported; false if none was.
    bool m_claiming = false;
    StoreLease m_lease;
    std::uint64_t m_term = 0; ///< Counts claims and step-downs; callbacks of earlier terms are ignored.
    std::unique_ptr<Owner> m_owner;
    Fence m_fence; ///< Fence of this host's ownership; 0 for none.
    std::shared_ptr<PrefixWatcher> m_jobs;
    std::shared_ptr<PrefixWatcher> m_workers;
    std::map<std::string, StoreItem> m_progress; ///< Progress records by key, read during recovery.
    std::set<WorkerId> m_unreadableWorkers; ///< Entries of other writers; each is logged once.
    std::set<WorkerId> m_listedWorkers;
    bool m_jobsRead = false;
    bool m_workersRead = false;
    bool m_restored = false;
    TimePoint m_wakeAt;
};

} // namespace jujubereach::entry
