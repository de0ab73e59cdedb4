// The platform as one HTTP service.
#include "platform-service.h"

#include "jujubereach/base/base64.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>

namespace jujubereach::standins {

using platform::KvReply;
using platform::KvStatus;

namespace {

    constexpr int platformThreads = 512; // Each kept connection and each waiting watch holds one.

    int httpStatusOf(KvStatus status)
    {
        switch (status) {
        case KvStatus::Ok:
            return 200;
        case KvStatus::Conflict:
            return 409;
        case KvStatus::NotFound:
            return 404;
        case KvStatus::Limited:
            return 429;
        case KvStatus::TooLarge:
            return 413;
        default:
            return 500;
        }
    }

    Answer answerOf(const KvReply& reply)
    {
        Answer answer;
        answer.status = httpStatusOf(reply.status);
        answer.contentType = "application/octet-stream";
        answer.headers.emplace_back("X-Revision", std::to_string(reply.revision.value));
        return answer;
    }

    Answer listAnswer(const KvReply& reply)
    {
        Poco::JSON::Array::Ptr entries = new Poco::JSON::Array;
        for (const auto& entry : reply.entries) {
            JsonObject::Ptr object = new JsonObject;
            object->set("key", entry.key);
            object->set("value", toBase64(entry.value));
            object->set("revision", static_cast<Poco::UInt64>(entry.revision.value));
            entries->add(object);
        }
        JsonObject list;
        list.set("entries", entries);
        auto answer = answerOf(reply);
        answer.contentType = "application/json";
        answer.body = platform::toText(list);
        return answer;
    }

    bool isWrite(const Call& call)
    {
        return call.method == "PUT" || call.method == "DELETE";
    }

} // namespace

PlatformService::PlatformService(const PlatformOptions& options)
    : m_limits(options.readsPerSecond, options.writesPerSecond)
    , m_hosts(options.hostListLag, options.hostTimeToLive)
    , m_control(
          std::make_unique<HttpService>(options.controlPort, [this](const Call& c) { return control(c); }))
    , m_service(std::make_unique<HttpService>(
          options.port, [this](const Call& c) { return serve(c); }, platformThreads))
{
}

PlatformService::~PlatformService()
{
    m_kvFaults.stop();
    m_hostFaults.stop();
    m_service->close();
    m_control->close();
}

Answer PlatformService::serve(const Call& call)
{
    if (call.path.starts_with("/hosts"))
        return m_hostFaults.apply(call, false, [&] { return serveHosts(call); });
    return m_kvFaults.apply(call, isWrite(call), [&] { return serveKv(call); });
}

Answer PlatformService::serveKv(const Call& call)
{
    const auto kind = isWrite(call) ? CallKind::Write : CallKind::Read;
    if (!m_limits.take(kind, call.caller(), systemWallClock()()))
        return answerOf({ KvStatus::Limited, {}, {} });
    return act(call);
}

Answer PlatformService::act(const Call& call)
{
    if (call.path == "/v1/list")
        return listAnswer(m_store.list(call.parameter("prefix")));
    if (call.path == "/v1/watch")
        return watch(call);
    if (call.path != "/v1/kv")
        return answerOf({ KvStatus::NotFound, {}, {} });
    if (isWrite(call))
        return write(call);
    auto reply = m_store.get(call.parameter("key"));
    auto answer = answerOf(reply);
    if (reply.status == KvStatus::Ok)
        answer.body = std::move(reply.entries.front().value);
    return answer;
}

Answer PlatformService::watch(const Call& call)
{
    m_limits.watchBegins();
    auto reply = m_store.watch(call.parameter("prefix"), Revision { call.number("after") },
        Duration(call.number("wait-ms")), [&] { return m_kvFaults.isCut(call.caller()); });
    m_limits.watchEnds();
    auto answer = listAnswer(reply);
    if (m_kvFaults.isCut(call.caller()))
        answer.delivery = Delivery::Drop;
    return answer;
}

Answer PlatformService::write(const Call& call)
{
    const auto key = call.parameter("key");
    const Revision expected { call.number("expected") };
    const bool removes = call.method == "DELETE";
    const auto reply
        = removes ? m_store.remove(key, expected) : m_store.compareAndSwap(key, call.body, expected);
    if (reply.status == KvStatus::Ok) {
        auto event = newEvent(removes ? "remove" : "write");
        event->set("key", key);
        event->set("bytes", static_cast<Poco::UInt64>(call.body.size()));
        event->set("revision", static_cast<Poco::UInt64>(reply.revision.value));
        event->set("caller", call.caller());
        m_recorder.add(event);
    }
    return answerOf(reply);
}

Answer PlatformService::serveHosts(const Call& call)
{
    if (call.method == "POST")
        return addMachines(call);
    Poco::JSON::Array::Ptr machines = new Poco::JSON::Array;
    for (const auto& machine : m_hosts.list(ZoneId(call.parameter("zone")), steadyClock()()))
        machines->add(platform::toJson(machine));
    JsonObject object;
    object.set("machines", machines);
    Answer answer;
    answer.body = platform::toText(object);
    return answer;
}

Answer PlatformService::addMachines(const Call& call)
{
    Answer answer;
    answer.status = 400;
    auto object = platform::parseObject(call.body);
    if (!object)
        return answer;
    std::vector<JsonObject::Ptr> bodies { *object };
    if (auto array = (*object)->getArray("machines")) {
        bodies.clear();
        for (unsigned i = 0; i < array->size(); ++i)
            bodies.push_back(array->getObject(i));
    }
    for (const auto& body : bodies) {
        auto machine = body ? platform::machineFromJson(*body) : std::nullopt;
        if (!machine)
            return answer;
        m_hosts.report(*machine, steadyClock()());
    }
    answer.status = 200;
    return answer;
}

Answer PlatformService::control(const Call& call)
{
    Answer answer;
    if (call.path == "/record") {
        auto text = m_recorder.toText(call.number("after"));
        text.pop_back();
        answer.body = text + ",\"calls\":" + platform::toText(*m_limits.toJson()) + "}";
        return answer;
    }
    auto object = platform::parseObject(call.body);
    if (!object) {
        answer.status = 400;
        return answer;
    }
    if (auto kv = (*object)->getObject("kv"))
        m_kvFaults.set(*kv);
    if (auto hosts = (*object)->getObject("hosts"))
        m_hostFaults.set(*hosts);
    return answer;
}

} // namespace jujubereach::standins
