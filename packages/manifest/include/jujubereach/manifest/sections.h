// A manifest in sections under content names, so that only what changed travels.
#pragma once

#include "jujubereach/manifest/manifest.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace jujubereach::manifest {

/// "limits", "classes", "zones", "domain/<zone>/<domain>" or "workspaces/<group>".
using SectionName = Id<struct SectionTag>;
/// 128 bits of the SHA-256 of a text, as 32 hexadecimal digits: equal names mean equal texts.
using ContentName = Id<struct ContentTag>;

/// Largest text of a section; the service takes values up to a megabyte.
constexpr std::size_t maxSectionBytes = 900'000;
/// Workspaces are spread over this many sections by their ids. Fixed: a change of it would move all of them.
constexpr std::size_t workspaceGroups = 256;

/// A text and the name that its bytes give it.
struct Content {
    ContentName name;
    std::string text;
};

ContentName contentNameOf(const std::string& text);
Content makeContent(std::string text);

/// Which content each section of a manifest has. Ordered, so that equal manifests have equal maps.
using SectionMap = std::map<SectionName, ContentName>;

/// One section that differs between two manifests.
struct SectionChange {
    SectionName name;
    ContentName content; ///< Empty when the section was removed.
    std::uint64_t counter = 0; ///< In a root: of the root that made the change.
};

std::vector<SectionChange> changesBetween(const SectionMap& before, const SectionMap& after);
void applyChanges(SectionMap& sections, const std::vector<SectionChange>& changes);
/// One name for a whole map.
ContentName nameOfSections(const SectionMap& sections);

struct SplitManifest {
    SectionMap sections;
    std::map<ContentName, std::string> texts;
};

/// Each section is a part of the JSON document in canonical form.
SplitManifest split(const Manifest& manifest);

/// Reads one section as a manifest that holds only its parts; the error names the fault.
Result<Manifest> readSection(const std::string& text);

/// Puts the parts together in canonical order. `parts` holds one manifest for each section name.
Manifest assemble(const std::map<SectionName, const Manifest*>& parts);

/// The faults of a manifest that did not come from parse(), such as one merged from two.
std::vector<Fault> check(const Manifest& manifest);

} // namespace jujubereach::manifest
