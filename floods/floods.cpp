#include "flood-clients.h"

#include <stdexcept>

namespace jujubereach::floods {

namespace {

    constexpr std::size_t bodyBytes = 262'000; // Below the limit of 256 KiB.
    constexpr std::size_t missingBytes = 10; // A body that stops this short is held until it times out.
    constexpr std::size_t oversizedBytes = 64U << 20U;
    constexpr std::size_t shortFields = 2000;
    constexpr std::size_t emptyObjects = 87'000;
    constexpr std::size_t pipelinedRequests = 64;
    constexpr std::size_t bodyClients = 300;
    constexpr std::size_t chunkClients = 150; // Each costs the process much processor time.
    constexpr std::size_t connectionClients = 600; // More than the process has descriptors.

    std::string head(const Listener& listener, const char* method, const std::string& moreFields)
    {
        return std::string(method) + ' ' + listener.path + " HTTP/1.1\r\n" + listener.fields + moreFields;
    }

    std::string sizedHead(const Listener& listener, std::size_t size)
    {
        return head(listener, "POST", "Content-Length: " + std::to_string(size) + "\r\n\r\n");
    }

    std::string chunkedHead(const Listener& listener)
    {
        return head(listener, "POST", "Transfer-Encoding: chunked\r\n\r\n");
    }

    std::string repeat(const std::string& text, std::size_t count)
    {
        std::string out;
        out.reserve(text.size() * count);
        for (std::size_t i = 0; i < count; ++i)
            out += text;
        return out;
    }

    std::string unfinishedBody(const Listener& listener)
    {
        return sizedHead(listener, bodyBytes) + std::string(bodyBytes - missingBytes, ' ');
    }

    Flood unfinishedBodies(const Listener& listener)
    {
        Flood flood;
        flood.clients = bodyClients;
        flood.opening = unfinishedBody(listener);
        return flood;
    }

    Flood bodiesInPieces(const Listener& listener)
    {
        auto flood = unfinishedBodies(listener);
        flood.pieceBytes = 16'384;
        flood.piecePause = Duration(20);
        return flood;
    }

    Flood smallChunks(const Listener& listener)
    {
        const std::string chunk = "1\r\nx\r\n";
        Flood flood;
        flood.clients = chunkClients;
        flood.opening = chunkedHead(listener) + repeat(chunk, bodyBytes / chunk.size());
        return flood;
    }

    Flood oversizedBodies(const Listener& listener)
    {
        Flood flood;
        flood.clients = bodyClients;
        flood.opening = sizedHead(listener, oversizedBytes);
        flood.repeated = std::string(16'384, ' ');
        return flood;
    }

    Flood endlessChunks(const Listener& listener)
    {
        Flood flood;
        flood.clients = bodyClients;
        flood.opening = chunkedHead(listener);
        flood.repeated = "4000\r\n" + std::string(0x4000, ' ') + "\r\n";
        return flood;
    }

    Flood manyFields(const Listener& listener)
    {
        Flood flood;
        flood.clients = connectionClients;
        flood.opening = head(listener, "GET", repeat("a:b\r\n", shortFields));
        return flood;
    }

    // Complete requests of legal size. The field is unknown and the job has no step, so it is never accepted.
    Flood manyObjects(const Listener& listener)
    {
        const auto body = R"({"Spec":"s","Steps":[],"More":[{})" + repeat(",{}", emptyObjects) + "]}";
        Flood flood;
        flood.clients = bodyClients;
        flood.opening = sizedHead(listener, body.size()) + body;
        return flood;
    }

    Flood unreadResponses(const Listener& listener)
    {
        Flood flood;
        flood.clients = bodyClients;
        flood.repeated = repeat(head(listener, "GET", "\r\n"), pipelinedRequests);
        flood.readBytes = 0;
        return flood;
    }

    Flood slowReaders(const Listener& listener)
    {
        auto flood = unreadResponses(listener);
        flood.clients = connectionClients;
        flood.readBytes = 16;
        flood.readPause = Duration(100);
        return flood;
    }

    Flood slowSenders(const Listener& listener)
    {
        Flood flood;
        flood.clients = connectionClients;
        flood.opening = unfinishedBody(listener);
        flood.pieceBytes = 1;
        flood.piecePause = Duration(100);
        return flood;
    }

    Flood idleConnections(const Listener&)
    {
        Flood flood;
        flood.clients = connectionClients;
        return flood;
    }

    const std::vector<std::pair<std::string, Flood (*)(const Listener&)>>& floods()
    {
        static const std::vector<std::pair<std::string, Flood (*)(const Listener&)>> all {
            { "unfinished-bodies", unfinishedBodies },
            { "bodies-in-pieces", bodiesInPieces },
            { "small-chunks", smallChunks },
            { "oversized-bodies", oversizedBodies },
            { "endless-chunks", endlessChunks },
            { "many-fields", manyFields },
            { "many-objects", manyObjects },
            { "unread-responses", unreadResponses },
            { "slow-readers", slowReaders },
            { "slow-senders", slowSenders },
            { "idle-connections", idleConnections },
        };
        return all;
    }

} // namespace

std::vector<std::string> floodNames()
{
    std::vector<std::string> names;
    for (const auto& [name, make] : floods())
        names.push_back(name);
    return names;
}

Flood makeFlood(const std::string& name, const Listener& listener)
{
    for (const auto& [known, make] : floods()) {
        if (known == name)
            return make(listener);
    }
    throw std::out_of_range("no flood has the name " + name);
}

} // namespace jujubereach::floods
