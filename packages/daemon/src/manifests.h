// The manifest in force on this host: taken from the service or from peers, never an older one.
#pragma once

#include "api.h"
#include "cluster.h"
#include "context.h"
#include "jujubereach/manifest/apply.h"
#include "jujubereach/manifest/holder.h"
#include "jujubereach/manifest/manifest.h"

#include <functional>
#include <memory>
#include <string>

namespace jujubereach::daemon {

struct ManifestsHooks {
    std::function<void(const manifest::Manifest&)> onManifest;
};

class Manifests {
public:
    Manifests(Context& ctx, Cluster& cluster, ManifestsHooks hooks);

    void start();
    /// False until a manifest is held; the host is not ready before.
    bool ready() const { return m_holder.ready(m_ctx.clock()); }
    std::uint64_t counter() const { return m_holder.counter(); }

    void apply(const ApiRequest& call, const Answer& answer);
    void show(const Answer& answer) const;
    void diff(const ApiRequest& call, const Answer& answer) const;

    void onPeerCounter(const HostId& peer, std::uint64_t counter);
    void onFetch(const wire::ManifestFetchT& fetch, const wire::Responder& respond) const;
    /// A peer tells of a new root unasked.
    void onNews(const HostId& peer, const wire::ManifestNewsT& news);

private:
    void watch();
    void readRoot();
    void onRootValue(const platform::KvReply& reply);
    void tick();
    void fetch(const manifest::ManifestFetch& fetch);
    void fetchFromPeer(const HostId& peer, const manifest::ManifestRequest& request);
    void fetchFromService(const manifest::ManifestFetch& fetch);
    void takeUpdate();
    void push(const manifest::ManifestUpdate& update);
    void pushTo(const HostId& host, const std::string& address, const manifest::ManifestUpdate& update);
    void advance(const std::shared_ptr<manifest::ApplySession>& session, const Answer& answer);
    void call(const manifest::StoreCall& call, const std::shared_ptr<manifest::ApplySession>& session,
        const Answer& answer);

    Context& m_ctx;
    Cluster& m_cluster;
    const ManifestsHooks m_hooks;
    manifest::ManifestHolder m_holder;
    Revision m_rootRevision; ///< Of the root key in the service, as last seen.
    bool m_pushNext = false; ///< The next update was applied through this host: it tells the peers.
};

} // namespace jujubereach::daemon
