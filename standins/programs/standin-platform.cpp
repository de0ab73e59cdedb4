// Stand-in of the platform: key-value service and list of machines.
#include "platform-service.h"
#include "program.h"

using namespace jujubereach;

int main(int argc, char** argv)
{
    CLI::App app("Stand-in of the platform's key-value service and host list", "standin-platform");
    standins::PlatformOptions options;
    std::int64_t lagMs = options.hostListLag.count();
    std::int64_t timeToLiveMs = options.hostTimeToLive.count();
    app.add_option("--port", options.port, "Port of the service")->required();
    app.add_option("--control", options.controlPort, "Port of /control and /record")->required();
    app.add_option("--writes-per-second", options.writesPerSecond, "Writes above this are refused");
    app.add_option("--reads-per-second", options.readsPerSecond, "Reads above this are refused");
    app.add_option("--host-list-lag-ms", lagMs, "Age of what the host list shows");
    app.add_option(
        "--host-ttl-ms", timeToLiveMs, "Time without a report after which a machine is not listed");
    return standins::runProgram(app, argc, argv, [&] {
        options.hostListLag = Duration(lagMs);
        options.hostTimeToLive = Duration(timeToLiveMs);
        return std::make_unique<standins::PlatformService>(options);
    });
}
