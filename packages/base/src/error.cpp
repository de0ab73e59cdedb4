#include "jujubereach/base/error.h"

namespace jujubereach {

const char* nameOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidInput:
        return "invalid_input";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Overloaded:
        return "overloaded";
    case ErrorCode::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace jujubereach
