// The account of refused work: each refusal gets a reference that any host can look up later.
#pragma once

#include "api.h"
#include "call-driver.h"
#include "cluster.h"
#include "context.h"
#include "copies.h"
#include "gather.h"
#include "jujubereach/ledger/ledger.h"

#include <memory>
#include <string>

namespace jujubereach::daemon {

/// Work that was turned away and did not run.
struct RefusedWork {
    WorkspaceId workspace;
    CallerId caller;
    ClassId workClass;
    std::string reason;
};

class Refusals {
public:
    Refusals(Context& ctx, Cluster& cluster, Copies& copies);

    void start();
    /// Returns the reference.
    std::string add(const RefusedWork& work);
    /// GET /v1/refusals: the segments in the service, and what no host has committed yet.
    void list(const ApiRequest& call, const Answer& answer);
    void onPeerCall(const wire::ApiCallT& call, const Answer& answer) const;
    /// Entries that the service does not hold yet.
    std::size_t pending() const { return m_ledger.stats().entries; }

private:
    void listFromService(
        const ledger::RefusalQuery& query, const std::string& pendingDocument, const Answer& answer);
    void spreadCopies();
    void removeExpired();

    Context& m_ctx;
    Cluster& m_cluster;
    Copies& m_copies;
    ledger::RefusalLedger m_ledger;
    std::shared_ptr<CallDriver> m_driver;
};

} // namespace jujubereach::daemon
