#include "jujubereach/platform/json.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

#include <array>
#include <sstream>

namespace jujubereach::platform {

namespace {

    using JsonArray = Poco::JSON::Array;

    constexpr std::array machineKindNames { "entry-host", "worker", "upstream" };
    constexpr std::array machineStateNames { "live", "leaving" };
    constexpr std::array opNames { "hold", "start", "renew", "checkpoint", "throttle", "stop", "forget" };
    constexpr std::array stateNames { "held", "running", "checkpointing", "checkpointed", "completed",
        "failed", "stopped", "lapsed" };
    constexpr std::array outcomeNames { "done", "refused" };
    constexpr std::array syncStatusNames { "granted", "refused" };

    template <typename Enum, std::size_t Size>
    const char* enumName(const std::array<const char*, Size>& names, Enum value)
    {
        return names.at(static_cast<std::size_t>(value));
    }

    // Throws for an unknown name, as Poco does for a missing field; nulloptOnError() handles both.
    template <typename Enum, std::size_t Size>
    Enum enumFromName(const std::array<const char*, Size>& names, const std::string& name)
    {
        for (std::size_t i = 0; i < Size; ++i) {
            if (name == names.at(i))
                return static_cast<Enum>(i);
        }
        throw Poco::DataFormatException("unknown name", name);
    }

    template <typename F> auto nulloptOnError(F&& read) -> std::optional<decltype(read())>
    {
        try {
            return read();
        } catch (const Poco::Exception&) {
            return std::nullopt;
        }
    }

    Duration durationOf(const JsonObject& object, const std::string& name)
    {
        return Duration(object.getValue<Poco::Int64>(name));
    }

    std::vector<std::uint32_t> numbersOf(const JsonObject& object, const std::string& name)
    {
        std::vector<std::uint32_t> numbers;
        if (auto array = object.getArray(name)) {
            for (unsigned i = 0; i < array->size(); ++i)
                numbers.push_back(array->getElement<Poco::UInt32>(i));
        }
        return numbers;
    }

    JsonArray::Ptr toJson(const std::vector<std::uint32_t>& numbers)
    {
        JsonArray::Ptr array = new JsonArray;
        for (auto number : numbers)
            array->add(number);
        return array;
    }

    // Calls `read` for each object of an array; throws for an element that is not an object.
    template <typename F> void forEach(const JsonObject& object, const std::string& name, F&& read)
    {
        auto array = object.getArray(name);
        if (!array)
            return;
        for (unsigned i = 0; i < array->size(); ++i) {
            auto element = array->getObject(i);
            if (!element)
                throw Poco::DataFormatException("not an object", name);
            read(*element);
        }
    }

    constexpr std::uint32_t fullSpeed = 100; ///< Percent.

    JsonObject::Ptr toJson(const WorkerCommand& command)
    {
        JsonObject::Ptr object = new JsonObject;
        object->set("op", enumName(opNames, command.op));
        object->set("gang", command.gang.str());
        object->set("leaseMs", static_cast<Poco::Int64>(command.lease.count()));
        // Most commands are renewals; fields with their default value are omitted to keep the message small.
        if (!command.accelerators.empty())
            object->set("accelerators", toJson(command.accelerators));
        if (command.runTime.count() > 0)
            object->set("runTimeMs", static_cast<Poco::Int64>(command.runTime.count()));
        if (command.checkpointTime.count() > 0)
            object->set("checkpointTimeMs", static_cast<Poco::Int64>(command.checkpointTime.count()));
        if (command.percent != fullSpeed)
            object->set("percent", command.percent);
        if (!command.label.empty())
            object->set("label", command.label);
        return object;
    }

    WorkerCommand commandFromJson(const JsonObject& object)
    {
        WorkerCommand command;
        command.op = enumFromName<WorkerOp>(opNames, object.getValue<std::string>("op"));
        command.gang = GangId(object.getValue<std::string>("gang"));
        command.lease = durationOf(object, "leaseMs");
        if (object.has("accelerators"))
            command.accelerators = numbersOf(object, "accelerators");
        if (object.has("runTimeMs"))
            command.runTime = durationOf(object, "runTimeMs");
        if (object.has("checkpointTimeMs"))
            command.checkpointTime = durationOf(object, "checkpointTimeMs");
        if (object.has("percent"))
            command.percent = object.getValue<Poco::UInt32>("percent");
        if (object.has("label"))
            command.label = object.getValue<std::string>("label");
        return command;
    }

    JsonObject::Ptr toJson(const CommandResult& result)
    {
        JsonObject::Ptr object = new JsonObject;
        object->set("gang", result.gang.str());
        object->set("op", enumName(opNames, result.op));
        object->set("outcome", enumName(outcomeNames, result.outcome));
        object->set("reason", result.reason);
        return object;
    }

    CommandResult resultFromJson(const JsonObject& object)
    {
        return { GangId(object.getValue<std::string>("gang")),
            enumFromName<WorkerOp>(opNames, object.getValue<std::string>("op")),
            enumFromName<CommandOutcome>(outcomeNames, object.getValue<std::string>("outcome")),
            object.getValue<std::string>("reason") };
    }

    JsonObject::Ptr toJson(const TaskReport& task)
    {
        JsonObject::Ptr object = new JsonObject;
        object->set("gang", task.gang.str());
        object->set("state", nameOf(task.state));
        object->set("accelerators", toJson(task.accelerators));
        object->set("progressMs", static_cast<Poco::Int64>(task.progress.count()));
        object->set("leaseLeftMs", static_cast<Poco::Int64>(task.leaseLeft.count()));
        if (!task.label.empty())
            object->set("label", task.label);
        return object;
    }

    TaskReport taskFromJson(const JsonObject& object)
    {
        TaskReport task;
        task.gang = GangId(object.getValue<std::string>("gang"));
        task.state = enumFromName<TaskState>(stateNames, object.getValue<std::string>("state"));
        task.accelerators = numbersOf(object, "accelerators");
        task.progress = durationOf(object, "progressMs");
        task.leaseLeft = durationOf(object, "leaseLeftMs");
        if (object.has("label"))
            task.label = object.getValue<std::string>("label");
        return task;
    }

} // namespace

const char* nameOf(MachineKind kind)
{
    return enumName(machineKindNames, kind);
}

const char* nameOf(WorkerOp op)
{
    return enumName(opNames, op);
}

const char* nameOf(TaskState state)
{
    return enumName(stateNames, state);
}

std::optional<JsonObject::Ptr> parseObject(const std::string& text)
{
    try {
        auto object = Poco::JSON::Parser().parse(text).extract<JsonObject::Ptr>();
        return object ? std::optional(object) : std::nullopt;
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

std::string toText(const JsonObject& object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

JsonObject::Ptr toJson(const Machine& machine)
{
    JsonObject::Ptr object = new JsonObject;
    object->set("id", machine.id);
    object->set("kind", nameOf(machine.kind));
    object->set("state", enumName(machineStateNames, machine.state));
    object->set("zone", machine.zone.str());
    object->set("address", machine.address);
    object->set("httpAddress", machine.httpAddress);
    object->set("slots", machine.slots);
    return object;
}

std::optional<Machine> machineFromJson(const JsonObject& object)
{
    return nulloptOnError([&] {
        Machine machine;
        machine.id = object.getValue<std::string>("id");
        machine.kind = enumFromName<MachineKind>(machineKindNames, object.getValue<std::string>("kind"));
        machine.state = enumFromName<MachineState>(machineStateNames, object.getValue<std::string>("state"));
        machine.zone = ZoneId(object.getValue<std::string>("zone"));
        machine.address = object.getValue<std::string>("address");
        machine.httpAddress = object.getValue<std::string>("httpAddress");
        machine.slots = object.getValue<Poco::UInt32>("slots");
        return machine;
    });
}

JsonObject::Ptr toJson(const WorkerSync& sync)
{
    JsonObject::Ptr object = new JsonObject;
    object->set("holder", sync.holder);
    object->set("epoch", static_cast<Poco::UInt64>(sync.epoch.value));
    object->set("ttlMs", static_cast<Poco::Int64>(sync.ttl.count()));
    object->set("labels", sync.labels);
    JsonArray::Ptr commands = new JsonArray;
    for (const auto& command : sync.commands)
        commands->add(toJson(command));
    object->set("commands", commands);
    return object;
}

std::optional<WorkerSync> workerSyncFromJson(const JsonObject& object)
{
    return nulloptOnError([&] {
        WorkerSync sync;
        sync.holder = object.getValue<std::string>("holder");
        sync.epoch = Epoch { object.getValue<Poco::UInt64>("epoch") };
        sync.ttl = durationOf(object, "ttlMs");
        sync.labels = object.optValue<bool>("labels", true);
        forEach(
            object, "commands", [&](const JsonObject& c) { sync.commands.push_back(commandFromJson(c)); });
        return sync;
    });
}

JsonObject::Ptr toJson(const WorkerReply& reply)
{
    JsonObject::Ptr object = new JsonObject;
    object->set("status", enumName(syncStatusNames, reply.status));
    object->set("holder", reply.holder);
    object->set("epoch", static_cast<Poco::UInt64>(reply.epoch.value));
    object->set("leaseLeftMs", static_cast<Poco::Int64>(reply.leaseLeft.count()));
    JsonArray::Ptr results = new JsonArray;
    for (const auto& result : reply.results)
        results->add(toJson(result));
    object->set("results", results);
    JsonArray::Ptr tasks = new JsonArray;
    for (const auto& task : reply.tasks)
        tasks->add(toJson(task));
    object->set("tasks", tasks);
    return object;
}

std::optional<WorkerReply> workerReplyFromJson(const JsonObject& object)
{
    return nulloptOnError([&] {
        WorkerReply reply;
        reply.status = enumFromName<SyncStatus>(syncStatusNames, object.getValue<std::string>("status"));
        reply.holder = object.getValue<std::string>("holder");
        reply.epoch = Epoch { object.getValue<Poco::UInt64>("epoch") };
        reply.leaseLeft = durationOf(object, "leaseLeftMs");
        forEach(object, "results", [&](const JsonObject& r) { reply.results.push_back(resultFromJson(r)); });
        forEach(object, "tasks", [&](const JsonObject& t) { reply.tasks.push_back(taskFromJson(t)); });
        return reply;
    });
}

} // namespace jujubereach::platform
