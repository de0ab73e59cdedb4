// The entry host's state, shared by the parts of its work.
#pragma once

#include "jujubereach/entry/entry-host.h"

namespace jujubereach::entry {

using fleet::Fence;
using fleet::Owner;
using fleet::StoreAnswer;
using fleet::StoreFate;
using fleet::StoreItem;
using fleet::StoreLease;

/// Follows a prefix of the store: a read of all of it, then watches, and a read again when history is gone.
class PrefixWatcher : public std::enable_shared_from_this<PrefixWatcher> {
public:
    struct Hooks {
        std::function<void(const StoreItem&)> written;
        std::function<void(const std::string& key)> removed;
        std::function<void(std::vector<StoreItem>)>
            listed; ///< Everything below the prefix, after a read of it.
        std::function<void(TimePoint sentAt)> confirmed; ///< An answer came to a call sent then.
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
    const Duration m_watchPause; ///< Between watches, so that many changes come in one answer.
    const Hooks m_hooks;
    std::vector<StoreItem> m_items;
    Revision m_watchRevision;
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
    /// Whether a key that was taken away since `confirmedAt` would still be refused in time.
    bool isFresh(TimePoint confirmedAt) const;
    bool configIsFresh() const { return m_config && isFresh(m_configConfirmedAt); }

    // calls.cpp
    void handle(CallerRequest request, CallerDone done);
    void dispatch(const std::shared_ptr<OpenCall>& call);
    void submit(const std::shared_ptr<OpenCall>& call);
    void submitAnswered(const std::shared_ptr<OpenCall>& call, const StoreAnswer& answer);
    void query(const std::shared_ptr<OpenCall>& call);
    JobState stateOf(const StoreItem& item) const; ///< Of a job, by its progress record.
    /// Answers once the job has ended, or with its state at `until`.
    void awaitEnd(const std::shared_ptr<OpenCall>& call, JobState state, Revision seenAt, TimePoint until);
    void cancel(const std::shared_ptr<OpenCall>& call);
    void writeCancel(const std::shared_ptr<OpenCall>& call, const StoreItem& item);
    void count(const std::shared_ptr<OpenCall>& call);
    void countFromRecords(const std::shared_ptr<OpenCall>& call);
    void finish(const std::shared_ptr<OpenCall>& call, CallerAnswer answer, const char* why);
    void unavailable(const std::shared_ptr<OpenCall>& call, const char* why);
    /// Says that nothing was done, or that the fate is undecided where a write may still take effect.
    void refuse(const std::shared_ptr<OpenCall>& call, CallOutcome outcome, const char* why);

    // forward.cpp
    /// Asks other hosts to decide the call; runs `fallback` when none of them does.
    void forward(const std::shared_ptr<OpenCall>& call, std::function<void()> fallback);
    void tryPeers(const std::shared_ptr<OpenCall>& call, std::vector<std::string> addresses, std::size_t next,
        std::function<void()> fallback);
    /// Runs `then` after a read of the configuration, whether it was answered or not.
    void confirmConfig(std::function<void()> then);

    // ownership.cpp
    void ownerWritten(const StoreItem& item);
    void ownerRemoved();
    void releaseEarlierIncarnation(const StoreItem& item);
    void claim();
    void claimAnswered(StoreLease lease, TimePoint sentAt, const StoreAnswer& answer);
    void renew();
    void recover();
    void recoverJobs();
    void restoreJobs(const std::vector<StoreItem>& jobs);
    void watchFleet();
    void workersRead(const std::vector<StoreItem>& items);
    void finishRecoveryOnceRead();
    void stepDown(const char* why);
    void wakeIn(Duration delay);
    void readPages(const std::string& prefix, const std::string& after,
        const std::shared_ptr<std::vector<StoreItem>>& items, std::function<void(bool)> done);

    TimePoint now() const { return m_hooks.clock(); }

    HostSettings m_settings;
    const HostHooks m_hooks;
    std::shared_ptr<Impl*> m_self; ///< Answers that come after this object is gone find null.
    std::mt19937_64 m_random;
    std::shared_ptr<PrefixWatcher> m_controlWatcher;
    std::shared_ptr<const FleetConfig> m_config; ///< Null before the first.
    Revision m_configRevision;
    TimePoint m_configConfirmedAt; ///< The configuration that this host knows was in force then or later.
    TimePoint m_watchConfirmedAt; ///< The same of all news, the owner's key too.
    std::vector<std::function<void()>> m_awaitingConfig; ///< Share one read of it.
    TimePoint m_nextConfirmAt; ///< When calls wait for such a read again.

    std::shared_ptr<Peers> m_peers; ///< Null where other hosts cannot reach this one.
    TimePoint m_nextForwardAt; ///< When calls are forwarded again.
    bool m_draining = false;

    const std::string m_ownerPrefix; ///< Of this host in the owner's key: the same in each of its lives.
    const std::string m_ownerValue; ///< What this life writes there.
    Fence m_knownOwner; ///< 0 for none.
    bool m_claiming = false;
    StoreLease m_lease;
    std::uint64_t m_term = 0; ///< Counts ownerships of this host; answers of an earlier one are passed over.
    std::unique_ptr<Owner> m_owner;
    Fence m_fence; ///< Of our ownership; 0 for none.
    std::shared_ptr<PrefixWatcher> m_jobs;
    std::shared_ptr<PrefixWatcher> m_workers;
    std::map<std::string, StoreItem> m_progress; ///< Read during recovery.
    std::set<WorkerId> m_listedWorkers;
    bool m_jobsRead = false;
    bool m_workersRead = false;
    bool m_restored = false;
    TimePoint m_wakeAt;
};

} // namespace jujubereach::entry
