#include "jujubereach/wire/peers.h"

#include <vector>

namespace jujubereach::wire {

Peers::Peers(LocalHost self, PeersHooks hooks)
    : m_self(std::move(self))
    , m_hooks(std::move(hooks))
{
}

Peers::~Peers() = default;

Result<std::shared_ptr<Peers>> Peers::open(
    const std::string& listenAddress, LocalHost self, NetworkLimits limits, PeersHooks hooks)
{
    std::shared_ptr<Peers> peers(new Peers(std::move(self), std::move(hooks)));
    std::weak_ptr<Peers> weak = peers;
    auto post = peers->m_hooks.post;

    NetworkHooks networkHooks;
    networkHooks.mayReach = peers->m_hooks.mayReach;
    networkHooks.onMessage = [weak, post](ConnectionId connection, std::unique_ptr<EnvelopeT> envelope) {
        std::shared_ptr<EnvelopeT> shared = std::move(envelope);
        post([weak, connection, shared] {
            if (auto locked = weak.lock())
                locked->onMessage(connection, *shared);
        });
    };
    networkHooks.onClosed = [weak, post](ConnectionId connection) {
        post([weak, connection] {
            if (auto locked = weak.lock())
                locked->onClosed(connection);
        });
    };
    BOOST_LEAF_ASSIGN(peers->m_network, Network::open(listenAddress, limits, std::move(networkHooks)));
    return peers;
}

void Peers::call(const std::string& address, BodyUnion body, Duration timeout, OnReply onReply)
{
    auto envelope = envelopeFor(std::move(body));
    envelope.correlation = ++m_lastCorrelation;
    const auto connection = connect(address);
    if (!m_network->send(connection, envelope)) {
        m_hooks.post([onReply = std::move(onReply)] { onReply({ CallStatus::NotSent, nullptr }); });
        return;
    }
    m_pending[envelope.correlation] = { connection, std::move(onReply) };
    m_hooks.postAfter(timeout, [weak = weak_from_this(), correlation = envelope.correlation] {
        if (auto self = weak.lock())
            self->finish(correlation, { CallStatus::Unknown, nullptr });
    });
}

bool Peers::notify(const std::string& address, BodyUnion body)
{
    return m_network->send(connect(address), envelopeFor(std::move(body)));
}

ConnectionId Peers::connect(const std::string& address)
{
    const auto connection = m_network->connectionTo(address);
    m_opened[connection] = address;
    return connection;
}

void Peers::onMessage(ConnectionId connection, EnvelopeT& envelope)
{
    if (envelope.is_reply) {
        CallResult result { CallStatus::Answered, std::make_unique<EnvelopeT>(std::move(envelope)) };
        const auto correlation = result.reply->correlation;
        return finish(correlation, std::move(result));
    }
    auto answered = std::make_shared<bool>(false);
    m_hooks.onCall(envelope,
        [weak = weak_from_this(), connection, correlation = envelope.correlation, answered](BodyUnion body) {
            auto self = weak.lock();
            if (!self || correlation == 0 || std::exchange(*answered, true))
                return;
            self->reply(connection, correlation, std::move(body));
        });
}

void Peers::onClosed(ConnectionId connection)
{
    std::vector<std::uint64_t> broken;
    for (const auto& [correlation, pending] : m_pending) {
        if (pending.connection == connection)
            broken.push_back(correlation);
    }
    for (const auto correlation : broken)
        finish(correlation, { CallStatus::Unknown, nullptr });
    if (auto opened = m_opened.extract(connection); opened && m_hooks.onLost)
        m_hooks.onLost(opened.mapped());
}

void Peers::finish(std::uint64_t correlation, CallResult result)
{
    auto it = m_pending.find(correlation);
    if (it == m_pending.end())
        return;
    auto onReply = std::move(it->second.onReply);
    m_pending.erase(it);
    onReply(std::move(result));
}

void Peers::reply(ConnectionId connection, std::uint64_t correlation, BodyUnion body)
{
    auto envelope = envelopeFor(std::move(body));
    envelope.correlation = correlation;
    envelope.is_reply = true;
    m_network->send(connection, envelope);
}

EnvelopeT Peers::envelopeFor(BodyUnion body) const
{
    EnvelopeT envelope;
    envelope.host = m_self.host.str();
    envelope.incarnation = m_self.incarnation.value;
    envelope.zone = m_self.zone.str();
    envelope.body = std::move(body);
    return envelope;
}

} // namespace jujubereach::wire
