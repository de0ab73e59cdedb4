#include "report.h"

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace jujubereach::bench {

void Report::value(const std::string& name, double value, const std::string& unit)
{
    std::printf("BENCH name=%s value=%.4g unit=%s\n", name.c_str(), value, unit.c_str());
}

void Report::atMost(const std::string& name, double value, const std::string& unit, double bound)
{
    bool broken = !(value <= bound);
    m_broken += broken ? 1 : 0;
    std::printf("BENCH name=%s value=%.4g unit=%s bound=<=%.4g%s\n", name.c_str(), value, unit.c_str(), bound,
        broken ? " broken=yes" : "");
}

double meanOf(const std::vector<double>& values)
{
    auto sum = std::accumulate(values.begin(), values.end(), 0.0);
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

double maxOf(const std::vector<double>& values)
{
    return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

double percentileOf(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

} // namespace jujubereach::bench
