// hosts, workers, upstreams, status and drain.
#include "commands.h"
#include "jujubereach/ctl/run.h"
#include "table.h"

#include <CLI/CLI.hpp>

#include <iostream>

namespace jujubereach::ctl {

namespace {

    using Columns = std::vector<Column>;

    void addTable(CLI::App& app, Context& ctx, const std::string& name, const char* help, Columns columns)
    {
        auto* command = app.add_subcommand(name, help);
        command->callback([&ctx, name, columns = std::move(columns)] {
            const auto reply = sendAndReport(ctx, { "GET", "/v1/" + name, {}, {}, Duration(ctx.waitMs) });
            if (reply.ok() && !ctx.json)
                printTable(std::cout, columns, reply.json->getArray(name));
        });
    }

    void printStatus(const Reply& reply)
    {
        for (const auto& name : reply.json->getNames()) {
            const auto value = reply.json->get(name);
            if (!value.isArray())
                std::cout << name << ": " << value.toString() << '\n';
        }
        std::cout << "\nDomains of this zone:\n";
        printTable(std::cout,
            { { "DOMAIN", "domain" }, { "OWNER", "owner" }, { "ACCELERATORS", "total" }, { "DOWN", "down" },
                { "USED", "used" }, { "LARGEST FREE", "largestFreeRun" }, { "QUEUED", "queued" },
                { "RUNNING", "running" } },
            reply.json->getArray("domains"));
        std::cout << "\nTimes, in milliseconds:\n";
        printTable(std::cout,
            { { "NAME", "name" }, { "LABELS", "labels" }, { "COUNT", "count" }, { "MEAN", "mean" },
                { "P50", "p50" }, { "P99", "p99" } },
            reply.json->getArray("histograms"));
    }

    void addStatus(CLI::App& app, Context& ctx)
    {
        auto* command = app.add_subcommand("status", "What the host sees: members, domains, times");
        command->callback([&ctx] {
            const auto reply = sendAndReport(ctx, { "GET", "/v1/status", {}, {}, Duration(ctx.waitMs) });
            if (reply.ok() && !ctx.json)
                printStatus(reply);
        });
    }

    void addDrain(CLI::App& app, Context& ctx)
    {
        auto* command
            = app.add_subcommand("drain", "Let the host finish what is in progress, hand over and stop");
        command->callback([&ctx] {
            const auto reply = sendAndReport(ctx, { "POST", "/v1/drain", "{}", {}, Duration(ctx.waitMs) });
            if (reply.ok() && !ctx.json)
                std::cout << "draining\n";
        });
    }

} // namespace

void addFleetCommands(CLI::App& app, Context& ctx)
{
    addTable(app, ctx, "hosts", "Entry hosts and the manifest each has in force",
        { { "HOST", "host" }, { "ZONE", "zone" }, { "STATE", "state" }, { "MANIFEST", "manifestRevision" },
            { "HTTP", "http" } });
    addTable(app, ctx, "workers", "Workers of the zone and who holds their leases",
        { { "WORKER", "worker" }, { "DOMAIN", "domain" }, { "STATE", "state" }, { "HOLDER", "holder" },
            { "TASKS", "tasks" } });
    addTable(app, ctx, "upstreams", "Upstreams of the zone as this host uses them",
        { { "UPSTREAM", "upstream" }, { "STATE", "state" }, { "SLOTS", "slots" }, { "CREDITS", "credits" },
            { "IN USE", "inUse" } });
    addStatus(app, ctx);
    addDrain(app, ctx);
}

} // namespace jujubereach::ctl
