// Bytes to HTTP messages and back, with POCO's message classes on what was received.
#pragma once

#include "jujubereach/net/http.h"

#include <optional>

namespace jujubereach::net::detail {

/// Bytes of a head and the length of the body that follows it.
struct Framing {
    std::size_t headBytes = 0;
    std::size_t bodyBytes = 0;
    bool chunked = false;
};

/// Returns the size of the head in `bytes`, or 0 when its end has not arrived.
std::size_t headSize(const std::string& bytes, std::size_t from);

/// Parse a complete head; nothing on a malformed one.
std::optional<HttpRequest> parseRequestHead(const std::string& bytes, Framing& framing);
std::optional<HttpResponse> parseResponseHead(const std::string& bytes, Framing& framing);

/// Joins the chunks of a chunked body. Returns the bytes used, 0 when incomplete; nothing on a malformed one.
std::optional<std::size_t> decodeChunkedBody(const std::string& bytes, std::size_t from, std::string& body);

std::string encode(const HttpRequest& request, const std::string& host);
std::string encode(const HttpResponse& response, bool close);

} // namespace jujubereach::net::detail
