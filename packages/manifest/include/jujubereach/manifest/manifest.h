// The operators' manifest: regions, zones, domains and racks; classes; workspaces with their shapes.
#pragma once

#include "jujubereach/base/error.h"
#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jujubereach::manifest {

/// A rack is a line: its workers in order of their index, each with its accelerators in order.
struct Rack {
    RackId id;
    std::uint32_t workers = 0;
    std::uint32_t acceleratorsPerWorker = 0;
};

/// Neighbouring racks in order. All racks of a domain have workers of the same size.
struct Domain {
    DomainId id;
    std::vector<Rack> racks;
};

struct Zone {
    ZoneId id;
    RegionId region;
    std::vector<Domain> domains;
};

/// A class of work by urgency.
struct WorkClass {
    ClassId id;
    std::uint32_t rank = 0; ///< 0 is the most urgent; ranks are unique.
    bool urgent = false; ///< May take back lent capacity at once.
    double minimumShare = 0; ///< Of the slots and accelerators, kept in a flood of other classes; 0 to 1.
};

/// A run of adjacent accelerators that its workspace can always have.
struct Shape {
    ShapeId id;
    ZoneId zone;
    std::uint32_t accelerators = 0;
    std::uint32_t count = 1;
};

struct Workspace {
    WorkspaceId id;
    double weight = 1; ///< Of its fair share; above 0.
    std::uint32_t quota = 0; ///< Accelerators at the same time, borrowed ones included; 0 means no bound.
    std::vector<Shape> shapes;
};

struct Limits {
    Duration reclaimBound { 3000 }; ///< Time in which lent capacity is given back.
    std::uint32_t maxGang = 128; ///< Accelerators.
    std::uint32_t maxBodyBytes = 1 << 20; ///< Of a request.
};

struct Manifest {
    std::string name;
    std::vector<Zone> zones;
    std::vector<WorkClass> classes;
    std::vector<Workspace> workspaces;
    Limits limits;
};

/// Every fault of a document, each with its place; never only the first.
struct Fault {
    std::string where; ///< Such as "workspaces[2].shapes[0].accelerators".
    std::string what;
};

struct Parsed {
    Manifest manifest;
    std::vector<Fault> faults; ///< Empty when the document is valid.
};

/// Reads and checks a JSON document. Unknown fields are faults.
Parsed parse(const std::string& json);

/// Writes the document in its canonical form: the same manifest always gives the same text.
std::string toJson(const Manifest& manifest);

const Zone* findZone(const Manifest& manifest, const ZoneId& id);
const WorkClass* findClass(const Manifest& manifest, const ClassId& id);
const Workspace* findWorkspace(const Manifest& manifest, const WorkspaceId& id);

/// Number of accelerators of a domain, and the id of one of its workers by its place in the line.
std::uint32_t acceleratorsOf(const Domain& domain);
std::uint32_t workersOf(const Domain& domain);
WorkerId workerAt(const Domain& domain, std::uint32_t workerIndex);

} // namespace jujubereach::manifest
