// Parsing of addresses, and the socket options that client and server share.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace jujubereach::net::detail {

/// Reads "ip:port".
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& text);
/// The same for a peer to call: neither port 0 nor an address that names no single peer.
std::optional<boost::asio::ip::tcp::endpoint> parsePeer(const std::string& text);

/// Disables Nagle's algorithm, and lets the kernel close the connection when sent data stays unacknowledged
/// for `peerTimeoutMs`. Unlike keep-alive, this also works where probes are disabled.
void setPeerOptions(boost::asio::ip::tcp::socket& socket, unsigned peerTimeoutMs);

} // namespace jujubereach::net::detail
