// Writes a manifest as JSON in its canonical form.
#include "json-writer.h"

#include "order.h"

#include <sstream>

namespace jujubereach::manifest {

namespace {

    constexpr unsigned indentOfDocument = 2;

    Poco::JSON::Object rackToJson(const Rack& rack)
    {
        auto json = orderedObject();
        json.set("id", rack.id.str());
        json.set("workers", rack.workers);
        json.set("acceleratorsPerWorker", rack.acceleratorsPerWorker);
        return json;
    }

    Poco::JSON::Object domainToJson(const Domain& domain)
    {
        Poco::JSON::Array racks;
        for (const auto& rack : domain.racks)
            racks.add(rackToJson(rack));
        auto json = orderedObject();
        json.set("id", domain.id.str());
        json.set("racks", racks);
        return json;
    }

    Poco::JSON::Object shapeToJson(const Shape& shape)
    {
        auto json = orderedObject();
        json.set("id", shape.id.str());
        json.set("zone", shape.zone.str());
        json.set("accelerators", shape.accelerators);
        json.set("count", shape.count);
        return json;
    }

    Poco::JSON::Object zoneToJson(const Zone& zone)
    {
        Poco::JSON::Array domains;
        for (const auto& domain : zone.domains)
            domains.add(domainToJson(domain));
        auto json = orderedObject();
        json.set("id", zone.id.str());
        json.set("domains", domains);
        return json;
    }

} // namespace

Poco::JSON::Object orderedObject()
{
    return Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
}

Poco::JSON::Array regionsToJson(const std::vector<Zone>& zones)
{
    Poco::JSON::Array regions;
    for (std::size_t i = 0; i < zones.size();) {
        auto region = orderedObject();
        region.set("id", zones[i].region.str());
        Poco::JSON::Array members;
        auto first = i;
        for (; i < zones.size() && zones[i].region == zones[first].region; ++i)
            members.add(zoneToJson(zones[i]));
        region.set("zones", members);
        regions.add(region);
    }
    return regions;
}

Poco::JSON::Array classesToJson(const std::vector<WorkClass>& classes)
{
    Poco::JSON::Array array;
    for (const auto& workClass : classes) {
        auto json = orderedObject();
        json.set("id", workClass.id.str());
        json.set("rank", workClass.rank);
        json.set("urgent", workClass.urgent);
        json.set("minimumShare", workClass.minimumShare);
        array.add(json);
    }
    return array;
}

Poco::JSON::Object workspaceToJson(const Workspace& workspace)
{
    Poco::JSON::Array shapes;
    for (const auto& shape : workspace.shapes)
        shapes.add(shapeToJson(shape));
    auto json = orderedObject();
    json.set("id", workspace.id.str());
    json.set("weight", workspace.weight);
    json.set("quota", workspace.quota);
    json.set("shapes", shapes);
    return json;
}

Poco::JSON::Object limitsToJson(const Limits& limits)
{
    auto json = orderedObject();
    json.set("reclaimBoundMs", static_cast<std::int64_t>(limits.reclaimBound.count()));
    json.set("maxGang", limits.maxGang);
    json.set("maxBodyBytes", limits.maxBodyBytes);
    return json;
}

std::string textOf(const Poco::JSON::Object& object, unsigned indent)
{
    std::ostringstream out;
    object.stringify(out, indent);
    return out.str();
}

std::string toJson(const Manifest& manifest)
{
    auto sorted = manifest;
    sortParts(sorted);
    Poco::JSON::Array workspaces;
    for (const auto& workspace : sorted.workspaces)
        workspaces.add(workspaceToJson(workspace));
    auto json = orderedObject();
    json.set("name", sorted.name);
    json.set("regions", regionsToJson(sorted.zones));
    json.set("classes", classesToJson(sorted.classes));
    json.set("workspaces", workspaces);
    json.set("limits", limitsToJson(sorted.limits));
    return textOf(json, indentOfDocument) + "\n";
}

} // namespace jujubereach::manifest
