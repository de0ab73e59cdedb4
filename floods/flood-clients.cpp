#include "flood-clients.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace jujubereach::floods {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

    constexpr Duration reconnectPause { 250 }; // So that refused connections do not busy the machine.

} // namespace

struct FloodClients::Shared {
    asio::io_context& loop;
    const tcp::endpoint target;
    const Flood flood;
    std::uint64_t connects = 0;
    std::uint64_t sentBytes = 0;
    bool over = false;
};

class FloodClients::Client : public std::enable_shared_from_this<Client> {
public:
    explicit Client(std::shared_ptr<Shared> shared)
        : m_shared(std::move(shared))
        , m_socket(m_shared->loop)
        , m_sendTimer(m_shared->loop)
        , m_readTimer(m_shared->loop)
        , m_in(m_shared->flood.readBytes)
    {
    }

    void connect()
    {
        if (m_shared->over)
            return;
        m_offset = 0;
        m_repeating = false;
        m_socket = tcp::socket(m_shared->loop);
        m_socket.async_connect(m_shared->target, [self = shared_from_this()](const ErrorCode& failed) {
            if (failed)
                return self->reconnect();
            ++self->m_shared->connects;
            self->send();
            if (!self->m_in.empty())
                self->read();
        });
    }

    void close()
    {
        ErrorCode ignored;
        m_socket.close(ignored);
        m_sendTimer.cancel();
        m_readTimer.cancel();
    }

private:
    const std::string& payload() const
    {
        return m_repeating ? m_shared->flood.repeated : m_shared->flood.opening;
    }

    void send()
    {
        if (m_offset == payload().size()) {
            if (m_shared->flood.repeated.empty())
                return;
            m_repeating = true;
            m_offset = 0;
        }
        const auto left = payload().size() - m_offset;
        const auto piece
            = m_shared->flood.pieceBytes == 0 ? left : std::min(left, m_shared->flood.pieceBytes);
        m_socket.async_write_some(asio::buffer(payload().data() + m_offset, piece),
            [self = shared_from_this()](const ErrorCode& failed, std::size_t size) {
                if (failed)
                    return self->reconnect();
                self->m_offset += size;
                self->m_shared->sentBytes += size;
                self->pause(self->m_sendTimer, self->m_shared->flood.piecePause, &Client::send);
            });
    }

    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_in), [self = shared_from_this()](const ErrorCode& failed, std::size_t) {
                if (failed)
                    return self->reconnect();
                self->pause(self->m_readTimer, self->m_shared->flood.readPause, &Client::read);
            });
    }

    void pause(asio::steady_timer& timer, Duration time, void (Client::*next)())
    {
        if (time.count() == 0)
            return (this->*next)();
        timer.expires_after(time);
        timer.async_wait([self = shared_from_this(), next](const ErrorCode& failed) {
            if (!failed && !self->m_shared->over)
                ((*self).*next)();
        });
    }

    // The send and the read of a connection both fail with it; the first of them opens the next one.
    void reconnect()
    {
        if (m_shared->over || m_reconnecting)
            return;
        m_reconnecting = true;
        close();
        m_sendTimer.expires_after(reconnectPause);
        m_sendTimer.async_wait([self = shared_from_this()](const ErrorCode& failed) {
            if (failed)
                return;
            self->m_reconnecting = false;
            self->connect();
        });
    }

    const std::shared_ptr<Shared> m_shared;
    tcp::socket m_socket;
    asio::steady_timer m_sendTimer;
    asio::steady_timer m_readTimer;
    std::vector<char> m_in;
    std::size_t m_offset = 0; ///< Of the next byte of the payload.
    bool m_repeating = false;
    bool m_reconnecting = false;
};

FloodClients::FloodClients(asio::io_context& loop, unsigned short port, Flood flood)
    : m_shared(std::make_shared<Shared>(
        Shared { loop, { asio::ip::make_address("127.0.0.1"), port }, std::move(flood) }))
{
    for (std::size_t i = 0; i < m_shared->flood.clients; ++i) {
        m_clients.push_back(std::make_shared<Client>(m_shared));
        m_clients.back()->connect();
    }
}

FloodClients::~FloodClients()
{
    m_shared->over = true;
    for (const auto& client : m_clients)
        client->close();
}

std::uint64_t FloodClients::connects() const
{
    return m_shared->connects;
}

std::uint64_t FloodClients::sentBytes() const
{
    return m_shared->sentBytes;
}

} // namespace jujubereach::floods
