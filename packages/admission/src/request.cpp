#include "jujubereach/admission/request.h"

namespace jujubereach::admission {

const char* nameOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::UnknownClass:
        return "unknown_class";
    case RefusalReason::UnknownWorkspace:
        return "unknown_workspace";
    case RefusalReason::DuplicateId:
        return "duplicate_id";
    case RefusalReason::DeadlineTooNear:
        return "deadline_too_near";
    case RefusalReason::CallerBound:
        return "caller_bound";
    case RefusalReason::WorkspaceBound:
        return "workspace_bound";
    case RefusalReason::HostBound:
        return "host_bound";
    case RefusalReason::Displaced:
        return "displaced";
    case RefusalReason::NoUpstream:
        return "no_upstream";
    }
    return "unknown";
}

} // namespace jujubereach::admission
