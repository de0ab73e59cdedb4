// Runs an event loop and contains exceptions: one thrown by a handler does not end the process.
#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>

namespace jujubereach::net {

/// Runs until the loop is stopped or has no work left. Calls `failed` with the message of each exception
/// thrown by a handler.
void runLoop(boost::asio::io_context& loop, const std::function<void(const char* what)>& failed);

} // namespace jujubereach::net
