// The canonical order of a manifest's parts.
#pragma once

#include "jujubereach/manifest/manifest.h"

namespace jujubereach::manifest {

/// Sorts zones by region and id, classes by rank, domains, workspaces and shapes by id. Racks keep their
/// order: it says which are neighbours.
void sortParts(Manifest& manifest);

} // namespace jujubereach::manifest
