#include "jujubereach/jobs/job-codec.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace jujubereach::jobs {

namespace {

    using Json = Poco::JSON::Object;

    Json toJson(const scheduling::JobSpec& job)
    {
        Json json;
        json.set("id", job.id.str());
        json.set("ws", job.workspace.str());
        json.set("class", job.workClass.str());
        json.set("caller", job.caller.str());
        json.set("kind", job.kind);
        json.set("n", job.accelerators);
        json.set("run", job.declaredRunTime.count());
        json.set("cp", job.checkpointTime.count());
        json.set("cpable", job.checkpointable);
        json.set("again", job.restartable);
        if (job.shape)
            json.set("shape", job.shape->str());
        json.set("done", job.progress.count());
        json.set("try", job.attempt);
        if (job.workerLosses > 0)
            json.set("lost", job.workerLosses);
        return json;
    }

    scheduling::JobSpec fromJson(const Json& json)
    {
        scheduling::JobSpec job;
        job.id = JobId(json.getValue<std::string>("id"));
        job.workspace = WorkspaceId(json.getValue<std::string>("ws"));
        job.workClass = ClassId(json.getValue<std::string>("class"));
        job.caller = CallerId(json.getValue<std::string>("caller"));
        job.kind = json.getValue<std::string>("kind");
        job.accelerators = json.getValue<std::uint32_t>("n");
        job.declaredRunTime = Duration(json.getValue<std::int64_t>("run"));
        job.checkpointTime = Duration(json.getValue<std::int64_t>("cp"));
        job.checkpointable = json.getValue<bool>("cpable");
        job.restartable = json.getValue<bool>("again");
        if (json.has("shape"))
            job.shape = ShapeId(json.getValue<std::string>("shape"));
        job.progress = Duration(json.getValue<std::int64_t>("done"));
        job.attempt = json.getValue<std::uint32_t>("try");
        if (json.has("lost"))
            job.workerLosses = json.getValue<std::uint32_t>("lost");
        return job;
    }

    std::string textOf(const Json& json)
    {
        std::ostringstream out;
        json.stringify(out);
        return out.str();
    }

    /// Decodes one JSON object with `read`. Converts Poco's exceptions into errors.
    template <typename F> auto parsed(const std::string& text, F&& read) -> Result<decltype(read(Json()))>
    {
        try {
            Poco::JSON::Parser parser;
            return read(*parser.parse(text).extract<Json::Ptr>());
        } catch (const Poco::Exception& exception) {
            return fail({ ErrorCode::InvalidInput, "unreadable job: " + exception.displayText(), "job",
                text.substr(0, 80) });
        }
    }

} // namespace

std::string encodeJob(const scheduling::JobSpec& job)
{
    return textOf(toJson(job));
}

Result<scheduling::JobSpec> decodeJob(const std::string& text)
{
    return parsed(text, fromJson);
}

std::string encodeLabel(const TaskLabel& label)
{
    auto json = toJson(label.job);
    json.set("first", label.run.first);
    json.set("count", label.run.count);
    return textOf(json);
}

Result<TaskLabel> decodeLabel(const std::string& text)
{
    auto label = parsed(text, [](const Json& json) {
        scheduling::Run run { json.getValue<std::uint32_t>("first"), json.getValue<std::uint32_t>("count") };
        return TaskLabel { fromJson(json), run };
    });
    if (label && label->run.count == 0)
        return fail({ ErrorCode::InvalidInput, "a gang needs accelerators", "label", text.substr(0, 80) });
    return label;
}

} // namespace jujubereach::jobs
