// Size and cost of what is kept in the key-value service: journal, manifest, refusals.
#include "measure.h"

#include "jujubereach/jobs/job-codec.h"
#include "jujubereach/journal/job-journal.h"
#include "jujubereach/ledger/ledger.h"
#include "jujubereach/manifest/sections.h"

namespace jujubereach::capacity {

namespace {

    journal::Record acceptOf(std::size_t number)
    {
        scheduling::JobSpec job;
        job.id = JobId("ga-east-1.d1.12-" + std::to_string(number));
        job.workspace = WorkspaceId("workspace-" + std::to_string(number % 250));
        job.workClass = ClassId("proofs");
        job.caller = CallerId("press-" + std::to_string(number % 1000));
        job.kind = "foil-render";
        job.accelerators = 16;
        job.declaredRunTime = Duration(7'200'000);
        journal::JobRecord record;
        record.kind = journal::JobRecordKind::Accept;
        record.term = 12;
        record.job = job.id;
        record.key = job.workspace.str() + "/key-" + std::to_string(number);
        record.spec = jobs::encodeJob(job);
        return journal::encodeRecord("accept/" + job.id.str(), record);
    }

    manifest::Manifest manifestWith(std::size_t workspaces)
    {
        manifest::Manifest manifest;
        manifest.name = "target";
        manifest.classes.push_back({ ClassId("proofs"), 0, true, 0.1 });
        for (int zone = 0; zone < 11; ++zone) {
            manifest::Zone out { ZoneId("z" + std::to_string(zone)), RegionId("r" + std::to_string(zone % 4)),
                {} };
            manifest::Domain domain { DomainId("d1"), {} };
            for (int rack = 0; rack < 274; ++rack)
                domain.racks.push_back(
                    { RackId("r" + std::to_string(zone) + "-" + std::to_string(rack)), 8, 8 });
            out.domains.push_back(domain);
            manifest.zones.push_back(out);
        }
        for (std::size_t i = 0; i < workspaces; ++i) {
            const ShapeId shape("s" + std::to_string(i));
            manifest.workspaces.push_back({ WorkspaceId("w" + std::to_string(i)), 1, 512,
                { { shape, ZoneId("z" + std::to_string(i % 11)), 16, 1 } } });
        }
        return manifest;
    }

} // namespace

void measureJournal(std::size_t jobs)
{
    const auto apply = journal::jobJournalApply();
    std::vector<journal::Record> records;
    for (std::size_t i = 0; i < jobs; ++i)
        records.push_back(acceptOf(i));
    const auto full = apply("", records);
    constexpr int rounds = 20;
    const auto started = cpuMilliseconds();
    for (int i = 0; i < rounds; ++i)
        apply(full.payload, { acceptOf(jobs + 1) });
    report("journal-bytes", jobs, static_cast<double>(full.payload.size()), "bytes");
    report("journal-commit-cpu", jobs, (cpuMilliseconds() - started) / rounds, "ms-per-commit");
}

void measureManifest(std::size_t workspaces)
{
    const auto manifest = manifestWith(workspaces);
    const auto text = manifest::toJson(manifest);
    const auto started = cpuMilliseconds();
    const auto parsed = manifest::parse(text);
    const auto parsedAt = cpuMilliseconds();
    const auto sections = manifest::split(parsed.manifest);
    std::size_t largest = 0;
    for (const auto& [name, content] : sections.texts)
        largest = std::max(largest, content.size());
    report("manifest-bytes", workspaces, static_cast<double>(text.size()), "bytes");
    report("manifest-largest-section", workspaces, static_cast<double>(largest), "bytes");
    report("manifest-parse-cpu", workspaces, parsedAt - started, "ms");
    report("manifest-split-cpu", workspaces, cpuMilliseconds() - parsedAt, "ms");
}

void measureLedger(std::size_t callers)
{
    ledger::LedgerConfig config;
    config.zone = ZoneId("z");
    config.host = HostId("h");
    const auto before = heapBytes();
    ledger::RefusalLedger ledger(config);
    constexpr std::size_t refusals = 100'000;
    const auto started = cpuMilliseconds();
    for (std::size_t i = 0; i < refusals; ++i) {
        ledger::Refusal refusal { WorkspaceId("w" + std::to_string(i % 250)),
            CallerId("c" + std::to_string(i % callers)), ClassId("bulk"), "caller_bound", "no",
            { 1'000'000 } };
        ledger.record(refusal, TimePoint(Duration(1'000'000)));
    }
    report("ledger-cpu", callers, (cpuMilliseconds() - started) * 1e3 / refusals, "us-per-refusal");
    report("ledger-memory", callers, (heapBytes() - before) / 1024, "KiB");
}

} // namespace jujubereach::capacity
