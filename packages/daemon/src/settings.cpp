#include "settings.h"

#include <CLI/CLI.hpp>
#include <Poco/Net/SocketAddress.h>

namespace jujubereach::daemon {

namespace {

    std::string checkAddress(const std::string& text)
    {
        const auto colon = text.rfind(':');
        if (colon == std::string::npos || colon == 0)
            return "'" + text + "' is not of the form ip:port";
        try {
            const Poco::Net::IPAddress ip(text.substr(0, colon));
            const int port = std::stoi(text.substr(colon + 1));
            if (port < 1 || port > 65'535)
                return "the port of '" + text + "' is not between 1 and 65535";
        } catch (const std::exception&) {
            return "'" + text + "' is not of the form ip:port";
        }
        return {};
    }

    std::string checkId(const std::string& text)
    {
        constexpr std::size_t longestId = 63;
        if (text.empty() || text.size() > longestId)
            return "must have 1 to 63 characters";
        if (text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") != std::string::npos)
            return "'" + text + "' may only hold a-z, 0-9 and -";
        return {};
    }

    CLI::Option* addId(CLI::App& app, const std::string& name, std::string& value, const std::string& help,
        const std::string& environment)
    {
        return app.add_option(name, value, help)->envname(environment)->check(checkId)->required();
    }

    CLI::Option* addAddress(CLI::App& app, const std::string& name, std::string& value,
        const std::string& help, const std::string& environment)
    {
        return app.add_option(name, value, help)->envname(environment)->check(checkAddress)->required();
    }

    struct RawSettings {
        std::string host;
        std::string zone;
        std::string region;
        std::int64_t platformTimeoutMs = 2000;
        std::int64_t workerTimeoutMs = 1000;
        std::int64_t drainBoundMs = 30'000;
    };

    void addIdentity(CLI::App& app, Settings& settings, RawSettings& raw)
    {
        addId(app, "--host", raw.host, "Id of this entry host", "JUJUBEREACH_HOST");
        addId(app, "--zone", raw.zone, "Availability zone of this host", "JUJUBEREACH_ZONE");
        addId(app, "--region", raw.region, "Region of the zone", "JUJUBEREACH_REGION");
        addAddress(app, "--http", settings.httpAddress, "Address for callers, ip:port", "JUJUBEREACH_HTTP");
        addAddress(app, "--inner", settings.innerAddress, "Address for other entry hosts, ip:port",
            "JUJUBEREACH_INNER");
        addAddress(app, "--platform", settings.platformAddress, "Address of the platform's service",
            "JUJUBEREACH_PLATFORM");
        app.add_option("--seeds", settings.seeds, "Inner addresses of entry hosts to join, comma separated")
            ->envname("JUJUBEREACH_SEEDS")
            ->delimiter(',')
            ->check(checkAddress);
    }

    void addBounds(CLI::App& app, Settings& settings, RawSettings& raw)
    {
        app.add_option("--http-threads", settings.httpThreads, "Threads that serve callers")
            ->capture_default_str()
            ->envname("JUJUBEREACH_HTTP_THREADS")
            ->check(CLI::Range(4, 4096));
        app.add_option("--io-threads", settings.ioThreads, "Threads that call workers and upstreams")
            ->capture_default_str()
            ->envname("JUJUBEREACH_IO_THREADS")
            ->check(CLI::Range(4, 1024));
        app.add_option("--platform-timeout-ms", raw.platformTimeoutMs, "Bound of one call to the service")
            ->capture_default_str()
            ->envname("JUJUBEREACH_PLATFORM_TIMEOUT_MS")
            ->check(CLI::Range(50, 60'000));
        app.add_option("--worker-timeout-ms", raw.workerTimeoutMs, "Bound of one call to a worker")
            ->capture_default_str()
            ->envname("JUJUBEREACH_WORKER_TIMEOUT_MS")
            ->check(CLI::Range(50, 1500));
        app.add_option("--drain-bound-ms", raw.drainBoundMs, "How long a planned stop waits for requests")
            ->capture_default_str()
            ->envname("JUJUBEREACH_DRAIN_BOUND_MS")
            ->check(CLI::Range(0, 600'000));
        app.add_option(
               "--platform-writes", settings.platformWritesPerSecond, "Writes a second to the service")
            ->capture_default_str()
            ->envname("JUJUBEREACH_PLATFORM_WRITES")
            ->check(CLI::Range(1, 500));
        app.add_option("--platform-reads", settings.platformReadsPerSecond, "Reads a second from the service")
            ->capture_default_str()
            ->envname("JUJUBEREACH_PLATFORM_READS")
            ->check(CLI::Range(1, 2000));
        app.add_option("--log-level", settings.logLevel, "debug, info, warning or error")
            ->capture_default_str()
            ->envname("JUJUBEREACH_LOG_LEVEL")
            ->check(CLI::IsMember({ "debug", "info", "warning", "error" }));
    }

    StartChoice refusalOf(const CLI::App& app, const CLI::ParseError& error)
    {
        StartChoice choice;
        choice.action = StartAction::Exit;
        if (error.get_exit_code() == 0) {
            choice.message = error.get_name() == "CallForVersion" ? error.what() : app.help();
            return choice;
        }
        choice.exitStatus = badSettingStatus;
        choice.message = std::string("jujubereachd: ") + error.what();
        return choice;
    }

} // namespace

StartChoice readSettings(int argc, const char* const* argv, const ExtendOptions& extend)
{
    CLI::App app {
        "Entry host of jujubereach: schedules gangs and routes requests for one availability zone.",
        "jujubereachd"
    };
    app.set_version_flag("--version", "jujubereachd 0.1.0");
    StartChoice choice;
    RawSettings raw;
    addIdentity(app, choice.settings, raw);
    addBounds(app, choice.settings, raw);
    if (extend)
        extend(app, choice.settings);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return refusalOf(app, error);
    }
    auto& settings = choice.settings;
    settings.host = HostId(raw.host);
    settings.zone = ZoneId(raw.zone);
    settings.region = RegionId(raw.region);
    settings.platformTimeout = Duration(raw.platformTimeoutMs);
    settings.workerTimeout = Duration(raw.workerTimeoutMs);
    settings.drainBound = Duration(raw.drainBoundMs);
    return choice;
}

} // namespace jujubereach::daemon
