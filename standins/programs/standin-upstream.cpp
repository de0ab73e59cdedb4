// Stand-in of one upstream.
#include "program.h"
#include "upstream-service.h"

using namespace jujubereach;

int main(int argc, char** argv)
{
    CLI::App app("Stand-in of an upstream", "standin-upstream");
    standins::UpstreamOptions options;
    std::int64_t serviceMs = options.serviceTime.count();
    app.add_option("--id", options.id, "Id of the upstream")->required();
    app.add_option("--zone", options.zone, "Availability zone")->required();
    app.add_option("--port", options.port, "Port of the service")->required();
    app.add_option("--control", options.controlPort, "Port of /control and /record")->required();
    app.add_option("--slots", options.slots, "Requests handled at the same time");
    app.add_option("--service-ms", serviceMs, "Time that a request takes");
    app.add_option("--platform", options.platform, "Address of the platform");
    return standins::runProgram(app, argc, argv, [&] {
        options.serviceTime = Duration(serviceMs);
        return std::make_unique<standins::UpstreamService>(options);
    });
}
