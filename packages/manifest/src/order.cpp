// The canonical order of a manifest's parts.
#include "order.h"

#include <algorithm>
#include <tuple>

namespace jujubereach::manifest {

namespace {

    template <typename Part> void sortById(std::vector<Part>& parts)
    {
        std::stable_sort(
            parts.begin(), parts.end(), [](const Part& a, const Part& b) { return a.id < b.id; });
    }

} // namespace

void sortParts(Manifest& manifest)
{
    std::stable_sort(manifest.zones.begin(), manifest.zones.end(),
        [](const Zone& a, const Zone& b) { return std::tie(a.region, a.id) < std::tie(b.region, b.id); });
    for (auto& zone : manifest.zones)
        sortById(zone.domains);
    std::stable_sort(manifest.classes.begin(), manifest.classes.end(),
        [](const WorkClass& a, const WorkClass& b) { return a.rank < b.rank; });
    sortById(manifest.workspaces);
    for (auto& workspace : manifest.workspaces)
        sortById(workspace.shapes);
}

} // namespace jujubereach::manifest
