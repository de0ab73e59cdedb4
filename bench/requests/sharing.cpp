// Ways of sharing the slots of upstreams among entry hosts, on the same streams: credits, least loaded
// of two by a stale view, and random.
#include "report.h"

namespace jujubereach::bench {

void reportSharing([[maybe_unused]] Report& out) { }

} // namespace jujubereach::bench
