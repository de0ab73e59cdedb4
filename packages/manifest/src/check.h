// Checks between the parts of a manifest: duplicates, references, sums.
#pragma once

#include "jujubereach/manifest/manifest.h"

#include <map>
#include <string>
#include <vector>

namespace jujubereach::manifest {

/// Ids that must differ within one scope, with the place of the first of each.
class UniqueIds {
public:
    UniqueIds(std::string kind, std::string scope, std::vector<Fault>& faults)
        : m_kind(std::move(kind))
        , m_scope(std::move(scope))
        , m_faults(faults)
    {
    }

    /// Adds a fault when the id was given before; empty ids have their own fault already.
    void add(const std::string& id, const std::string& place);

private:
    std::string m_kind;
    std::string m_scope;
    std::vector<Fault>& m_faults;
    std::map<std::string, std::string> m_places;
};

/// Places of the parts of a parsed manifest, in the order of its vectors.
struct Places {
    std::vector<std::string> classes;
    std::vector<std::string> workspaces;
    std::vector<std::vector<std::string>> shapes; ///< By workspace.
};

/// Adds the faults that only the whole manifest shows.
void checkReferences(const Manifest& manifest, const Places& places, std::vector<Fault>& faults);

} // namespace jujubereach::manifest
