// A stream socket whose reads and writes share one deadline and that counts the bytes it has sent.
#pragma once

#include <Poco/Net/StreamSocketImpl.h>

#include <chrono>
#include <cstdint>

namespace jujubereach::platform {

/// Poco's timeouts bound a single read or write, so a peer that sends a byte at a time could block a call
/// indefinitely.
class DeadlineSocketImpl : public Poco::Net::StreamSocketImpl {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    void setDeadline(TimePoint deadline) { m_deadline = deadline; }
    /// Bytes accepted by the kernel so far.
    std::uint64_t bytesSent() const { return m_bytesSent; }

    int sendBytes(const void* buffer, int length, int flags) override;
    int receiveBytes(void* buffer, int length, int flags) override;

private:
    Poco::Timespan remaining() const;

    TimePoint m_deadline = TimePoint::max();
    std::uint64_t m_bytesSent = 0;
};

} // namespace jujubereach::platform
