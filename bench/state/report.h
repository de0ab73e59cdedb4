// Prints the results of the state benchmark and checks their bounds.
#pragma once

#include <algorithm>
#include <cstdio>
#include <optional>
#include <string>
#include <vector>

namespace jujubereach::bench {

/// Prints results and records whether any exceeded its bound.
class Report {
public:
    /// Adds a result; `bound` is the largest value allowed.
    void add(const std::string& name, double value, const char* unit, std::optional<double> bound = {})
    {
        std::printf("BENCH name=%s value=%.1f unit=%s", name.c_str(), value, unit);
        if (bound)
            std::printf(" bound=%.1f", *bound);
        std::printf("\n");
        std::fflush(stdout);
        m_boundExceeded = m_boundExceeded || (bound && value > *bound);
    }

    bool boundExceeded() const { return m_boundExceeded; }

private:
    bool m_boundExceeded = false;
};

inline double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    auto index = static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

void measureMembership(Report& report);
void measureManifest(Report& report);

} // namespace jujubereach::bench
