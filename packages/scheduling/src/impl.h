// Implementation of Scheduler: events in impl.cpp and ends.cpp, decisions in decide.cpp and clear.cpp.
#pragma once

#include "order.h"
#include "state.h"
#include "windows.h"

#include <deque>
#include <optional>
#include <set>
#include <string>

namespace jujubereach::scheduling {

class Scheduler::Impl {
public:
    Impl(
        const manifest::Manifest& manifest, const ZoneId& zone, const DomainId& domain, const Policy& policy);

    void reconfigure(const manifest::Manifest& manifest);
    std::optional<EndJob> submit(const JobSpec& spec, TimePoint now);
    void cancel(const JobId& id, TimePoint now);
    void adopt(const JobSpec& spec, const GangId& id, const Run& run, Duration ranFor, TimePoint now);
    void setWorker(std::uint32_t worker, bool up);
    void gangRunning(const GangId& id, TimePoint now);
    void gangEnded(const GangEnd& end, TimePoint now);
    std::vector<Decision> decide(TimePoint now);
    std::optional<TimePoint> nextDue(TimePoint now) const;
    Explanation explain(const JobId& id, TimePoint now) const;
    Usage usage() const;
    std::uint64_t stepCount() const;

private:
    // Events.
    std::optional<EndJob> refusalOf(const JobSpec& spec) const;
    bool hasLostTooManyWorkers(const JobSpec& spec) const;
    static std::string workersLostText(const JobSpec& spec);
    void applyManifest(const manifest::Manifest& manifest);
    void endInvalidJobs();
    void updateRevocable(); ///< After a change of the reclaim bound.
    Job* newJob(const JobSpec& spec);
    void endJob(Job* job, EndKind kind, std::optional<RefusalReason> refusal, const std::string& text);
    void recordEnded(const JobId& id, const std::string& text);

    // Ends of gangs.
    void recordWorkerResults(const Gang& gang, const GangEnd& end, TimePoint now);
    void finishAttempt(Job* job, const GangEnd& end, TimePoint now);
    void finishFailedAttempt(Job* job, const GangEnd& end, TimePoint now);
    void requeue(Job* job, TimePoint now);
    void learn(const Gang& gang, TimePoint now);

    // Decisions.
    void claimShapes(TimePoint now);
    void startProbes(TimePoint now);
    void scanQueue(TimePoint now);
    std::optional<Run> freeRunFor(const Job& job, TimePoint now) const;
    std::optional<Run> searchFree(const Job& job, const placement::FreeRuns::Accept& accept) const;
    bool withinQuota(const Job& job) const;
    bool leavesMinimumShares(const Job& job, TimePoint now) const;
    bool delaysReservation(const Job& job, const Run& run, TimePoint now) const;
    bool clearRunFor(Job* job, TimePoint now);
    bool clearForUrgent(Job* job, bool inProtected, TimePoint now);
    /// True if every gang in the run fits into another free run at once.
    bool victimsFit(const Run& run) const;
    bool clearByMigration(Job* job, TimePoint now);
    bool isWorthLoss(const Job& job, double lost, TimePoint now) const;
    void reserve(Job* job, TimePoint now);
    void advanceReservations(TimePoint now);
    bool advanceReservation(Reservation& reservation, TimePoint now);
    void dropReservations();
    std::string waitingReason(const Job& job, TimePoint now) const;

    State m_state;
    std::vector<EndJob> m_pendingEnds; ///< Not returned by decide() yet.
    std::map<JobId, std::string> m_endedTexts; ///< Texts of recently ended jobs; at most maxEnded.
    std::deque<JobId> m_endedOrder;
    std::uint32_t m_migrationSearches = 0; ///< In the current scan of the queue.
    bool m_changed = true; ///< An event arrived since the last decide().
    std::optional<TimePoint> m_recheckAt; ///< When aging alone may change a decision.
};

} // namespace jujubereach::scheduling
