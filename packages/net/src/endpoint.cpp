#include "endpoint.h"

#include "jujubereach/net/address.h"

#include <charconv>
#include <netinet/tcp.h>

namespace jujubereach::net::detail {

namespace asio = boost::asio;
using asio::ip::tcp;

std::optional<tcp::endpoint> parseEndpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    const auto ipText = text.substr(0, colon);
    // Excludes scopes and zero bytes, behind which make_address() accepts any text.
    if (ipText.find_first_not_of("0123456789abcdefABCDEF.:") != std::string::npos)
        return std::nullopt;
    unsigned short port = 0;
    const auto* end = text.data() + text.size();
    const auto [stopped, badPort] = std::from_chars(text.data() + colon + 1, end, port);
    if (badPort != std::errc {} || stopped != end)
        return std::nullopt;
    boost::system::error_code failed;
    const auto ip = asio::ip::make_address(ipText, failed);
    if (failed)
        return std::nullopt;
    return tcp::endpoint(ip, port);
}

std::optional<tcp::endpoint> parsePeer(const std::string& text)
{
    auto peer = parseEndpoint(text);
    if (!peer || peer->port() == 0)
        return std::nullopt;
    const auto ip = peer->address();
    const auto isPeer = !ip.is_unspecified() && !ip.is_multicast()
        && ip != asio::ip::address(asio::ip::address_v4::broadcast());
    return isPeer ? peer : std::nullopt;
}

void setPeerOptions(tcp::socket& socket, unsigned peerTimeoutMs)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &peerTimeoutMs, sizeof peerTimeoutMs);
}

} // namespace jujubereach::net::detail

bool jujubereach::net::isPeerAddress(const std::string& address)
{
    return detail::parsePeer(address).has_value();
}
