// The account of refused work: each refusal gets a reference that any host can look up later.
#pragma once

#include "api.h"
#include "context.h"

#include <functional>
#include <string>
#include <vector>

namespace jujubereach::daemon {

/// Work that was turned away and did not run.
struct RefusedWork {
    WorkspaceId workspace;
    CallerId caller;
    ClassId workClass;
    std::string reason;
};

} // namespace jujubereach::daemon
