// Queue of the requests that wait for an upstream's slot: who is admitted, who runs next, who is refused.
#pragma once

#include "jujubereach/admission/request.h"
#include "jujubereach/admission/snapshot.h"
#include "jujubereach/manifest/manifest.h"

#include <memory>
#include <optional>
#include <vector>

namespace jujubereach::admission {

/// Classes are served by rank, each with its kept minimum share of the slots; workspaces of a class and
/// callers of a workspace by weighted fair queueing on slot time. Every offered request has exactly one
/// end: a refusal by offer(), an entry of expire(), a true abandon(), or its request from next().
class AdmissionQueue {
public:
    AdmissionQueue(const manifest::Manifest& manifest, const Bounds& bounds, std::uint64_t seed);
    ~AdmissionQueue();
    AdmissionQueue(AdmissionQueue&&) noexcept;
    AdmissionQueue& operator=(AdmissionQueue&&) noexcept;

    /// Takes a new manifest. Requests whose class or workspace is gone come out of the next expire().
    void configure(const manifest::Manifest& manifest, TimePoint now);

    /// The slots that this host may use at the same time. After a second with none, everything that
    /// waits is given up and offers are refused until there are some again.
    void setSlots(std::uint32_t slots, TimePoint now);

    /// Nothing when the request is admitted. May displace another request, which then comes out of
    /// expire().
    std::optional<Refusal> offer(const Request& request, TimePoint now);

    /// The request to run now; the caller of this has a free slot for it.
    std::optional<Request> next(TimePoint now);

    /// Every request given up since the last call; call it after offer(), next() and setSlots(), and at
    /// least every 50 ms. Costs little when there is none.
    std::vector<GivenUp> expire(TimePoint now);

    /// Forgets a waiting request whose caller has gone. False when it does not wait.
    bool abandon(const RequestId& id);

    /// A request from next() has freed its slot after `took`. Feeds the estimates and corrects shares.
    void completed(const RequestId& id, Duration took, TimePoint now);

    /// A request from next() got no answer in `took`: what it took on its slot is not known, but no less.
    void unanswered(const RequestId& id, Duration took, TimePoint now);

    /// A request from next() did not run: takes back what its workspace and caller were charged.
    void notRun(const RequestId& id);

    /// Predicted wait of a request of this kind if it were offered now.
    Duration predictedWait(const Request& request, TimePoint now) const;

    bool empty() const;
    std::uint32_t waiting() const;
    Snapshot snapshot(TimePoint now) const;

private:
    class Core;
    std::unique_ptr<Core> m_core;
};

} // namespace jujubereach::admission
