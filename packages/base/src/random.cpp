#include "jujubereach/base/random.h"

#include <cmath>

namespace jujubereach {

namespace {

    std::uint64_t mix(std::uint64_t value)
    {
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31);
    }

} // namespace

std::uint64_t Random::next()
{
    m_state += 0x9e3779b97f4a7c15ULL;
    return mix(m_state);
}

double Random::exponential(double mean)
{
    return -mean * std::log(1.0 - unit());
}

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL ^ mix(seed);
    for (unsigned char c : text) {
        hash ^= c;
        hash *= 0x100000001b3ULL;
    }
    return mix(hash);
}

} // namespace jujubereach
