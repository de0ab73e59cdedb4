// Reads the stand-ins' records.
#include "evidence.h"

#include "jujubereach/platform/json.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>

#include <functional>

namespace jujubereach::scenarios {

namespace {

    using platform::JsonObject;

    std::string textOf(const JsonObject& object, const std::string& name)
    {
        return object.optValue<std::string>(name, {});
    }

    WallTime timeOf(const JsonObject& object)
    {
        return { object.getValue<Poco::Int64>("at") };
    }

    Result<void> forEach(
        const JsonObject& record, const std::string& name, const std::function<void(const JsonObject&)>& add)
    {
        auto array = record.getArray(name);
        if (!array)
            return fail({ ErrorCode::InvalidInput, "a stand-in's record is malformed", name, {} });
        try {
            for (unsigned i = 0; i < array->size(); ++i)
                add(*array->getObject(i));
        } catch (const Poco::Exception& error) {
            return fail(
                { ErrorCode::InvalidInput, "a stand-in's record is malformed", name, error.displayText() });
        }
        return {};
    }

    Result<platform::JsonObject::Ptr> parse(const std::string& record)
    {
        auto object = platform::parseObject(record);
        if (!object)
            return fail({ ErrorCode::InvalidInput, "a stand-in's record is not JSON", "record", {} });
        return *object;
    }

    WorkerEvent workerEvent(const JsonObject& object)
    {
        WorkerEvent event { textOf(object, "event"), WorkerId(textOf(object, "worker")),
            GangId(textOf(object, "gang")), {}, textOf(object, "reason"), textOf(object, "holder"),
            timeOf(object) };
        auto accelerators = object.getArray("accelerators");
        for (unsigned i = 0; accelerators && i < accelerators->size(); ++i)
            event.accelerators.push_back(accelerators->getElement<Poco::UInt32>(i));
        return event;
    }

    UpstreamEvent upstreamEvent(const JsonObject& object)
    {
        return { textOf(object, "event"), UpstreamId(textOf(object, "upstream")),
            RequestId(textOf(object, "request")), textOf(object, "body"), timeOf(object) };
    }

    CallCount callCount(const JsonObject& object)
    {
        return { object.getValue<Poco::Int64>("second"), textOf(object, "caller"),
            object.getValue<Poco::UInt32>("reads"), object.getValue<Poco::UInt32>("writes"),
            object.getValue<Poco::UInt32>("refused") };
    }

} // namespace

Result<void> addWorkerRecord(Evidence& evidence, const std::string& record)
{
    BOOST_LEAF_AUTO(object, parse(record));
    return forEach(
        *object, "events", [&](const JsonObject& event) { evidence.workers.push_back(workerEvent(event)); });
}

Result<void> addUpstreamRecord(Evidence& evidence, const std::string& record)
{
    BOOST_LEAF_AUTO(object, parse(record));
    return forEach(*object, "events",
        [&](const JsonObject& event) { evidence.upstreams.push_back(upstreamEvent(event)); });
}

Result<void> addPlatformRecord(Evidence& evidence, const std::string& record)
{
    BOOST_LEAF_AUTO(object, parse(record));
    auto calls = object->getObject("calls");
    if (!calls)
        return fail({ ErrorCode::InvalidInput, "a stand-in's record is malformed", "calls", {} });
    return forEach(*calls, "seconds",
        [&](const JsonObject& count) { evidence.platformCalls.push_back(callCount(count)); });
}

JobId jobOf(const GangId& gang)
{
    return JobId(gang.str().substr(0, gang.str().rfind('/')));
}

} // namespace jujubereach::scenarios
