// The entry host: builds the parts, carries calls and messages between them, starts and stops in order.
#pragma once

#include "cluster.h"
#include "context.h"
#include "copies.h"
#include "domains.h"
#include "http-server.h"
#include "manifests.h"
#include "refusals.h"
#include "requests.h"

#include <memory>

namespace jujubereach::daemon {

class Host {
public:
    Host(const Settings& settings, const Platform& platform);
    ~Host();

    /// Serves until a planned stop is done. InvalidInput when an address cannot be used.
    Result<void> run();
    /// Starts a planned stop: finishes what is in progress, hands over, then ends run(). Any thread.
    void drain();

private:
    void route(const ApiRequest& call, const Answer& answer);
    void routeJobs(const ApiRequest& call, const Answer& answer);
    void routeRequests(const ApiRequest& call, const Answer& answer);
    void routeManifest(const ApiRequest& call, const Answer& answer);
    void routeTest(const ApiRequest& call, const Answer& answer);
    void ready(const Answer& answer) const;
    void status(const Answer& answer);
    void hosts(const Answer& answer) const;
    void onCall(wire::EnvelopeT& envelope, const wire::Responder& respond);
    void onApiCall(const wire::ApiCallT& call, const wire::Responder& respond);
    void onManifest(const manifest::Manifest& manifest);
    void beginDrain();
    void continueDrain(TimePoint until);
    Result<void> open();
    bool mayReach(const std::string& address) const;

    const Settings m_settings;
    const Platform m_platform;
    ControlLoop m_loop;
    metrics::Registry m_metrics;
    TestHooks m_testHooks;
    mutable std::mutex m_cutMutex; ///< Guards m_cut, which the network's thread reads.
    std::set<std::string> m_cut;
    journal::CallBudget m_budget;
    std::unique_ptr<IoPool> m_workerIo;
    std::unique_ptr<IoPool> m_upstreamIo;
    std::unique_ptr<IoPool> m_platformIo;
    std::unique_ptr<IoPool> m_watchIo;
    Context m_ctx;
    Cluster m_cluster;
    Copies m_copies;
    Refusals m_refusals;
    Domains m_domains;
    Requests m_requests;
    Manifests m_manifests;
    std::unique_ptr<HttpServer> m_http;
    TimePoint m_startedAt;
    bool m_draining = false;
};

} // namespace jujubereach::daemon
