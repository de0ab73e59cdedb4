// The domains of this host's zone, and the way of a job's call to the host that owns its domain.
#pragma once

#include "copies.h"
#include "domain.h"
#include "gather.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujubereach::daemon {

class Domains {
public:
    Domains(Context& ctx, Cluster& cluster, Copies& copies, DomainHooks hooks);

    void start();
    void configure(const manifest::Manifest& manifest);
    void onMachines(const std::vector<platform::Machine>& machines);
    void onView();
    /// Test only: makes the owners anew, so that broken mechanisms take effect.
    void rebuild();
    /// Gives every domain away; see released().
    void leave();
    bool released() const;

    /// POST /v1/jobs.
    void submit(const ApiRequest& call, Answer answer);
    /// GET and DELETE /v1/jobs/{id}, GET /v1/jobs/{id}/explain.
    void onJob(wire::ApiOperation operation, const JobId& job, const Answer& answer);
    /// Jobs, workers or usage of the zone's domains, from this host and the other owners.
    void gather(wire::ApiOperation operation, const Answer& answer);
    /// A call that a peer has forwarded.
    void onPeerCall(const wire::ApiCallT& call, Answer answer);

private:
    struct Submitted {
        JobCall call;
        ZoneId zone;
    };

    Result<Submitted> parse(const std::string& body) const;
    std::optional<ApiError> precheck(const scheduling::JobSpec& spec) const;
    void submitDocument(const std::string& body, unsigned hops, Answer answer);
    DomainId chooseDomain(const JobCall& call) const;
    void refuse(const scheduling::JobSpec& spec, ApiError error, const Answer& answer);
    void runOperation(wire::ApiOperation operation, const JobId& job, unsigned hops, const Answer& answer);
    void forward(
        const std::string& address, wire::ApiCallT call, Answer answer, std::function<void()> notReached);
    void toOwner(
        const DomainId& domain, wire::ApiCallT call, Answer answer, std::function<void()> notReached);
    void toZone(const ZoneId& zone, wire::ApiCallT call, const Answer& answer);
    std::vector<std::string> otherOwners() const;
    Rows ownRows(wire::ApiOperation operation);
    Domain* find(const DomainId& domain);

    Context& m_ctx;
    Cluster& m_cluster;
    const DomainHooks m_hooks;
    Copies& m_copies;
    manifest::Manifest m_manifest;
    std::map<DomainId, std::unique_ptr<Domain>> m_domains;
    std::vector<platform::Machine> m_machines;
    std::map<std::pair<WorkspaceId, ShapeId>, std::vector<DomainId>> m_shapeDomains; ///< Of this zone.
    bool m_leaving = false;
};

} // namespace jujubereach::daemon
