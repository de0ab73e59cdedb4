// The steps that a scenario may name.
#pragma once

#include "fields.h"
#include "run.h"

#include <functional>
#include <map>
#include <string>

namespace jujubereach::scenarios {

/// Reads its fields and takes the step; the run then checks that no field was left unread.
using Step = std::function<Result<void>(Run& run, Fields& fields)>;
using Steps = std::map<std::string, Step>;

const Steps& steps();

void addProcessSteps(Steps& steps);
void addFaultSteps(Steps& steps);
void addJobSteps(Steps& steps);
void addRequestSteps(Steps& steps);
void addManifestSteps(Steps& steps);
void addWaitSteps(Steps& steps);

} // namespace jujubereach::scenarios
