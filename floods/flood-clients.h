// Clients that misbehave towards one listener, many at once.
#pragma once

#include "jujubereach/base/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jujubereach::floods {

/// What each client of a flood does on its connection.
struct Flood {
    std::size_t clients = 0;
    std::string opening; ///< Sent once.
    std::string repeated; ///< Sent again and again after the opening; empty to stop there.
    std::size_t pieceBytes = 0; ///< Bytes per write; 0 to send in one piece.
    Duration piecePause { 0 }; ///< Between two writes.
    std::size_t readBytes = 65'536; ///< Bytes per read; 0 to read nothing.
    Duration readPause { 0 }; ///< Between two reads.
};

/// A listener of the process under test, and how a request is addressed to it.
struct Listener {
    std::string name;
    unsigned short port = 0;
    std::string path;
    std::string fields; ///< Header lines, each with its line end.
};

/// The floods by name, in the order of the page that specifies them (docs/hard-load.md, part 5).
std::vector<std::string> floodNames();
/// Throws std::out_of_range for an unknown name.
Flood makeFlood(const std::string& name, const Listener& listener);

/// Connections of one flood; each is opened anew when the process closes it. Used from the thread of its
/// loop.
class FloodClients {
public:
    FloodClients(boost::asio::io_context& loop, unsigned short port, Flood flood);
    ~FloodClients();
    FloodClients(const FloodClients&) = delete;
    FloodClients& operator=(const FloodClients&) = delete;

    std::uint64_t connects() const;
    std::uint64_t sentBytes() const;

private:
    class Client;
    struct Shared;

    std::shared_ptr<Shared> m_shared;
    std::vector<std::shared_ptr<Client>> m_clients;
};

} // namespace jujubereach::floods
