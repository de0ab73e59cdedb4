// The manifest in force on this host: taken from the service or from peers, never an older one.
#pragma once

#include "api.h"
#include "cluster.h"
#include "context.h"
#include "jujubereach/manifest/manifest.h"

#include <functional>
#include <optional>
#include <string>

namespace jujubereach::daemon {

struct ManifestsHooks {
    std::function<void(const manifest::Manifest&, std::uint64_t counter)> onManifest;
};

class Manifests {
public:
    Manifests(Context& ctx, Cluster& cluster, ManifestsHooks hooks);

    void start();
    /// False until a manifest is held; the host is not ready before.
    bool ready() const { return m_counter > 0; }
    std::uint64_t counter() const { return m_counter; }

    void apply(const ApiRequest& call, Answer answer);
    void show(const Answer& answer) const;
    void diff(const ApiRequest& call, const Answer& answer) const;

    void onNewer(std::uint64_t counter, const std::string& address);
    void onRootFetch(const wire::Responder& respond) const;

private:
    void watch();
    void take(const std::string& text, std::uint64_t counter);

    Context& m_ctx;
    Cluster& m_cluster;
    const ManifestsHooks m_hooks;
    std::string m_text;
    std::uint64_t m_counter = 0; ///< Only rises.
    bool m_fetching = false;
};

} // namespace jujubereach::daemon
