#include "jujubereach/ctl/run.h"

#include "commands.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace jujubereach::ctl {

namespace {

    int statusOf(const Reply& reply)
    {
        if (reply.ok())
            return ExitDone;
        return reply.field("ran") == "unknown" ? ExitUnknown : ExitRefused;
    }

    void printError(const Reply& reply)
    {
        const auto what = reply.field("what");
        std::cerr << "jujubereachctl: "
                  << (what.empty() ? "the host answered status " + std::to_string(reply.status) : what)
                  << '\n';
        if (const auto where = reply.field("where"); !where.empty())
            std::cerr << "  where:     " << where << '\n';
        if (const auto ran = reply.field("ran"); !ran.empty())
            std::cerr << "  ran:       " << ran << '\n';
        if (const auto reference = reply.field("reference"); !reference.empty())
            std::cerr << "  reference: " << reference << '\n';
        if (const auto retry = reply.field("retryAfterMs"); !retry.empty())
            std::cerr << "  try again: in " << retry << " ms\n";
        const auto faults = reply.json->getArray("faults");
        for (unsigned i = 0; faults && i < faults->size(); ++i) {
            const auto fault = faults->getObject(i);
            std::cerr << "  " << fault->optValue<std::string>("where", "") << ": "
                      << fault->optValue<std::string>("what", "") << '\n';
        }
    }

} // namespace

Reply sendAndReport(Context& ctx, const Call& call)
{
    auto reply = outcomeOf([&] { return ctx.client().send(call); });
    if (!reply) {
        std::cerr << "jujubereachctl: " << reply.error.what << '\n';
        ctx.status = ExitUnreachable;
        return { 0, {}, new Poco::JSON::Object };
    }
    ctx.status = statusOf(*reply.value);
    if (ctx.json)
        std::cout << reply.value->text << '\n';
    else if (!reply.value->ok())
        printError(*reply.value);
    return *reply.value;
}

Result<std::string> readFile(const std::string& path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return fail({ ErrorCode::InvalidInput, "cannot read file '" + path + "'", path, {} });
    text << in.rdbuf();
    return text.str();
}

int run(int argc, const char* const* argv)
{
    CLI::App app { "Operates jujubereach: manifest, jobs, requests, refusals, hosts.", "jujubereachctl" };
    app.set_version_flag("--version", "jujubereachctl 0.1.0");
    app.require_subcommand(1);
    app.fallthrough();
    app.footer(
        "Examples:\n"
        "  jujubereachctl validate site.json\n"
        "  jujubereachctl --server 127.0.0.1:8080 apply site.json\n"
        "  jujubereachctl submit --workspace foil --class proof --caller press-7 --accelerators 16 "
        "--run-time-ms 60000\n"
        "  jujubereachctl explain JOB\n"
        "  jujubereachctl trace JOB host-*.log\n"
        "Exit status: 0 done, 1 refused (did not run), 2 bad input, 3 no host answered, 4 may have run.");
    Context ctx;
    ctx.servers = { "127.0.0.1:8080" };
    app.add_option(
           "--server", ctx.servers, "Entry hosts, ip:port, comma separated; the first that answers is used")
        ->envname("JUJUBEREACH_SERVER")
        ->delimiter(',')
        ->capture_default_str();
    app.add_flag("--json", ctx.json, "Print the host's answer as JSON");
    app.add_option("--wait-ms", ctx.waitMs, "How long to wait for an answer")
        ->check(CLI::Range(1, 600'000))
        ->capture_default_str();
    addManifestCommands(app, ctx);
    addJobCommands(app, ctx);
    addRequestCommands(app, ctx);
    addFleetCommands(app, ctx);
    addTraceCommand(app, ctx);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? ExitDone : ExitUsage;
    }
    return ctx.status;
}

} // namespace jujubereach::ctl
