// Requests to the upstreams, from the caller's call to its one answer.
#pragma once

#include "api.h"
#include "cluster.h"
#include "context.h"
#include "jujubereach/admission/queue.h"
#include "jujubereach/dispatch/request.h"
#include "jujubereach/dispatch/table.h"
#include "jujubereach/dispatch/upstreams.h"
#include "jujubereach/manifest/manifest.h"
#include "once-store.h"
#include "refusals.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujubereach::daemon {

struct RequestsHooks {
    std::function<std::string(const RefusedWork&)> refuse; ///< Returns the reference.
};

class Requests {
public:
    Requests(Context& ctx, Cluster& cluster, RequestsHooks hooks);

    void start();
    void configure(const manifest::Manifest& manifest);
    void onMachines(const std::vector<platform::Machine>& machines);
    void onView();
    void onCreditReport(const wire::EnvelopeT& envelope, const wire::CreditReportT& report);
    void onCreditGrant(const wire::EnvelopeT& envelope, const wire::CreditGrantT& grant);

    /// POST /v1/requests.
    void submit(const ApiRequest& call, Answer answer);
    /// GET /v1/requests/{id}: an answer that is kept here or at the host that the id names.
    void show(const ApiRequest& call, const Answer& answer);
    /// A peer's call for a request of this host.
    void onPeerCall(const wire::ApiCallT& call, const Answer& answer);

    /// Refuses new requests from now on.
    void drain() { m_draining = true; }
    std::size_t inProgress() const { return m_work.size(); }
    std::size_t unwrittenRecords() const { return m_once.pending(); }
    Json upstreamsJson() const;

private:
    /// What the table does not keep of a request in progress.
    struct Work {
        std::string body;
        std::string digest;
        std::vector<Answer> waiters;
        std::shared_ptr<std::atomic<bool>> callerGone;
        TimePoint offeredAt;
        TimePoint startedAt; ///< Of the first attempt.
        bool admitted = false;
        bool holdsRecord = false; ///< The record in the service names this request.
    };
    struct Parsed {
        dispatch::RequestInfo info;
        std::string body;
    };

    Result<Parsed> parse(const ApiRequest& call);
    void offer(Parsed parsed, std::shared_ptr<std::atomic<bool>> callerGone, Answer answer);
    void pump();
    void startNext(const admission::Request& request);
    void record(dispatch::RequestLife& life, Work& work);
    void onRecorded(const RequestId& id, const std::optional<dispatch::OnceChange>& change);
    void followRecord(const RequestId& id, const dispatch::OnceRecord& record, dispatch::OnceAction action);
    void answerFromRecord(const RequestId& id, const dispatch::OnceRecord& record);
    void attachTo(const RequestId& id, const RequestId& running);
    void fetchFromHolder(const RequestId& id, const dispatch::OnceRecord& record);
    void markUnknown(const RequestId& id, const dispatch::OnceRecord& record);
    dispatch::HolderState holderState(const dispatch::OnceRecord& record) const;
    bool dispatchReady(const RequestId& id);
    void call(const RequestId& id, const dispatch::Lease& lease);
    void onAttempt(const RequestId& id, const dispatch::Lease& lease, platform::UpstreamAnswer answer);
    void breakForTests(platform::UpstreamAnswer& answer);
    void giveUp(const RequestId& id, const std::string& reason, Duration retryAfter);
    void finish(const RequestId& id);
    void completeRecord(const dispatch::RequestLife& life, const Work& work);
    void finishWith(const RequestId& id, const ApiAnswer& answer);
    ApiAnswer finalAnswer(const dispatch::RequestLife& life) const;
    void recordRefusal(const dispatch::RequestLife& life);
    void prune();
    void sweep();
    void sendCredits();
    void observe(const dispatch::RequestLife& life, const Work& work);
    std::string newId();
    Work* find(const RequestId& id);
    void fetchLocal(
        const RequestId& id, const WorkspaceId& workspace, const CallerId& caller, const Answer& answer);
    void awaitLocal(const RequestId& id, const Answer& answer);

    Context& m_ctx;
    Cluster& m_cluster;
    const RequestsHooks m_hooks;
    std::unique_ptr<admission::AdmissionQueue> m_queue; ///< Set with the first manifest.
    dispatch::UpstreamSet m_upstreams;
    dispatch::RequestTable m_table;
    dispatch::RetryPolicy m_retry;
    OnceStore m_once;
    std::unordered_map<RequestId, Work> m_work; ///< Requests without a final answer.
    std::deque<RequestId> m_ready; ///< Given out by the queue; wait for a slot only.
    std::unordered_map<RequestId, std::string> m_references; ///< Of refusals whose answers are kept.
    std::size_t m_maxBodyBytes = 1 << 20;
    std::uint64_t m_lastNumber = 0;
    bool m_draining = false;
    bool m_pumping = false;
    std::string m_bodyOfAnother; ///< For a counter-check only.
};

} // namespace jujubereach::daemon
