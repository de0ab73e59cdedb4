// Cost of owning a domain whose workers all run, in virtual time.
#include "measure.h"

#include "jujubereach/jobs/owner.h"
#include "jujubereach/platform/json.h"

#include <map>
#include <sstream>

namespace jujubereach::capacity {

namespace {

    using platform::TaskReport;
    using platform::TaskState;
    using platform::WorkerOp;

    constexpr std::uint32_t perWorker = 8;
    constexpr Duration step { 50 };
    constexpr Duration measured { 60'000 };
    constexpr Duration settling { 10'000 };

    /// Grants every lease and runs every task for ever.
    class Workers {
    public:
        explicit Workers(std::uint32_t count)
            : m_tasks(count)
        {
        }

        platform::WorkerReply answer(std::uint32_t worker, const platform::WorkerSync& sync)
        {
            platform::WorkerReply reply;
            reply.status = platform::SyncStatus::Granted;
            reply.holder = sync.holder;
            reply.epoch = sync.epoch;
            reply.leaseLeft = sync.ttl;
            for (const auto& command : sync.commands) {
                carryOut(worker, command);
                reply.results.push_back({ command.gang, command.op, platform::CommandOutcome::Done, {} });
            }
            for (const auto& [gang, task] : m_tasks[worker])
                reply.tasks.push_back(task);
            return reply;
        }

    private:
        void carryOut(std::uint32_t worker, const platform::WorkerCommand& command)
        {
            auto& task = m_tasks[worker][command.gang];
            task.gang = command.gang;
            if (command.op == WorkerOp::Hold) {
                task.accelerators = command.accelerators;
                task.label = command.label;
            }
            if (command.op == WorkerOp::Start)
                task.state = TaskState::Running;
            task.leaseLeft = command.lease;
        }

        std::vector<std::map<GangId, TaskReport>> m_tasks; ///< By worker.
    };

    manifest::Manifest manifestOf(std::uint32_t workers)
    {
        manifest::Manifest manifest;
        manifest::Domain domain { DomainId("d"), {} };
        for (std::uint32_t first = 0; first < workers; first += perWorker)
            domain.racks.push_back({ RackId("r" + std::to_string(first)), perWorker, perWorker });
        manifest.zones.push_back({ ZoneId("z"), RegionId("r"), { domain } });
        manifest.classes.push_back({ ClassId("c"), 0, false, 0 });
        manifest.workspaces.push_back({ WorkspaceId("w"), 1, 0, {} });
        return manifest;
    }

    jobs::OwnerConfig configOf(const manifest::Manifest& manifest)
    {
        const auto& domain = manifest.zones.front().domains.front();
        jobs::OwnerConfig config;
        config.zone = ZoneId("z");
        config.domain = domain.id;
        config.holder = "h#1";
        for (std::uint32_t i = 0; i < manifest::workersOf(domain); ++i)
            config.workers.push_back(manifest::workerAt(domain, i));
        config.acceleratorsPerWorker = perWorker;
        return config;
    }

    std::size_t run(jobs::DomainOwner& owner, Workers& workers, TimePoint& now, Duration time)
    {
        std::size_t syncs = 0;
        for (const auto until = now + time; now < until; now += step) {
            owner.tick(now);
            for (const auto& out : owner.dueSyncs(now)) {
                owner.onSyncReply(out.workerIndex, workers.answer(out.workerIndex, out.sync), now);
                ++syncs;
            }
            for (const auto& event : owner.takeEvents())
                owner.onEventCommitted(event.number, now);
            owner.takeLog();
        }
        return syncs;
    }

    void submitFullLoad(jobs::DomainOwner& owner, std::uint32_t workers, TimePoint now)
    {
        for (std::uint32_t i = 0; i < workers; ++i) {
            scheduling::JobSpec job;
            job.id = owner.newJobId();
            job.workspace = WorkspaceId("w");
            job.workClass = ClassId("c");
            job.caller = CallerId("caller");
            job.accelerators = perWorker;
            job.declaredRunTime = Duration(3'600'000);
            job.restartable = true;
            owner.submit(job, now);
        }
    }

} // namespace

void measureOwner(std::uint32_t workers)
{
    const auto before = heapBytes();
    const auto manifest = manifestOf(workers);
    jobs::DomainOwner owner(configOf(manifest), [&manifest] {
        return jobs::hooksOf(std::make_shared<scheduling::Scheduler>(manifest, ZoneId("z"), DomainId("d")));
    });
    Workers fleet(workers);
    TimePoint now { Duration(1'000'000) };
    owner.setOwning(true, now);
    for (std::uint32_t i = 0; i < workers; ++i)
        owner.setReachable(i, true, now);
    run(owner, fleet, now, settling);
    submitFullLoad(owner, workers, now);
    run(owner, fleet, now, settling);

    const auto started = cpuMilliseconds();
    const auto syncs = run(owner, fleet, now, measured);
    const auto seconds = static_cast<double>(measured.count()) / 1e3;
    report("owner-running-gangs", workers, static_cast<double>(owner.usage().running), "gangs");
    report("owner-cpu", workers, (cpuMilliseconds() - started) / seconds / 10, "percent-of-a-core");
    report("owner-syncs", workers, static_cast<double>(syncs) / seconds, "per-second");
    report("owner-memory", workers, (heapBytes() - before) / 1024, "KiB");
}

void measureSync(std::uint32_t tasks, bool renews, bool labels)
{
    platform::WorkerSync sync { "host#1796351073302", { 7 }, Duration(2000), {}, labels };
    platform::WorkerReply reply;
    reply.status = platform::SyncStatus::Granted;
    for (std::uint32_t i = 0; i < tasks; ++i) {
        const GangId gang("ga-east-1.d1.12-" + std::to_string(i) + "/12.3");
        if (renews)
            sync.commands.push_back({ WorkerOp::Renew, gang, {}, Duration(15'000), {}, {}, 100, {} });
        const auto label = labels ? std::string(180, 'x') : std::string();
        reply.tasks.push_back(
            { gang, TaskState::Running, { i }, Duration(3'600'000), Duration(15'000), label });
    }
    constexpr int rounds = 2000;
    std::size_t bytes = 0;
    const auto started = cpuMilliseconds();
    for (int i = 0; i < rounds; ++i) {
        const auto text = platform::toText(*platform::toJson(reply));
        const auto parsed = platform::parseObject(text);
        bytes = text.size() + platform::toText(*platform::toJson(sync)).size();
        if (!parsed || !platform::workerReplyFromJson(**parsed))
            std::cerr << "capacity: a reply does not read back\n";
    }
    const std::string kind = std::string(renews ? "-renewing" : "") + (labels ? "-with-labels" : "");
    report("sync-cpu" + kind, tasks, (cpuMilliseconds() - started) * 1e3 / rounds, "us-per-sync");
    report("sync-bytes" + kind, tasks, static_cast<double>(bytes), "bytes-per-sync");
}

} // namespace jujubereach::capacity
