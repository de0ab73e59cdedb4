#include "message-codec.h"

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/MessageHeader.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include <algorithm>

namespace jujubereach::net {

namespace {

    const std::string& find(const Headers& headers, const std::string& name)
    {
        static const std::string none;
        for (const auto& [key, value] : headers) {
            if (Poco::icompare(key, name) == 0)
                return value;
        }
        return none;
    }

    bool readFraming(const Poco::Net::HTTPMessage& message, detail::Framing& framing)
    {
        framing.chunked = message.getChunkedTransferEncoding();
        if (framing.chunked)
            return true;
        if (!message.hasContentLength())
            return true;
        const auto length = message.getContentLength64();
        if (length < 0)
            return false;
        framing.bodyBytes = static_cast<std::size_t>(length);
        return true;
    }

    void append(const Headers& headers, std::string& out)
    {
        for (const auto& [name, value] : headers) {
            out += name;
            out += ": ";
            out += value;
            out += "\r\n";
        }
    }

    // Such a text in a request would add headers or a second request to it.
    bool breaksLine(const std::string& text)
    {
        return text.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos;
    }

    Headers copyHeaders(const Poco::Net::MessageHeader& message)
    {
        Headers headers;
        headers.reserve(message.size());
        for (const auto& [name, value] : message)
            headers.emplace_back(name, value);
        return headers;
    }

} // namespace

const std::string& HttpRequest::header(const std::string& name) const
{
    return find(headers, name);
}

const std::string& HttpResponse::header(const std::string& name) const
{
    return find(headers, name);
}

namespace detail {

    std::size_t headSize(const std::string& bytes, std::size_t from)
    {
        const auto end = bytes.find("\r\n\r\n", from > 3 ? from - 3 : 0);
        return end == std::string::npos ? 0 : end + 4;
    }

    std::optional<HttpRequest> parseRequestHead(const std::string& bytes, Framing& framing)
    {
        try {
            Poco::Net::HTTPRequest message;
            Poco::MemoryInputStream in(bytes.data(), static_cast<std::streamsize>(framing.headBytes));
            message.read(in);
            HttpRequest request { message.getMethod(), message.getURI(), copyHeaders(message), {} };
            if (!readFraming(message, framing))
                return std::nullopt;
            return request;
        } catch (const Poco::Exception&) {
            return std::nullopt; // The caller answers 400.
        }
    }

    std::optional<HttpResponse> parseResponseHead(const std::string& bytes, Framing& framing)
    {
        try {
            Poco::Net::HTTPResponse message;
            Poco::MemoryInputStream in(bytes.data(), static_cast<std::streamsize>(framing.headBytes));
            message.read(in);
            HttpResponse response { static_cast<int>(message.getStatus()), copyHeaders(message), {} };
            if (!readFraming(message, framing))
                return std::nullopt;
            return response;
        } catch (const Poco::Exception&) {
            return std::nullopt; // The caller reports DeliveryStatus::Unknown.
        }
    }

    std::optional<std::size_t> decodeChunkedBody(
        const std::string& bytes, std::size_t from, std::string& body)
    {
        body.clear();
        auto at = from;
        while (true) {
            const auto lineEnd = bytes.find("\r\n", at);
            if (lineEnd == std::string::npos)
                return 0;
            unsigned size = 0;
            if (!Poco::NumberParser::tryParseHex(bytes.substr(at, lineEnd - at), size))
                return std::nullopt;
            at = lineEnd + 2;
            if (bytes.size() < at + size + 2)
                return 0;
            body.append(bytes, at, size);
            at += size + 2;
            if (size == 0)
                return at;
        }
    }

    bool isEncodable(const HttpRequest& request)
    {
        return !breaksLine(request.method) && !breaksLine(request.target)
            && std::none_of(request.headers.begin(), request.headers.end(),
                [](const auto& header) { return breaksLine(header.first) || breaksLine(header.second); });
    }

    std::string encode(const HttpRequest& request, const std::string& host)
    {
        std::string out;
        out.reserve(256 + request.body.size());
        out += request.method;
        out += ' ';
        out += request.target;
        out += " HTTP/1.1\r\n";
        if (request.header("Host").empty()) {
            out += "Host: ";
            out += host;
            out += "\r\n";
        }
        append(request.headers, out);
        if (!request.body.empty())
            out += "Content-Type: application/json\r\n";
        if (!request.body.empty() || request.method == "POST") {
            out += "Content-Length: ";
            out += std::to_string(request.body.size());
            out += "\r\n";
        }
        out += "\r\n";
        out += request.body;
        return out;
    }

    std::string encode(const HttpResponse& response, bool close)
    {
        std::string out = "HTTP/1.1 ";
        out += std::to_string(response.status);
        out += ' ';
        out += Poco::Net::HTTPResponse::getReasonForStatus(
            static_cast<Poco::Net::HTTPResponse::HTTPStatus>(response.status));
        out += "\r\n";
        append(response.headers, out);
        out += "Content-Length: ";
        out += std::to_string(response.body.size());
        out += close ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n";
        out += response.body;
        return out;
    }

} // namespace detail

} // namespace jujubereach::net
