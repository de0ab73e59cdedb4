// Reports a machine to the platform once a second.
#pragma once

#include "jujubereach/platform/hosts.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace jujubereach::standins {

class Heartbeat {
public:
    /// `machines` tells what to report; it is called on the heartbeat's thread. An empty address reports
    /// nothing.
    Heartbeat(const std::string& platformAddress, const std::string& caller,
        std::function<std::vector<platform::Machine>()> machines);
    ~Heartbeat();
    Heartbeat(const Heartbeat&) = delete;
    Heartbeat& operator=(const Heartbeat&) = delete;

private:
    void run(const std::string& platformAddress, const std::string& caller);

    const std::function<std::vector<platform::Machine>()> m_machines;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopped = false; ///< Guarded by m_mutex.
    std::thread m_thread;
};

} // namespace jujubereach::standins
