// Look-ups in a manifest.
#include "jujubereach/manifest/manifest.h"

#include <algorithm>

namespace jujubereach::manifest {

namespace {

    template <typename Part, typename PartId>
    const Part* findById(const std::vector<Part>& parts, const PartId& id)
    {
        auto found
            = std::find_if(parts.begin(), parts.end(), [&](const Part& part) { return part.id == id; });
        return found == parts.end() ? nullptr : &*found;
    }

} // namespace

const Zone* findZone(const Manifest& manifest, const ZoneId& id)
{
    return findById(manifest.zones, id);
}

const WorkClass* findClass(const Manifest& manifest, const ClassId& id)
{
    return findById(manifest.classes, id);
}

const Workspace* findWorkspace(const Manifest& manifest, const WorkspaceId& id)
{
    return findById(manifest.workspaces, id);
}

std::uint32_t acceleratorsOf(const Domain& domain)
{
    std::uint32_t accelerators = 0;
    for (const auto& rack : domain.racks)
        accelerators += rack.workers * rack.acceleratorsPerWorker;
    return accelerators;
}

std::uint32_t workersOf(const Domain& domain)
{
    std::uint32_t workers = 0;
    for (const auto& rack : domain.racks)
        workers += rack.workers;
    return workers;
}

WorkerId workerAt(const Domain& domain, std::uint32_t workerIndex)
{
    for (const auto& rack : domain.racks) {
        if (workerIndex < rack.workers)
            return WorkerId(rack.id.str() + "/" + std::to_string(workerIndex));
        workerIndex -= rack.workers;
    }
    return {};
}

} // namespace jujubereach::manifest
