// The daemon with switches that take safety mechanisms away, for counter-checks. Only tests build it.
#include "program.h"

#include <CLI/CLI.hpp>

#include <map>

using namespace jujubereach;

namespace {

void addHooks(CLI::App& app, daemon::Settings& settings)
{
    app.add_flag("--test-hooks", settings.testHooks, "Open /v1/test/, which breaks mechanisms");
}

void addSwitches(CLI::App& app, fleet::OwnerSwitches& switches)
{
    const std::map<std::string, bool fleet::OwnerSwitches::*> mechanisms {
        { "doubt", &fleet::OwnerSwitches::awaitRecoveryGracePeriod },
        { "saved-acknowledgements", &fleet::OwnerSwitches::saveBeforeAcknowledging },
        { "leases", &fleet::OwnerSwitches::waitForLeases },
        { "late-starts", &fleet::OwnerSwitches::trackUnansweredStarts },
    };
    const auto takeAway = [&switches, mechanisms](const std::vector<std::string>& names) {
        for (const auto& name : names)
            switches.*mechanisms.at(name) = false;
    };
    app.add_option_function<std::vector<std::string>>("--without", takeAway, "Takes mechanisms away")
        ->check(CLI::IsMember(mechanisms))
        ->delimiter(',')
        ->envname("JUJUBEREACH_WITHOUT");
}

} // namespace

int main(int argc, char** argv)
{
    return daemon::run(argc, argv, { addHooks, addSwitches });
}
