// Requests under floods, faults and greedy callers: decisions in virtual time, the same on every run.
#include "report.h"

#include <cstdio>

namespace jujubereach::bench {

void Report::figure(const std::string& name, double value, const std::string& unit)
{
    std::printf("BENCH name=%s value=%.2f unit=%s\n", name.c_str(), value, unit.c_str());
}

void Report::atLeast(const std::string& name, double value, const std::string& unit, double bound)
{
    bool isKept = value >= bound;
    m_kept = m_kept && isKept;
    std::printf("BENCH name=%s value=%.2f unit=%s bound=%.2f ok=%s\n", name.c_str(), value, unit.c_str(),
        bound, isKept ? "yes" : "no");
}

void Report::atMost(const std::string& name, double value, const std::string& unit, double bound)
{
    bool isKept = value <= bound;
    m_kept = m_kept && isKept;
    std::printf("BENCH name=%s value=%.2f unit=%s bound=%.2f ok=%s\n", name.c_str(), value, unit.c_str(),
        bound, isKept ? "yes" : "no");
}

} // namespace jujubereach::bench

int main()
{
    jujubereach::bench::Report report;
    jujubereach::bench::reportFloods(report);
    jujubereach::bench::reportOutages(report);
    jujubereach::bench::reportSharing(report);
    return report.kept() ? 0 : 1;
}
