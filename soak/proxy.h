// A loopback proxy that harms the connections through it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <set>

namespace jujubereach::soak {

enum class Harm {
    None,
    Delay, ///< Each piece waits.
    CutForward, ///< Nothing passes towards the target.
    CutBack, ///< Nothing passes back.
    Silent, ///< Nothing passes, and nothing ends.
};

/// Used from the thread of its loop.
class Proxy {
public:
    Proxy(boost::asio::io_context& loop, unsigned short port, unsigned short target);
    ~Proxy();

    void setHarm(Harm harm) { m_harm = harm; }
    /// Resets every open connection.
    void reset();
    /// Open connections pass nothing from now on, without an end; new ones work.
    void silenceOpen();

private:
    struct Link;
    using LinkPtr = std::shared_ptr<Link>;

    void accept();
    void pump(const LinkPtr& link, bool forward);
    void pass(const LinkPtr& link, bool forward, std::size_t size);
    void close(const LinkPtr& link);

    boost::asio::io_context& m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    const boost::asio::ip::tcp::endpoint m_target;
    Harm m_harm = Harm::None;
    std::set<LinkPtr> m_links;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace jujubereach::soak
