#include "daemons.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <stdexcept>

namespace jujubereach::soak {

Daemon::Daemon(std::string binary, std::string folder, std::string name, DaemonPorts ports,
    const std::string& moreSettings)
    : m_binary(std::move(binary))
    , m_folder(std::move(folder))
    , m_name(std::move(name))
    , m_ports(ports)
{
    const auto address = [](unsigned short port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
    std::ofstream out(m_folder + '/' + m_name + ".toml");
    out << "NodeName = \"" << m_name << "\"\nZone = \"z\"\nRegion = \"r\"\nIp = \"127.0.0.1\"\nPortRange = ["
        << m_ports.metrics << ", " << m_ports.metrics + 1
        << "]\n[Listen]\nFront = " << address(m_ports.callers) << "Ready = " << address(m_ports.ready)
        << "[platform]\nAddress = " << address(m_ports.store) << moreSettings;
}

Daemon::~Daemon()
{
    if (m_pid <= 0)
        return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

void Daemon::start()
{
    const auto settings = "JUJUBEREACH_CONFIG=" + m_folder + '/' + m_name + ".toml";
    const auto log = m_folder + '/' + m_name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    char* const arguments[] = { const_cast<char*>(m_binary.c_str()), const_cast<char*>("entry"), nullptr };
    const auto without = "JUJUBEREACH_WITHOUT=" + m_without;
    char* const environment[] = { const_cast<char*>(settings.c_str()),
        m_without.empty() ? nullptr : const_cast<char*>(without.c_str()), nullptr };
    const auto failed = posix_spawn(&m_pid, m_binary.c_str(), &actions, nullptr, arguments, environment);
    posix_spawn_file_actions_destroy(&actions);
    if (failed)
        throw std::runtime_error("cannot start " + m_binary);
    m_asked = false;
    m_startedAt = std::chrono::steady_clock::now();
}

bool Daemon::isLoaded() const
{
    constexpr auto loadTime = std::chrono::milliseconds(200); // Forty times what it takes on an idle machine.
    return m_pid > 0 && std::chrono::steady_clock::now() - m_startedAt > loadTime;
}

void Daemon::signal(int number)
{
    if (m_pid <= 0)
        return;
    m_asked = m_asked || number == SIGKILL || number == SIGTERM;
    kill(m_pid, number);
}

bool Daemon::reap(bool& badly)
{
    int status = 0;
    if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid)
        return false;
    m_pid = 0;
    badly = !m_asked;
    return true;
}

} // namespace jujubereach::soak
