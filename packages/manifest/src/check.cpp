// Checks between the parts of a manifest.
#include "check.h"

#include "json-names.h"

#include <algorithm>

namespace jujubereach::manifest {

namespace {

    constexpr double shareTolerance = 1e-9;

    void checkShares(const Manifest& manifest, std::vector<Fault>& faults)
    {
        double sum = 0;
        for (const auto& workClass : manifest.classes)
            sum += workClass.minimumShare;
        if (sum > 1 + shareTolerance) {
            faults.push_back({ "classes",
                "the minimumShare of all classes sum up to " + shortNumber(sum)
                    + "; lower them to 1 or less together" });
        }
    }

    void checkRanks(const Manifest& manifest, const Places& places, std::vector<Fault>& faults)
    {
        UniqueIds ranks("rank", "the classes", faults);
        for (std::size_t i = 0; i < manifest.classes.size(); ++i)
            ranks.add(std::to_string(manifest.classes[i].rank), places.classes[i] + ".rank");
    }

    std::uint32_t largestDomain(const Zone& zone)
    {
        std::uint32_t largest = 0;
        for (const auto& domain : zone.domains)
            largest = std::max(largest, acceleratorsOf(domain));
        return largest;
    }

    std::vector<std::string> zoneNames(const Manifest& manifest)
    {
        std::vector<std::string> names;
        for (const auto& zone : manifest.zones)
            names.push_back(zone.id.str());
        return names;
    }

    Fault unknownZone(const Manifest& manifest, const Shape& shape, const std::string& place)
    {
        auto names = zoneNames(manifest);
        auto closest = closestName(shape.zone.str(), names);
        auto advice = closest.empty() ? "zones are " + joinNames(names) : "did you mean \"" + closest + "\"?";
        return { place + ".zone", "no zone \"" + shape.zone.str() + "\" in the regions; " + advice };
    }

    void checkShape(
        const Manifest& manifest, const Shape& shape, const std::string& place, std::vector<Fault>& faults)
    {
        if (shape.accelerators > manifest.limits.maxGang) {
            faults.push_back({ place + ".accelerators",
                "is " + std::to_string(shape.accelerators) + ", above limits.maxGang of "
                    + std::to_string(manifest.limits.maxGang) + "; split the shape or raise the limit" });
        }
        if (shape.zone.empty())
            return;
        const auto* zone = findZone(manifest, shape.zone);
        if (!zone) {
            faults.push_back(unknownZone(manifest, shape, place));
            return;
        }
        auto largest = largestDomain(*zone);
        if (shape.accelerators > largest) {
            faults.push_back({ place + ".accelerators",
                "is " + std::to_string(shape.accelerators) + ", but the largest domain of zone \""
                    + zone->id.str() + "\" has " + std::to_string(largest)
                    + " accelerators; lower it or choose another zone" });
        }
    }

    void checkQuota(const Workspace& workspace, const std::string& place, std::vector<Fault>& faults)
    {
        std::uint64_t guaranteed = 0;
        for (const auto& shape : workspace.shapes)
            guaranteed += static_cast<std::uint64_t>(shape.accelerators) * shape.count;
        if (workspace.quota != 0 && workspace.quota < guaranteed) {
            faults.push_back({ place + ".quota",
                "is " + std::to_string(workspace.quota) + ", below the " + std::to_string(guaranteed)
                    + " accelerators of its shapes; raise it or use 0 for no bound" });
        }
    }

} // namespace

void UniqueIds::add(const std::string& id, const std::string& place)
{
    if (id.empty())
        return;
    auto [known, isNew] = m_places.emplace(id, place);
    if (isNew)
        return;
    m_faults.push_back({ place,
        m_kind + " \"" + id + "\" is taken by " + known->second + "; it must be unique in " + m_scope });
}

void checkReferences(const Manifest& manifest, const Places& places, std::vector<Fault>& faults)
{
    checkRanks(manifest, places, faults);
    checkShares(manifest, faults);
    for (std::size_t i = 0; i < manifest.workspaces.size(); ++i) {
        const auto& workspace = manifest.workspaces[i];
        checkQuota(workspace, places.workspaces[i], faults);
        for (std::size_t j = 0; j < workspace.shapes.size(); ++j)
            checkShape(manifest, workspace.shapes[j], places.shapes[i][j], faults);
    }
}

} // namespace jujubereach::manifest
