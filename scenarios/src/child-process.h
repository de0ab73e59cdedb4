// A process that the runner starts and alone may signal.
#pragma once

#include "jujubereach/base/error.h"
#include "jujubereach/base/time.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace jujubereach::scenarios {

/// Ends its process by SIGKILL when it is destroyed.
class ChildProcess {
public:
    /// Starts a program with its output appended to a log file.
    static Result<ChildProcess> start(
        const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile);

    ChildProcess(ChildProcess&& other) noexcept;
    ChildProcess& operator=(ChildProcess&& other) noexcept;
    ~ChildProcess();

    void signal(int number);
    /// Waits until the process has ended. Its status is that of the shell: 128 + n after signal n.
    std::optional<int> wait(Duration limit);
    bool isRunning();

private:
    explicit ChildProcess(pid_t pid)
        : m_pid(pid)
    {
    }

    bool reap(); ///< Whether the process has ended.
    void end();

    pid_t m_pid = -1; ///< -1 once moved from.
    std::optional<int> m_status; ///< Set once the process has ended and was reaped.
};

/// Kills every process that was started and still runs; for signal handlers.
void killAllChildren();

} // namespace jujubereach::scenarios
