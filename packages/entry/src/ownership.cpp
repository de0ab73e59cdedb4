// Ownership of the fleet: a key under a lease, whose creation revision is the fence. A new owner reads all
// state again.
#include "host-impl.h"

namespace jujubereach::entry {

namespace keys = fleet::keys;

namespace {

    constexpr Duration renewInterval { 250 };
    constexpr Duration renewTimeout { 500 }; // Lets a store 100 times slower than usual answer.
    constexpr Duration callTimeout { 1000 };
    constexpr Duration writeTimeout { 1500 };
    constexpr Duration claimJitter { 60 }; // Spreads claims over a few round trips.
    // Divided by a host's cores, before jitter: hosts with 1/4 and 1/8 of a core wait 24 ms and 72 ms longer
    // than those with 1/2, the latter more than the jitter. The owner's work is too much for a small host if
    // there are larger ones.
    constexpr Duration claimDelayOfOneCore { 12 };
    constexpr Duration claimRetry { 300 };
    constexpr Duration readTimeout { 2500 };
    constexpr Duration workerWatchPause { 300 }; // Batches reports; well below the bound for leaving workers.

} // namespace

void EntryHost::Impl::ownerWritten(const StoreItem& item)
{
    const Fence fence { item.created.value };
    if (fence.value < m_knownOwner.value)
        return;
    if (fence != m_knownOwner)
        m_hooks.log("owner", { { "fence", fence.value }, { "name", item.value } });
    m_knownOwner = fence;
    m_lastOwnerHoldsUpdates = item.value.ends_with(holdsUpdatesMark);
    if (m_owner && fence.value > m_fence.value)
        stepDown("another host owns the fleet");
    else if (!m_settings.forwardAddress.empty() && item.value != m_ownerValue
        && item.value.starts_with(m_ownerPrefix))
        releaseEarlierIncarnation(item);
}

// Two processes cannot listen on one address, so the one that wrote the key has ended. Until its lease
// expired, the fleet would have no owner.
void EntryHost::Impl::releaseEarlierIncarnation(const StoreItem& item)
{
    m_hooks.log("release-earlier-life", { { "fence", item.created.value } });
    fleet::StoreWrite write;
    write.expected.push_back({ keys::owner, item.revision });
    write.removes.push_back(keys::owner);
    m_hooks.store.write(std::move(write), callTimeout, [this, self = m_self](const StoreAnswer& answer) {
        if (*self && answer.fate != StoreFate::Done) // The key then expires with its lease.
            m_hooks.log("release-failed", { { "fate", nameOf(answer.fate) } });
    });
}

void EntryHost::Impl::ownerRemoved()
{
    m_knownOwner = {};
    if (m_owner)
        stepDown("the owner's key is gone");
    claim();
}

void EntryHost::Impl::claim()
{
    if (m_claiming || m_draining || m_owner || !m_config)
        return;
    m_claiming = true;
    std::uniform_int_distribution<std::int64_t> jitter(0, claimJitter.count());
    const Duration delay(jitter(m_random)
        + static_cast<std::int64_t>(static_cast<double>(claimDelayOfOneCore.count()) / m_settings.cores));
    m_hooks.after(delay, [this, self = m_self] {
        if (!*self)
            return;
        if (m_knownOwner.value != 0 || m_draining) {
            m_claiming = false;
            return;
        }
        const auto sentAt = now();
        m_hooks.store.grantLease(
            m_settings.owner.ownerLease, callTimeout, [this, self, sentAt](const StoreAnswer& granted) {
                if (!*self)
                    return;
                if (granted.fate != StoreFate::Done || m_draining)
                    return claimAnswered(
                        {}, sentAt, granted.fate == StoreFate::Done ? StoreAnswer {} : granted);
                fleet::StoreWrite write;
                write.expected.push_back({ keys::owner, {} });
                write.puts.push_back({ keys::owner, m_ownerValue, granted.lease });
                m_hooks.store.write(std::move(write), writeTimeout,
                    [this, self, sentAt, lease = granted.lease](const StoreAnswer& answer) {
                        if (*self)
                            claimAnswered(lease, sentAt, answer);
                    });
            });
    });
}

void EntryHost::Impl::claimAnswered(StoreLease lease, TimePoint sentAt, const StoreAnswer& answer)
{
    m_claiming = false;
    if (answer.fate != StoreFate::Done || lease.value == 0 || m_draining) {
        m_hooks.log("claim-failed", { { "fate", nameOf(answer.fate) } });
        // If an unanswered claim took effect, its lease expires, as it is not renewed.
        m_hooks.after(claimRetry, [this, self = m_self] {
            if (*self && m_knownOwner.value == 0)
                claim();
        });
        return;
    }
    m_lease = lease;
    m_fence = { answer.at.value };
    m_knownOwner = m_fence;
    const auto term = ++m_term;
    m_hooks.log("claimed", { { "fence", m_fence.value } });

    fleet::OwnerHooks hooks;
    hooks.clock = m_hooks.clock;
    hooks.wall = m_hooks.wall;
    hooks.workers = m_hooks.workers;
    hooks.advise = m_hooks.advise;
    hooks.log = m_hooks.log;
    hooks.meter = m_hooks.meter;
    hooks.wakeIn = [this](Duration delay) { wakeIn(delay); };
    hooks.ownershipLost = [this, self = m_self, term] {
        m_hooks.after(Duration(0), [this, self, term] {
            if (*self && term == m_term)
                stepDown("superseded");
        });
    };
    hooks.write = [this](fleet::StoreWrite write, fleet::StoreDone done) {
        m_hooks.store.write(std::move(write), writeTimeout, std::move(done));
    };
    m_owner
        = std::make_unique<Owner>(m_settings.owner, std::move(hooks), m_fence, Revision { m_fence.value });
    m_owner->setConfig(m_config);
    m_owner->setClosedZones(m_closedZones);
    m_owner->confirmClosedZones(m_watchConfirmedAt);
    m_owner->confirmOwnership(sentAt);
    if (!m_lastOwnerHoldsUpdates)
        m_owner->expectUnheldUpdates();
    m_jobsRead = m_workersRead = m_restored = false;
    m_progress.clear();
    m_listedWorkers.clear();
    m_unreadableWorkers.clear();
    m_wakeAt = {};
    renew();
    recover();
}

void EntryHost::Impl::renew()
{
    m_hooks.after(renewInterval, [this, self = m_self, term = m_term] {
        if (!*self || term != m_term || !m_owner)
            return;
        const auto sentAt = now();
        m_hooks.store.renewLease(
            m_lease, renewTimeout, [this, self, term, sentAt](const StoreAnswer& answer) {
                if (!*self || term != m_term || !m_owner)
                    return;
                if (answer.fate == StoreFate::Missing)
                    return stepDown("the lease has ended");
                if (answer.fate == StoreFate::Done)
                    m_owner->confirmOwnership(sentAt);
            });
        renew(); // Not after the answer: a lost one would delay the next renewal by its timeout.
    });
}

void EntryHost::Impl::readPages(const std::string& prefix, const std::string& after,
    const std::shared_ptr<std::vector<StoreItem>>& items, std::function<void(bool)> done)
{
    m_hooks.store.range(prefix, after, readTimeout,
        [this, self = m_self, prefix, items, done = std::move(done)](StoreAnswer answer) {
            if (!*self)
                return;
            if (answer.fate != StoreFate::Done)
                return done(false);
            std::move(answer.items.begin(), answer.items.end(), std::back_inserter(*items));
            if (answer.more && !items->empty())
                return readPages(prefix, items->back().key, items, done);
            done(true);
        });
}

// Progress is read after this host has claimed the owner key; from then on no other owner can write it.
void EntryHost::Impl::recover()
{
    auto items = std::make_shared<std::vector<StoreItem>>();
    readPages(keys::progressPrefix, {}, items, [this, items, term = m_term](bool read) {
        if (term != m_term || !m_owner)
            return;
        if (!read) {
            m_hooks.after(claimRetry, [this, self = m_self, term] {
                if (*self && term == m_term && m_owner)
                    recover();
            });
            return;
        }
        for (auto& item : *items)
            m_progress[item.key] = std::move(item);
        readSpeeds();
        watchFleet();
    });
}

// The takeover does not wait for the answer: without it, speeds are learned anew.
void EntryHost::Impl::readSpeeds()
{
    m_hooks.store.read(
        keys::speeds, readTimeout, [this, self = m_self, term = m_term](const StoreAnswer& answer) {
            if (*self && term == m_term && m_owner && answer.fate == StoreFate::Done && !answer.items.empty())
                m_owner->restoreSpeeds(answer.items[0].value);
        });
}

void EntryHost::Impl::watchFleet()
{
    const auto term = m_term;
    PrefixWatcher::Hooks jobs;
    jobs.listed = [this](const std::vector<StoreItem>& items) { jobsListed(items); };
    jobs.written = [this](const StoreItem& item) {
        auto record = readJob(item);
        if (record && m_owner)
            m_owner->jobWritten(std::move(*record));
    };
    jobs.removed = [](const std::string&) { /* Only this owner removes records. */ };
    jobs.confirmed = [this](TimePoint, Revision upTo) {
        if (m_owner)
            m_owner->jobsReported(upTo);
    };
    m_jobs = std::make_shared<PrefixWatcher>(m_hooks, keys::jobPrefix, Duration(0), std::move(jobs));

    PrefixWatcher::Hooks workers;
    workers.listed = [this](const std::vector<StoreItem>& items) { workersRead(items); };
    workers.written = [this](const StoreItem& item) {
        if (!m_owner)
            return;
        if (const auto report = readWorker(item)) {
            m_listedWorkers.insert(report->id);
            m_owner->workerReported(*report);
        } else if (const auto id = m_hooks.workerOfKey(item.key); m_listedWorkers.erase(id) > 0)
            m_owner->workerUnlisted(id);
    };
    workers.removed = [this](const std::string& key) {
        const auto id = m_hooks.workerOfKey(key);
        m_listedWorkers.erase(id);
        m_unreadableWorkers.erase(id);
        if (m_owner)
            m_owner->workerUnlisted(id);
    };
    workers.confirmed = [](TimePoint, Revision) {};
    m_workers = std::make_shared<PrefixWatcher>(
        m_hooks, m_hooks.layout.workerPrefix, workerWatchPause, std::move(workers));

    m_hooks.store.read(keys::roster, readTimeout, [this, self = m_self, term](const StoreAnswer& answer) {
        if (!*self || term != m_term || !m_owner)
            return;
        if (answer.fate == StoreFate::Done && !answer.items.empty()) {
            const auto roster = fleet::decodeRoster(answer.items[0].value);
            if (!roster)
                m_hooks.log("record-unreadable", { { "key", keys::roster } });
            m_owner->restoreRoster(roster, answer.items[0].revision);
        } else if (answer.fate != StoreFate::Missing) {
            m_hooks.after(claimRetry, [this, self, term] {
                if (*self && term == m_term && m_owner)
                    watchFleet();
            });
            return;
        }
        m_workers->start();
        m_jobs->start();
    });
}

std::optional<fleet::JobRecord> EntryHost::Impl::readJob(const StoreItem& item)
{
    auto record = fleet::decodeJob(keys::jobOf(item.key), item.value);
    if (record)
        record->created = item.created;
    else
        m_hooks.log("record-unreadable", { { "key", item.key } });
    return record;
}

// The first listing restores the jobs; later ones, read after the history was lost, report what has changed.
void EntryHost::Impl::jobsListed(const std::vector<StoreItem>& items)
{
    if (!m_owner)
        return;
    for (const auto& item : items) {
        auto record = readJob(item);
        if (!record)
            continue;
        if (m_jobsRead) {
            m_owner->jobWritten(std::move(*record));
            continue;
        }
        const auto found = m_progress.find(keys::progress(record->id));
        std::optional<fleet::ProgressRecord> progress;
        Revision revision;
        if (found != m_progress.end()) {
            revision = found->second.revision;
            progress = fleet::decodeProgress(found->second.value);
            if (!progress) {
                m_hooks.log("record-unreadable", { { "key", found->first } });
                continue;
            }
        }
        m_owner->restoreJob(std::move(*record), std::move(progress), revision);
    }
    m_jobsRead = true;
    m_progress.clear();
    finishRecoveryOnceRead();
}

std::optional<fleet::WorkerReport> EntryHost::Impl::readWorker(const StoreItem& item)
{
    auto report = m_hooks.decodeWorker(item.key, item.value);
    const auto id = m_hooks.workerOfKey(item.key);
    if (report)
        m_unreadableWorkers.erase(id);
    else if (m_unreadableWorkers.insert(id).second)
        m_hooks.log("worker-unreadable", { { "worker", id.str() }, { "bytes", item.value.size() } });
    return report;
}

void EntryHost::Impl::workersRead(const std::vector<StoreItem>& items)
{
    if (!m_owner)
        return;
    std::set<WorkerId> present;
    std::set<WorkerId> unreadable;
    for (const auto& item : items) {
        if (const auto report = readWorker(item)) {
            present.insert(report->id);
            m_owner->workerReported(*report);
        } else
            unreadable.insert(m_hooks.workerOfKey(item.key));
    }
    m_unreadableWorkers = std::move(unreadable);
    for (const auto& id : m_listedWorkers) {
        if (!present.contains(id))
            m_owner->workerUnlisted(id);
    }
    m_listedWorkers = std::move(present);
    m_workersRead = true;
    finishRecoveryOnceRead();
}

void EntryHost::Impl::finishRecoveryOnceRead()
{
    if (m_jobsRead && m_workersRead && !std::exchange(m_restored, true))
        m_owner->recovered();
}

void EntryHost::Impl::wakeIn(Duration delay)
{
    const auto at = now() + delay;
    if (m_wakeAt != TimePoint {} && m_wakeAt <= at)
        return; // Also if that wake-up is overdue: replacing it by a later one would starve the owner.
    m_wakeAt = at;
    m_hooks.after(delay, [this, self = m_self, at, term = m_term] {
        if (!*self || term != m_term || !m_owner || m_wakeAt != at)
            return;
        m_wakeAt = {};
        m_owner->tick();
    });
}

void EntryHost::Impl::stepDown(const char* why)
{
    if (!m_owner)
        return;
    m_hooks.log("step-down", { { "fence", m_fence.value }, { "why", why } });
    ++m_term;
    m_owner.reset();
    m_fence = {};
    m_lease = {};
    for (auto* follower : { &m_jobs, &m_workers }) {
        if (*follower)
            (*follower)->stop();
        follower->reset();
    }
    if (m_knownOwner.value == 0)
        claim();
}

} // namespace jujubereach::entry
