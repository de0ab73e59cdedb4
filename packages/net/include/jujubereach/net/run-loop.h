// Runs an event loop so that an unexpected exception costs the handler that threw it, not the process.
#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>

namespace jujubereach::net {

/// Runs until the loop stops or has nothing left to do. `failed` gets the text of each exception that a
/// handler let out.
void runLoop(boost::asio::io_context& loop, const std::function<void(const char* what)>& failed);

} // namespace jujubereach::net
