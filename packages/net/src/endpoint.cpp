#include "endpoint.h"

#include <Poco/NumberParser.h>

#include <netinet/tcp.h>

namespace jujubereach::net::detail {

namespace asio = boost::asio;
using asio::ip::tcp;

std::optional<tcp::endpoint> parseEndpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    unsigned port = 0;
    if (!Poco::NumberParser::tryParseUnsigned(text.substr(colon + 1), port) || port > 65'535)
        return std::nullopt;
    boost::system::error_code failed;
    const auto ip = asio::ip::make_address(text.substr(0, colon), failed);
    if (failed)
        return std::nullopt;
    return tcp::endpoint(ip, static_cast<unsigned short>(port));
}

void setPeerOptions(tcp::socket& socket, unsigned peerTimeoutMs)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &peerTimeoutMs, sizeof peerTimeoutMs);
}

} // namespace jujubereach::net::detail
