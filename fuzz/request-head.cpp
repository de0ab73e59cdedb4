// Request heads as any client may send them.
#include "fuzz-target.h"
#include "message-codec.h"

using namespace jujubereach;

namespace {

// A line break inside of a field would become a further field where the request is forwarded to another host.
bool isOneLine(const std::string& text)
{
    return text.find('\n') == std::string::npos;
}

void checkRequest(const net::HttpRequest& request, std::size_t headBytes)
{
    std::size_t decodedBytes = request.method.size() + request.target.size();
    for (const auto& [name, value] : request.headers) {
        decodedBytes += name.size() + value.size();
        fuzz::require(isOneLine(name) && isOneLine(value), "no decoded field holds a line break");
    }
    fuzz::require(decodedBytes <= headBytes, "a decoded head holds no more bytes than the head");
    fuzz::require(isOneLine(request.target), "the target holds no line break");
    fuzz::require(request.body.empty(), "a head has no body");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    net::detail::Framing framing;
    framing.headBytes = net::detail::headSize(bytes, 0);
    if (framing.headBytes == 0)
        return 0;
    const auto headBytes = framing.headBytes;
    fuzz::require(headBytes <= bytes.size(), "the head ends within the input");
    if (const auto request = net::detail::parseRequestHead(bytes, framing)) {
        fuzz::require(framing.headBytes == headBytes, "parsing does not move the end of the head");
        fuzz::require(!framing.chunked || framing.bodyBytes == 0, "a chunked body has no declared size");
        checkRequest(*request, headBytes);
    }
    return 0;
}
