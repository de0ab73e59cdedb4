// Entry point of a fuzz target, called by libFuzzer or by the seeded driver.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace jujubereach::fuzz {

/// Ends the process when a property of the decoded input does not hold, as libFuzzer expects it.
inline void require(bool holds, const char* property)
{
    if (holds)
        return;
    std::fprintf(stderr, "fuzz: does not hold: %s\n", property);
    std::abort();
}

} // namespace jujubereach::fuzz
