// The account of refused work: each refusal gets a reference that any host can look up later.
#pragma once

#include "api.h"
#include "cluster.h"
#include "context.h"
#include "gather.h"

#include <deque>
#include <functional>
#include <string>
#include <vector>

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
    Refusals(Context& ctx, Cluster& cluster);

    /// Returns the reference.
    std::string add(const RefusedWork& work);
    /// GET /v1/refusals, over all hosts.
    void list(const ApiRequest& call, const Answer& answer);
    void onPeerCall(const wire::ApiCallT& call, const Answer& answer) const;

private:
    struct Row {
        std::string reference;
        WallTime time;
        RefusedWork work;
    };

    Rows ownRows(const std::string& reference) const;

    Context& m_ctx;
    Cluster& m_cluster;
    std::deque<Row> m_rows;
    std::uint64_t m_lastNumber = 0;
};

} // namespace jujubereach::daemon
