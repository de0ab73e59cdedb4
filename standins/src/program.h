// What the stand-in programs share: flags checked by CLI11, and running until SIGTERM.
#pragma once

#include <CLI/CLI.hpp>

#include <csignal>
#include <exception>
#include <functional>
#include <iostream>

namespace jujubereach::standins {

/// Parses the flags, calls `serve` and, when it has returned an object, waits for SIGTERM or SIGINT. Returns
/// the exit status: 0 after a signal, 2 for bad flags, 1 when serving failed.
template <typename Serve> int runProgram(CLI::App& app, int argc, char** argv, const Serve& serve)
{
    CLI11_PARSE(app, argc, argv);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr); // Before any thread, so that all inherit it.
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const auto service = serve();
        int signal = 0;
        sigwait(&signals, &signal);
    } catch (const std::exception& error) {
        std::cerr << app.get_name() << ": " << error.what() << '\n';
        return 1;
    }
    return 0;
}

} // namespace jujubereach::standins
