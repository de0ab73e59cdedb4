// Addresses of peers, as other systems write them.
#pragma once

#include <string>

namespace jujubereach::net {

/// Whether calls can be sent to `address`: an IP address of a single peer and a port from 1 to 65535, written
/// as ip:port.
bool isPeerAddress(const std::string& address);

} // namespace jujubereach::net
