// Packs the guaranteed shapes of a manifest into the domains of their zones, so that all fit simultaneously.
#pragma once

#include "jujubereach/base/error.h"
#include "jujubereach/base/id.h"
#include "jujubereach/manifest/manifest.h"
#include "jujubereach/placement/run.h"

#include <cstdint>
#include <vector>

namespace jujubereach::placement {

/// One instance of a shape and the run assigned to it.
struct PlacedShape {
    WorkspaceId workspace;
    ShapeId shape;
    std::uint32_t instance = 0; ///< Index below the shape's count.
    ZoneId zone;
    DomainId domain;
    Run run;
};

/// Runs of the same domain don't overlap.
using Packing = std::vector<PlacedShape>;

/// Places the shapes in order of decreasing length. Deterministic: equal manifests give equal packings on
/// every host. Fails with the manifest path of the first shape that does not fit; a set that fits only in
/// another order fails as well.
Result<Packing> packShapes(const manifest::Manifest& manifest);

} // namespace jujubereach::placement
