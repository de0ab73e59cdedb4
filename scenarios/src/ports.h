// Ports on loopback that no other process listens on.
#pragma once

#include "jujubereach/base/error.h"

#include <cstdint>

namespace jujubereach::scenarios {

/// Hands out ports below the range from which the system takes ports of outgoing connections.
class Ports {
public:
    Ports();

    /// First of `count` free ports in a row.
    Result<std::uint16_t> take(std::uint16_t count = 1);

private:
    std::uint16_t m_next;
};

} // namespace jujubereach::scenarios
