// Reads the parts of a document and keeps their places for the checks that follow.
#pragma once

#include "check.h"
#include "json-reader.h"

namespace jujubereach::manifest {

class ManifestReader {
public:
    explicit ManifestReader(std::vector<Fault>& faults);

    /// Reads a whole document.
    Manifest read(const Node& root);
    /// Reads a section: a document of which any part may be absent.
    Manifest readSection(const Node& root);

    const Places& places() const { return m_places; }

private:
    void readRegions(Fields& document);
    Zone readZone(const Node& node, const RegionId& region);
    Domain readDomain(const Node& node);
    Rack readRack(const Node& node);
    void readClasses(Fields& document);
    void readWorkspaces(Fields& document);
    void readShapes(Fields& workspaceFields, Workspace& workspace);
    Limits readLimits(const Node& node);

    std::vector<Fault>& m_faults;
    UniqueIds m_racks; ///< A worker's id is made of its rack's, so racks differ in the whole manifest.
    UniqueIds m_zones;
    Manifest m_manifest;
    Places m_places;
};

} // namespace jujubereach::manifest
