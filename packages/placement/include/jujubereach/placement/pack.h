// Packs the guaranteed shapes of a manifest into the domains of their zones, all at the same time.
#pragma once

#include "jujubereach/base/error.h"
#include "jujubereach/base/id.h"
#include "jujubereach/manifest/manifest.h"
#include "jujubereach/placement/run.h"

#include <cstdint>
#include <vector>

namespace jujubereach::placement {

/// One instance of a shape in its place.
struct PlacedShape {
    WorkspaceId workspace;
    ShapeId shape;
    std::uint32_t instance = 0; ///< Below the shape's count.
    ZoneId zone;
    DomainId domain;
    Run run;
};

/// No two runs of one domain overlap.
using Packing = std::vector<PlacedShape>;

/// Pure: equal manifests give equal packings, on every host. Fails with the place of the shape that does
/// not fit. Longest first; a set that fits only in another order is refused as well.
Result<Packing> packShapes(const manifest::Manifest& manifest);

} // namespace jujubereach::placement
