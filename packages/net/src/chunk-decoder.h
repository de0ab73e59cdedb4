// Incremental decoder of a chunked body: each byte is read once, as it arrives.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace jujubereach::net::detail {

class ChunkDecoder {
public:
    enum class Status { Incomplete, Complete, Malformed, TooLarge };

    /// Bytes of sizes, extensions and trailers may be as many as `maxBody`, so that chunks of one byte cost
    /// no more than a body of the largest size.
    explicit ChunkDecoder(std::size_t maxBody = 0)
        : m_maxBody(maxBody)
    {
    }

    /// Appends the data of `bytes` to `body`. Sets `used` to the number of bytes that belong to this body.
    Status decode(std::string_view bytes, std::string& body, std::size_t& used);

private:
    enum class Part { Size, Extension, SizeEnd, Data, DataEnd, DataEndLine, Trailer, TrailerEnd, Done };

    Status step(char byte);
    Status stepInSize(char byte);
    Status endOfSize();

    std::size_t m_maxBody;
    Part m_part = Part::Size;
    std::size_t m_chunkLeft = 0; ///< While in `Data`, the bytes of the chunk that have not arrived yet.
    int m_digits = 0; ///< Of the size being read.
    std::size_t m_bodyBytes = 0;
    std::size_t m_framingBytes = 0;
    bool m_lineIsEmpty = true; ///< Of the trailer being read.
};

} // namespace jujubereach::net::detail
