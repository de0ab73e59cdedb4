#include "domain.h"

#include <glog/logging.h>

namespace jujubereach::daemon {

namespace {

    constexpr Duration driveDelay { 5 };

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
    , m_owner(configOf(ctx, domain),
          [this] {
              scheduling::Policy policy;
              policy.protectShapes = !m_ctx.testHooks.breaks("reclaim");
              return jobs::hooksOf(
                  std::make_shared<scheduling::Scheduler>(m_manifest, m_ctx.settings.zone, m_id, policy));
          })
    , m_backlog({ [this](const journal::Record& record) { return m_journal->add(record); },
          [this](const std::string& id) { return m_journal->withdraw(id); } })
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
    m_backlog.pump();
    sendSyncs();
    carryOutEvents();
    for (const auto& line : m_owner.takeLog())
        LOG(INFO) << "domain " << m_id << ": " << line;
}

void Domain::sendSyncs()
{
    for (const auto& out : m_owner.dueSyncs(m_ctx.clock()))
        sync(out);
}

void Domain::sync(const jobs::OutgoingSync& out)
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

} // namespace jujubereach::daemon
