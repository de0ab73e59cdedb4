// Addresses as text, and what both ends of a connection set on their sockets.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace jujubereach::net::detail {

/// Reads "ip:port".
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& text);

/// Sends at once, and lets the kernel give up a peer that acknowledges nothing for so long; works also where
/// keep-alive probes are off.
void setPeerOptions(boost::asio::ip::tcp::socket& socket, unsigned peerTimeoutMs);

} // namespace jujubereach::net::detail
