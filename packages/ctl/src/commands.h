// The commands, one function each; every one returns an exit status of run.h.
#pragma once

#include "client.h"

#include <iosfwd>
#include <string>

namespace CLI {
class App;
}

namespace jujubereach::ctl {

/// What all commands share.
struct Context {
    std::vector<std::string> servers;
    bool json = false; ///< Print the host's answer as it came.
    std::int64_t waitMs = 30'000;
    int status = 0; ///< Exit status of the command that ran.

    Client client() const { return Client(servers); }
};

void addManifestCommands(CLI::App& app, Context& ctx);
void addJobCommands(CLI::App& app, Context& ctx);
void addRequestCommands(CLI::App& app, Context& ctx);
void addFleetCommands(CLI::App& app, Context& ctx);
void addTraceCommand(CLI::App& app, Context& ctx);

/// Sends the call; prints the error for people, or the whole answer with --json. The reply's status is
/// 0 when no host answered; `ctx.status` is set.
Reply sendAndReport(Context& ctx, const Call& call);

/// Reads a whole file, or standard input for "-".
Result<std::string> readFile(const std::string& path);

} // namespace jujubereach::ctl
