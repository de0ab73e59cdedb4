#include "jujubereach/net/run-loop.h"

#include <exception>

namespace jujubereach::net {

void runLoop(boost::asio::io_context& loop, const std::function<void(const char* what)>& failed)
{
    while (!loop.stopped()) {
        try {
            loop.run();
        } catch (const std::exception& error) {
            failed(error.what());
        }
    }
}

} // namespace jujubereach::net
