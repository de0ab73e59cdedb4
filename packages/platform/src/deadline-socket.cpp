// A stream socket whose reads and writes share one deadline and that counts the bytes it has sent.
#include "deadline-socket.h"

#include <Poco/Exception.h>

#include <sys/socket.h>

namespace jujubereach::platform {

Poco::Timespan DeadlineSocketImpl::remaining() const
{
    auto left = m_deadline - std::chrono::steady_clock::now();
    auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(left).count();
    if (microseconds <= 0)
        throw Poco::TimeoutException("deadline of the call passed");
    return { microseconds };
}

int DeadlineSocketImpl::sendBytes(const void* buffer, int length, int flags)
{
    const auto* bytes = static_cast<const char*>(buffer);
    int sent = 0;
    while (sent < length) {
        setSendTimeout(remaining());
        // MSG_NOSIGNAL: otherwise SIGPIPE would end the process when the peer has closed the connection.
        // SocketImpl::sendBytes, because StreamSocketImpl hides how much was sent before a failure.
        // NOLINTNEXTLINE(bugprone-parent-virtual-call)
        int count = SocketImpl::sendBytes(bytes + sent, length - sent, flags | MSG_NOSIGNAL);
        if (count <= 0)
            break;
        sent += count;
        m_bytesSent += static_cast<std::uint64_t>(count);
    }
    return sent;
}

int DeadlineSocketImpl::receiveBytes(void* buffer, int length, int flags)
{
    setReceiveTimeout(remaining());
    return SocketImpl::receiveBytes(buffer, length, flags);
}

} // namespace jujubereach::platform
