// The key-value service over HTTP: values in the body, keys and revisions in the query and headers.
#include "http-client.h"
#include "jujubereach/platform/json.h"
#include "jujubereach/platform/kv.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

#include <iterator>
#include <sstream>

namespace jujubereach::platform {

namespace {

    std::string escaped(const std::string& text)
    {
        std::string result;
        Poco::URI::encode(text, "!*'();:@&=+$,/?#[]%", result);
        return result;
    }

    std::string fromBase64(const std::string& text)
    {
        std::istringstream in(text);
        Poco::Base64Decoder decoder(in);
        return { std::istreambuf_iterator<char>(decoder), {} };
    }

    KvStatus statusOf(const HttpReply& reply)
    {
        if (reply.outcome == HttpOutcome::NotSent)
            return KvStatus::Unreachable;
        if (reply.outcome == HttpOutcome::Unknown)
            return KvStatus::Unknown;
        switch (reply.status) {
        case 200:
            return KvStatus::Ok;
        case 404:
            return KvStatus::NotFound;
        case 409:
            return KvStatus::Conflict;
        case 413:
            return KvStatus::TooLarge;
        case 429:
            return KvStatus::Limited;
        default:
            return KvStatus::Unknown;
        }
    }

    Revision revisionOf(const HttpReply& reply)
    {
        Poco::UInt64 value = 0;
        Poco::NumberParser::tryParseUnsigned64(reply.header("x-revision"), value);
        return Revision { value };
    }

    std::vector<KvEntry> entriesOf(const JsonObject& object)
    {
        std::vector<KvEntry> entries;
        auto array = object.getArray("entries");
        for (unsigned i = 0; array && i < array->size(); ++i) {
            auto entry = array->getObject(i);
            if (!entry)
                throw Poco::DataFormatException("entry is not an object");
            entries.push_back(
                { entry->getValue<std::string>("key"), fromBase64(entry->getValue<std::string>("value")),
                    Revision { entry->getValue<Poco::UInt64>("revision") } });
        }
        return entries;
    }

    KvReply listReply(const HttpReply& http)
    {
        KvReply reply { statusOf(http), {}, revisionOf(http) };
        if (reply.status != KvStatus::Ok)
            return reply;
        auto object = parseObject(http.body);
        try {
            if (!object)
                throw Poco::DataFormatException("reply is not an object");
            reply.entries = entriesOf(**object);
        } catch (const Poco::Exception&) {
            reply.status = KvStatus::Unknown;
        }
        return reply;
    }

    HttpCall readCall(const std::string& path, Duration timeout)
    {
        HttpCall call;
        call.method = "GET";
        call.path = path;
        call.timeout = timeout;
        call.idempotent = true;
        call.reuseTimeout = timeout / 2;
        return call;
    }

    // A write is not retried after a lost reply: the retry would return Conflict although the first write
    // took effect.
    HttpCall writeCall(const std::string& method, const std::string& key, Revision expected, Duration timeout)
    {
        HttpCall call;
        call.method = method;
        call.path = "/v1/kv?key=" + escaped(key) + "&expected=" + std::to_string(expected.value);
        call.timeout = timeout;
        call.contentType = "application/octet-stream";
        return call;
    }

    KvReply writeReply(const HttpReply& http)
    {
        return { statusOf(http), {}, revisionOf(http) };
    }

    KvReply getReply(const std::string& key, const HttpReply& http)
    {
        KvReply reply { statusOf(http), {}, revisionOf(http) };
        if (reply.status == KvStatus::Ok)
            reply.entries.push_back({ key, http.body, reply.revision });
        return reply;
    }

    std::string watchPath(const std::string& prefix, Revision after, Duration wait)
    {
        return "/v1/watch?prefix=" + escaped(prefix) + "&after=" + std::to_string(after.value)
            + "&wait-ms=" + std::to_string(wait.count());
    }

} // namespace

KvService httpKvService(const std::string& address, Duration timeout, const std::string& caller)
{
    HttpClientOptions options;
    options.connectTimeout = timeout;
    options.caller = caller;
    auto client = std::make_shared<HttpClient>(options);
    KvService service;
    service.get = [=](const std::string& key) {
        return getReply(key, client->call(address, readCall("/v1/kv?key=" + escaped(key), timeout)));
    };
    service.list = [=](const std::string& prefix) {
        return listReply(client->call(address, readCall("/v1/list?prefix=" + escaped(prefix), timeout)));
    };
    service.compareAndSwap = [=](const std::string& key, const std::string& value, Revision expected) {
        if (value.size() > maxValueBytes)
            return KvReply { KvStatus::TooLarge, {}, {} };
        auto call = writeCall("PUT", key, expected, timeout);
        call.body = value;
        return writeReply(client->call(address, call));
    };
    service.remove = [=](const std::string& key, Revision expected) {
        return writeReply(client->call(address, writeCall("DELETE", key, expected, timeout)));
    };
    service.watch = [=](const std::string& prefix, Revision after, Duration wait) {
        auto call = readCall(watchPath(prefix, after, wait), wait + timeout);
        call.reuseTimeout = wait + timeout / 2;
        return listReply(client->call(address, call));
    };
    return service;
}

} // namespace jujubereach::platform
