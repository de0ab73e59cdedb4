// An in-memory journal of a domain that follows the rules of journal/job-journal.h.
#pragma once

#include "jujubereach/jobs/owner.h"

#include <map>
#include <set>

namespace jujubereach::jobs::test {

class FakeJournal {
public:
    struct Entry {
        JournaledJob job;
        GangId claim;
        scheduling::EndKind end = scheduling::EndKind::Completed;
        Ran ran = Ran::Unknown;
    };

    bool fence(std::uint64_t term)
    {
        if (term < m_term)
            return false;
        m_term = term;
        return true;
    }

    bool accept(const scheduling::JobSpec& job, std::uint64_t term)
    {
        if (term < m_term)
            return false;
        jobs[job.id].job.job = job;
        return true;
    }

    /// Returns false if the event is rejected.
    bool apply(const JobEvent& event)
    {
        auto& entry = jobs[event.job.id];
        bool stale = event.term < m_term;
        switch (event.kind) {
        case JobEventKind::Claimed:
            if (!entry.claim.empty() || entry.job.ended || stale)
                return entry.claim == event.gang;
            entry.claim = event.gang;
            break;
        case JobEventKind::Unclaimed:
            if (entry.claim != event.gang)
                return false;
            entry.claim = GangId();
            break;
        case JobEventKind::Started:
        case JobEventKind::Progress:
            if (stale)
                return false;
            break;
        case JobEventKind::Ended:
            if (!entry.job.ended) {
                entry.end = event.end;
                entry.ran = event.ran;
            }
            entry.job.ended = true;
            break;
        }
        entry.job.claimed = !entry.claim.empty();
        entry.job.job = event.job;
        return true;
    }

    std::vector<JournaledJob> list() const
    {
        std::vector<JournaledJob> list;
        for (const auto& [id, entry] : jobs)
            list.push_back(entry.job);
        return list;
    }

    std::map<JobId, Entry> jobs;

private:
    std::uint64_t m_term = 0;
};

} // namespace jujubereach::jobs::test
