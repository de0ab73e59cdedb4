// Rate limiter of one host's calls to the key-value service. All hosts together stay within its limits.
#pragma once

#include "jujubereach/base/time.h"

#include <array>
#include <cstdint>

namespace jujubereach::journal {

enum class CallKind { Read, Write }; ///< A waiting watch counts as one read.

/// Highest priority first. Each priority leaves a share of the bucket in reserve for every higher one.
enum class CallPriority {
    Claims, ///< Claims of jobs, and records of requests that are not repeatable.
    Jobs,
    Manifest,
    Refusals,
    Background,
};

struct CallLimits {
    double readsPerSecond = 2'000; ///< Limit of the service for all hosts together, as is writesPerSecond.
    double writesPerSecond = 500;
};

class CallBudget {
public:
    /// `hosts` is the number of entry hosts, in all zones, that share the service.
    CallBudget(CallLimits limits, std::uint32_t hosts, TimePoint now);

    /// Adapts the host's share to the number of hosts. Tokens beyond the new capacity are discarded.
    void setHosts(std::uint32_t hosts, TimePoint now);
    /// Takes one call from the budget. Returns false if none is available at this priority.
    bool take(CallKind kind, CallPriority priority, TimePoint now);
    /// Sustained rate of this host, in calls per second.
    double rate(CallKind kind) const;

private:
    struct Bucket {
        double rate = 0; ///< Tokens per second.
        double capacity = 1;
        double tokens = 0; ///< From 0 to capacity.
        TimePoint refilledAt;
    };

    static void setShare(Bucket& bucket, double limit, std::uint32_t hosts);
    static void refill(Bucket& bucket, TimePoint now);
    Bucket& bucketOf(CallKind kind) { return m_buckets[static_cast<std::size_t>(kind)]; }

    CallLimits m_limits;
    std::array<Bucket, 2> m_buckets; ///< Indexed by CallKind.
};

} // namespace jujubereach::journal
