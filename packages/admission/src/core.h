// State of the admission queue and the steps that its public functions are made of.
#pragma once

#include "class-queue.h"

#include "jujubereach/admission/queue.h"
#include "jujubereach/base/random.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace jujubereach::admission {

class AdmissionQueue::Core {
public:
    Core(const Bounds& bounds, std::uint64_t seed)
        : m_bounds(bounds)
        , m_random(seed)
    {
    }

    void configure(const manifest::Manifest& manifest, TimePoint now);
    void setSlots(std::uint32_t slots, TimePoint now);
    std::optional<Refusal> offer(const Request& request, TimePoint now);
    std::optional<Request> next(TimePoint now);
    std::vector<GivenUp> expire(TimePoint now);
    bool abandon(const RequestId& id);
    void completed(const RequestId& id, Duration took, TimePoint now);
    void unanswered(const RequestId& id, Duration took, TimePoint now);
    void notRun(const RequestId& id);
    Duration predictedWait(const Request& request, TimePoint now) const;
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(m_index.size()); }
    Snapshot snapshot(TimePoint now) const;

private:
    struct Running {
        Request request;
        double charged = 0; // work, in milliseconds
        bool owed = false; // served out of the class's minimum share
    };
    enum class Scope { Host, Workspace, Caller };

    // configure
    void inheritEstimates(const std::vector<ClassQueue>& old);
    void takeOver(const Waiting& waiting, TimePoint now);
    void insert(const Waiting& waiting);

    // offer
    std::optional<RefusalReason> findFault(const Request& request) const;
    std::optional<Refusal> refuseIfLate(const Request& request, double wait, TimePoint now);
    std::optional<Refusal> makeRoom(const Request& request, TimePoint now);
    bool displaceOne(const Request& request, Scope scope, TimePoint now);
    ClassQueue* classToDisplace(const Request& request, Scope scope);
    std::uint32_t waitingIn(const ClassQueue& queue, const Request& request, Scope scope) const;
    bool isFull(const Request& request, Scope scope) const;
    std::uint32_t boundOf(Scope scope) const;
    bool holdsMost(const ClassQueue& queue, const WorkspaceId& largest, const Request& request) const;
    Refusal counted(Refusal refusal);
    void admit(const Request& request, double predictedMs, TimePoint now);

    // give up
    void giveUp(ClassQueue& queue, WaitingList::iterator waiting, RefusalReason reason, TimePoint now);
    void giveUpAll(RefusalReason reason, TimePoint now);
    void expireLate(TimePoint now);
    void expireHopeless(TimePoint now);
    void expireHopelessOf(ClassQueue& queue, const WorkspaceId& id, TimePoint now);
    bool isOut(TimePoint now) const;
    void forget(WaitingList::iterator waiting);
    /// `usedMs` of a slot; `sampleMs` is what the estimates learn.
    void learn(const Running& running, double usedMs, double sampleMs, TimePoint now);
    std::optional<Running> takeRunning(const RequestId& id);

    bool isOutrun(const ClassQueue& queue, const Waiting& waiting, TimePoint now) const;
    void noteWait(const Waiting& waiting, TimePoint now);

    // prediction: milliseconds of slot time and slots
    double tookOf(const ClassQueue& queue, const WorkspaceId& id, TimePoint now) const;
    double tookOf(const Request& request, TimePoint now) const;
    double highTookOf(const Request& request, bool hasOthers, TimePoint now) const;
    double classSlots(const ClassQueue& queue, TimePoint now) const;
    double workspaceSlots(const ClassQueue& queue, const WorkspaceId& id, TimePoint now) const;
    double waitOf(const ClassQueue& queue, const Request& request, double ahead, TimePoint now) const;
    double waitAtEnd(const Request& request, TimePoint now) const;

    Refusal refusal(RefusalReason reason, const Request& request, double excessMs, TimePoint now);
    Duration retryAfter(const Request& request, double excessMs, TimePoint now);

    ClassQueue* findClass(const ClassId& id);
    const ClassQueue* findClass(const ClassId& id) const;
    ClassQueue* nextClass();
    double burstOf(const ClassQueue& queue, double work) const;
    double weightOf(const WorkspaceId& id) const;

    Bounds m_bounds;
    Random m_random;
    std::vector<ClassQueue> m_classes; // by rank, most urgent first
    std::unordered_map<WorkspaceId, double> m_weights; // of the workspaces of the manifest
    std::unordered_map<RequestId, WaitingList::iterator> m_index; // every request that waits
    std::set<std::pair<TimePoint, RequestId>> m_byLatestStart; // same requests as m_index
    std::unordered_map<RequestId, Running> m_running; // from next() to completed() or notRun()
    std::vector<GivenUp> m_givenUp; // not yet told by expire()
    std::uint32_t m_slots = 0;
    std::uint32_t m_lastSlots = 1; // last number above 0
    std::optional<TimePoint> m_noSlotsSince; // set while m_slots is 0
    TimePoint m_nextCheck; // of all that waits against the prediction
    TookEstimate m_took; // over all classes
    Snapshot m_counts; // only the counters
};

} // namespace jujubereach::admission
