// The entry host's daemon as a program: settings, signals, exit status.
#pragma once

#include "settings.h"

#include "jujubereach/fleet/owner.h"

namespace jujubereach::daemon {

/// Options that a program adds to those of the daemon. The deployed one adds none.
struct Extensions {
    ExtendOptions daemon;
    std::function<void(CLI::App&, fleet::OwnerSwitches&)> entry; ///< Of the mode "entry".
};

/// Returns the exit status of the process.
int run(int argc, char** argv, const Extensions& extensions);

} // namespace jujubereach::daemon
