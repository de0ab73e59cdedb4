// submit, show, list, cancel and explain of jobs.
#include "commands.h"
#include "jujubereach/ctl/run.h"
#include "table.h"

#include <CLI/CLI.hpp>

#include <iostream>
#include <memory>

namespace jujubereach::ctl {

namespace {

    struct JobFlags {
        std::string file;
        std::string workspace;
        std::string workClass;
        std::string caller;
        std::string key;
        std::string kind;
        std::string shape;
        unsigned accelerators = 1;
        std::int64_t runTimeMs = 60'000;
        std::int64_t checkpointTimeMs = 0;
        bool checkpointable = false;
        bool restartable = false;
    };

    std::string bodyOf(const JobFlags& flags)
    {
        auto json = callerJson(flags.workspace, flags.workClass, flags.caller, flags.key);
        if (!flags.kind.empty())
            json.set("kind", flags.kind);
        if (!flags.shape.empty())
            json.set("shape", flags.shape);
        json.set("accelerators", flags.accelerators);
        json.set("runTimeMs", static_cast<Poco::Int64>(flags.runTimeMs));
        json.set("checkpointTimeMs", static_cast<Poco::Int64>(flags.checkpointTimeMs));
        json.set("checkpointable", flags.checkpointable);
        json.set("restartable", flags.restartable);
        return toText(json);
    }

    void submit(Context& ctx, const JobFlags& flags)
    {
        auto body = bodyOf(flags);
        if (!flags.file.empty()) {
            auto text = outcomeOf([&] { return readFile(flags.file); });
            if (!text) {
                std::cerr << "jujubereachctl: " << text.error.what << '\n';
                ctx.status = ExitUsage;
                return;
            }
            body = *text.value;
        }
        const auto reply = sendAndReport(ctx, { "POST", "/v1/jobs", body, {}, Duration(ctx.waitMs) });
        if (reply.ok() && !ctx.json)
            std::cout << "job " << reply.field("job")
                      << " accepted (durability: " << reply.field("durability") << ")\n";
    }

    void addSubmit(CLI::App& app, Context& ctx)
    {
        auto flags = std::make_shared<JobFlags>();
        auto* command = app.add_subcommand("submit", "Submit a job by flags or by a JSON file");
        command->add_option(
            "file", flags->file, "Job as JSON, or - for standard input; the flags are not read then");
        command->add_option("--workspace", flags->workspace, "Workspace of the job");
        command->add_option("--class", flags->workClass, "Class of work");
        command->add_option("--caller", flags->caller, "Who asks");
        command->add_option("--key", flags->key, "Idempotency key; the same key never makes a second job");
        command->add_option(
            "--kind", flags->kind, "Names similar jobs, whose run times are learned together");
        command->add_option("--shape", flags->shape, "Call for a guaranteed shape of the workspace");
        command->add_option("--accelerators", flags->accelerators, "Size of the gang");
        command->add_option("--run-time-ms", flags->runTimeMs, "Declared run time");
        command->add_option("--checkpoint-time-ms", flags->checkpointTimeMs, "Time that a checkpoint takes");
        command->add_flag("--checkpointable", flags->checkpointable, "Can save its progress when preempted");
        command->add_flag("--restartable", flags->restartable, "May start again after a worker was lost");
        command->callback([&ctx, flags] { submit(ctx, *flags); });
    }

    void printJob(const Reply& reply)
    {
        std::cout << "job    " << reply.field("job") << "\nstate  " << reply.field("state") << '\n';
        if (const auto end = reply.field("end"); !end.empty())
            std::cout << "end    " << end << '\n';
        if (const auto run = reply.json->getObject("run"))
            std::cout << "on     accelerators " << run->getValue<std::string>("first") << " to "
                      << run->getValue<unsigned>("first") + run->getValue<unsigned>("count") - 1 << '\n';
        if (const auto text = reply.field("text"); !text.empty())
            std::cout << text << '\n';
    }

    void addById(
        CLI::App& app, Context& ctx, const char* name, const char* help, const char* method, const char* tail)
    {
        auto id = std::make_shared<std::string>();
        auto* command = app.add_subcommand(name, help);
        command->add_option("job", *id, "Id of the job")->required();
        command->callback([&ctx, id, method, tail] {
            const auto reply = sendAndReport(
                ctx, { method, "/v1/jobs/" + escapeQuery(*id) + tail, {}, {}, Duration(ctx.waitMs) });
            if (reply.ok() && !ctx.json)
                printJob(reply);
        });
    }

    void addList(CLI::App& app, Context& ctx)
    {
        auto* command = app.add_subcommand("list", "List the jobs of the host's zone");
        command->callback([&ctx] {
            const auto reply = sendAndReport(ctx, { "GET", "/v1/jobs", {}, {}, Duration(ctx.waitMs) });
            if (reply.ok() && !ctx.json)
                printTable(std::cout,
                    { { "JOB", "job" }, { "WORKSPACE", "workspace" }, { "CLASS", "class" },
                        { "STATE", "state" }, { "ACCELERATORS", "accelerators" }, { "TEXT", "text" } },
                    reply.json->getArray("jobs"));
        });
    }

} // namespace

void addJobCommands(CLI::App& app, Context& ctx)
{
    addSubmit(app, ctx);
    addById(app, ctx, "show", "Show a job", "GET", "");
    addById(app, ctx, "cancel", "Cancel a job", "DELETE", "");
    addById(app, ctx, "explain", "Tell why a job waits, or where it runs", "GET", "/explain");
    addList(app, ctx);
}

} // namespace jujubereach::ctl
