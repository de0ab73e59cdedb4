// Parts of a manifest as JSON values with their fields in a fixed order.
#pragma once

#include "jujubereach/manifest/manifest.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

namespace jujubereach::manifest {

/// Zones of one region must stand together.
Poco::JSON::Array regionsToJson(const std::vector<Zone>& zones);
Poco::JSON::Array classesToJson(const std::vector<WorkClass>& classes);
Poco::JSON::Object workspaceToJson(const Workspace& workspace);
Poco::JSON::Object limitsToJson(const Limits& limits);

/// An object that keeps the order in which its fields are set.
Poco::JSON::Object orderedObject();

/// The text of a value; `indent` 0 gives one line.
std::string textOf(const Poco::JSON::Object& object, unsigned indent = 0);

} // namespace jujubereach::manifest
