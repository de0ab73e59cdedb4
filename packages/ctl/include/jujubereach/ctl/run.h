// Entry of jujubereachctl.
#pragma once

namespace jujubereach::ctl {

/// Exit statuses, for scripts.
enum ExitStatus {
    ExitDone = 0,
    ExitRefused = 1, ///< Refused or failed; it did not run.
    ExitUsage = 2, ///< Bad flags or bad input.
    ExitUnreachable = 3, ///< No entry host answered.
    ExitUnknown = 4, ///< It may have run.
};

/// Parses the command line, carries it out and returns the exit status.
int run(int argc, const char* const* argv);

} // namespace jujubereach::ctl
