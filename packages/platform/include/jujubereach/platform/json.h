// JSON forms of the messages between adapters and the platform's machines; both ends use them.
#pragma once

#include "jujubereach/platform/hosts.h"
#include "jujubereach/platform/worker.h"

#include <Poco/JSON/Object.h>

#include <optional>
#include <string>

namespace jujubereach::platform {

using JsonObject = Poco::JSON::Object;

/// Reads an object; none when the text is malformed or not an object.
std::optional<JsonObject::Ptr> parseObject(const std::string& text);
std::string toText(const JsonObject& object);

JsonObject::Ptr toJson(const Machine& machine);
JsonObject::Ptr toJson(const WorkerSync& sync);
JsonObject::Ptr toJson(const WorkerReply& reply);

/// Each returns none when a field is missing or of another type.
std::optional<Machine> machineFromJson(const JsonObject& object);
std::optional<WorkerSync> workerSyncFromJson(const JsonObject& object);
std::optional<WorkerReply> workerReplyFromJson(const JsonObject& object);

const char* nameOf(MachineKind kind);
const char* nameOf(WorkerOp op);
const char* nameOf(TaskState state);

} // namespace jujubereach::platform
