// What changes between two manifests, in words for people.
#pragma once

#include "jujubereach/manifest/manifest.h"

#include <map>
#include <string>
#include <vector>

namespace jujubereach::manifest {

enum class ChangeKind { Added, Removed, Changed };

struct FieldChange {
    std::string field; ///< Such as "quota" or "shape foil-render".
    std::string before; ///< Empty when the field is new.
    std::string after; ///< Empty when the field is gone.
};

/// One part that differs, such as "workspace foil" or "domain atlanta-a/d1".
struct PartChange {
    ChangeKind kind = ChangeKind::Changed;
    std::string part;
    std::vector<FieldChange> fields;
};

/// In order of part; none when the manifests are equal.
std::vector<PartChange> diff(const Manifest& before, const Manifest& after);

/// Several lines: "~ workspace foil", below it "    quota: 256 -> 300"; "+" and "-" for new and removed
/// parts.
std::string diffText(const std::vector<PartChange>& changes);

} // namespace jujubereach::manifest
