// Ports on loopback that no other process listens on.
#include "ports.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <unistd.h>

namespace jujubereach::scenarios {

namespace {

    constexpr std::uint16_t firstPort = 11'000;
    constexpr std::uint16_t lastPort = 31'000;
    constexpr std::uint16_t portsPerRun = 400;

    bool isFree(std::uint16_t port)
    {
        try {
            const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", port));
            return true;
        } catch (const Poco::Exception&) {
            return false;
        }
    }

} // namespace

// Runners that work at the same time begin at different places.
Ports::Ports()
    : m_next(static_cast<std::uint16_t>(
        firstPort + static_cast<unsigned>(::getpid()) * portsPerRun % (lastPort - firstPort - portsPerRun)))
{
}

Result<std::uint16_t> Ports::take(std::uint16_t count)
{
    std::uint16_t found = 0;
    while (found < count) {
        if (m_next >= lastPort)
            return fail({ ErrorCode::Overloaded, "no free ports are left", "127.0.0.1", {} });
        found = isFree(m_next) ? found + 1 : 0;
        ++m_next;
    }
    return static_cast<std::uint16_t>(m_next - count);
}

} // namespace jujubereach::scenarios
