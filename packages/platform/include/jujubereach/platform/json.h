// JSON encoding of the messages between adapters and the platform's machines; both sides use it.
#pragma once

#include "jujubereach/platform/hosts.h"
#include "jujubereach/platform/worker.h"

#include <Poco/JSON/Object.h>

#include <optional>
#include <string>

namespace jujubereach::platform {

using JsonObject = Poco::JSON::Object;

/// Returns nothing when the text is malformed or not an object.
std::optional<JsonObject::Ptr> parseObject(const std::string& text);
std::string toText(const JsonObject& object);

JsonObject::Ptr toJson(const Machine& machine);
JsonObject::Ptr toJson(const WorkerSync& sync);
JsonObject::Ptr toJson(const WorkerReply& reply);

/// Each returns nothing when a required field is missing or a field has the wrong type.
std::optional<Machine> machineFromJson(const JsonObject& object);
std::optional<WorkerSync> workerSyncFromJson(const JsonObject& object);
std::optional<WorkerReply> workerReplyFromJson(const JsonObject& object);

const char* nameOf(MachineKind kind);
const char* nameOf(WorkerOp op);
const char* nameOf(TaskState state);

} // namespace jujubereach::platform
