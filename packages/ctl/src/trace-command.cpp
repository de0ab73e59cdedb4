// trace: explains a job from logs.
#include "commands.h"
#include "jujubereach/ctl/run.h"
#include "jujubereach/ctl/trace.h"

#include <CLI/CLI.hpp>

#include <iostream>
#include <sstream>

namespace jujubereach::ctl {

void addTraceCommand(CLI::App& app, Context& ctx)
{
    struct Arguments {
        std::string id;
        std::vector<std::string> logs;
    };
    auto arguments = std::make_shared<Arguments>();
    auto* command
        = app.add_subcommand("trace", "What the hosts' logs tell of one job, and what decided its outcome");
    command->add_option("id", arguments->id, "The job's id, as its caller sent it")->required();
    command->add_option("logs", arguments->logs, "Logs of the entry hosts; - for standard input")->required();
    command->callback([&ctx, arguments] {
        std::vector<LogLine> lines;
        for (const auto& path : arguments->logs) {
            const auto text = outcomeOf([&] { return readFile(path); });
            if (!text) {
                std::cerr << "jujubereachctl: " << text.error.what << '\n';
                ctx.status = ExitUsage;
                return;
            }
            std::istringstream in(*text.value);
            for (std::string line; std::getline(in, line);) {
                if (auto parsed = parseLine(line))
                    lines.push_back(std::move(*parsed));
            }
        }
        if (lines.empty()) {
            std::cerr << "jujubereachctl: no log line in these files\n";
            ctx.status = ExitUsage;
            return;
        }
        const auto trace = traceOf(arguments->id, std::move(lines));
        print(std::cout, trace);
        ctx.status = trace.lines.empty() ? ExitRefused : ExitDone;
    });
}

} // namespace jujubereach::ctl
