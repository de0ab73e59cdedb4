#include "workload.h"

#include <algorithm>
#include <cmath>

namespace jujubereach::bench {

namespace {

    constexpr double leastSlotMs = 40;
    constexpr int callersOfEach = 5; // of each class in each workspace

} // namespace

double Tally::p(double quantile) const
{
    if (tookMs.empty())
        return 0;
    std::vector<double> sorted = tookMs;
    auto place = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + place, sorted.end());
    return sorted[static_cast<std::size_t>(place)];
}

void Tally::add(const Tally& other)
{
    offered += other.offered;
    useful += other.useful;
    late += other.late;
    refused += other.refused;
    unknown += other.unknown;
    usefulMs += other.usefulMs;
    tookMs.insert(tookMs.end(), other.tookMs.begin(), other.tookMs.end());
}

Tally sumOf(const Tallies& tallies, const std::string& prefix)
{
    Tally sum;
    for (const auto& [name, tally] : tallies) {
        if (name.starts_with(prefix))
            sum.add(tally);
    }
    return sum;
}

manifest::Manifest shop()
{
    manifest::Manifest manifest;
    manifest.classes = {
        { ClassId("check"), 0, true, 0.2 },
        { ClassId("proof"), 1, false, 0.3 },
        { ClassId("bulk"), 2, false, 0.15 },
    };
    for (const char* id : { "agency", "foil", "notary", "tissue" })
        manifest.workspaces.push_back({ WorkspaceId(id), 1, 0, {} });
    return manifest;
}

std::vector<Stream> steadyCallers(double capacity)
{
    const std::pair<const char*, double> parts[] = { { "check", 0.15 }, { "proof", 0.2 }, { "bulk", 0.1 } };
    std::vector<Stream> streams;
    for (const auto& workspace : shop().workspaces) {
        for (auto [workClass, part] : parts) {
            double rate = part * capacity / (4.0 * callersOfEach);
            for (int i = 0; i < callersOfEach; ++i) {
                CallerId caller(workspace.id.str() + "-small" + std::to_string(i));
                streams.push_back(
                    { std::string("small-") + workClass, workspace.id, ClassId(workClass), caller, rate });
            }
        }
    }
    return streams;
}

std::vector<Stream> flood(const std::string& workClass, int callers, double perSecond)
{
    std::vector<Stream> streams;
    streams.reserve(static_cast<std::size_t>(callers));
    for (int i = 0; i < callers; ++i) {
        streams.push_back({ "flood", WorkspaceId("agency"), ClassId(workClass),
            CallerId("agency-large" + std::to_string(i)), perSecond / callers });
    }
    return streams;
}

Micros slotTime(Random& random)
{
    double ms = leastSlotMs + random.exponential(meanSlotMs - leastSlotMs);
    return std::llround(ms * microsPerMs);
}

} // namespace jujubereach::bench
