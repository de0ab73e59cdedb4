#include "program.h"

#include "host.h"
#include "settings.h"

#include "jujubereach/users/serve.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <set>
#include <thread>

namespace jujubereach::daemon {

namespace {

    constexpr Duration upstreamConnectTimeout { 500 };
    constexpr Duration upstreamIdleBound { 5000 };
    constexpr std::pair<const char*, bool fleet::OwnerFeatures::*> namedFeatures[] {
        { "worker-speed", &fleet::OwnerFeatures::workerSpeed },
        { "workspace-shares", &fleet::OwnerFeatures::workspaceShares },
        { "preemption-cost", &fleet::OwnerFeatures::preemptionCost },
        { "interference", &fleet::OwnerFeatures::interference },
    };

    Platform connectPlatform(const Settings& settings)
    {
        const auto caller = settings.host.str();
        Platform platform;
        platform.kv = platform::httpKvService(settings.platformAddress, settings.platformTimeout, caller);
        platform.hostList
            = platform::httpHostList(settings.platformAddress, settings.platformTimeout, caller);
        platform.heartbeat
            = platform::httpHostHeartbeat(settings.platformAddress, settings.platformTimeout, caller);
        platform.worker = platform::httpWorkerClient(settings.workerTimeout, caller);
        platform.upstream = platform::httpUpstreamClient(upstreamConnectTimeout, upstreamIdleBound, caller);
        return platform;
    }

    void startLog(const Settings& settings, const char* program)
    {
        FLAGS_logtostderr = true;
        FLAGS_minloglevel = settings.logLevel == "error" ? 2 : settings.logLevel == "warning" ? 1 : 0;
        FLAGS_v = settings.logLevel == "debug" ? 1 : 0;
        google::InitGoogleLogging(program);
    }

    // Waits for SIGTERM or SIGINT on a thread of its own, then starts a planned stop.
    void drainOnSignal(Host& host)
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        std::thread([&host, signals] {
            int signal = 0;
            sigwait(&signals, &signal);
            host.drain();
        }).detach();
    }

    // Sets the named features to `value`.
    void setFeatures(fleet::OwnerFeatures& features, const std::vector<std::string>& names, bool value)
    {
        for (const auto& [name, feature] : namedFeatures) {
            if (std::find(names.begin(), names.end(), name) != names.end())
                features.*feature = value;
        }
    }

    // "jujubereachd entry" serves the users' platform; its settings come from the file that the platform
    // names, the order of the queue from a flag or the environment.
    int serveUsers(int argc, char** argv, const Extensions& extensions)
    {
        const std::map<std::string, fleet::QueueOrder> orders { { "by-gain", fleet::QueueOrder::ByUtility },
            { "by-arrival", fleet::QueueOrder::ByArrival } };
        auto order = fleet::QueueOrder::ByUtility;
        fleet::OwnerSwitches switches;
        CLI::App app { "Serves callers of the users' platform and owns its fleet when it must.",
            "jujubereachd entry" };
        app.add_option("--order", order, "Order of the queue: by-gain, or by-arrival as a baseline")
            ->transform(CLI::CheckedTransformer(orders))
            ->envname("JUJUBEREACH_ORDER");
        std::set<std::string> names;
        for (const auto& [name, feature] : namedFeatures)
            names.insert(name);
        std::vector<std::string> enabled;
        std::vector<std::string> disabled;
        app.add_option("--enable", enabled, "Parts of the scheduler to switch on; may be repeated")
            ->delimiter(',')
            ->check(CLI::IsMember(names))
            ->envname("JUJUBEREACH_ENABLE");
        app.add_option("--disable", disabled, "Parts of the scheduler to switch off; may be repeated")
            ->delimiter(',')
            ->check(CLI::IsMember(names))
            ->envname("JUJUBEREACH_DISABLE");
        if (extensions.entry)
            extensions.entry(app, switches);
        try {
            app.parse(argc, argv);
        } catch (const CLI::ParseError& error) {
            return app.exit(error) == 0 ? 0 : badSettingStatus;
        }
        const auto* path = std::getenv(users::settingsVariable);
        if (!path) {
            std::cerr << "jujubereachd: " << users::settingsVariable << " must name the settings file\n";
            return badSettingStatus;
        }
        fleet::OwnerFeatures features;
        setFeatures(features, enabled, true);
        setFeatures(features, disabled, false);
        return users::serve(path, { order, switches, features });
    }

} // namespace

int run(int argc, char** argv, const Extensions& extensions)
{
    if (argc >= 2 && std::string_view(argv[1]) == "entry")
        return serveUsers(argc - 1, argv + 1, extensions);
    const auto choice = readSettings(argc, argv, extensions.daemon);
    if (choice.action == StartAction::Exit) {
        (choice.exitStatus == 0 ? std::cout : std::cerr) << choice.message << '\n';
        return choice.exitStatus;
    }
    startLog(choice.settings, argv[0]);
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    Host host(choice.settings, connectPlatform(choice.settings));
    drainOnSignal(host);
    const auto served = outcomeOf([&]() -> Result<bool> {
        if (auto ran = host.run(); !ran)
            return ran.error();
        return true;
    });
    if (served)
        return 0;
    std::cerr << "jujubereachd: " << served.error.where << ": " << served.error.what << '\n';
    return badSettingStatus;
}

} // namespace jujubereach::daemon
