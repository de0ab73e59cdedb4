#include "runtimes.h"

#include <algorithm>
#include <cmath>

namespace jujubereach::scheduling {

namespace {
    constexpr std::size_t maxKinds = 10'000;
    /// Limit of the sample weight; the influence of older samples decays.
    constexpr std::uint32_t maxSamples = 20;
    constexpr Duration shortestRunTime { 1000 };
    /// Change of the natural logarithm of the ratio: a factor of about 1.5.
    constexpr double reportThreshold = 0.4;
    constexpr Duration defaultRunTime { 10 * 60 * 1000 }; ///< Assumed if no run time was declared.

    Duration declaredOrDefault(Duration declared)
    {
        return declared <= Duration { 0 } ? defaultRunTime : std::max(declared, shortestRunTime);
    }
} // namespace

void RunTimePredictor::Ratio::add(double logRatio)
{
    samples = std::min(samples + 1, maxSamples);
    logMean += (logRatio - logMean) / samples;
}

bool RunTimePredictor::learn(
    const WorkspaceId& workspace, const std::string& kind, Duration declared, Duration actual)
{
    auto ratio = static_cast<double>(std::max(actual, shortestRunTime).count())
        / static_cast<double>(declaredOrDefault(declared).count());
    auto logRatio = std::log(ratio);
    m_workspaces[workspace].add(logRatio);
    auto key = std::make_pair(workspace, kind);
    if (m_kinds.size() >= maxKinds && !m_kinds.contains(key))
        return false;
    auto& byKind = m_kinds[key];
    byKind.add(logRatio);
    if (std::abs(byKind.logMean - byKind.lastReported) < reportThreshold)
        return false;
    byKind.lastReported = byKind.logMean;
    return true;
}

Duration RunTimePredictor::predict(
    const WorkspaceId& workspace, const std::string& kind, Duration declared) const
{
    double logRatio = 0;
    if (auto byKind = m_kinds.find({ workspace, kind }); byKind != m_kinds.end())
        logRatio = byKind->second.logMean;
    else if (auto whole = m_workspaces.find(workspace); whole != m_workspaces.end())
        logRatio = whole->second.logMean;
    auto predicted = static_cast<double>(declaredOrDefault(declared).count()) * std::exp(logRatio);
    return std::max(Duration(static_cast<Duration::rep>(predicted)), shortestRunTime);
}

} // namespace jujubereach::scheduling
