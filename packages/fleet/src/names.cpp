#include "jujubereach/fleet/store.h"
#include "jujubereach/fleet/worker-calls.h"

namespace jujubereach::fleet {

const char* nameOf(StoreFate fate)
{
    constexpr const char* names[] = { "done", "conflict", "missing", "history-gone", "refused", "unknown" };
    return names[static_cast<int>(fate)];
}

const char* nameOf(OrderFate fate)
{
    constexpr const char* names[] = { "done", "fenced", "old", "late", "no-room", "no-ticket", "other-life",
        "refused", "not-sent", "unknown" };
    return names[static_cast<int>(fate)];
}

const char* nameOf(EndKind kind)
{
    constexpr const char* names[] = { "done", "failed", "stopped", "lapsed", "broken", "alone" };
    return names[static_cast<int>(kind)];
}

} // namespace jujubereach::fleet
