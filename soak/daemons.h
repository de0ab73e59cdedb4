// Real daemons as child processes, ended by their ids only.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <sys/types.h>

namespace jujubereach::soak {

struct DaemonPorts {
    unsigned short callers = 0;
    unsigned short ready = 0;
    unsigned short store = 0; ///< Of the proxy before the store.
    unsigned short metrics = 0; ///< Other hosts forward calls to the next one.
};

class Daemon {
public:
    /// `folder` holds its settings file and its log; `moreSettings` are further tables of that file.
    Daemon(std::string binary, std::string folder, std::string name, DaemonPorts ports,
        const std::string& moreSettings = {});
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    void start();
    /// Takes a mechanism away from all later starts, for a counter-check.
    void without(const std::string& mechanism) { m_without = mechanism; }
    /// Whether it has had the time to load its libraries: no program can catch a signal before.
    bool isLoaded() const;
    void signal(int number);
    /// Collects an ended process. Returns whether it has ended; `badly` tells an end that nobody asked for.
    bool reap(bool& badly);
    bool isRunning() const { return m_pid > 0; }
    pid_t pid() const { return m_pid; }
    const std::string& name() const { return m_name; }
    const DaemonPorts& ports() const { return m_ports; }

private:
    const std::string m_binary;
    const std::string m_folder;
    const std::string m_name;
    const DaemonPorts m_ports;
    std::string m_without;
    pid_t m_pid = 0;
    bool m_asked = false;
    std::chrono::steady_clock::time_point m_startedAt;
};

} // namespace jujubereach::soak
