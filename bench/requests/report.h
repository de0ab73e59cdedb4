// Figures of the benchmark, one line each, and whether every bound was kept.
#pragma once

#include <string>

namespace jujubereach::bench {

/// Prints "BENCH name=... value=... unit=... bound=..." and remembers a broken bound.
class Report {
public:
    void figure(const std::string& name, double value, const std::string& unit);
    void atLeast(const std::string& name, double value, const std::string& unit, double bound);
    void atMost(const std::string& name, double value, const std::string& unit, double bound);

    bool kept() const { return m_kept; }

private:
    bool m_kept = true;
};

/// Each part runs its scenarios and reports its figures.
void reportFloods(Report& report);
void reportOutages(Report& report);
void reportSharing(Report& report);

} // namespace jujubereach::bench
