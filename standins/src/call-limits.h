// The call limits of the key-value service, and how much of them each caller used in each second.
#pragma once

#include "jujubereach/base/time.h"
#include "jujubereach/platform/json.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace jujubereach::standins {

enum class CallKind { Read, Write };

/// Thread-safe.
class CallLimits {
public:
    CallLimits(std::uint32_t readsPerSecond, std::uint32_t writesPerSecond);

    /// Counts a call; false when it is above the limit of this second.
    bool take(CallKind kind, const std::string& caller, WallTime now);
    void watchBegins();
    void watchEnds();

    /// {"watchesMost":n,"seconds":[{"second","caller","reads","writes","refused"}]}
    platform::JsonObject::Ptr toJson() const;

private:
    struct Counts {
        std::uint32_t reads = 0;
        std::uint32_t writes = 0;
        std::uint32_t refused = 0;
    };

    const std::uint32_t m_readsPerSecond;
    const std::uint32_t m_writesPerSecond;
    mutable std::mutex m_mutex;
    // All guarded by m_mutex.
    std::map<std::int64_t, Counts> m_totals;
    std::map<std::pair<std::int64_t, std::string>, Counts> m_counts;
    std::uint32_t m_watches = 0;
    std::uint32_t m_mostWatches = 0;
};

} // namespace jujubereach::standins
