// request, answer and refusals.
#include "commands.h"
#include "jujubereach/ctl/run.h"
#include "table.h"

#include <CLI/CLI.hpp>

#include <iostream>
#include <memory>

namespace jujubereach::ctl {

namespace {

    struct RequestFlags {
        std::string workspace;
        std::string workClass;
        std::string caller;
        std::string key;
        std::string body;
        bool repeatable = false;
        std::int64_t deadlineMs = 10'000;
    };

    struct AnswerFlags {
        std::string id;
        std::string workspace;
        std::string caller;
    };

    struct RefusalFlags {
        std::string workspace;
        std::string caller;
        std::string workClass;
        std::string reason;
        std::string reference;
    };

    std::string bodyOf(const RequestFlags& flags)
    {
        auto json = callerJson(flags.workspace, flags.workClass, flags.caller, flags.key);
        json.set("repeatable", flags.repeatable);
        json.set("deadlineMs", static_cast<Poco::Int64>(flags.deadlineMs));
        json.set("body", flags.body);
        return toText(json);
    }

    void addRequest(CLI::App& app, Context& ctx)
    {
        auto flags = std::make_shared<RequestFlags>();
        auto* command = app.add_subcommand("request", "Send a request to the upstreams and print its answer");
        command->add_option("--workspace", flags->workspace, "Workspace of the caller")->required();
        command->add_option("--class", flags->workClass, "Class of work")->required();
        command->add_option("--caller", flags->caller, "Who asks")->required();
        command->add_option("--key", flags->key, "Idempotency key; needed to recognise a later retry");
        command->add_option("--body", flags->body, "Body for the upstream");
        command->add_flag("--repeatable", flags->repeatable, "May run more than once");
        command->add_option("--deadline-ms", flags->deadlineMs, "The answer is of no use later than this")
            ->check(CLI::Range(1, 600'000));
        command->callback([&ctx, flags] {
            const auto reply
                = sendAndReport(ctx, { "POST", "/v1/requests", bodyOf(*flags), {}, Duration(ctx.waitMs) });
            if (reply.ok() && !ctx.json)
                std::cout << reply.field("body") << '\n';
        });
    }

    void addAnswer(CLI::App& app, Context& ctx)
    {
        auto flags = std::make_shared<AnswerFlags>();
        auto* command = app.add_subcommand("answer", "Fetch the answer of an earlier request");
        command->add_option("request", flags->id, "Id of the request")->required();
        command->add_option("--workspace", flags->workspace, "Workspace of its caller")->required();
        command->add_option("--caller", flags->caller, "Who asked")->required();
        command->callback([&ctx, flags] {
            const auto path = "/v1/requests/" + escapeQuery(flags->id)
                + "?workspace=" + escapeQuery(flags->workspace) + "&caller=" + escapeQuery(flags->caller);
            const auto reply = sendAndReport(ctx, { "GET", path, {}, {}, Duration(ctx.waitMs) });
            if (reply.ok() && !ctx.json)
                std::cout << reply.field("body") << '\n';
        });
    }

    std::string queryOf(const RefusalFlags& flags)
    {
        std::string query;
        const auto add = [&](const char* name, const std::string& value) {
            if (!value.empty())
                query += (query.empty() ? "?" : "&") + std::string(name) + "=" + escapeQuery(value);
        };
        add("workspace", flags.workspace);
        add("caller", flags.caller);
        add("class", flags.workClass);
        add("reason", flags.reason);
        add("reference", flags.reference);
        return query;
    }

    void addRefusals(CLI::App& app, Context& ctx)
    {
        auto flags = std::make_shared<RefusalFlags>();
        auto* command = app.add_subcommand("refusals", "Whose work was turned away and why");
        command->add_option("--workspace", flags->workspace, "Only of this workspace");
        command->add_option("--caller", flags->caller, "Only of this caller");
        command->add_option("--class", flags->workClass, "Only of this class");
        command->add_option("--reason", flags->reason, "Only for this reason");
        command->add_option("--reference", flags->reference, "The one that an answer named");
        command->callback([&ctx, flags] {
            const auto reply = sendAndReport(
                ctx, { "GET", "/v1/refusals" + queryOf(*flags), {}, {}, Duration(ctx.waitMs) });
            if (reply.ok() && !ctx.json)
                printTable(std::cout,
                    { { "TIME", "time" }, { "REFERENCE", "reference" }, { "WORKSPACE", "workspace" },
                        { "CALLER", "caller" }, { "CLASS", "class" }, { "REASON", "reason" },
                        { "COUNT", "count" }, { "RAN", "ran" } },
                    reply.json->getArray("refusals"));
        });
    }

} // namespace

void addRequestCommands(CLI::App& app, Context& ctx)
{
    addRequest(app, ctx);
    addAnswer(app, ctx);
    addRefusals(app, ctx);
}

} // namespace jujubereach::ctl
