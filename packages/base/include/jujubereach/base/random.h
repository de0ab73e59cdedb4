// Seeded random numbers that are reproducible on every machine, and a hash that is equal on all hosts.
#pragma once

#include <cstdint>
#include <string_view>

namespace jujubereach {

/// SplitMix64. A seed gives the same sequence on every platform.
class Random {
public:
    explicit Random(std::uint64_t seed)
        : m_state(seed)
    {
    }

    std::uint64_t next();
    /// Uniform in [0, bound); bound > 0.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }
    /// Uniform in [0, 1).
    double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
    /// Exponential with the given mean.
    double exponential(double mean);

private:
    std::uint64_t m_state;
};

/// FNV-1a with a final mixing step; unlike std::hash, stable across hosts and versions.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

} // namespace jujubereach
