// Prints benchmark results and checks them against bounds.
#pragma once

#include <string>
#include <vector>

namespace jujubereach::bench {

/// Prints `BENCH name=... value=... unit=... [bound=<=...]` and counts broken bounds.
class Report {
public:
    void value(const std::string& name, double value, const std::string& unit);
    void atMost(const std::string& name, double value, const std::string& unit, double bound);
    bool passed() const { return m_broken == 0; }

private:
    int m_broken = 0;
};

double meanOf(const std::vector<double>& values);
double maxOf(const std::vector<double>& values);
/// The value below which `share` of the values lie; 0 when there are none.
double percentileOf(std::vector<double> values, double share);

} // namespace jujubereach::bench
