// apply, validate, diff and manifest.
#include "commands.h"
#include "jujubereach/ctl/run.h"
#include "jujubereach/manifest/manifest.h"
#include "table.h"

#include <CLI/CLI.hpp>
#include <Poco/UUIDGenerator.h>

#include <iostream>
#include <memory>
#include <thread>

namespace jujubereach::ctl {

namespace {

    constexpr Duration pollInterval { 100 };

    struct ApplyFlags {
        std::string file;
        std::string operatorName;
        std::string base;
        std::int64_t inForceMs = 10'000;
        bool rebase = false;
    };

    // Reads and checks the file; prints every fault. Empty text when it is not valid.
    std::string readValid(Context& ctx, const std::string& path)
    {
        auto text = outcomeOf([&] { return readFile(path); });
        if (!text) {
            std::cerr << "jujubereachctl: " << text.error.what << '\n';
            ctx.status = ExitUsage;
            return {};
        }
        const auto parsed = manifest::parse(*text.value);
        for (const auto& fault : parsed.faults)
            std::cerr << path << ": " << fault.where << ": " << fault.what << '\n';
        if (parsed.faults.empty())
            return *text.value;
        std::cerr << "jujubereachctl: " << parsed.faults.size() << " fault(s); nothing was applied\n";
        ctx.status = ExitUsage;
        return {};
    }

    std::vector<std::string> hostsBehind(const Reply& hosts, std::uint64_t revision)
    {
        std::vector<std::string> behind;
        const auto rows = hosts.json->getArray("hosts");
        for (unsigned i = 0; rows && i < rows->size(); ++i) {
            const auto host = rows->getObject(i);
            const auto state = host->optValue<std::string>("state", "");
            if (state != "dead" && host->optValue<Poco::UInt64>("manifestRevision", 0) < revision)
                behind.push_back(host->optValue<std::string>("host", "?") + " (" + state + ")");
        }
        return behind;
    }

    void waitInForce(Context& ctx, std::uint64_t revision, Duration bound)
    {
        const auto clock = steadyClock();
        const auto started = clock();
        std::vector<std::string> behind;
        for (;;) {
            auto hosts = outcomeOf([&] {
                return ctx.client().send({ "GET", "/v1/hosts", {}, {}, Duration(5000) });
            });
            if (hosts) {
                behind = hostsBehind(*hosts.value, revision);
                if (behind.empty())
                    break;
            }
            if (clock() - started > bound)
                break;
            std::this_thread::sleep_for(pollInterval);
        }
        if (behind.empty()) {
            std::cout << "in force on every known host after " << (clock() - started).count() << " ms\n";
            return;
        }
        std::cout << "accepted, but not yet in force on:\n";
        for (const auto& host : behind)
            std::cout << "  " << host << '\n';
    }

    void apply(Context& ctx, const ApplyFlags& flags)
    {
        const auto text = readValid(ctx, flags.file);
        if (text.empty())
            return;
        Call call { "PUT", "/v1/manifest", text, {}, Duration(ctx.waitMs) };
        call.headers["X-Operation-Id"] = Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
        call.headers["X-Operator"] = flags.operatorName;
        if (flags.rebase)
            call.headers["X-Rebase"] = "true";
        if (!flags.base.empty())
            call.headers["X-Base-Revision"] = flags.base;
        const auto reply = sendAndReport(ctx, call);
        if (!reply.ok() || ctx.json)
            return;
        const auto revision = reply.json->optValue<Poco::UInt64>("revision", 0);
        std::cout << "manifest accepted as revision " << revision << '\n';
        waitInForce(ctx, revision, Duration(flags.inForceMs));
    }

    void addApply(CLI::App& app, Context& ctx)
    {
        auto flags = std::make_shared<ApplyFlags>();
        auto* command
            = app.add_subcommand("apply", "Check a manifest, put it in force, wait until every host has it");
        command->add_option("file", flags->file, "Manifest, or - for standard input")->required();
        command->add_option("--base", flags->base, "Refuse when the revision in force is another");
        command->add_flag(
            "--rebase", flags->rebase, "Go on when another operator changed other sections only");
        command->add_option("--operator", flags->operatorName, "Name kept with the change")->envname("USER");
        command->add_option("--in-force-ms", flags->inForceMs, "How long to wait until it is in force")
            ->check(CLI::Range(0, 600'000));
        command->callback([&ctx, flags] { apply(ctx, *flags); });
    }

    void addValidate(CLI::App& app, Context& ctx)
    {
        auto file = std::make_shared<std::string>();
        auto* command = app.add_subcommand("validate", "Check a manifest without a host; names every fault");
        command->add_option("file", *file, "Manifest, or - for standard input")->required();
        command->callback([&ctx, file] {
            if (!readValid(ctx, *file).empty())
                std::cout << "valid\n";
        });
    }

    void addDiff(CLI::App& app, Context& ctx)
    {
        auto file = std::make_shared<std::string>();
        auto* command = app.add_subcommand("diff", "Show what applying a manifest would change");
        command->add_option("file", *file, "Manifest, or - for standard input")->required();
        command->callback([&ctx, file] {
            const auto text = readValid(ctx, *file);
            if (text.empty())
                return;
            const auto reply
                = sendAndReport(ctx, { "POST", "/v1/manifest/diff", text, {}, Duration(ctx.waitMs) });
            if (reply.ok() && !ctx.json)
                std::cout << reply.field("diff");
        });
    }

    void addShow(CLI::App& app, Context& ctx)
    {
        auto* command = app.add_subcommand("manifest", "Print the manifest in force");
        command->callback([&ctx] {
            const auto reply = sendAndReport(ctx, { "GET", "/v1/manifest", {}, {}, Duration(ctx.waitMs) });
            if (reply.ok() && !ctx.json)
                std::cout << reply.text << '\n';
        });
    }

} // namespace

void addManifestCommands(CLI::App& app, Context& ctx)
{
    addApply(app, ctx);
    addValidate(app, ctx);
    addDiff(app, ctx);
    addShow(app, ctx);
}

} // namespace jujubereach::ctl
