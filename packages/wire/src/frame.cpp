#include "jujubereach/wire/frame.h"

#include <Poco/ByteOrder.h>

#include <cstring>

namespace jujubereach::wire {

namespace {

    // Verifier limits on nesting depth and number of tables.
    constexpr flatbuffers::uoffset_t maxDepth = 16;
    constexpr flatbuffers::uoffset_t maxTables = 100'000;

    Error badFrame(std::string what)
    {
        return { ErrorCode::InvalidInput, std::move(what), "frame", {} };
    }

    std::unique_ptr<EnvelopeT> decode(const char* data, std::size_t size)
    {
        const auto* bytes = reinterpret_cast<const std::uint8_t*>(data);
        flatbuffers::Verifier verifier(bytes, size, maxDepth, maxTables);
        if (!VerifyEnvelopeBuffer(verifier))
            return nullptr;
        return std::unique_ptr<EnvelopeT>(GetEnvelope(bytes)->UnPack());
    }

} // namespace

std::string encodeFrame(const EnvelopeT& envelope)
{
    flatbuffers::FlatBufferBuilder builder(512);
    FinishEnvelopeBuffer(builder, Envelope::Pack(builder, &envelope));

    std::string frame(frameHeaderBytes, '\0');
    const auto length = Poco::ByteOrder::toNetwork(static_cast<Poco::UInt32>(builder.GetSize()));
    const auto version = Poco::ByteOrder::toNetwork(static_cast<Poco::UInt16>(protocolVersion));
    std::memcpy(frame.data(), &length, sizeof length);
    std::memcpy(frame.data() + sizeof length, &version, sizeof version);
    frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
    return frame;
}

Result<std::unique_ptr<EnvelopeT>> FrameReader::next()
{
    if (m_buf.size() < frameHeaderBytes)
        return std::unique_ptr<EnvelopeT>();
    Poco::UInt32 rawLength = 0;
    Poco::UInt16 rawVersion = 0;
    std::memcpy(&rawLength, m_buf.data(), sizeof rawLength);
    std::memcpy(&rawVersion, m_buf.data() + sizeof rawLength, sizeof rawVersion);
    const std::size_t length = Poco::ByteOrder::fromNetwork(rawLength);
    if (Poco::ByteOrder::fromNetwork(rawVersion) != protocolVersion)
        return fail(badFrame("unknown protocol version"));
    if (length == 0 || length > maxFrameBytes - frameHeaderBytes)
        return fail(badFrame("length out of bounds"));
    if (m_buf.size() < frameHeaderBytes + length)
        return std::unique_ptr<EnvelopeT>();

    // Copied because the verifier needs the alignment of a separate allocation.
    const std::string message = m_buf.substr(frameHeaderBytes, length);
    m_buf.erase(0, frameHeaderBytes + length);
    auto envelope = decode(message.data(), message.size());
    if (!envelope)
        return fail(badFrame("message fails verification"));
    return envelope;
}

} // namespace jujubereach::wire
