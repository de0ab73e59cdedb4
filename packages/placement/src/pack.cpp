#include "jujubereach/placement/pack.h"

#include "jujubereach/placement/freeruns.h"

#include <algorithm>
#include <optional>
#include <string>
#include <tuple>

namespace jujubereach::placement {

namespace {

    struct PendingShape {
        PlacedShape shape;
        std::uint32_t count;
        std::string where;
    };

    struct DomainSpace {
        const manifest::Zone* zone;
        const manifest::Domain* domain;
        FreeRuns free;
    };

    /// Selects the domain of a zone for a shape that fits into several.
    enum class Spread { Even, Dense };

    std::vector<DomainSpace> spacesOf(const manifest::Manifest& manifest)
    {
        std::vector<DomainSpace> spaces;
        for (const auto& zone : manifest.zones) {
            for (const auto& domain : zone.domains) {
                auto perWorker = domain.racks.empty() ? 1 : domain.racks.front().acceleratorsPerWorker;
                std::uint32_t total = 0;
                for (const auto& rack : domain.racks)
                    total += rack.workers * rack.acceleratorsPerWorker;
                spaces.push_back({ &zone, &domain, FreeRuns(perWorker) });
                spaces.back().free.add({ 0, total });
            }
        }
        return spaces;
    }

    std::vector<PendingShape> pendingShapesOf(const manifest::Manifest& manifest)
    {
        std::vector<PendingShape> all;
        for (std::size_t w = 0; w < manifest.workspaces.size(); ++w) {
            const auto& workspace = manifest.workspaces[w];
            for (std::size_t s = 0; s < workspace.shapes.size(); ++s) {
                const auto& shape = workspace.shapes[s];
                auto where = "workspaces[" + std::to_string(w) + "].shapes[" + std::to_string(s) + "]";
                for (std::uint32_t i = 0; i < shape.count; ++i)
                    all.push_back(
                        { { workspace.id, shape.id, i, shape.zone, {}, {} }, shape.accelerators, where });
            }
        }
        std::stable_sort(all.begin(), all.end(), [](const PendingShape& a, const PendingShape& b) {
            return std::tie(b.count, a.shape.workspace, a.shape.shape, a.shape.instance)
                < std::tie(a.count, b.shape.workspace, b.shape.shape, b.shape.instance);
        });
        return all;
    }

    /// Places the shape in the domain with the most free accelerators (Even) or in the one with the fewest
    /// where it still fits (Dense).
    bool place(PendingShape& pending, std::vector<DomainSpace>& spaces, Spread spread)
    {
        DomainSpace* best = nullptr;
        for (auto& space : spaces) {
            if (space.zone->id != pending.shape.zone || space.free.largest() < pending.count)
                continue;
            bool better = best
                && (spread == Spread::Even ? space.free.total() > best->free.total()
                                           : space.free.total() < best->free.total());
            if (!best || better)
                best = &space;
        }
        if (!best)
            return false;
        pending.shape.run = *best->free.bestFit(pending.count);
        pending.shape.domain = best->domain->id;
        best->free.remove(pending.shape.run);
        return true;
    }

    /// Returns the first shape that does not fit, or null.
    const PendingShape* placeAll(
        std::vector<PendingShape>& all, std::vector<DomainSpace> spaces, Spread spread)
    {
        for (auto& pending : all) {
            if (!place(pending, spaces, spread))
                return &pending;
        }
        return nullptr;
    }

    Error doesNotFit(const PendingShape& pending)
    {
        return { ErrorCode::InvalidInput,
            "shape \"" + pending.shape.shape.str() + "\" (instance "
                + std::to_string(pending.shape.instance + 1) + ", " + std::to_string(pending.count)
                + " adjacent accelerators) does not fit into zone \"" + pending.shape.zone.str()
                + "\" beside the other shapes; make it smaller or add racks",
            pending.where, pending.shape.shape.str() };
    }

} // namespace

Result<Packing> packShapes(const manifest::Manifest& manifest)
{
    auto pending = pendingShapesOf(manifest);
    auto spaces = spacesOf(manifest);
    if (placeAll(pending, spaces, Spread::Even)) {
        if (const auto* misfit = placeAll(pending, spaces, Spread::Dense))
            return fail(doesNotFit(*misfit));
    }
    Packing packing;
    for (auto& each : pending)
        packing.push_back(std::move(each.shape));
    return packing;
}

} // namespace jujubereach::placement
