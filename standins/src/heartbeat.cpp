// Reports a machine to the platform once a second.
#include "heartbeat.h"

namespace jujubereach::standins {

namespace {

    constexpr Duration interval { 1000 };
    constexpr Duration callTimeout { 500 };

} // namespace

Heartbeat::Heartbeat(const std::string& platformAddress, const std::string& caller,
    std::function<std::vector<platform::Machine>()> machines)
    : m_machines(std::move(machines))
{
    if (!platformAddress.empty())
        m_thread = std::thread([=, this] { run(platformAddress, caller); });
}

Heartbeat::~Heartbeat()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopped = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void Heartbeat::run(const std::string& platformAddress, const std::string& caller)
{
    const auto report = platform::httpHostHeartbeat(platformAddress, callTimeout, caller);
    std::unique_lock lock(m_mutex);
    while (!m_stopped) {
        lock.unlock();
        for (const auto& machine : m_machines())
            report(machine);
        lock.lock();
        m_wake.wait_for(lock, interval, [this] { return m_stopped; });
    }
}

} // namespace jujubereach::standins
