#include "proxy.h"

#include <boost/asio/write.hpp>

#include <array>

namespace jujubereach::soak {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    constexpr auto delay = std::chrono::milliseconds(120);
    constexpr auto harmCheck = std::chrono::milliseconds(50);

    tcp::endpoint loopback(unsigned short port)
    {
        return { asio::ip::make_address("127.0.0.1"), port };
    }

} // namespace

struct Proxy::Link {
    explicit Link(asio::io_context& loop)
        : near(loop)
        , far(loop)
    {
    }

    tcp::socket near;
    tcp::socket far;
    std::array<char, 16'384> forward {};
    std::array<char, 16'384> back {};
    bool silenced = false;
};

Proxy::Proxy(asio::io_context& loop, unsigned short port, unsigned short target)
    : m_loop(loop)
    , m_acceptor(loop, loopback(port))
    , m_target(loopback(target))
{
    accept();
}

Proxy::~Proxy()
{
    *m_alive = false;
    reset();
}

void Proxy::accept()
{
    auto link = std::make_shared<Link>(m_loop);
    m_acceptor.async_accept(
        link->near, [this, alive = m_alive, link](const boost::system::error_code& failed) {
            if (!*alive || failed)
                return;
            m_links.insert(link);
            link->far.async_connect(m_target, [this, alive, link](const boost::system::error_code& refused) {
                if (!*alive)
                    return;
                if (refused)
                    return close(link);
                pump(link, true);
                pump(link, false);
            });
            accept();
        });
}

void Proxy::pump(const LinkPtr& link, bool forward)
{
    auto& from = forward ? link->near : link->far;
    from.async_read_some(asio::buffer(forward ? link->forward : link->back),
        [this, alive = m_alive, link, forward](const boost::system::error_code& failed, std::size_t size) {
            if (!*alive)
                return;
            if (failed)
                return link->silenced ? void() : close(link);
            pass(link, forward, size);
        });
}

// Bytes wait while their way is cut; those of a silenced link are gone for good.
void Proxy::pass(const LinkPtr& link, bool forward, std::size_t size)
{
    if (link->silenced)
        return;
    const auto cut = m_harm == Harm::Silent || m_harm == (forward ? Harm::CutForward : Harm::CutBack);
    if (cut || m_harm == Harm::Delay) {
        auto timer = std::make_shared<asio::steady_timer>(m_loop, cut ? harmCheck : delay);
        timer->async_wait(
            [this, alive = m_alive, timer, link, forward, size, cut](const boost::system::error_code&) {
                if (!*alive)
                    return;
                if (cut)
                    return pass(link, forward, size);
                const auto harm = std::exchange(m_harm, Harm::None);
                pass(link, forward, size);
                m_harm = harm;
            });
        return;
    }
    auto& to = forward ? link->far : link->near;
    asio::async_write(to, asio::buffer((forward ? link->forward : link->back).data(), size),
        [this, alive = m_alive, link, forward](const boost::system::error_code& failed, std::size_t) {
            if (!*alive)
                return;
            failed ? close(link) : pump(link, forward);
        });
}

void Proxy::close(const LinkPtr& link)
{
    boost::system::error_code ignored;
    link->near.close(ignored);
    link->far.close(ignored);
    m_links.erase(link);
}

void Proxy::reset()
{
    const auto links = m_links;
    for (const auto& link : links) {
        boost::system::error_code ignored;
        link->near.set_option(asio::socket_base::linger(true, 0), ignored);
        link->far.set_option(asio::socket_base::linger(true, 0), ignored);
        close(link);
    }
}

void Proxy::silenceOpen()
{
    for (const auto& link : m_links)
        link->silenced = true;
}

} // namespace jujubereach::soak
