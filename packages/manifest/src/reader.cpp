// Reads the parts of a document.
#include "reader.h"

namespace jujubereach::manifest {

namespace {

    constexpr std::size_t maxRegions = 64;
    constexpr std::size_t maxZonesPerRegion = 64;
    constexpr std::size_t maxDomainsPerZone = 4096;
    constexpr std::size_t maxRacksPerDomain = 64;
    constexpr std::size_t maxClasses = 32;
    constexpr std::size_t maxWorkspaces = 10'000;
    constexpr std::size_t maxShapesPerWorkspace = 256;

    constexpr WholeBounds workersBounds { 1, 1024, "workers", {} };
    constexpr WholeBounds acceleratorsBounds { 1, 64, "accelerators", {} };
    constexpr WholeBounds rankBounds { 0, 1000, "", {} };
    constexpr WholeBounds quotaBounds { 0, 10'000'000, "accelerators", 0 };
    constexpr WholeBounds shapeBounds { 1, 128, "accelerators", {} };
    constexpr WholeBounds countBounds { 1, 10'000, "", 1 };
    constexpr WholeBounds reclaimBounds { 100, 600'000, "ms", 3000 };
    constexpr WholeBounds gangBounds { 1, 128, "accelerators", 128 };
    constexpr WholeBounds bodyBounds { 1024, 64 << 20, "bytes", 1 << 20 };
    constexpr double minWeight = 0.001;
    constexpr double maxWeight = 1000;

    const std::vector<std::string> documentFields { "name", "regions", "classes", "workspaces", "limits" };

    std::uint32_t number(Fields& fields, const char* field, const WholeBounds& bounds)
    {
        return static_cast<std::uint32_t>(fields.whole(field, bounds));
    }

} // namespace

ManifestReader::ManifestReader(std::vector<Fault>& faults)
    : m_faults(faults)
    , m_racks("rack", "the manifest", faults)
    , m_zones("zone", "the manifest", faults)
{
}

Manifest ManifestReader::read(const Node& root)
{
    Fields fields(root, documentFields, m_faults);
    m_manifest.name = fields.id("name");
    readRegions(fields);
    readClasses(fields);
    readWorkspaces(fields);
    if (auto limits = fields.child("limits"))
        m_manifest.limits = readLimits(*limits);
    return std::move(m_manifest);
}

Manifest ManifestReader::readSection(const Node& root)
{
    Fields fields(root, documentFields, m_faults);
    if (fields.child("name"))
        m_manifest.name = fields.id("name");
    if (fields.child("regions"))
        readRegions(fields);
    if (fields.child("classes"))
        readClasses(fields);
    if (fields.child("workspaces"))
        readWorkspaces(fields);
    if (auto limits = fields.child("limits"))
        m_manifest.limits = readLimits(*limits);
    return std::move(m_manifest);
}

void ManifestReader::readRegions(Fields& document)
{
    UniqueIds regions("region", "the manifest", m_faults);
    for (const auto& node : document.array("regions", 1, maxRegions)) {
        Fields fields(node, { "id", "zones" }, m_faults);
        RegionId region(fields.id("id"));
        regions.add(region.str(), fields.place("id"));
        for (const auto& zone : fields.array("zones", 1, maxZonesPerRegion))
            m_manifest.zones.push_back(readZone(zone, region));
    }
}

Zone ManifestReader::readZone(const Node& node, const RegionId& region)
{
    Fields fields(node, { "id", "domains" }, m_faults);
    Zone zone { ZoneId(fields.id("id")), region, {} };
    m_zones.add(zone.id.str(), fields.place("id"));
    UniqueIds domains("domain", "its zone", m_faults);
    for (const auto& domain : fields.array("domains", 0, maxDomainsPerZone)) {
        zone.domains.push_back(readDomain(domain));
        domains.add(zone.domains.back().id.str(), fieldPath(domain.path, "id"));
    }
    return zone;
}

Domain ManifestReader::readDomain(const Node& node)
{
    Fields fields(node, { "id", "racks" }, m_faults);
    Domain domain { DomainId(fields.id("id")), {} };
    for (const auto& rackNode : fields.array("racks", 1, maxRacksPerDomain)) {
        auto rack = readRack(rackNode);
        if (!domain.racks.empty()
            && rack.acceleratorsPerWorker != domain.racks.front().acceleratorsPerWorker) {
            m_faults.push_back({ fieldPath(rackNode.path, "acceleratorsPerWorker"),
                "differs from the " + std::to_string(domain.racks.front().acceleratorsPerWorker)
                    + " of the domain's first rack; put racks of another size into their own "
                      "domain" });
        }
        domain.racks.push_back(std::move(rack));
    }
    return domain;
}

Rack ManifestReader::readRack(const Node& node)
{
    Fields fields(node, { "id", "workers", "acceleratorsPerWorker" }, m_faults);
    Rack rack;
    rack.id = RackId(fields.id("id"));
    m_racks.add(rack.id.str(), fields.place("id"));
    rack.workers = number(fields, "workers", workersBounds);
    rack.acceleratorsPerWorker = number(fields, "acceleratorsPerWorker", acceleratorsBounds);
    return rack;
}

void ManifestReader::readClasses(Fields& document)
{
    UniqueIds ids("class", "the manifest", m_faults);
    for (const auto& node : document.array("classes", 1, maxClasses)) {
        Fields fields(node, { "id", "rank", "urgent", "minimumShare" }, m_faults);
        WorkClass workClass;
        workClass.id = ClassId(fields.id("id"));
        ids.add(workClass.id.str(), fields.place("id"));
        workClass.rank = number(fields, "rank", rankBounds);
        workClass.urgent = fields.boolean("urgent", false);
        workClass.minimumShare = fields.fraction("minimumShare", 0, 1, 0);
        m_manifest.classes.push_back(std::move(workClass));
        m_places.classes.push_back(node.path);
    }
}

void ManifestReader::readWorkspaces(Fields& document)
{
    UniqueIds ids("workspace", "the manifest", m_faults);
    for (const auto& node : document.array("workspaces", 0, maxWorkspaces)) {
        Fields fields(node, { "id", "weight", "quota", "shapes" }, m_faults);
        Workspace workspace;
        workspace.id = WorkspaceId(fields.id("id"));
        ids.add(workspace.id.str(), fields.place("id"));
        workspace.weight = fields.fraction("weight", minWeight, maxWeight, 1);
        workspace.quota = number(fields, "quota", quotaBounds);
        m_places.workspaces.push_back(node.path);
        readShapes(fields, workspace);
        m_manifest.workspaces.push_back(std::move(workspace));
    }
}

void ManifestReader::readShapes(Fields& workspaceFields, Workspace& workspace)
{
    UniqueIds ids("shape", "its workspace", m_faults);
    auto& places = m_places.shapes.emplace_back();
    for (const auto& node : workspaceFields.array("shapes", 0, maxShapesPerWorkspace)) {
        Fields fields(node, { "id", "zone", "accelerators", "count" }, m_faults);
        Shape shape;
        shape.id = ShapeId(fields.id("id"));
        ids.add(shape.id.str(), fields.place("id"));
        shape.zone = ZoneId(fields.id("zone"));
        shape.accelerators = number(fields, "accelerators", shapeBounds);
        shape.count = number(fields, "count", countBounds);
        workspace.shapes.push_back(std::move(shape));
        places.push_back(node.path);
    }
}

Limits ManifestReader::readLimits(const Node& node)
{
    Fields fields(node, { "reclaimBoundMs", "maxGang", "maxBodyBytes" }, m_faults);
    Limits limits;
    limits.reclaimBound = Duration(number(fields, "reclaimBoundMs", reclaimBounds));
    limits.maxGang = number(fields, "maxGang", gangBounds);
    limits.maxBodyBytes = number(fields, "maxBodyBytes", bodyBounds);
    return limits;
}

} // namespace jujubereach::manifest
