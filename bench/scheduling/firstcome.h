// Baseline policy: first come, first served, on the first run that fits.
#pragma once

#include "stream.h"

#include <deque>
#include <map>

namespace jujubereach::bench {

class FirstCome {
public:
    FirstCome(std::uint32_t workers, bool backfill);

    void submit(const scheduling::JobSpec& spec);
    void cancel(const JobId& id);
    void setWorker(std::uint32_t worker, bool up);
    void gangEnded(const scheduling::GangEnd& end);
    std::vector<scheduling::Decision> decide();

private:
    std::optional<std::uint32_t> firstFit(std::uint32_t count) const;
    void start(const scheduling::JobSpec& spec, std::uint32_t first);

    bool m_backfill;
    std::vector<bool> m_busy; ///< Per accelerator.
    std::vector<bool> m_up; ///< Per worker.
    std::deque<scheduling::JobSpec> m_queue;
    std::map<GangId, scheduling::StartGang> m_gangs;
    std::map<JobId, std::uint32_t> m_failures;
    std::vector<scheduling::Decision> m_pendingDecisions;
};

} // namespace jujubereach::bench
