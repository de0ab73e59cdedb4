// A process that the runner starts and alone may signal.
#include "child-process.h"

#include <array>
#include <atomic>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <utility>

namespace jujubereach::scenarios {

namespace {

    constexpr Duration pollInterval { 5 };
    constexpr std::size_t maxChildren = 512;

    // Lock-free, since a signal handler reads it. 0 marks a free place.
    std::array<std::atomic<pid_t>, maxChildren> children {};

    void enter(pid_t pid)
    {
        for (auto& child : children) {
            pid_t none = 0;
            if (child.compare_exchange_strong(none, pid))
                return;
        }
    }

    void leave(pid_t pid)
    {
        for (auto& child : children) {
            pid_t expected = pid;
            if (child.compare_exchange_strong(expected, 0))
                return;
        }
    }

    std::vector<char*> pointersOf(std::vector<std::string>& texts)
    {
        std::vector<char*> pointers;
        pointers.reserve(texts.size() + 1);
        for (auto& text : texts)
            pointers.push_back(text.data());
        pointers.push_back(nullptr);
        return pointers;
    }

    // Undoes what the runner set for itself: blocked signals and ignored SIGPIPE.
    void setSignalDefaults(posix_spawnattr_t& attributes)
    {
        sigset_t none;
        sigemptyset(&none);
        posix_spawnattr_setsigmask(&attributes, &none);
        sigset_t defaults;
        sigemptyset(&defaults);
        for (int number : { SIGPIPE, SIGTERM, SIGINT })
            sigaddset(&defaults, number);
        posix_spawnattr_setsigdefault(&attributes, &defaults);
        posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
    }

    int spawn(
        pid_t& pid, const std::string& program, std::vector<std::string> arguments, const std::string& log)
    {
        arguments.insert(arguments.begin(), program);
        auto argv = pointersOf(arguments);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
        posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        posix_spawnattr_t attributes;
        posix_spawnattr_init(&attributes);
        setSignalDefaults(attributes);
        const int error = posix_spawn(&pid, program.c_str(), &actions, &attributes, argv.data(), environ);
        posix_spawnattr_destroy(&attributes);
        posix_spawn_file_actions_destroy(&actions);
        return error;
    }

} // namespace

Result<ChildProcess> ChildProcess::start(
    const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile)
{
    pid_t pid = -1;
    if (const int error = spawn(pid, program, arguments, logFile))
        return fail({ ErrorCode::Unavailable, "a process does not start", program, std::strerror(error) });
    enter(pid);
    return ChildProcess(pid);
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
    , m_status(other.m_status)
{
}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept
{
    if (this != &other) {
        end();
        m_pid = std::exchange(other.m_pid, -1);
        m_status = other.m_status;
    }
    return *this;
}

ChildProcess::~ChildProcess()
{
    end();
}

void ChildProcess::end()
{
    if (m_pid < 0 || m_status)
        return;
    signal(SIGKILL);
    wait(Duration(10'000));
}

void ChildProcess::signal(int number)
{
    // A reaped process's id may belong to another one by now.
    if (m_pid > 0 && !m_status)
        ::kill(m_pid, number);
}

bool ChildProcess::reap()
{
    if (m_status)
        return true;
    int raw = 0;
    if (::waitpid(m_pid, &raw, WNOHANG) != m_pid)
        return false;
    leave(m_pid);
    m_status = WIFEXITED(raw) ? WEXITSTATUS(raw) : 128 + WTERMSIG(raw);
    return true;
}

bool ChildProcess::isRunning()
{
    return m_pid > 0 && !reap();
}

std::optional<int> ChildProcess::wait(Duration limit)
{
    const auto end = steadyClock()() + limit;
    while (!reap()) {
        if (steadyClock()() >= end)
            return std::nullopt;
        std::this_thread::sleep_for(pollInterval);
    }
    return m_status;
}

void killAllChildren()
{
    for (auto& child : children) {
        if (const pid_t pid = child.load(); pid > 0)
            ::kill(pid, SIGKILL);
    }
}

} // namespace jujubereach::scenarios
