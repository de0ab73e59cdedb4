// Length-prefixed FlatBuffers: 4 bytes of length, 2 bytes of version (both big-endian), one Envelope.
#pragma once

#include "jujubereach/base/error.h"
#include "jujubereach/wire/generated/messages_generated.h"

#include <cstdint>
#include <memory>
#include <string>

namespace jujubereach::wire {

constexpr std::uint16_t protocolVersion = 1;
constexpr std::size_t frameHeaderBytes = 6;
/// Largest frame that is sent or accepted, header included; large enough for a section of the manifest.
constexpr std::size_t maxFrameBytes = 2'000'000;

/// Returns a complete frame.
std::string encodeFrame(const EnvelopeT& envelope);

/// Extracts frames from a byte stream. After an error the stream cannot be read further.
class FrameReader {
public:
    void append(const char* data, std::size_t size) { m_buf.append(data, size); }

    /// Returns the next complete message, null while it is incomplete, or InvalidInput for a bad length, an
    /// unknown version or a message that fails verification.
    Result<std::unique_ptr<EnvelopeT>> next();

private:
    std::string m_buf;
};

} // namespace jujubereach::wire
