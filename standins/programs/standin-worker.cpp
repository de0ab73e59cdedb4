// Stand-in of the workers of a zone.
#include "program.h"
#include "worker-service.h"

using namespace jujubereach;

int main(int argc, char** argv)
{
    CLI::App app("Stand-in of workers, one port each", "standin-worker");
    standins::WorkerOptions options;
    app.add_option("--id", options.ids, "Worker as <rack>/<index>; may be repeated")->required();
    app.add_option("--zone", options.zone, "Availability zone")->required();
    app.add_option("--port", options.port, "Port of the first worker; the others follow")->required();
    app.add_option("--control", options.controlPort, "Port of /control and /record")->required();
    app.add_option("--accelerators", options.accelerators, "Accelerators of each worker");
    app.add_option("--platform", options.platform, "Address of the platform");
    return standins::runProgram(
        app, argc, argv, [&] { return std::make_unique<standins::WorkerService>(options); });
}
