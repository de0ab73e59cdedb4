// Encoding and decoding of HTTP messages; received heads are parsed by POCO's message classes.
#pragma once

#include "jujubereach/net/http.h"

#include <optional>

namespace jujubereach::net::detail {

/// Sizes of a message's head and of the body that follows it.
struct Framing {
    std::size_t headBytes = 0;
    std::size_t bodyBytes = 0;
    bool chunked = false;
};

/// Returns the size of the head in `bytes`, or 0 when it is incomplete. Bytes before `from` were searched
/// by an earlier call.
std::size_t headSize(const std::string& bytes, std::size_t from);

/// Parse a complete head of `framing.headBytes` bytes and fill in the rest of `framing`. Return nothing for a
/// malformed head.
std::optional<HttpRequest> parseRequestHead(const std::string& bytes, Framing& framing);
std::optional<HttpResponse> parseResponseHead(const std::string& bytes, Framing& framing);

/// Decodes a chunked body that starts at `from`. Returns the offset of its end in `bytes`, 0 when it is
/// incomplete, and nothing when it is malformed.
std::optional<std::size_t> decodeChunkedBody(const std::string& bytes, std::size_t from, std::string& body);

/// Whether no line break or zero byte in the head would change the meaning of the encoded request.
bool isEncodable(const HttpRequest& request);

std::string encode(const HttpRequest& request, const std::string& host);
std::string encode(const HttpResponse& response, bool close);

} // namespace jujubereach::net::detail
