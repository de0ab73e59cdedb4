// A host's budget of calls to the platform's service, so that all hosts together stay within its limits.
#pragma once

#include "jujubereach/base/time.h"

#include <array>
#include <cstdint>

namespace jujubereach::journal {

enum class CallKind { Read, Write }; ///< A waiting watch counts as one read.

/// Most important first. A less important rank leaves a part of the bucket to the ranks before it.
enum class CallPriority {
    Claims, ///< Claims and records of requests that are not repeatable.
    Jobs,
    Manifest,
    Refusals,
    Background,
};

struct CallLimits {
    double readsPerSecond = 2'000; ///< Of the service, for all hosts together.
    double writesPerSecond = 500;
};

class CallBudget {
public:
    /// `hosts` counts all entry hosts of all zones that share the service.
    CallBudget(CallLimits limits, std::uint32_t hosts, TimePoint now);

    /// The shares change with the number of hosts; tokens beyond the new share are dropped.
    void setHosts(std::uint32_t hosts, TimePoint now);
    /// Takes one call out of the budget, if the rank may have one now.
    bool take(CallKind kind, CallPriority priority, TimePoint now);
    /// Calls a second that this host may make in the long run.
    double rate(CallKind kind) const;

private:
    struct Bucket {
        double rate = 0; ///< Tokens a second.
        double capacity = 1;
        double tokens = 0; ///< 0 to capacity.
        TimePoint refilledAt;
    };

    static void setShare(Bucket& bucket, double limit, std::uint32_t hosts);
    static void refill(Bucket& bucket, TimePoint now);
    Bucket& bucketOf(CallKind kind) { return m_buckets[static_cast<std::size_t>(kind)]; }

    CallLimits m_limits;
    std::array<Bucket, 2> m_buckets; ///< By CallKind.
};

} // namespace jujubereach::journal
