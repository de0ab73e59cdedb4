#include "chunk-decoder.h"

#include <algorithm>

namespace jujubereach::net::detail {

namespace {

    constexpr int maxDigits = 8; // Four bytes; far above any limit of a body.
    constexpr std::size_t minFramingBytes = 1024; // Allowed whatever the limit of the body.

    int valueOfDigit(char digit)
    {
        if (digit >= '0' && digit <= '9')
            return digit - '0';
        const auto lower = static_cast<char>(digit | 0x20);
        return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
    }

} // namespace

ChunkDecoder::Status ChunkDecoder::decode(std::string_view bytes, std::string& body, std::size_t& used)
{
    used = 0;
    while (used < bytes.size()) {
        if (m_part == Part::Data) {
            const auto size = std::min(m_chunkLeft, bytes.size() - used);
            body.append(bytes, used, size);
            used += size;
            m_chunkLeft -= size;
            if (m_chunkLeft == 0)
                m_part = Part::DataEnd;
            continue;
        }
        if (++m_framingBytes > std::max(m_maxBody, minFramingBytes))
            return Status::TooLarge;
        const auto status = step(bytes[used++]);
        if (status != Status::Incomplete)
            return status;
    }
    return Status::Incomplete;
}

ChunkDecoder::Status ChunkDecoder::step(char byte)
{
    const auto expect = [&](char expected, Part next) {
        m_part = next;
        return byte == expected ? Status::Incomplete : Status::Malformed;
    };
    switch (m_part) {
    case Part::Size:
        return stepInSize(byte);
    case Part::Extension:
        if (byte == '\r')
            m_part = Part::SizeEnd;
        return byte == '\n' ? Status::Malformed : Status::Incomplete;
    case Part::SizeEnd:
        return byte == '\n' ? endOfSize() : Status::Malformed;
    case Part::DataEnd:
        return expect('\r', Part::DataEndLine);
    case Part::DataEndLine:
        return expect('\n', Part::Size);
    case Part::Trailer:
        if (byte == '\r')
            m_part = Part::TrailerEnd;
        else
            m_lineIsEmpty = false;
        return byte == '\n' ? Status::Malformed : Status::Incomplete;
    case Part::TrailerEnd:
        if (byte != '\n')
            return Status::Malformed;
        m_part = m_lineIsEmpty ? Part::Done : Part::Trailer;
        if (m_part == Part::Done)
            return Status::Complete;
        m_lineIsEmpty = true;
        return Status::Incomplete;
    case Part::Data:
    case Part::Done:
        break;
    }
    return Status::Malformed;
}

ChunkDecoder::Status ChunkDecoder::stepInSize(char byte)
{
    if (const auto digit = valueOfDigit(byte); digit >= 0) {
        m_chunkLeft = m_chunkLeft * 16 + static_cast<std::size_t>(digit);
        return ++m_digits > maxDigits ? Status::Malformed : Status::Incomplete;
    }
    if (m_digits == 0 || (byte != '\r' && byte != ';' && byte != ' ' && byte != '\t'))
        return Status::Malformed;
    m_part = byte == '\r' ? Part::SizeEnd : Part::Extension;
    return Status::Incomplete;
}

ChunkDecoder::Status ChunkDecoder::endOfSize()
{
    m_digits = 0;
    if (m_chunkLeft == 0) {
        m_part = Part::Trailer;
        m_lineIsEmpty = true;
        return Status::Incomplete;
    }
    m_part = Part::Data;
    m_bodyBytes += m_chunkLeft;
    return m_bodyBytes > m_maxBody ? Status::TooLarge : Status::Incomplete;
}

} // namespace jujubereach::net::detail
