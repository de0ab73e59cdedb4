// Settings of the daemon: flags and environment variables, checked at the start.
#pragma once

#include "jujubereach/base/error.h"
#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"

#include <functional>
#include <string>
#include <vector>

namespace CLI {
class App;
}

namespace jujubereach::daemon {

struct Settings {
    HostId host;
    ZoneId zone;
    RegionId region;
    std::string httpAddress; ///< Towards callers, "ip:port".
    std::string innerAddress; ///< Towards other entry hosts.
    std::string platformAddress;
    std::vector<std::string> seeds; ///< Inner addresses of entry hosts to begin with.
    std::string logLevel = "info";
    unsigned httpThreads = 256;
    unsigned ioThreads = 64;
    Duration platformTimeout { 2000 };
    Duration workerTimeout { 1000 };
    Duration drainBound { 30'000 }; ///< A planned stop waits so long for requests in progress.
    unsigned platformWritesPerSecond = 30;
    unsigned platformReadsPerSecond = 120;
    bool testHooks = false; ///< Opens /v1/test/, which breaks mechanisms; for tests only.
};

enum class StartAction { Run, Exit };

struct StartChoice {
    StartAction action = StartAction::Run;
    int exitStatus = 0;
    std::string message; ///< Help, version or the one sentence that names a bad setting.
    Settings settings;
};

/// Exit status of a start with a bad setting.
constexpr int badSettingStatus = 2;

/// Adds options to those of the daemon.
using ExtendOptions = std::function<void(CLI::App&, Settings&)>;

StartChoice readSettings(int argc, const char* const* argv, const ExtendOptions& extend = {});

} // namespace jujubereach::daemon
