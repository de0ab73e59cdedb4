// Upper estimates of encoded message sizes, including frame, tables and transport headers.
#pragma once

#include "jujubereach/manifest/holder.h"
#include "jujubereach/membership/message.h"

namespace jujubereach::bench {

constexpr std::size_t messageBytes = 40 + 8 + 80; ///< TCP/IP headers, frame, table with its fixed fields.
constexpr std::size_t addressBytes = 24;
constexpr std::size_t stringBytes = 8; ///< Offset and length of a string.
constexpr std::size_t updateBytes = 48;

inline std::size_t sizeOf(const membership::Message& message)
{
    auto bytes = messageBytes + message.zone.str().size() + message.from.str().size()
        + message.to.str().size() + message.subject.str().size() + 4 * stringBytes;
    for (const auto& update : message.updates)
        bytes += updateBytes + update.id.str().size() + 2 * addressBytes;
    return bytes;
}

inline std::size_t sizeOf(const manifest::ManifestRequest& request)
{
    return messageBytes + request.contents.size() * (32 + stringBytes);
}

inline std::size_t sizeOf(const manifest::ManifestReply& reply)
{
    auto bytes = messageBytes + (reply.root ? manifest::encode(*reply.root).size() : 0);
    for (const auto& [name, content] : reply.sections)
        bytes += name.str().size() + content.str().size() + 3 * stringBytes;
    for (const auto& content : reply.contents)
        bytes += content.name.str().size() + content.text.size() + 3 * stringBytes;
    return bytes;
}

} // namespace jujubereach::bench
