// State of one connection: socket, buffers and times of the last traffic.
#pragma once

#include "jujubereach/base/time.h"
#include "jujubereach/wire/network.h"

#include <Poco/Net/StreamSocket.h>

#include <string>

namespace jujubereach::wire::detail {

struct Connection {
    ConnectionId id = 0;
    std::string address; ///< The peer's listening address; empty when the peer opened the connection.
    Poco::Net::StreamSocket socket;
    bool connecting = false;
    std::string out;
    std::size_t sent = 0; ///< Bytes of `out` that were sent already.
    FrameReader in;
    TimePoint openedAt;
    TimePoint lastReceived;
    TimePoint lastSent;

    bool hasOutput() const { return sent < out.size(); }
    std::size_t buffered() const { return out.size() - sent; }
};

} // namespace jujubereach::wire::detail
