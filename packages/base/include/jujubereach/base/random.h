// Random numbers from a seed, the same on every machine, and a hash that all hosts agree on.
#pragma once

#include <cstdint>
#include <string_view>

namespace jujubereach {

/// SplitMix64: small, fast, and the same sequence everywhere for the same seed.
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

/// FNV-1a with a final mix; stable across hosts and versions, unlike std::hash.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

} // namespace jujubereach
