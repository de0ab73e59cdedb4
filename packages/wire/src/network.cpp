#include "jujubereach/wire/network.h"

#include "connection.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <glog/logging.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace jujubereach::wire {

namespace {

    using Poco::Net::PollSet;
    using Poco::Net::SocketAddress;

    constexpr Duration housekeepingInterval { 100 };
    constexpr int readChunkBytes = 65'536;

} // namespace

class Network::Impl {
public:
    Impl(NetworkLimits limits, NetworkHooks hooks)
        : m_limits(limits)
        , m_hooks(std::move(hooks))
        , m_clock(steadyClock())
    {
    }

    Result<void> listen(const std::string& address);
    void start()
    {
        m_thread = std::thread([this] { run(); });
    }
    void stop();

    ConnectionId connectionTo(const std::string& address);
    bool send(ConnectionId id, const EnvelopeT& envelope);
    void disconnect(const std::string& address);
    Counters counters() const;

private:
    using Connection = detail::Connection;

    void run();
    void handleEvents();
    void handleEvent(const Poco::Net::Socket& socket, int mode);
    void accept();
    void receive(Connection& connection);
    void deliver(Connection& connection);
    void flush(Connection& connection);
    void finishConnect(Connection& connection);
    void housekeep(TimePoint now);
    void checkTimeouts(Connection& connection, TimePoint now);
    void ping(Connection& connection, TimePoint now);
    void wake();
    void drainWakeups();
    Connection* find(ConnectionId id);
    Connection* findSocket(const Poco::Net::Socket& socket);
    void watch(Connection& connection);
    void markClosed(ConnectionId id, const std::string& why);
    void closeMarked();

    const NetworkLimits m_limits;
    const NetworkHooks m_hooks;
    const Clock m_clock;

    // Guards everything below except the thread itself. Not held while hooks run.
    mutable std::mutex m_mutex;
    std::map<ConnectionId, std::unique_ptr<Connection>> m_connections;
    std::map<std::string, ConnectionId> m_byAddress;
    std::vector<ConnectionId> m_closing;
    ConnectionId m_lastId = 0;
    Counters m_counters;
    std::vector<std::pair<ConnectionId, std::unique_ptr<EnvelopeT>>> m_received;

    Poco::Net::ServerSocket m_listener;
    Poco::Net::DatagramSocket m_wakeSocket;
    PollSet m_pollSet;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

Result<void> Network::Impl::listen(const std::string& address)
{
    try {
        m_listener.bind(SocketAddress(address), true);
        m_listener.listen(128);
        m_wakeSocket.bind(SocketAddress("127.0.0.1", 0));
        m_wakeSocket.setBlocking(false);
        m_pollSet.add(m_listener, PollSet::POLL_READ);
        m_pollSet.add(m_wakeSocket, PollSet::POLL_READ);
        return {};
    } catch (const Poco::Exception& e) {
        return fail(
            { ErrorCode::InvalidInput, "cannot listen: " + e.displayText(), "inner address", address });
    }
}

void Network::Impl::stop()
{
    m_stopping = true;
    wake();
    if (m_thread.joinable())
        m_thread.join();
}

void Network::Impl::wake()
{
    try {
        m_wakeSocket.sendTo("w", 1, m_wakeSocket.address());
    } catch (const Poco::Exception&) {
        // The thread wakes anyway at the next housekeeping.
    }
}

void Network::Impl::drainWakeups()
{
    char buf[64];
    try {
        while (m_wakeSocket.receiveBytes(buf, sizeof buf) > 0) { }
    } catch (const Poco::Exception&) {
        // Nothing left to read.
    }
}

ConnectionId Network::Impl::connectionTo(const std::string& address)
{
    std::lock_guard lock(m_mutex);
    if (auto it = m_byAddress.find(address); it != m_byAddress.end())
        return it->second;
    auto connection = std::make_unique<Connection>();
    connection->id = ++m_lastId;
    connection->address = address;
    connection->connecting = true;
    connection->openedAt = connection->lastReceived = connection->lastSent = m_clock();
    const auto id = connection->id;
    m_byAddress[address] = id;
    auto& added = *m_connections.emplace(id, std::move(connection)).first->second;
    try {
        if (m_hooks.mayReach && !m_hooks.mayReach(address))
            throw Poco::Net::NetException("cut by a test");
        added.socket.connectNB(SocketAddress(address));
        added.socket.setBlocking(false);
        watch(added);
    } catch (const Poco::Exception& e) {
        markClosed(id, e.displayText());
    }
    wake();
    return id;
}

bool Network::Impl::send(ConnectionId id, const EnvelopeT& envelope)
{
    const auto frame = encodeFrame(envelope);
    if (frame.size() > maxFrameBytes)
        return false;
    std::lock_guard lock(m_mutex);
    auto* connection = find(id);
    if (!connection || connection->buffered() + frame.size() > m_limits.maxBufferedBytes)
        return false;
    connection->out += frame;
    ++m_counters.messagesOut;
    watch(*connection);
    wake();
    return true;
}

void Network::Impl::disconnect(const std::string& address)
{
    std::lock_guard lock(m_mutex);
    if (auto it = m_byAddress.find(address); it != m_byAddress.end())
        markClosed(it->second, "asked for");
    wake();
}

Network::Counters Network::Impl::counters() const
{
    std::lock_guard lock(m_mutex);
    auto counters = m_counters;
    counters.connections = m_connections.size();
    return counters;
}

void Network::Impl::run()
{
    auto nextHousekeeping = m_clock();
    while (!m_stopping) {
        handleEvents();
        const auto now = m_clock();
        if (now >= nextHousekeeping) {
            housekeep(now);
            nextHousekeeping = now + housekeepingInterval;
        }
        closeMarked();
    }
}

void Network::Impl::handleEvents()
{
    const auto timeout = Poco::Timespan(std::chrono::microseconds(housekeepingInterval).count());
    const auto events = m_pollSet.poll(timeout);
    {
        std::lock_guard lock(m_mutex);
        for (const auto& [socket, mode] : events)
            handleEvent(socket, mode);
    }
    auto received = std::move(m_received);
    m_received.clear();
    for (auto& [id, envelope] : received)
        m_hooks.onMessage(id, std::move(envelope));
}

void Network::Impl::handleEvent(const Poco::Net::Socket& socket, int mode)
{
    if (socket == m_wakeSocket)
        return drainWakeups();
    if (socket == m_listener)
        return accept();
    auto* connection = findSocket(socket);
    if (!connection)
        return;
    if (mode & PollSet::POLL_ERROR)
        return markClosed(connection->id, "connection failed");
    try {
        if (connection->connecting && (mode & PollSet::POLL_WRITE))
            finishConnect(*connection);
        if (mode & PollSet::POLL_READ)
            receive(*connection);
        if (mode & PollSet::POLL_WRITE)
            flush(*connection);
    } catch (const Poco::Exception& e) {
        markClosed(connection->id, e.displayText());
    }
}

void Network::Impl::accept()
{
    try {
        auto connection = std::make_unique<Connection>();
        connection->socket = m_listener.acceptConnection();
        if (m_connections.size() >= m_limits.maxConnections) {
            LOG(WARNING) << "wire: connection limit reached, incoming connection closed";
            return;
        }
        connection->socket.setBlocking(false);
        connection->socket.setNoDelay(true);
        connection->id = ++m_lastId;
        connection->openedAt = connection->lastReceived = connection->lastSent = m_clock();
        auto& added = *m_connections.emplace(connection->id, std::move(connection)).first->second;
        watch(added);
    } catch (const Poco::Exception& e) {
        LOG(WARNING) << "wire: accept failed: " << e.displayText();
    }
}

void Network::Impl::finishConnect(Connection& connection)
{
    if (const int error = connection.socket.impl()->socketError())
        return markClosed(connection.id, "connect failed with error " + std::to_string(error));
    connection.connecting = false;
    connection.socket.setNoDelay(true);
    connection.lastReceived = m_clock();
}

void Network::Impl::receive(Connection& connection)
{
    char buf[readChunkBytes];
    const int size = connection.socket.receiveBytes(buf, sizeof buf);
    if (size == 0)
        return markClosed(connection.id, "closed by the peer");
    if (size < 0)
        return;
    m_counters.bytesIn += static_cast<std::uint64_t>(size);
    connection.lastReceived = m_clock();
    connection.in.append(buf, static_cast<std::size_t>(size));
    deliver(connection);
}

void Network::Impl::deliver(Connection& connection)
{
    for (;;) {
        auto message = outcomeOf([&] { return connection.in.next(); });
        if (!message) {
            LOG(WARNING) << "wire: bad frame, connection closed: " << message.error.what;
            return markClosed(connection.id, "bad frame");
        }
        if (!*message.value)
            return;
        ++m_counters.messagesIn;
        if ((*message.value)->body.type != Body::NONE)
            m_received.emplace_back(connection.id, std::move(*message.value));
    }
}

void Network::Impl::flush(Connection& connection)
{
    if (connection.connecting || !connection.hasOutput())
        return watch(connection);
    const int size = connection.socket.sendBytes(
        connection.out.data() + connection.sent, static_cast<int>(connection.buffered()));
    if (size > 0) {
        connection.sent += static_cast<std::size_t>(size);
        m_counters.bytesOut += static_cast<std::uint64_t>(size);
        connection.lastSent = m_clock();
    }
    if (!connection.hasOutput()) {
        connection.out.clear();
        connection.sent = 0;
    }
    watch(connection);
}

void Network::Impl::housekeep(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    for (auto& [id, connection] : m_connections) {
        checkTimeouts(*connection, now);
        if (!connection->connecting && now - connection->lastSent >= m_limits.pingInterval)
            ping(*connection, now);
    }
}

void Network::Impl::checkTimeouts(Connection& connection, TimePoint now)
{
    if (connection.connecting && now - connection.openedAt > m_limits.connectTimeout)
        return markClosed(connection.id, "connect timed out");
    if (!connection.connecting && now - connection.lastReceived > m_limits.receiveTimeout)
        return markClosed(connection.id, "silent");
    if (m_hooks.mayReach && !connection.address.empty() && !m_hooks.mayReach(connection.address))
        markClosed(connection.id, "cut by a test");
}

void Network::Impl::ping(Connection& connection, TimePoint now)
{
    if (connection.hasOutput())
        return;
    connection.out = encodeFrame(EnvelopeT());
    connection.lastSent = now;
    watch(connection);
}

detail::Connection* Network::Impl::find(ConnectionId id)
{
    auto it = m_connections.find(id);
    return it == m_connections.end() ? nullptr : it->second.get();
}

detail::Connection* Network::Impl::findSocket(const Poco::Net::Socket& socket)
{
    for (auto& [id, connection] : m_connections) {
        if (connection->socket == socket)
            return connection.get();
    }
    return nullptr;
}

void Network::Impl::watch(Connection& connection)
{
    int mode = PollSet::POLL_READ | PollSet::POLL_ERROR;
    if (connection.connecting || connection.hasOutput())
        mode |= PollSet::POLL_WRITE;
    if (m_pollSet.has(connection.socket))
        m_pollSet.update(connection.socket, mode);
    else
        m_pollSet.add(connection.socket, mode);
}

void Network::Impl::markClosed(ConnectionId id, const std::string& why)
{
    VLOG(1) << "wire: connection " << id << " ends: " << why;
    m_closing.push_back(id);
}

void Network::Impl::closeMarked()
{
    std::vector<ConnectionId> closed;
    {
        std::lock_guard lock(m_mutex);
        for (const auto id : m_closing) {
            auto it = m_connections.find(id);
            if (it == m_connections.end())
                continue;
            if (m_pollSet.has(it->second->socket))
                m_pollSet.remove(it->second->socket);
            if (!it->second->address.empty())
                m_byAddress.erase(it->second->address);
            m_connections.erase(it);
            closed.push_back(id);
        }
        m_closing.clear();
    }
    for (const auto id : closed)
        m_hooks.onClosed(id);
}

Network::Network(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

Network::~Network()
{
    m_impl->stop();
}

Result<std::unique_ptr<Network>> Network::open(
    const std::string& listenAddress, NetworkLimits limits, NetworkHooks hooks)
{
    auto impl = std::make_unique<Impl>(limits, std::move(hooks));
    if (auto listening = impl->listen(listenAddress); !listening)
        return listening.error();
    impl->start();
    return std::unique_ptr<Network>(new Network(std::move(impl)));
}

ConnectionId Network::connectionTo(const std::string& address)
{
    return m_impl->connectionTo(address);
}

bool Network::send(ConnectionId connection, const EnvelopeT& envelope)
{
    return m_impl->send(connection, envelope);
}

void Network::disconnect(const std::string& address)
{
    m_impl->disconnect(address);
}

Network::Counters Network::counters() const
{
    return m_impl->counters();
}

} // namespace jujubereach::wire
