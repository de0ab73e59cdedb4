// Chunked bodies that arrive in pieces of any size.
#include "chunk-decoder.h"
#include "fuzz-target.h"

#include <algorithm>
#include <optional>
#include <string>

using namespace jujubereach;

namespace {

constexpr std::size_t maxInput = 4096; // Decoding in pieces costs the square of it.

struct Decoded {
    std::optional<std::size_t> end; ///< Offset of the end; 0 if incomplete, unset if malformed.
    std::string body; ///< Only of a complete body.

    friend bool operator==(const Decoded&, const Decoded&) = default;
};

/// Decodes as the server does while `bytes` arrive in pieces. The only function here that depends on the
/// decoder.
Decoded decode(const std::string& bytes, std::size_t pieceBytes)
{
    using Status = net::detail::ChunkDecoder::Status;
    Decoded out;
    net::detail::ChunkDecoder decoder(maxInput);
    auto status = Status::Incomplete;
    std::size_t at = 0;
    while (status == Status::Incomplete && at < bytes.size()) {
        std::size_t used = 0;
        status = decoder.decode(std::string_view(bytes).substr(at, pieceBytes), out.body, used);
        at += used;
    }
    if (status == Status::Complete || status == Status::Incomplete)
        out.end = status == Status::Complete ? at : 0;
    if (status != Status::Complete)
        out.body.clear();
    return out;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char*>(data), std::min(size, maxInput));
    const auto whole = decode(bytes, maxInput);
    for (const std::size_t pieceBytes : { 1, 7 })
        fuzz::require(decode(bytes, pieceBytes) == whole, "the result does not depend on the pieces");
    if (!whole.end || *whole.end == 0)
        return 0;
    fuzz::require(*whole.end <= bytes.size(), "the body ends within the input");
    fuzz::require(whole.body.size() < *whole.end, "a decoded body is smaller than its chunks");
    fuzz::require(
        decode(bytes.substr(0, *whole.end), maxInput) == whole, "bytes after the body do not matter");
    return 0;
}
