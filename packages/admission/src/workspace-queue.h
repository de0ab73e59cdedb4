// Waiting requests of one workspace in one class, fair over its callers.
#pragma once

#include "fair-order.h"
#include "took-estimate.h"

#include "jujubereach/admission/request.h"

#include <cstdint>
#include <list>
#include <set>
#include <unordered_map>

namespace jujubereach::admission {

struct Waiting {
    Request request;
    double work = 0; ///< Expected slot time in milliseconds.
    double predictedMs = 0; ///< Wait, when admitted.
    TimePoint since;
    TimePoint latestStart; ///< A later start misses the deadline.
};
using WaitingList = std::list<Waiting>;

struct CallerQueue {
    WaitingList list; ///< In order of arrival.
    double work = 0; ///< Sum over `list`.
};

constexpr double callerBurstMs = 4000;

class WorkspaceQueue {
public:
    explicit WorkspaceQueue(double weight)
        : m_weight(weight)
    {
    }

    double weight() const { return m_weight; }
    void setWeight(double weight) { m_weight = weight; }
    bool empty() const { return m_waiting == 0; }
    std::uint32_t waiting() const { return m_waiting; }
    double work() const { return m_work; }
    std::uint32_t callers() const { return static_cast<std::uint32_t>(m_callers.size()); }
    std::uint32_t waitingOf(const CallerId& caller) const;
    double workOf(const CallerId& caller) const;
    const std::unordered_map<CallerId, CallerQueue>& byCaller() const { return m_callers; }

    WaitingList::iterator add(Waiting waiting);
    /// The request to serve; only when not empty.
    WaitingList::iterator first();
    /// The request that came last of a caller; only when it has one.
    WaitingList::iterator lastOf(const CallerId& caller);
    /// The caller with most requests that wait; only when not empty.
    const CallerId& largestCaller() const;
    void remove(WaitingList::iterator waiting);

    void charge(const CallerId& caller, double work) { m_order.charge(caller, work); }
    void correct(const CallerId& caller, double difference) { m_order.correct(caller, difference); }

    TookEstimate& took() { return m_took; }
    const TookEstimate& took() const { return m_took; }

    /// A request waited `actualMs`; what had been predicted for it is corrected by the ratio seen so far.
    void noteWait(double predictedMs, double actualMs);
    double waitCorrection() const { return m_waitCorrection; }

    /// A refused caller of the workspace comes back, `turnMs` after the one refused before it.
    void addReturn(double turnMs, TimePoint now);
    /// When the caller refused last is due, in milliseconds from now.
    double returnsIn(TimePoint now) const;

private:
    double m_weight;
    std::unordered_map<CallerId, CallerQueue> m_callers; // none is empty
    FairOrder<CallerId> m_order { callerBurstMs }; // ready flows are the keys of m_callers
    std::set<std::pair<std::uint32_t, CallerId>> m_bySize; // (size, caller) of each of m_callers
    std::uint32_t m_waiting = 0; // sum of the sizes of m_callers
    double m_work = 0; // sum of the works of m_callers
    TookEstimate m_took;
    double m_waitCorrection = 1; // of predicted waits
    double m_returnsMs = 0; // when the caller refused last is due, from m_returnsSince
    TimePoint m_returnsSince;
};

} // namespace jujubereach::admission
