// Length-framed FlatBuffers: four bytes of length, two of version, then one Envelope.
#pragma once

#include "jujubereach/base/error.h"
#include "jujubereach/wire/generated/messages_generated.h"

#include <cstdint>
#include <memory>
#include <string>

namespace jujubereach::wire {

constexpr std::uint16_t protocolVersion = 1;
constexpr std::size_t frameHeaderBytes = 6;
/// Largest frame that is sent or taken, header included; a section of the manifest fits.
constexpr std::size_t maxFrameBytes = 2'000'000;

/// One whole frame.
std::string encodeFrame(const EnvelopeT& envelope);

/// Cuts frames out of a byte stream. After an error the stream is of no more use.
class FrameReader {
public:
    void append(const char* data, std::size_t size) { m_buf.append(data, size); }

    /// The next whole message, null while it is incomplete, or InvalidInput for a bad length, an unknown
    /// version or a message that fails verification.
    Result<std::unique_ptr<EnvelopeT>> next();

private:
    std::string m_buf;
};

} // namespace jujubereach::wire
