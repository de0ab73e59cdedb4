// What the parts of the daemon share. All parts live on the control thread; blocking calls go to a pool.
#pragma once

#include "jujubereach/base/random.h"
#include "jujubereach/base/time.h"
#include "jujubereach/journal/call-budget.h"
#include "jujubereach/metrics/registry.h"
#include "jujubereach/platform/hosts.h"
#include "jujubereach/platform/kv.h"
#include "jujubereach/platform/upstream.h"
#include "jujubereach/platform/worker.h"
#include "jujubereach/wire/peers.h"
#include "loop.h"
#include "settings.h"

#include <memory>
#include <set>
#include <string>

namespace jujubereach::daemon {

/// The outside systems; each is a hook, so that another bench can stand in.
struct Platform {
    platform::KvService kv;
    platform::HostList hostList;
    platform::HostHeartbeat heartbeat;
    platform::WorkerClient worker;
    platform::UpstreamClient upstream;
};

/// Mechanisms that a test has switched off or cut; empty outside tests.
struct TestHooks {
    std::set<std::string> broken;

    bool breaks(const std::string& mechanism) const { return broken.count(mechanism) > 0; }
};

struct Context {
    const Settings& settings;
    ControlLoop& loop;
    IoPool& workerIo;
    IoPool& upstreamIo;
    IoPool& platformIo; ///< For the platform, so that its outage holds up nothing else.
    IoPool& watchIo; ///< For the one waiting watch.
    const Platform& platform;
    metrics::Registry& metrics;
    TestHooks& testHooks;
    wire::LocalHost self;
    Clock clock;
    WallClock wallClock;
    journal::CallBudget& budget; ///< Of calls to the service, for all parts of this host.
    Random random;
    bool serviceAnswers = false; ///< As of the last call to the service that ended.
    std::shared_ptr<wire::Peers> peers; ///< Set once the inner address listens.

    void noteService(platform::KvStatus status)
    {
        serviceAnswers = status != platform::KvStatus::Unreachable && status != platform::KvStatus::Unknown;
    }

    /// Names this start of this host, also as holder of worker leases.
    std::string holder() const { return self.host.str() + "#" + std::to_string(self.incarnation.value); }
};

} // namespace jujubereach::daemon
